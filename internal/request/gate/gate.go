// Package gate decides what work an endpoint receives: it bounds concurrent
// requests, orders those that wait, remembers what it admitted, and promises
// never to admit what was sealed.
package gate

import (
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
)

// Attempt describes one attempt at a request as it reaches the gate.
type Attempt struct {
	RequestID string
	// Number counts the attempts at a request from 1.
	Number  uint32
	Account string
	// Weight is the account's share; at least 1.
	Weight     uint32
	Priority   int
	Idempotent bool
	// Deadline is on the runtime's clock.
	Deadline time.Time
	// Incarnation is that of the sidecar the attempt was meant for.
	Incarnation string
	// Epoch is the admission epoch in which the entry last heard from the gate.
	Epoch uint64
}

// Decision is the gate's answer to an attempt: Admitted, Queued or Refused.
type Decision interface{ isDecision() }

// Admitted says that the attempt may go to the endpoint now.
type Admitted struct{}

// Queued says that the waiter will be told later.
type Queued struct{}

// Refused says that the attempt did not and will not run.
type Refused struct{ Reason outcome.Reason }

func (Admitted) isDecision() {}
func (Queued) isDecision()   {}
func (Refused) isDecision()  {}

// Callback receives the later verdict on a queued attempt, Admitted or Refused,
// exactly once. It must not block or call the gate.
type Callback func(Decision)

// AdmissionCheck returns why no new work may be admitted at this moment, or "". With
// evict, waiting work is refused too. The gate asks it at each admission, so
// that a process that was paused cannot admit on an old view.
type AdmissionCheck func() (reason outcome.Reason, evict bool)

// Config bounds a gate.
type Config struct {
	// ColdLimit and WarmLimit bound concurrent requests; 1 <= ColdLimit <= WarmLimit.
	ColdLimit, WarmLimit int
	// WarmAfter is the number of healthy answers that a cold endpoint needs
	// before its limit may grow; at least 0.
	WarmAfter int
	// QueueLimit bounds waiting requests.
	QueueLimit int
}

// State is a snapshot of a gate.
type State struct {
	Limit    int
	InFlight int
	Queued   int
	Warm     bool
	Open     bool
	Epoch    uint64
}

// Gate is safe for concurrent use.
type Gate struct {
	incarnation string

	mu       sync.Mutex
	limiter  limiter
	queue    queue
	ledger   ledger
	inFlight int
	// foreign is work at the endpoint that an earlier incarnation admitted.
	foreign foreignWork
	// known is true from the first load report on.
	known bool
	// reported is false until the first load report of this incarnation.
	reported bool
	barrier  AdmissionCheck
	// closed is the barrier's reason when it was last asked.
	closed outcome.Reason
	// service is the smoothed time from admission to completion.
	service time.Duration
}

// NewGate returns a cold gate that admits nothing before its first load report.
func NewGate(incarnation string, c Config, b AdmissionCheck) *Gate {
	return &Gate{
		incarnation: incarnation,
		barrier:     b,
		limiter:     newLimiter(c.ColdLimit, c.WarmLimit, c.WarmAfter),
		queue:       newQueue(c.QueueLimit),
		ledger:      newLedger(),
	}
}

// Submit asks for admission. The waiter is used only if the verdict is Queued.
func (g *Gate) Submit(a Attempt, w Callback) Decision {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.refusal(a); reason != "" {
		return Refused{Reason: reason}
	}
	if g.free() && g.queue.len() == 0 {
		g.admit(a)
		return Admitted{}
	}
	if time.Until(a.Deadline) < g.expectedWait() {
		return Refused{Reason: outcome.DeadlineTooShort}
	}
	return g.enqueue(a, w, &calls)
}

// refusal returns why the attempt cannot even wait, or "".
func (g *Gate) refusal(a Attempt) outcome.Reason {
	switch {
	case a.Incarnation != g.incarnation:
		return outcome.WrongIncarnation
	case !g.ledger.epochValid(a.Epoch):
		return outcome.OldEpoch
	case !g.reported:
		return outcome.NotReady
	case !a.Deadline.After(time.Now()):
		return outcome.DeadlineTooShort
	}
	if reason, _ := g.askBarrier(); reason != "" {
		return reason
	}
	return g.ledger.objection(a)
}

func (g *Gate) enqueue(a Attempt, w Callback, calls *notices) Decision {
	evicted, ok := g.queue.push(a, w)
	if !ok {
		return Refused{Reason: outcome.QueueFull}
	}
	if evicted != nil {
		g.ledger.forgetQueued(evicted.attempt)
		calls.add(evicted.waiter, Refused{Reason: outcome.QueueFull})
	}
	g.ledger.noteQueued(a)
	return Queued{}
}

func (g *Gate) free() bool { return g.inFlight+g.foreign.count < g.limiter.current() }

func (g *Gate) admit(a Attempt) {
	g.foreign.observe(g.inFlight)
	g.inFlight++
	g.ledger.noteAdmitted(a)
}

// expectedWait estimates the time until one more waiting request starts.
func (g *Gate) expectedWait() time.Duration {
	rounds := g.queue.len()/g.limiter.current() + 1
	return time.Duration(rounds) * g.service
}

// Completion describes the end of an admitted attempt.
type Completion struct {
	// Healthy is false if the endpoint broke or could not be reached.
	Healthy bool
	// NeverSent is true if no byte of the request reached the endpoint.
	NeverSent bool
	// FirstByte is the time from admission to the first byte of the answer.
	FirstByte time.Duration
	// Total is the time from admission to the end of the answer.
	Total time.Duration
}

// Finish ends an admitted attempt. An endpoint that could not be reached
// receives nothing until it reports again.
func (g *Gate) Finish(a Attempt, c Completion) {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.foreign.observe(g.inFlight)
	g.ledger.noteFinished(a, c.NeverSent)
	if c.Healthy {
		g.service = smooth(g.service, c.Total)
		g.limiter.healthy(c.FirstByte)
	} else {
		g.limiter.fallCold()
		g.reported = g.reported && !c.NeverSent
	}
	g.release(&calls)
}

// Withdraw removes a queued attempt. It reports whether it was still queued.
func (g *Gate) Withdraw(a Attempt) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.remove(a) == nil {
		return false
	}
	g.ledger.forgetQueued(a)
	return true
}

// Configure applies new bounds. Lower bounds take effect at once.
func (g *Gate) Configure(c Config) {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.configure(c.ColdLimit, c.WarmLimit, c.WarmAfter)
	g.queue.limit = c.QueueLimit
	g.release(&calls)
}

// ApplyLoadReport applies a load report of the endpoint: whether it restarted since
// the last one, and how many requests it is running.
func (g *Gate) ApplyLoadReport(restarted bool, running int) {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	if restarted || !g.reported {
		g.limiter.fallCold()
	}
	g.reported = true
	switch {
	case !g.known:
		g.foreign.first(running)
		g.known = true
	case restarted:
		g.foreign.first(0)
	default:
		g.foreign.report(running, g.inFlight)
	}
	g.release(&calls)
}

// LoadReportsMissing notes that load reports stopped: the endpoint counts as cold
// and receives nothing until it reports again.
func (g *Gate) LoadReportsMissing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported = false
	g.limiter.fallCold()
}

// Tick refuses waiting work whose deadline passed, or all of it if the
// barrier says so, and admits what became admissible. Call it several times a
// second.
func (g *Gate) Tick() {
	calls := notices{}
	defer calls.send()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason, evict := g.askBarrier(); reason != "" && evict {
		g.refuseWaiting(g.queue.drain(), reason, &calls)
		return
	}
	g.refuseWaiting(g.queue.expire(time.Now()), outcome.DeadlineTooShort, &calls)
	g.release(&calls)
}

func (g *Gate) refuseWaiting(all []*waiting, reason outcome.Reason, calls *notices) {
	for _, w := range all {
		g.ledger.forgetQueued(w.attempt)
		calls.add(w.waiter, Refused{Reason: reason})
	}
}

// AdvanceEpoch begins the next admission epoch and drops records that no
// valid attempt or seal can still refer to.
func (g *Gate) AdvanceEpoch() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.advance()
}

// release admits waiting work while there is room. During a drain, work that
// waited before still starts.
func (g *Gate) release(calls *notices) {
	if reason, evict := g.askBarrier(); !g.reported || evict || reason == outcome.StaleView {
		return
	}
	for g.free() {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.ledger.forgetQueued(w.attempt)
		if !w.attempt.Deadline.After(time.Now()) {
			calls.add(w.waiter, Refused{Reason: outcome.DeadlineTooShort})
			continue
		}
		g.admit(w.attempt)
		calls.add(w.waiter, Admitted{})
	}
}

func (g *Gate) askBarrier() (reason outcome.Reason, evict bool) {
	reason, evict = g.barrier()
	g.closed = reason
	return reason, evict
}

// State returns a snapshot. Whether the gate is open is as of the last
// admission or tick.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return State{
		Limit:    g.limiter.current(),
		InFlight: g.inFlight + g.foreign.count,
		Queued:   g.queue.len(),
		Warm:     g.limiter.warmed(),
		Open:     g.closed == "" && g.reported,
		Epoch:    g.ledger.epoch,
	}
}

// notices collects waiter calls so that they happen outside the lock.
type notices struct{ pending []func() }

func (n *notices) add(w Callback, v Decision) {
	n.pending = append(n.pending, func() { w(v) })
}

func (n *notices) send() {
	for _, f := range n.pending {
		f()
	}
}
