// Package balancer picks the endpoint of a group to which an attempt goes.
package balancer

import (
	"sync/atomic"
	"time"
)

// Member is one endpoint as an entry sees it. Its state is updated while
// requests read it.
type Member struct {
	// Name and FailureDomain never change.
	Name          string
	FailureDomain string

	// open is true while the endpoint or its gate admits work, up while it can be
	// reached, held while an operator's order forbids new work.
	open atomic.Bool
	up   atomic.Bool
	held atomic.Bool
	// limit and reported are from the last gate state; reported counts the
	// requests that run or wait at the endpoint.
	limit    atomic.Int32
	reported atomic.Int32
	// own counts this entry's requests at the endpoint; ownAtReport is its value
	// when the last gate state came.
	own         atomic.Int32
	ownAtReport atomic.Int32
	// others counts the requests of other entries at the endpoint some time ago, and
	// othersAt is when that was learned, in nanoseconds since the Unix epoch.
	others   atomic.Int32
	othersAt atomic.Int64
	// Warmup limits the requests to a cold endpoint that has no gate; nil if the
	// endpoint has a gate.
	Warmup *WarmupLimiter
	// pausedUntil is until when the endpoint wants no requests from this entry; nil
	// before the first pause.
	pausedUntil atomic.Pointer[time.Time]
	// RequestLimit limits the requests to an endpoint that names a limit.
	RequestLimit RequestLimiter
	// failures are the attempts that failed here lately.
	failures failureCount
	// Lockstep is the group of a rank in lock-step; nil for other endpoints.
	Lockstep *Lockstep
	// Usable reports whether what the endpoint depends on works, such as its rank
	// group; nil if it depends on nothing.
	Usable func() bool
	// Slowness returns how long the endpoint takes as a multiple of the usual time;
	// nil if unknown.
	Slowness func() float64
}

// NewMember returns a member that is not eligible before its first update.
func NewMember(name, failureDomain string) *Member {
	return &Member{Name: name, FailureDomain: failureDomain}
}

// ApplyGateState stores a report of the endpoint's gate: its limit, the requests
// that run or wait there, and whether it admits work.
func (m *Member) ApplyGateState(limit, outstanding int, open bool) {
	m.limit.Store(int32(limit))
	m.reported.Store(int32(outstanding))
	m.ownAtReport.Store(m.own.Load())
	m.open.Store(open)
	m.up.Store(true)
}

// ApplyAnnouncement stores the limit of an endpoint without a gate and whether it
// takes work. Only this entry's own requests count as its load.
func (m *Member) ApplyAnnouncement(limit int, open bool) {
	m.limit.Store(int32(limit))
	m.open.Store(open)
}

// Close records that the endpoint takes no new work until the next announcement.
func (m *Member) Close() { m.open.Store(false) }

// PauseUntil keeps requests from the endpoint until a time. It reports whether that ends
// later than an earlier pause.
func (m *Member) PauseUntil(then time.Time) bool {
	for {
		before := m.pausedUntil.Load()
		if before != nil && !then.After(*before) {
			return false
		}
		if m.pausedUntil.CompareAndSwap(before, &then) {
			return true
		}
	}
}

// PausedFor returns how much longer the endpoint wants no requests; 0 if it takes some.
func (m *Member) PausedFor() time.Duration {
	until := m.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(0, time.Until(*until))
}

// othersLifetime is how long counts of the requests of other entries are used.
const othersLifetime = 2 * time.Second

// ApplyOthers stores the number of requests of other entries at an endpoint without a
// gate.
func (m *Member) ApplyOthers(requests int) {
	m.others.Store(int32(requests))
	m.othersAt.Store(time.Now().UnixNano())
}

// OthersRequests returns the requests of other entries at the endpoint; 0 if they are not
// known.
func (m *Member) OthersRequests() int {
	if time.Since(time.Unix(0, m.othersAt.Load())) > othersLifetime {
		return 0
	}
	return int(m.others.Load())
}

// othersLoad estimates the requests of other entries as a share of the limit.
func (m *Member) othersLoad() float64 {
	return float64(m.OthersRequests()) / float64(max(1, m.limit.Load()))
}

// MarkUp records that the endpoint can be reached.
func (m *Member) MarkUp() { m.up.Store(true) }

// IsUp reports whether the endpoint can be reached.
func (m *Member) IsUp() bool { return m.up.Load() }

// HasLimit reports whether the endpoint's limit is known from a gate state or an
// announcement.
func (m *Member) HasLimit() bool { return m.limit.Load() > 0 }

// MarkDown records that the endpoint cannot be reached.
func (m *Member) MarkDown() { m.up.Store(false) }

// SetHeld records whether an operator's order forbids new work.
func (m *Member) SetHeld(held bool) { m.held.Store(held) }

// BeginRequest counts one more request of this entry at the endpoint.
func (m *Member) BeginRequest() { m.own.Add(1) }

// EndRequest counts one request less. Call it once for each BeginRequest.
func (m *Member) EndRequest() { m.own.Add(-1) }

// IsUsable reports whether the endpoint takes requests, apart from pauses and limits on
// its rate.
func (m *Member) IsUsable() bool {
	return m.open.Load() && m.up.Load() && !m.held.Load() && (m.Usable == nil || m.Usable())
}

// eligible reports whether a request may be sent to the endpoint now.
func (m *Member) eligible() bool {
	return m.IsUsable() && m.PausedFor() == 0 && (m.Warmup == nil || m.Warmup.Ready()) && m.RequestLimit.Ready()
}

// Take uses up one request of the limits on the endpoint's rate and reports whether it may
// be sent.
func (m *Member) Take() bool {
	return (m.Warmup == nil || m.Warmup.Take()) && m.RequestLimit.Take()
}

// RecordFailure counts an attempt that the endpoint failed or refused.
func (m *Member) RecordFailure() { m.failures.add() }

// OwnRequests returns the number of this entry's requests at the endpoint.
func (m *Member) OwnRequests() int { return int(m.own.Load()) }

// outstanding estimates the requests at the endpoint now: those in the last
// report and the change in this entry's own requests since.
func (m *Member) outstanding() float64 {
	return max(0, float64(m.reported.Load()+m.own.Load()-m.ownAtReport.Load()))
}

// load estimates the outstanding requests, with one more, as a share of the limit,
// scaled by the endpoint's slowness.
func (m *Member) load() float64 {
	load := (m.outstanding() + 1) / float64(max(1, m.limit.Load()))
	if m.Slowness != nil {
		load *= m.Slowness()
	}
	return load
}
