// Package claim records in the platform's table which attempt runs a request with
// an idempotency key, so that the same key never runs twice, whichever entries it
// reaches.
package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	// batchDelay is how long a claim waits for others to share its transaction.
	batchDelay = 4 * time.Millisecond
	// maxBatchClaims bounds the claims in one transaction.
	maxBatchClaims = 128
	// maxPendingClaims bounds the claims waiting for a transaction.
	maxPendingClaims = 1024
	// maxParallelBatches bounds the concurrent transactions.
	maxParallelBatches = 4
	// commitTimeout bounds one transaction and the reads that confirm it.
	commitTimeout = 2 * time.Second
)

// Claim names the attempt that may run a request with an idempotency key.
type Claim struct {
	RequestID string `json:"requestId"`
	// Attempt, Endpoint, Incarnation and Epoch identify the attempt at one sidecar
	// process.
	Attempt     uint32 `json:"attempt"`
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// BodyDigest detects a key that is used for a different request.
	BodyDigest string `json:"bodyDigest"`
}

// Record is a claim in the table and the revision of its row.
type Record struct {
	Claim    Claim
	Revision uint64
}

// StoreDownError reports that it could not be decided which claim holds the key.
// The attempt that the claim names must not be sent.
type StoreDownError struct{ Cause error }

func (e *StoreDownError) Error() string { return "claim not decided: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StoreDownError) Unwrap() error { return e.Cause }

// OverloadedError reports that too many claims wait for a transaction.
type OverloadedError struct{}

func (*OverloadedError) Error() string { return "too many claims wait for a transaction" }

// Table is the part of the platform's table that the store uses.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	// Commit applies each write whose condition holds, all in one transaction.
	Commit(ctx context.Context, writes []table.Write) ([]table.WriteResult, error)
}

// Store writes claims to the table, several in one transaction.
type Store struct {
	table      Table
	pending    chan *pendingClaim
	goroutines sync.WaitGroup
}

// pendingClaim is a claim that waits for its transaction.
type pendingClaim struct {
	key    string
	claim  Claim
	expect uint64
	result chan result
}

// result is the outcome of Acquire.
type result struct {
	record Record
	err    error
}

// NewStore returns a store that writes claims until ctx ends.
func NewStore(ctx context.Context, t Table) *Store {
	s := &Store{table: t, pending: make(chan *pendingClaim, maxPendingClaims)}
	s.goroutines.Go(func() { s.batchLoop(ctx) })
	return s
}

// Wait waits for the store's goroutines to end.
func (s *Store) Wait() { s.goroutines.Wait() }

// Key returns the table key for a client account's idempotency key.
func Key(account, idempotencyKey string) string {
	return "claim/" + account + "/" + bundle.HashToken(idempotencyKey)
}

// Acquire writes the claim if the row has the expected revision, 0 for an absent
// row. It returns the claim that the row holds then: the caller may send its
// attempt only if that is its own claim.
func (s *Store) Acquire(ctx context.Context, key string, c Claim, expect uint64) (Record, error) {
	p := &pendingClaim{key: key, claim: c, expect: expect, result: make(chan result, 1)}
	select {
	case s.pending <- p:
	default:
		return Record{}, &StoreDownError{Cause: &OverloadedError{}}
	}
	select {
	case r := <-p.result:
		return r.record, r.err
	case <-ctx.Done():
		return Record{}, &StoreDownError{Cause: ctx.Err()}
	}
}

// batchLoop commits batches of claims until ctx ends.
func (s *Store) batchLoop(ctx context.Context) {
	slots := make(chan struct{}, maxParallelBatches)
	for {
		batch := s.collect(ctx)
		if batch == nil {
			return
		}
		slots <- struct{}{}
		s.goroutines.Go(func() {
			defer func() { <-slots }()
			s.commit(ctx, batch)
		})
	}
}

// collect waits for a first claim and then up to batchDelay for others. It returns
// nil if ctx ends before the first.
func (s *Store) collect(ctx context.Context) []*pendingClaim {
	var batch []*pendingClaim
	select {
	case <-ctx.Done():
		return nil
	case p := <-s.pending:
		batch = append(batch, p)
	}
	delay := time.NewTimer(batchDelay)
	defer delay.Stop()
	for len(batch) < maxBatchClaims {
		select {
		case p := <-s.pending:
			batch = append(batch, p)
		case <-delay.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// commit writes a batch in one transaction and delivers the result of each claim.
func (s *Store) commit(ctx context.Context, batch []*pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	writes := make([]table.Write, 0, len(batch))
	for _, p := range batch {
		value, err := json.Marshal(p.claim)
		if err != nil {
			value = nil
		}
		writes = append(writes, table.Write{Key: p.key, Value: value, Expect: p.expect})
	}
	results, err := s.table.Commit(ctx, writes)
	for i, p := range batch {
		if err != nil {
			s.readBack(ctx, p)
			continue
		}
		p.deliver(results[i].Row)
	}
}

// readBack decides a claim whose transaction failed or got no reply, by reading
// its row. If the write takes effect only later, the row does not show it yet and
// the caller does not send the attempt; the late row then names an attempt that
// was never sent and can be sealed.
func (s *Store) readBack(ctx context.Context, p *pendingClaim) {
	row, err := s.table.Get(ctx, p.key)
	if err != nil {
		p.result <- result{err: &StoreDownError{Cause: err}}
		return
	}
	p.deliver(row)
}

// deliver passes the claim in the row to the caller that waits for it.
func (p *pendingClaim) deliver(row table.Row) {
	if row.Number == 0 {
		p.result <- result{err: &StoreDownError{Cause: &AbsentError{}}}
		return
	}
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		p.result <- result{err: &StoreDownError{Cause: oops.In("claim").Wrap(err)}}
		return
	}
	p.result <- result{record: Record{Claim: c, Revision: row.Number}}
}

// AbsentError reports that the row of a claim does not exist after its write.
type AbsentError struct{}

func (*AbsentError) Error() string { return "the row of the claim is absent after its write" }
