package gate

import "github.com/cicadareel/cicadareel/internal/outcome"

const (
	// attemptEpochs is the age in epochs up to which an attempt is admitted.
	attemptEpochs = 2
	// recordEpochs is the age in epochs up to which records are kept. It must
	// exceed attemptEpochs, so that a record outlives every attempt that it
	// could concern.
	recordEpochs = 3
)

// SealState is what a gate knows of an attempt.
type SealState int

// Seal states.
const (
	// NeverAdmitted promises that the attempt did not and will not run.
	NeverAdmitted SealState = iota
	// Running says that the attempt is at the endpoint.
	Running
	// Ran says that the attempt ended.
	Ran
	// CannotSay says that the gate may have forgotten the attempt.
	CannotSay
	// NotSeen answers Look for an attempt without a record.
	NotSeen
)

// record is what the ledger knows of one request.
type record struct {
	// sealed is the highest attempt number never to be admitted.
	sealed uint32
	// queued is the number of the waiting attempt, 0 if none.
	queued uint32
	// admitted is true if an attempt went to the endpoint.
	admitted bool
	running  bool
	// touched is the epoch of the last change.
	touched uint64
}

// ledger remembers admitted and sealed requests for a bounded time, counted
// in epochs. Invariant: an attempt told in epoch e is admitted only while the
// epoch is at most e+attemptEpochs, and its record is kept at least until
// epoch e+recordEpochs has passed.
type ledger struct {
	epoch   uint64
	records map[string]*record
}

func newLedger() ledger { return ledger{epoch: 1, records: map[string]*record{}} }

func (l *ledger) epochValid(told uint64) bool {
	return told <= l.epoch && l.epoch-told <= attemptEpochs
}

func (l *ledger) entry(id string) *record {
	r := l.records[id]
	if r == nil {
		r = &record{}
		l.records[id] = r
	}
	r.touched = l.epoch
	return r
}

// objection returns why the attempt must not be admitted, or "".
func (l *ledger) objection(a Attempt) outcome.Reason {
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

func (l *ledger) noteQueued(a Attempt) { l.entry(a.RequestID).queued = a.Number }

// forgetQueued notes that the attempt no longer waits and did not run.
func (l *ledger) forgetQueued(a Attempt) { l.entry(a.RequestID).queued = 0 }

func (l *ledger) noteAdmitted(a Attempt) {
	r := l.entry(a.RequestID)
	r.admitted, r.running = true, true
}

func (l *ledger) noteFinished(a Attempt, neverSent bool) {
	r := l.entry(a.RequestID)
	r.running = false
	if neverSent {
		r.admitted = false
	}
}

// advance begins the next epoch and drops old records of ended requests.
func (l *ledger) advance() {
	l.epoch++
	for id, r := range l.records {
		if !r.running && r.queued == 0 && l.epoch-r.touched > recordEpochs {
			delete(l.records, id)
		}
	}
}

// look returns the state of a request without changing it.
func (l *ledger) look(id string, told uint64) SealState {
	r := l.records[id]
	switch {
	case r == nil && (told > l.epoch || l.epoch-told > recordEpochs):
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

// Lookup reports what became of a request without sealing it. told is the
// epoch that the attempt carried.
func (g *Gate) Lookup(id string, told uint64) SealState {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ledger.look(id, told)
}

// Seal reports what became of a request. If none of its attempts up to number
// was admitted, none of them ever will be. told is the epoch that the attempt
// carried.
func (g *Gate) Seal(id string, number uint32, told uint64) SealState {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.ledger.look(id, told)
	if state != NotSeen {
		return state
	}
	r := g.ledger.entry(id)
	r.sealed = max(r.sealed, number)
	if r.queued != 0 && r.queued <= number {
		if w := g.queue.remove(Attempt{RequestID: id}); w != nil {
			calls.add(w.waiter, Refused{Reason: outcome.Sealed})
		}
		r.queued = 0
	}
	if r.queued != 0 {
		return NotSeen
	}
	return NeverAdmitted
}
