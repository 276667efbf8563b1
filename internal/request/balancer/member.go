// Package choice decides which endpoint of a group an attempt goes to.
package balancer

import "sync/atomic"

// Member is one endpoint as an entry sees it. Its state is updated by the
// link to its sidecar while requests read it.
type Member struct {
	// Name and FailureDomain never change.
	Name          string
	FailureDomain string

	// open is true while the gate admits work, up while the link has a
	// stream, held while an order forbids new work.
	open atomic.Bool
	up   atomic.Bool
	held atomic.Bool
	// limit and reported are from the last gate state; reported counts
	// requests running and waiting.
	limit    atomic.Int32
	reported atomic.Int32
	// own counts this entry's requests; ownAtReport is its value when the
	// last gate state came.
	own         atomic.Int32
	ownAtReport atomic.Int32
	// Warmup bounds the requests to a cold endpoint that no gate protects; nil
	// if a gate does.
	Warmup *WarmupLimiter
	// Usable reports whether what the endpoint depends on works; nil if it
	// depends on nothing.
	Usable func() bool
	// Slowness returns the endpoint's time for its work as a multiple of the
	// usual; nil if it does not say.
	Slowness func() float64
}

// NewMember returns a member that is not eligible before its first gate state.
func NewMember(name, failureDomain string) *Member {
	return &Member{Name: name, FailureDomain: failureDomain}
}

// ApplyGateState applies a gate state.
func (m *Member) ApplyGateState(limit, working int, open bool) {
	m.limit.Store(int32(limit))
	m.reported.Store(int32(working))
	m.ownAtReport.Store(m.own.Load())
	m.open.Store(open)
	m.up.Store(true)
}

// ApplyAnnouncement takes what an endpoint says of itself without a gate: its limit and
// whether it takes work. Its load is what this entry sent to it.
func (m *Member) ApplyAnnouncement(limit int, open bool) {
	m.limit.Store(int32(limit))
	m.open.Store(open)
}

// MarkUp notes that the endpoint can be reached again.
func (m *Member) MarkUp() { m.up.Store(true) }

// IsUp reports whether the endpoint can be reached.
func (m *Member) IsUp() bool { return m.up.Load() }

// HasLimit reports whether the member was ever updated.
func (m *Member) HasLimit() bool { return m.limit.Load() > 0 }

// MarkDown notes that the link has no stream.
func (m *Member) MarkDown() { m.up.Store(false) }

// SetHeld notes whether an order forbids new work.
func (m *Member) SetHeld(held bool) { m.held.Store(held) }

// Begin counts a request of this entry.
func (m *Member) Begin() { m.own.Add(1) }

// End ends a request of this entry.
func (m *Member) End() { m.own.Add(-1) }

func (m *Member) eligible() bool {
	return m.open.Load() && m.up.Load() && !m.held.Load() && (m.Usable == nil || m.Usable()) && (m.Warmup == nil || m.Warmup.Ready())
}

// OwnRequests returns this entry's requests at the endpoint.
func (m *Member) OwnRequests() int { return int(m.own.Load()) }

// working estimates the requests at the endpoint now: the last report and the
// change in own requests since.
func (m *Member) working() float64 {
	return max(0, float64(m.reported.Load()+m.own.Load()-m.ownAtReport.Load()))
}

// load is the estimated work per unit of limit, including one more request.
func (m *Member) load() float64 {
	load := (m.working() + 1) / float64(max(1, m.limit.Load()))
	if m.Slowness != nil {
		load *= m.Slowness()
	}
	return load
}
