package store

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/table"
)

const (
	// leaseDuration is how long a lease is valid without a renewal.
	leaseDuration = 1500 * time.Millisecond
	// renewInterval is the time between two renewals. Two in a row may be lost
	// before the lease expires.
	renewInterval = 500 * time.Millisecond
	// checkInterval is the time between two checks of a lease that another process
	// holds.
	checkInterval = 750 * time.Millisecond
	// takeOverGrace is how long a holder is left to finish what its predecessor began.
	// Several processes may notice at the same time that a holder has stopped.
	takeOverGrace = 2 * time.Second
	// releaseTimeout bounds the release of the lease at the end of a process. Without
	// a release, the lease expires after leaseDuration.
	releaseTimeout = 300 * time.Millisecond
	// tokensPerLease is the number of fencing tokens that one acquisition of the
	// lease can issue.
	tokensPerLease = 1 << 20
	// tokensPerEra is the number of fencing tokens that the revisions of one era of the
	// store can issue.
	tokensPerEra = tokensPerLease << 32
	// maxEras is the number of eras whose fencing tokens can be represented.
	maxEras = 1 << 64 / tokensPerEra
)

// LeaseStore reads and writes the rows of leases, one for each lease.
type LeaseStore interface {
	GetLease(ctx context.Context, name string) (table.Row, error)
	PutLease(ctx context.Context, name string, w table.Write) (table.WriteResult, error)
}

// leaseRecord is the content of a lease's row.
type leaseRecord struct {
	// Holder is the instance that holds the lease. Claim is a random id, new for
	// each acquisition. Both are empty after the lease was released.
	Holder string `json:"holder"`
	Claim  string `json:"claim"`
	// Renewals makes each written value differ from the one before.
	Renewals uint64 `json:"renewals"`
}

// Lease tries to acquire a lease and renews it while held. Its fencing tokens are
// higher than those of every earlier holder, since they derive from the row's
// revision at the time of the acquisition, with the era of the store first: a store
// that comes back from a copy issues its revisions again.
type Lease struct {
	rows   LeaseStore
	name   string
	holder string
	// isCandidate reports whether this process tries to acquire the lease.
	isCandidate func() bool
	log         *events.Log
	// takeOverRequests wakes the goroutine to take the lease over without waiting
	// for it to expire.
	takeOverRequests chan struct{}
	done             sync.WaitGroup

	mu sync.Mutex
	// claim is the id of this process's current acquisition or attempt; empty if
	// there is none.
	claim string
	// acquiredRevision is the row's revision at the acquisition; zero if the lease is
	// not held.
	acquiredRevision table.Revision
	// issuedTokens counts the fencing tokens issued since the acquisition.
	issuedTokens uint64
	// row is the last version of the row known, and rowSeen when this process first
	// knew of it.
	row     table.Row
	rowSeen time.Time
	// otherClaim is the claim of another process in that row, and otherSince when
	// this process first knew of it.
	otherClaim string
	otherSince time.Time
}

// NewLease starts a goroutine that tries to acquire and keep the lease until ctx
// ends, and then releases it.
func NewLease(ctx context.Context, rows LeaseStore, name, holder string, isCandidate func() bool, l *events.Log) *Lease {
	k := &Lease{rows: rows, name: name, holder: holder, isCandidate: isCandidate, log: l, takeOverRequests: make(chan struct{}, 1)}
	k.done.Go(func() { k.keepLoop(ctx) })
	return k
}

// Wait returns after the goroutine has ended.
func (k *Lease) Wait() { k.done.Wait() }

// Held reports whether this process holds the lease. The revision is the row's at the
// acquisition, which differs between acquisitions.
func (k *Lease) Held() (table.Revision, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.acquiredRevision, k.held()
}

// held reports whether this process holds the lease. The caller must hold mu.
func (k *Lease) held() bool { return k.acquiredRevision != table.Revision{} }

// NextFencingToken returns a fencing token that is higher than all earlier ones,
// or 0 if the lease is not held or no higher token can be represented.
func (k *Lease) NextFencingToken() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held() {
		return 0
	}
	k.issuedTokens++
	r := k.acquiredRevision
	if r.Era >= maxEras {
		return 0
	}
	return r.Era*tokensPerEra + r.Number*tokensPerLease + k.issuedTokens
}

// IsCandidate reports whether this process tries to acquire the lease.
func (k *Lease) IsCandidate() bool { return k.isCandidate() }

// TakeOver takes the lease from its holder without waiting for it to expire, unless
// the holder acquired it within takeOverGrace. It is meant for a holder that stopped
// in the middle of its work. If the holder still runs, its fencing tokens are refused
// from then on.
func (k *Lease) TakeOver(reason string) {
	select {
	case k.takeOverRequests <- struct{}{}:
		k.log.Info(events.MapLeaseTakeoverRequested, events.Fields{"reason": reason})
	default:
	}
}

// MarkLost ends holding the lease without writing its row, because another process
// is known to hold it or this process is about to release it.
func (k *Lease) MarkLost(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.held() {
		return
	}
	k.acquiredRevision, k.claim = table.Revision{}, ""
	k.log.Info(events.MapLeaseLost, events.Fields{"reason": reason})
}

// keepLoop renews the lease while it is held and tries to acquire it otherwise. It
// releases the lease when ctx ends.
func (k *Lease) keepLoop(ctx context.Context) {
	takeOver := false
	for ctx.Err() == nil {
		if _, held := k.Held(); held || k.isCandidate() {
			k.renewOrAcquire(ctx, takeOver)
		}
		takeOver = false
		wait := checkInterval
		if _, held := k.Held(); held {
			wait = renewInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-k.takeOverRequests:
			takeOver = true
		}
	}
	k.release(context.WithoutCancel(ctx))
}

// renewOrAcquire renews the lease if it is held, and otherwise acquires it if it is
// free, expired or to be taken over. A holder that cannot reach the store keeps
// working: once another process has taken over, its fencing tokens are refused.
func (k *Lease) renewOrAcquire(ctx context.Context, takeOver bool) {
	if _, held := k.Held(); held && k.writeRecord(ctx) {
		return
	}
	row, err := k.rows.GetLease(ctx, k.name)
	if err != nil {
		return
	}
	record, ok := decodeLeaseRecord(row)
	if k.observe(row, record, ok) {
		return
	}
	// A lease of this instance without its claim is left over from an earlier
	// process of the same instance, so it is free.
	if free := !ok || record.Holder == "" || record.Holder == k.holder; free || (takeOver && k.mayTakeOver()) || k.expired() {
		k.writeRecord(ctx)
	}
}

// decodeLeaseRecord returns false if the row is absent or malformed.
func decodeLeaseRecord(row table.Row) (leaseRecord, bool) {
	var r leaseRecord
	if row.Number == 0 || json.Unmarshal(row.Value, &r) != nil {
		return leaseRecord{}, false
	}
	return r, true
}

// observe records the row that was read and reports whether this process holds
// the lease. This also detects an acquisition whose response was lost.
func (k *Lease) observe(row table.Row, record leaseRecord, ok bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Revision != k.row.Revision || k.rowSeen.IsZero() {
		k.row, k.rowSeen = row, time.Now()
	}
	own := ok && k.claim != "" && record.Claim == k.claim
	if !own && record.Claim != k.otherClaim {
		k.otherClaim, k.otherSince = record.Claim, time.Now()
	}
	switch {
	case own && k.acquiresAt(row.Revision):
		k.setHeld(row.Revision)
	case !own && k.held():
		k.acquiredRevision, k.claim = table.Revision{}, ""
		k.log.Info(events.MapLeaseLost, events.Fields{"reason": "held by " + record.Holder, "revision": row.Number, "era": row.Era})
	}
	return own
}

// acquiresAt reports whether this process acquires the lease at a revision at which the row
// has its claim. In a later era it acquires the lease anew: the copy from which the store
// came back, or a late write of before, may have put the claim back after another process
// held the lease. The caller must hold mu.
func (k *Lease) acquiresAt(revision table.Revision) bool {
	return !k.held() || revision.Era > k.acquiredRevision.Era
}

// setHeld records that the lease was acquired. The caller must hold mu.
func (k *Lease) setHeld(revision table.Revision) {
	k.acquiredRevision, k.issuedTokens = revision, 0
	k.log.Info(events.MapLeaseAcquired, events.Fields{"fence": revision.Number, "era": revision.Era})
}

// mayTakeOver reports whether the holder has held the lease for takeOverGrace.
func (k *Lease) mayTakeOver() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.otherSince) >= takeOverGrace
}

// expired reports whether the row has not changed for leaseDuration.
func (k *Lease) expired() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.rowSeen) >= leaseDuration
}

// writeRecord acquires or renews the lease and reports whether the store confirmed it.
func (k *Lease) writeRecord(ctx context.Context) bool {
	k.mu.Lock()
	if k.claim == "" {
		k.claim = rand.Text()
	}
	last, _ := decodeLeaseRecord(k.row)
	value, err := json.Marshal(leaseRecord{Holder: k.holder, Claim: k.claim, Renewals: last.Renewals + 1})
	expect := k.row.Number
	k.mu.Unlock()
	if err != nil {
		return false
	}
	result, err := k.rows.PutLease(ctx, k.name, table.Write{Value: value, Expect: expect})
	if err != nil || !result.Applied {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.row, k.rowSeen = result.Row, time.Now()
	if k.acquiresAt(result.Row.Revision) {
		k.setHeld(result.Row.Revision)
	}
	return true
}

// release writes the lease as free, so that another process can acquire it at once.
func (k *Lease) release(ctx context.Context) {
	if _, held := k.Held(); !held {
		return
	}
	k.MarkLost("process is stopping")
	k.mu.Lock()
	expect := k.row.Number
	k.mu.Unlock()
	value, err := json.Marshal(leaseRecord{})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, _ = k.rows.PutLease(ctx, k.name, table.Write{Value: value, Expect: expect})
}
