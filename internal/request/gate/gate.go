// Package gate controls the admission of requests to an endpoint: it limits
// concurrent requests, queues those that must wait, records what it admitted, and
// seals attempts. A sealed attempt was never admitted and never will be.
package gate

import (
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Attempt is one attempt at a request as it reaches the gate.
type Attempt struct {
	RequestID string
	// Number counts the attempts at the request from 1.
	Number  uint32
	Account string
	// Weight is the account's weight in fair queueing; at least 1.
	Weight     uint32
	Priority   int
	Idempotent bool
	// Deadline is on the clock of this process.
	Deadline time.Time
	// Incarnation identifies the sidecar process for which the attempt was meant.
	Incarnation string
	// Epoch is the latest admission epoch of the gate that the entry knew.
	Epoch uint64
}

// Decision is the gate's decision on an attempt: Admitted, Queued or Refused.
type Decision interface{ isDecision() }

// Admitted says that the attempt may go to the endpoint now.
type Admitted struct{}

// Queued says that the callback receives the decision later.
type Queued struct{}

// Refused says that the attempt did not and will not run.
type Refused struct{ Reason outcome.Reason }

func (Admitted) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Callback receives the later decision on a queued attempt, Admitted or Refused,
// exactly once. It must not block or call the gate.
type Callback func(Decision)

// AdmissionCheck returns why no new work may be admitted now, or "". With evict,
// waiting work is refused too. The gate calls it at each admission, so that a
// process that was paused does not admit work by an outdated view.
type AdmissionCheck func() (reason outcome.Reason, evict bool)

// Config holds the limits of a gate.
type Config struct {
	// ColdLimit and WarmLimit bound concurrent requests; 1 <= ColdLimit <= WarmLimit.
	ColdLimit, WarmLimit int
	// WarmAfter is the number of healthy responses of a cold endpoint after which its
	// limit may grow; at least 0.
	WarmAfter int
	// QueueLimit bounds the waiting requests.
	QueueLimit int
}

// State is a snapshot of a gate.
type State struct {
	Limit int
	// InFlight includes the work that an earlier sidecar process admitted.
	InFlight int
	Queued   int
	// Warm is true while Limit is the warm limit.
	Warm bool
	// Open is true while the gate admits new work.
	Open bool
	// Epoch is the present admission epoch.
	Epoch uint64
}

// Gate admits attempts to one endpoint. It is safe for concurrent use.
type Gate struct {
	incarnation string

	mu       sync.Mutex
	limiter  limiter
	queue    queue
	ledger   ledger
	inFlight int
	// inherited is the work at the endpoint that an earlier sidecar process admitted.
	inherited inheritedWork
	// everReported is true from the first load report on.
	everReported bool
	// reporting is true while load reports come. Without them, nothing is admitted.
	reporting bool
	check     AdmissionCheck
	// closedReason is the reason that the last check returned.
	closedReason outcome.Reason
	// serviceTime is the moving average of the time from admission to completion.
	serviceTime time.Duration
}

// NewGate returns a gate at its cold limit that admits nothing before its first load
// report.
func NewGate(incarnation string, c Config, check AdmissionCheck) *Gate {
	return &Gate{
		incarnation: incarnation,
		check:       check,
		limiter:     newLimiter(c.ColdLimit, c.WarmLimit, c.WarmAfter),
		queue:       newQueue(c.QueueLimit),
		ledger:      newLedger(),
	}
}

// Submit decides on an attempt. The callback is called only if that is Queued.
func (g *Gate) Submit(a Attempt, c Callback) Decision {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.refusalReason(a); reason != "" {
		return Refused{Reason: reason}
	}
	if g.hasRoom() && g.queue.len() == 0 {
		g.admit(a)
		return Admitted{}
	}
	if time.Until(a.Deadline) < g.expectedWait() {
		return Refused{Reason: outcome.DeadlineTooShort}
	}
	return g.enqueue(a, c, &calls)
}

// refusalReason returns why the attempt may be neither admitted nor queued, or "".
func (g *Gate) refusalReason(a Attempt) outcome.Reason {
	switch {
	case a.Incarnation != g.incarnation:
		return outcome.WrongIncarnation
	case !g.ledger.epochValid(a.Epoch):
		return outcome.OldEpoch
	case !g.reporting:
		return outcome.NotReady
	case !a.Deadline.After(time.Now()):
		return outcome.DeadlineTooShort
	}
	if reason, _ := g.runCheck(); reason != "" {
		return reason
	}
	return g.ledger.refusalReason(a)
}

// enqueue queues the attempt, or refuses it if the queue is full.
func (g *Gate) enqueue(a Attempt, c Callback, calls *callbacks) Decision {
	evicted, ok := g.queue.push(a, c)
	if !ok {
		return Refused{Reason: outcome.QueueFull}
	}
	if evicted != nil {
		g.ledger.clearQueued(evicted.attempt)
		calls.add(evicted.callback, Refused{Reason: outcome.QueueFull})
	}
	g.ledger.markQueued(a)
	return Queued{}
}

// hasRoom reports whether the limit allows one more request.
func (g *Gate) hasRoom() bool { return g.inFlight+g.inherited.count < g.limiter.current() }

// admit counts the attempt as in flight and records its admission.
func (g *Gate) admit(a Attempt) {
	g.inherited.observe(g.inFlight)
	g.inFlight++
	g.ledger.markAdmitted(a)
}

// expectedWait estimates the time until one more queued request starts.
func (g *Gate) expectedWait() time.Duration {
	rounds := g.queue.len()/g.limiter.current() + 1
	return time.Duration(rounds) * g.serviceTime
}

// Completion describes the end of an admitted attempt.
type Completion struct {
	// Healthy is false if the endpoint broke or could not be reached.
	Healthy bool
	// NeverSent is true if no byte of the request reached the endpoint.
	NeverSent bool
	// FirstByte is the time from admission to the first byte of the response.
	FirstByte time.Duration
	// Total is the time from admission to the end of the response.
	Total time.Duration
}

// Finish records the end of an admitted attempt. An endpoint that could not be
// reached receives nothing until its next load report.
func (g *Gate) Finish(a Attempt, c Completion) {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.inherited.observe(g.inFlight)
	g.ledger.markFinished(a, c.NeverSent)
	if c.Healthy {
		g.serviceTime = smooth(g.serviceTime, c.Total)
		g.limiter.recordHealthy(c.FirstByte)
	} else {
		g.limiter.resetToCold()
		g.reporting = g.reporting && !c.NeverSent
	}
	g.admitWaiting(&calls)
}

// Withdraw removes a queued attempt. It reports whether it was still queued.
func (g *Gate) Withdraw(a Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(a) == nil {
		return false
	}
	g.ledger.clearQueued(a)
	return true
}

// Configure sets new limits. Lower limits take effect at once.
func (g *Gate) Configure(c Config) {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.configure(c.ColdLimit, c.WarmLimit, c.WarmAfter)
	g.queue.limit = c.QueueLimit
	g.admitWaiting(&calls)
}

// ApplyLoadReport applies a load report of the endpoint: whether it restarted since
// the last one, and how many requests it runs.
func (g *Gate) ApplyLoadReport(restarted bool, running int) {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	if restarted || !g.reporting {
		g.limiter.resetToCold()
	}
	g.reporting = true
	switch {
	case !g.everReported:
		g.inherited.reset(running)
		g.everReported = true
	case restarted:
		g.inherited.reset(0)
	default:
		g.inherited.update(running, g.inFlight)
	}
	g.admitWaiting(&calls)
}

// LoadReportsMissing records that load reports stopped: the endpoint counts as cold
// and receives nothing until its next report.
func (g *Gate) LoadReportsMissing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reporting = false
	g.limiter.resetToCold()
}

// Tick refuses queued attempts whose deadline passed, or all of them if the check
// evicts them, and admits what became admissible. Call it several times a second.
func (g *Gate) Tick() {
	calls := callbacks{}
	defer calls.run()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason, evict := g.runCheck(); reason != "" && evict {
		g.refuseWaiting(g.queue.removeAll(), reason, &calls)
		return
	}
	g.refuseWaiting(g.queue.removeExpired(time.Now()), outcome.DeadlineTooShort, &calls)
	g.admitWaiting(&calls)
}

// refuseWaiting refuses attempts that were removed from the queue.
func (g *Gate) refuseWaiting(all []*waitingAttempt, reason outcome.Reason, calls *callbacks) {
	for _, w := range all {
		g.ledger.clearQueued(w.attempt)
		calls.add(w.callback, Refused{Reason: reason})
	}
}

// AdvanceEpoch starts the next admission epoch and drops records that no valid
// attempt or seal can still refer to.
func (g *Gate) AdvanceEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.advance()
}

// admitWaiting admits queued attempts while there is room. During a drain, attempts
// that were queued before still start.
func (g *Gate) admitWaiting(calls *callbacks) {
	if reason, evict := g.runCheck(); !g.reporting || evict || reason == outcome.StaleView {
		return
	}
	for g.hasRoom() {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.ledger.clearQueued(w.attempt)
		if !w.attempt.Deadline.After(time.Now()) {
			calls.add(w.callback, Refused{Reason: outcome.DeadlineTooShort})
			continue
		}
		g.admit(w.attempt)
		calls.add(w.callback, Admitted{})
	}
}

// runCheck calls the admission check and stores its reason for State.
func (g *Gate) runCheck() (reason outcome.Reason, evict bool) {
	reason, evict = g.check()
	g.closedReason = reason
	return reason, evict
}

// State returns a snapshot. Open reflects the admission check of the last attempt,
// report or tick.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Limit:    g.limiter.current(),
		InFlight: g.inFlight + g.inherited.count,
		Queued:   g.queue.len(),
		Warm:     g.limiter.isWarm(),
		Open:     g.closedReason == "" && g.reporting,
		Epoch:    g.ledger.epoch,
	}
}

// callbacks collects callbacks with their decisions, to be called once the lock is
// released.
type callbacks struct{ pending []func() }

func (c *callbacks) add(callback Callback, d Decision) {
	c.pending = append(c.pending, func() { callback(d) })
}

func (c *callbacks) run() {
	for _, f := range c.pending {
		f()
	}
}
