// Package claim records in the platform's table which attempt runs a keyed
// request, so that the same key never runs twice, whichever entries it
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
	// batchDelay is how long a claim waits for others to share its write.
	batchDelay = 4 * time.Millisecond
	// batchLimit bounds the claims of one transaction.
	batchLimit = 128
	// pendingLimit bounds the claims waiting for a transaction.
	pendingLimit = 1024
	// parallelBatches bounds the transactions in progress.
	parallelBatches = 4
	// commitTimeout bounds one transaction with its reading back.
	commitTimeout = 2 * time.Second
)

// Claim names the attempt that may run a keyed request.
type Claim struct {
	RequestID string `json:"requestId"`
	// Attempt, Endpoint, Incarnation and Epoch name the attempt at one sidecar.
	Attempt     uint32 `json:"attempt"`
	Endpoint    string `json:"endpoint"`
	Incarnation string `json:"incarnation"`
	Epoch       uint64 `json:"epoch"`
	// BodyDigest detects a key that is used for another request.
	BodyDigest string `json:"bodyDigest"`
}

// Record is a claim as it stands in the table.
type Record struct {
	Claim    Claim
	Revision uint64
}

// StoreDownError reports that the claim could not be settled. The attempt that
// it names must not be sent.
type StoreDownError struct{ Cause error }

func (e *StoreDownError) Error() string { return "claim not settled: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StoreDownError) Unwrap() error { return e.Cause }

// OverloadedError reports that too many claims wait for the table.
type OverloadedError struct{}

func (*OverloadedError) Error() string { return "too many claims are waiting" }

// Table is what the store needs of the platform's table.
type Table interface {
	Get(ctx context.Context, key string) (table.Row, error)
	// Commit applies each write whose condition holds, all in one transaction.
	Commit(ctx context.Context, writes []table.Write) ([]table.WriteResult, error)
}

// Store writes claims, several to a transaction.
type Store struct {
	table   Table
	pending chan *pending
	done    sync.WaitGroup
}

type pending struct {
	key    string
	claim  Claim
	expect uint64
	result chan result
}

type result struct {
	held Record
	err  error
}

// NewStore starts writing batches until ctx ends.
func NewStore(ctx context.Context, t Table) *Store {
	s := &Store{table: t, pending: make(chan *pending, pendingLimit)}
	s.done.Go(func() { s.batchLoop(ctx) })
	return s
}

// Wait returns after the goroutines have ended.
func (s *Store) Wait() { s.done.Wait() }

// Key returns the table key for a client account's idempotency key.
func Key(account, idempotencyKey string) string {
	return "claim/" + account + "/" + bundle.HashToken(idempotencyKey)
}

// Acquire writes the claim if the row still has the expected revision, 0 for
// absent. It returns the claim that stands then; the caller owns the request
// only if that is its own.
func (s *Store) Acquire(ctx context.Context, key string, c Claim, expect uint64) (Record, error) {
	p := &pending{key: key, claim: c, expect: expect, result: make(chan result, 1)}
	select {
	case s.pending <- p:
	default:
		return Record{}, &StoreDownError{Cause: &OverloadedError{}}
	}
	select {
	case r := <-p.result:
		return r.held, r.err
	case <-ctx.Done():
		return Record{}, &StoreDownError{Cause: ctx.Err()}
	}
}

func (s *Store) batchLoop(ctx context.Context) {
	slots := make(chan struct{}, parallelBatches)
	for {
		batch := s.collect(ctx)
		if batch == nil {
			return
		}
		slots <- struct{}{}
		s.done.Go(func() {
			defer func() { <-slots }()
			s.commit(ctx, batch)
		})
	}
}

// collect waits for a first claim and then a little for others. It returns
// nil when ctx ends.
func (s *Store) collect(ctx context.Context) []*pending {
	var batch []*pending
	select {
	case <-ctx.Done():
		return nil
	case p := <-s.pending:
		batch = append(batch, p)
	}
	delay := time.NewTimer(batchDelay)
	defer delay.Stop()
	for len(batch) < batchLimit {
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

func (s *Store) commit(ctx context.Context, batch []*pending) {
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
		p.settle(results[i].Row)
	}
}

// readBack settles a claim whose write was not answered. The row shows
// whether it took effect, unless the write is still on its way: then the row
// lacks it, the caller gives up, and the late row names an attempt that is
// never sent and can be sealed.
func (s *Store) readBack(ctx context.Context, p *pending) {
	row, err := s.table.Get(ctx, p.key)
	if err != nil {
		p.result <- result{err: &StoreDownError{Cause: err}}
		return
	}
	p.settle(row)
}

func (p *pending) settle(row table.Row) {
	if row.Revision == 0 {
		p.result <- result{err: &StoreDownError{Cause: &AbsentError{}}}
		return
	}
	var c Claim
	if err := json.Unmarshal(row.Value, &c); err != nil {
		p.result <- result{err: &StoreDownError{Cause: oops.In("claim").Wrap(err)}}
		return
	}
	p.result <- result{held: Record{Claim: c, Revision: row.Revision}}
}

// AbsentError reports a row that is not there after a write without answer.
type AbsentError struct{}

func (*AbsentError) Error() string { return "row absent after an unanswered write" }
