// Package roster describes the endpoints that serve at a moment, where they
// announce themselves instead of standing in the bundle.
package roster

import (
	"net/netip"
	"time"
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	// Name is unique among the endpoints of a moment. One that starts again may
	// keep it.
	Name          string
	Group         string
	FailureDomain string
	Address       netip.AddrPort
	// Slots is the number of requests that it runs at once; at least 1.
	Slots int
	// Leaving is true once it takes no new work.
	Leaving bool
	// ColdFor is how much longer it is cold, counted from Revision's time.
	ColdFor time.Duration
	// StartedAt tells incarnations with the same name apart.
	StartedAt time.Time
	// Membership is the rank's place in a lock-step group; nil for other endpoints.
	Membership *Membership
	// Revision is that of the announcement.
	Revision uint64
}

// Membership is a rank's place in a lock-step group.
type Membership struct {
	// Group names the group, Epoch its formation.
	Group string
	Epoch uint64
	// Rank is below Size.
	Rank, Size int
	// Ready is false while the group cannot run.
	Ready bool
}
