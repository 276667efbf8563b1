// Package bundle parses, validates, signs and verifies the configuration
// bundle: the versioned TOML file in which operators describe their groups,
// endpoints, failure domains, routes and client accounts.
package bundle

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Kind says whether the endpoints of a group are model engines or plain
// services.
type Kind string

// Kinds of endpoint group.
const (
	KindModel       Kind = "model"
	KindApplication Kind = "application"
)

// Bundle is one version of the operators' configuration.
type Bundle struct {
	// Version is at least 1 and exactly one higher than the previous version.
	Version        uint64          `toml:"version"`
	FailureDomains []FailureDomain `toml:"failureDomains"`
	Groups         []Group         `toml:"groups"`
	Endpoints      []Endpoint      `toml:"endpoints"`
	Routes         []Route         `toml:"routes"`
	ClientAccounts []ClientAccount `toml:"clientAccounts"`

	index index
}

// FailureDomain is a set of instances that may fail together.
type FailureDomain struct {
	// Name is unique among failure domains.
	Name string `toml:"name"`
}

// Group is a set of interchangeable endpoints.
type Group struct {
	// Name is unique among groups.
	Name string `toml:"name"`
	Kind Kind   `toml:"kind"`
	// ColdLimit is the maximum number of concurrent requests at a cold endpoint;
	// 1 <= ColdLimit <= WarmLimit.
	ColdLimit int `toml:"coldLimit"`
	// WarmLimit is the maximum number of concurrent requests at a warm endpoint.
	WarmLimit int `toml:"warmLimit"`
	// WarmAfter is the number of healthy responses after which the limit of a
	// cold endpoint may grow above ColdLimit; at least 0.
	WarmAfter int `toml:"warmAfter"`
	// Experts describes the experts of a model group; nil for groups without an
	// expert map.
	Experts *Experts `toml:"experts"`
	// QueueLimit is the maximum number of requests queued in one sidecar; at least 0.
	QueueLimit int `toml:"queueLimit"`
	// NoPrefixCache says that the endpoints do not cache prompt prefixes across
	// requests.
	NoPrefixCache bool `toml:"-"`
	// ColdFor is how long an endpoint stays cold after its start; 0 if it needs
	// no warm-up. ColdPerSecond is the request rate that it can handle while cold.
	ColdFor       time.Duration `toml:"-"`
	ColdPerSecond float64       `toml:"-"`
	// UsualCost is the work that a usual request needs; 0 if requests do not say what
	// they need.
	UsualCost float64 `toml:"-"`
}

// Experts describes the experts of a model group and the cost of moving them.
type Experts struct {
	// Layers is the number of layers and PerLayer the number of experts in each.
	Layers   int `toml:"layers"`
	PerLayer int `toml:"perLayer"`
	// RanksPerEndpoint is the number of ranks on one instance.
	RanksPerEndpoint int `toml:"ranksPerEndpoint"`
	// SlotsPerRank is the number of experts of a layer that a rank holds. The
	// slots of the whole group must suffice for every expert.
	SlotsPerRank int `toml:"slotsPerRank"`
	// Bytes is the size of one expert of one layer.
	Bytes int64 `toml:"bytes"`
	// StoreBytesPerSecond is the rate at which the group can load weights from
	// the weight store.
	StoreBytesPerSecond int64 `toml:"storeBytesPerSecond"`
	// NewPerRank is the maximum number of experts of a layer that one change of
	// the expert map adds to a rank; 0 permits none.
	NewPerRank int `toml:"-"`
	// FormTime is how long a broken group takes to form again.
	FormTime time.Duration `toml:"-"`
	// ReportLag is the greatest age of the state that a rank reports.
	ReportLag time.Duration `toml:"-"`
}

// Endpoint is one model engine or plain service.
type Endpoint struct {
	// Name is unique among endpoints.
	Name string `toml:"name"`
	// Group names an existing group.
	Group string `toml:"group"`
	// FailureDomain names an existing failure domain.
	FailureDomain string `toml:"failureDomain"`
}

// Route maps a path prefix to a group.
type Route struct {
	// Name appears in logs; it may be empty.
	Name string `toml:"name"`
	// Host is the host that requests must name; empty for any.
	Host string `toml:"host"`
	// Path is an absolute path, escaped as in requests; it matches itself and
	// everything below it.
	Path string `toml:"path"`
	// Group names an existing group. It is empty if Shares is set.
	Group string `toml:"group"`
	// Shares splits the route's requests between groups.
	Shares []Share `toml:"-"`
	// Anonymous routes need no token.
	Anonymous bool `toml:"anonymous"`
	// Stream says that a response consists of numbered events, and that a broken
	// response is resumed after the last event delivered, not at a byte offset.
	Stream bool `toml:"-"`
	// MaxAttempts is the maximum number of endpoints that one request is sent to;
	// 0 for the built-in limit.
	MaxAttempts int `toml:"maxAttempts"`
	// LatencyObjective is the time within which a response should begin; 0 for none.
	LatencyObjective time.Duration `toml:"-"`
	// MaxPause is the longest pause between two events of a stream; 0 for none.
	MaxPause time.Duration `toml:"-"`
	// Idempotent routes may be retried after a response was lost.
	Idempotent bool `toml:"idempotent"`
	// Splice permits completing a broken response with the bytes of another
	// attempt; only idempotent routes may set it.
	Splice bool `toml:"splice"`
	// Priority orders queued requests, higher first; 0 to 9.
	Priority int `toml:"priority"`
	// Timeout is the longest time that a request may take; above 0.
	Timeout time.Duration `toml:"-"`
	// TimeoutText is Timeout as written in the bundle, such as "30s".
	TimeoutText string `toml:"timeout"`
	// MaxBodyBytes is the largest request body; 1 to MaxBodyLimit.
	MaxBodyBytes int64 `toml:"maxBodyBytes"`
}

// Share is a group and the weight with which a route chooses it.
type Share struct {
	Group string
	// Weight is relative to the other shares; at least 0.
	Weight float64
}

// ClientAccount is a caller that authenticates with tokens.
type ClientAccount struct {
	// Name is unique among client accounts.
	Name string `toml:"name"`
	// TokenHashes holds the hex SHA-256 of each valid token.
	TokenHashes []string `toml:"tokenHashes"`
	// Weight is the account's relative share of a contended endpoint; at least 1.
	Weight uint32 `toml:"weight"`
	// Priority overrides the priority of the routes for the account's requests;
	// 0 to 9, or nil to keep it.
	Priority *int `toml:"priority"`
}

// MaxBodyLimit is the largest request body that a route may allow, in bytes.
const MaxBodyLimit = 2 << 20

// NewBundle returns an indexed copy of a bundle that was not parsed from TOML.
// It does not validate the content.
func NewBundle(b Bundle) *Bundle {
	b.buildIndex()
	return &b
}

// index holds lookup tables for a bundle's content.
type index struct {
	groups map[string]*Group
	// routes holds the routes of each host, the longest path first.
	routes    map[string][]*Route
	endpoints map[string]*Endpoint
	// levels holds the ranks of the requests to each group, the most urgent first. Groups
	// whose routes have the same priority have none.
	levels              map[string][]rank
	accountsByTokenHash map[string]*ClientAccount
}

func (b *Bundle) buildIndex() {
	b.index = index{
		groups:              make(map[string]*Group, len(b.Groups)),
		endpoints:           make(map[string]*Endpoint, len(b.Endpoints)),
		accountsByTokenHash: make(map[string]*ClientAccount, len(b.ClientAccounts)),
		routes:              map[string][]*Route{},
		levels:              map[string][]rank{},
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		b.index.routes[r.Host] = append(b.index.routes[r.Host], r)
	}
	b.indexLevels()
	for _, routes := range b.index.routes {
		slices.SortStableFunc(routes, func(x, y *Route) int { return len(y.Path) - len(x.Path) })
	}
	for i := range b.Groups {
		b.index.groups[b.Groups[i].Name] = &b.Groups[i]
	}
	for i := range b.Endpoints {
		b.index.endpoints[b.Endpoints[i].Name] = &b.Endpoints[i]
	}
	for i := range b.ClientAccounts {
		for _, hash := range b.ClientAccounts[i].TokenHashes {
			b.index.accountsByTokenHash[hash] = &b.ClientAccounts[i]
		}
	}
}

// Group returns the group with the given name, or nil.
func (b *Bundle) Group(name string) *Group { return b.index.groups[name] }

// Endpoint returns the endpoint with the given name, or nil.
func (b *Bundle) Endpoint(name string) *Endpoint { return b.index.endpoints[name] }

// EndpointNames returns the names of a group's endpoints in the order of the
// bundle.
func (b *Bundle) EndpointNames(group string) []string {
	names := []string{}
	for i := range b.Endpoints {
		if b.Endpoints[i].Group == group {
			names = append(names, b.Endpoints[i].Name)
		}
	}
	return names
}

// HasFailureDomain reports whether the bundle defines the failure domain.
func (b *Bundle) HasFailureDomain(name string) bool {
	for i := range b.FailureDomains {
		if b.FailureDomains[i].Name == name {
			return true
		}
	}
	return false
}

// AccountByToken returns the client account that owns the token, or nil.
func (b *Bundle) AccountByToken(token string) *ClientAccount {
	return b.index.accountsByTokenHash[HashToken(token)]
}

// Route returns the route with the longest path that matches, or nil. Routes of
// the host take precedence over routes for any host. The path is escaped as in the
// request: an encoded slash is part of a segment.
func (b *Bundle) Route(host, path string) *Route {
	for _, routes := range [][]*Route{b.index.routes[host], b.index.routes[""]} {
		for _, r := range routes {
			if r.matches(path) {
				return r
			}
		}
	}
	return nil
}

func (r *Route) matches(path string) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	return len(path) == len(r.Path) || strings.HasSuffix(r.Path, "/") || path[len(r.Path)] == '/'
}

// PickGroup returns the group that serves a request of the route, chosen by the
// weights of Shares. The random number is uniform in [0, 1).
func (r *Route) PickGroup(random float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	remaining := random * total
	for _, s := range r.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Group
		}
	}
	return r.Group
}

// HashToken returns the hex SHA-256 of a caller's token.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
