// Package roster describes endpoints that announce themselves in the store instead
// of being listed in the bundle.
package roster

import (
	"net/netip"
	"time"

	"github.com/cicadareel/cicadareel/internal/table"
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	// Name is unique among the endpoints that exist at one time. An endpoint that
	// restarts may keep its name.
	Name          string
	Group         string
	FailureDomain string
	Address       netip.AddrPort
	// Slots is the number of requests that it runs concurrently; at least 1.
	Slots int
	// Leaving is true once it accepts no new work.
	Leaving bool
	// ColdFor is how much longer it is cold, counted from the time of Revision.
	ColdFor time.Duration
	// StartedAt distinguishes incarnations with the same name.
	StartedAt time.Time
	// Membership is nil for an endpoint outside lock-step groups.
	Membership *Membership
	// Revision is the revision of the announcement.
	Revision table.Revision
}

// Membership is a rank's membership in a lock-step group.
type Membership struct {
	// Group names the group. Epoch increases each time that it forms.
	Group string
	Epoch uint64
	// Rank is less than Size.
	Rank, Size int
	// Ready is false while the group cannot run.
	Ready bool
}
