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
	// leaseTime is how long a lease lasts without a renewal.
	leaseTime = 3 * time.Second
	// renewInterval is the time between two renewals: two may be lost.
	renewInterval = time.Second
	// watchInterval is the time between two looks at another's lease.
	watchInterval = 1500 * time.Millisecond
	// giveBackTimeout bounds giving the lease back at the end of a process; others
	// take it after leaseTime anyway.
	giveBackTimeout = 300 * time.Millisecond
	// tokensPerLease is the number of fencing tokens of one holder's time.
	tokensPerLease = 1 << 20
)

// LeaseStore keeps the rows of leases.
type LeaseStore interface {
	GetLease(ctx context.Context, name string) (table.Row, error)
	PutLease(ctx context.Context, name string, w table.Write) (table.WriteResult, error)
}

// claimant is the content of a lease's row.
type claimant struct {
	// Holder is the instance, Claim differs for each time that it takes the
	// lease; both are empty once the lease was given back.
	Holder string `json:"holder"`
	Claim  string `json:"claim"`
	// Renewals makes each write differ.
	Renewals uint64 `json:"renewals"`
}

// Lease tries to hold a lease and to keep it. Its fencing tokens are higher
// than those of every earlier holder, since they derive from the revision that
// the row had when the lease was taken.
type Lease struct {
	rows   LeaseStore
	name   string
	holder string
	// wanted reports whether this process is to try for a lease that others may
	// hold.
	wanted func() bool
	log    *events.Log
	// urge wakes the goroutine to take the lease at once.
	urge chan struct{}
	done sync.WaitGroup

	mu sync.Mutex
	// claim is the present one of this process, empty if it has none.
	claim string
	// fence is the revision at which the lease was taken; 0 if not held.
	fence uint64
	// drawn counts the tokens of the fence.
	drawn uint64
	// row is the last one seen, at the time seen.
	row  table.Row
	seen time.Time
}

// NewLease starts trying to hold the lease until ctx ends. Then it is given
// back.
func NewLease(ctx context.Context, rows LeaseStore, name, holder string, wanted func() bool, l *events.Log) *Lease {
	k := &Lease{rows: rows, name: name, holder: holder, wanted: wanted, log: l, urge: make(chan struct{}, 1)}
	k.done.Go(func() { k.keepLoop(ctx) })
	return k
}

// Wait returns after the goroutine has ended.
func (k *Lease) Wait() { k.done.Wait() }

// Held reports whether this process holds the lease, and since which fence.
func (k *Lease) Held() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fence, k.fence > 0
}

// NextFencingToken returns a higher fencing token with each call while the lease is
// held, and 0 otherwise.
func (k *Lease) NextFencingToken() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 {
		return 0
	}
	k.drawn++
	return k.fence*tokensPerLease + k.drawn
}

// IsCandidate reports whether this process tries for the lease while others hold it.
func (k *Lease) IsCandidate() bool { return k.wanted() }

// TakeOver takes the lease at once, for its holder is known to have stopped in the
// middle of its work. Fencing tokens keep the holder out if that is wrong.
func (k *Lease) TakeOver(reason string) {
	select {
	case k.urge <- struct{}{}:
		k.log.Info(events.MapLeaseUrged, events.Fields{"reason": reason})
	default:
	}
}

// MarkLost gives up a lease that another process is known to hold.
func (k *Lease) MarkLost(reason string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 {
		return
	}
	k.fence, k.claim = 0, ""
	k.log.Info(events.MapLeaseLost, events.Fields{"reason": reason})
}

func (k *Lease) keepLoop(ctx context.Context) {
	urged := false
	for ctx.Err() == nil {
		if _, held := k.Held(); held || k.wanted() {
			k.turn(ctx, urged)
		}
		urged = false
		wait := watchInterval
		if _, held := k.Held(); held {
			wait = renewInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-k.urge:
			urged = true
		}
	}
	k.giveBack(context.WithoutCancel(ctx))
}

// turn renews the lease, or looks whether it can be taken. A holder that cannot
// reach the store goes on: fencing tokens keep it out once another took over. If
// urged, it does not wait for the lease to expire.
func (k *Lease) turn(ctx context.Context, urged bool) {
	if _, held := k.Held(); held && k.write(ctx) {
		return
	}
	row, err := k.rows.GetLease(ctx, k.name)
	if err != nil {
		return
	}
	now, ok := decodeClaimant(row)
	if k.recognise(row, now, ok) {
		return
	}
	// An earlier process of this instance has ended, so its lease is free.
	if free := !ok || now.Holder == "" || now.Holder == k.holder; free || urged || k.expired() {
		k.write(ctx)
	}
}

func decodeClaimant(row table.Row) (claimant, bool) {
	var c claimant
	if row.Revision == 0 || json.Unmarshal(row.Value, &c) != nil {
		return claimant{}, false
	}
	return c, true
}

// recognise takes note of the row and reports whether the lease is this
// process's own. A write without an answer shows here.
func (k *Lease) recognise(row table.Row, c claimant, ok bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Revision != k.row.Revision || k.seen.IsZero() {
		k.row, k.seen = row, time.Now()
	}
	own := ok && k.claim != "" && c.Claim == k.claim
	switch {
	case own && k.fence == 0:
		k.taken(row.Revision)
	case !own && k.fence > 0:
		k.fence, k.claim = 0, ""
		k.log.Info(events.MapLeaseLost, events.Fields{"reason": "held by " + c.Holder, "revision": row.Revision})
	}
	return own
}

func (k *Lease) taken(revision uint64) {
	k.fence, k.drawn = revision, 0
	k.log.Info(events.MapLeaseTaken, events.Fields{"fence": revision})
}

func (k *Lease) expired() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.seen) >= leaseTime
}

// write takes or renews the lease and reports whether it did.
func (k *Lease) write(ctx context.Context) bool {
	k.mu.Lock()
	if k.claim == "" {
		k.claim = rand.Text()
	}
	now, _ := decodeClaimant(k.row)
	value, err := json.Marshal(claimant{Holder: k.holder, Claim: k.claim, Renewals: now.Renewals + 1})
	expect := k.row.Revision
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
	k.row, k.seen = result.Row, time.Now()
	if k.fence == 0 {
		k.taken(result.Row.Revision)
	}
	return true
}

// giveBack lets another process take the lease at once.
func (k *Lease) giveBack(ctx context.Context) {
	if _, held := k.Held(); !held {
		return
	}
	k.MarkLost("process is stopping")
	k.mu.Lock()
	expect := k.row.Revision
	k.mu.Unlock()
	value, err := json.Marshal(claimant{})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, giveBackTimeout)
	defer cancel()
	_, _ = k.rows.PutLease(ctx, k.name, table.Write{Value: value, Expect: expect})
}
