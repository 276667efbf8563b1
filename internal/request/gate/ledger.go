package gate

import "github.com/cicadareel/cicadareel/internal/outcome"

const (
	// maxAttemptAge is the age in epochs up to which an attempt may be admitted.
	maxAttemptAge = 2
	// maxRecordAge is the age in epochs up to which records are kept. It must
	// exceed maxAttemptAge, so that a record is kept for as long as an attempt
	// that it concerns could be admitted.
	maxRecordAge = 3
)

// SealState is what the gate knows about the attempts at a request.
type SealState int

// Seal states.
const (
	// NeverAdmitted promises that the attempt did not run and will not run.
	NeverAdmitted SealState = iota
	// Running says that an attempt is running at the endpoint.
	Running
	// Ran says that an attempt ran and ended.
	Ran
	// CannotSay says that the gate may have dropped the record of the request.
	CannotSay
	// NotSeen says that no attempt was admitted, but that one may be queued or come
	// later. It promises nothing.
	NotSeen
)

// record is what the ledger knows about one request.
type record struct {
	// sealed is the highest attempt number that must never be admitted.
	sealed uint32
	// queued is the number of the queued attempt; 0 if none is.
	queued uint32
	// admitted is true if an attempt was admitted and reached the endpoint or still
	// runs.
	admitted bool
	running  bool
	// changedIn is the epoch of the last change.
	changedIn uint64
}

// ledger records admitted and sealed requests for a bounded number of epochs.
// Invariant: an attempt that carries epoch e is admitted only while the epoch is at
// most e+maxAttemptAge, and its record is kept at least until epoch e+maxRecordAge
// has passed.
type ledger struct {
	epoch   uint64
	records map[string]*record
}

func newLedger() ledger { return ledger{epoch: 1, records: map[string]*record{}} }

// epochValid reports whether an attempt that carries attemptEpoch may be admitted.
func (l *ledger) epochValid(attemptEpoch uint64) bool {
	return attemptEpoch <= l.epoch && l.epoch-attemptEpoch <= maxAttemptAge
}

// recordOf returns the record of a request that is about to change, or a new one.
func (l *ledger) recordOf(id string) *record {
	r := l.records[id]
	if r == nil {
		r = &record{}
		l.records[id] = r
	}
	r.changedIn = l.epoch
	return r
}

// refusalReason returns why the records forbid admitting the attempt, or "".
func (l *ledger) refusalReason(a Attempt) outcome.Reason {
	r := l.records[a.RequestID]
	switch {
	case r == nil:
		return ""
	case a.Number <= r.sealed:
		return outcome.Sealed
	case r.queued != 0 || r.running:
		return outcome.AlreadyAdmitted
	case r.admitted && !a.Idempotent:
		return outcome.AlreadyAdmitted
	}
	return ""
}

// markQueued records that the attempt waits in the queue.
func (l *ledger) markQueued(a Attempt) { l.recordOf(a.RequestID).queued = a.Number }

// clearQueued records that the attempt is no longer queued.
func (l *ledger) clearQueued(a Attempt) { l.recordOf(a.RequestID).queued = 0 }

// markAdmitted records that the attempt was admitted and runs.
func (l *ledger) markAdmitted(a Attempt) {
	r := l.recordOf(a.RequestID)
	r.admitted, r.running = true, true
}

// markFinished records that an admitted attempt ended. If no byte of it was sent, it
// no longer counts as admitted.
func (l *ledger) markFinished(a Attempt, neverSent bool) {
	r := l.recordOf(a.RequestID)
	r.running = false
	if neverSent {
		r.admitted = false
	}
}

// advance starts the next epoch and drops old records of requests that neither run
// nor wait.
func (l *ledger) advance() {
	l.epoch++
	for id, r := range l.records {
		if !r.running && r.queued == 0 && l.epoch-r.changedIn > maxRecordAge {
			delete(l.records, id)
		}
	}
}

// lookup returns the state of a request without changing its record.
func (l *ledger) lookup(id string, attemptEpoch uint64) SealState {
	r := l.records[id]
	switch {
	case r == nil && (attemptEpoch > l.epoch || l.epoch-attemptEpoch > maxRecordAge):
		return CannotSay
	case r == nil || r.queued != 0:
		return NotSeen
	case r.running:
		return Running
	case r.admitted:
		return Ran
	}
	return NotSeen
}

// Lookup returns the state of a request without sealing it. attemptEpoch is the
// admission epoch that the attempt carried.
func (g *Gate) Lookup(id string, attemptEpoch uint64) SealState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.lookup(id, attemptEpoch)
}

// Seal returns the state of a request. If none of its attempts up to number was
// admitted, it seals them: none of them ever will be. attemptEpoch is the admission
// epoch that the attempt carried.
func (g *Gate) Seal(id string, number uint32, attemptEpoch uint64) SealState {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.ledger.lookup(id, attemptEpoch)
	if state != NotSeen {
		return state
	}
	r := g.ledger.recordOf(id)
	r.sealed = max(r.sealed, number)
	if r.queued != 0 && r.queued <= number {
		if w := g.queue.remove(Attempt{RequestID: id}); w != nil {
			calls.add(w.callback, Refused{Reason: outcome.Sealed})
		}
		r.queued = 0
	}
	if r.queued != 0 {
		return NotSeen
	}
	return NeverAdmitted
}
