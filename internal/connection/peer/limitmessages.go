package peer

import (
	"math"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
)

// Limits exchanges the limits that endpoints name on the requests of all processes.
type Limits interface {
	// Limits returns limits that this process knows.
	Limits() []balancer.NamedLimit
	// ApplyLimits applies limits that another process knows.
	ApplyLimits(limits []balancer.NamedLimit)
}

// limitsToWire converts limits to their messages.
func limitsToWire(limits []balancer.NamedLimit) []*wire.EndpointLimit {
	messages := make([]*wire.EndpointLimit, len(limits))
	for i, l := range limits {
		messages[i] = &wire.EndpointLimit{Endpoint: l.Endpoint, PerSecond: l.PerSecond, Age: ageToWire(l.NamedAt)}
	}
	return messages
}

// limitsFromWire converts messages to limits. It ignores those that are no limits.
func limitsFromWire(messages []*wire.EndpointLimit) []balancer.NamedLimit {
	limits := make([]balancer.NamedLimit, 0, len(messages))
	for _, m := range messages {
		if m.GetAge() == nil || !(m.GetPerSecond() >= 0) || math.IsInf(m.GetPerSecond(), 1) {
			continue
		}
		limits = append(limits, balancer.NamedLimit{Endpoint: m.GetEndpoint(), PerSecond: m.GetPerSecond(), NamedAt: ageFromWire(m.GetAge())})
	}
	return limits
}
