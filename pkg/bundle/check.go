package bundle

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"
)

const (
	maxPriority     = 9
	tokenHashLength = 64 // hex digits of a SHA-256
)

// checker collects the problems of a bundle.
type checker struct {
	// lines maps key paths to line numbers.
	lines    map[string]int
	problems []Problem
}

func newChecker(lines map[string]int) *checker { return &checker{lines: lines} }

// add records a problem with a key of a table, at the line of the key or, if the
// key is missing, of the table.
func (c *checker) add(table, key, format string, args ...any) {
	path := joinKey(table, key)
	line, ok := c.lines[path]
	if !ok {
		line = c.lines[table]
	}
	c.problems = append(c.problems, Problem{Line: line, Key: path, Text: fmt.Sprintf(format, args...)})
}

// require records a problem unless ok.
func (c *checker) require(ok bool, table, key, format string, args ...any) {
	if !ok {
		c.add(table, key, format, args...)
	}
}

func (c *checker) check(b *Bundle) {
	c.require(b.Version >= 1, "", "version", "must be at least 1")
	domains := c.checkFailureDomains(b)
	groups := c.checkGroups(b)
	c.checkEndpoints(b, groups, domains)
	c.checkRoutes(b, groups)
	c.checkClientAccounts(b)
}

// checkName checks a name and adds it to seen, the names of the same kind.
func (c *checker) checkName(seen map[string]bool, table, name string) {
	c.require(name != "", table, "name", "must not be empty")
	c.require(!strings.ContainsAny(name, "/ \t\n"), table, "name", "must not contain spaces, tabs, newlines or slashes")
	c.require(!seen[name], table, "name", "%q is already used", name)
	seen[name] = true
}

// checkFailureDomains returns the names of the failure domains.
func (c *checker) checkFailureDomains(b *Bundle) map[string]bool {
	seen := map[string]bool{}
	c.require(len(b.FailureDomains) > 0, "", "failureDomains", "at least one is required")
	for i, d := range b.FailureDomains {
		c.checkName(seen, fmt.Sprintf("failureDomains[%d]", i), d.Name)
	}
	return seen
}

// checkGroups returns the names of the groups.
func (c *checker) checkGroups(b *Bundle) map[string]bool {
	seen := map[string]bool{}
	for i, g := range b.Groups {
		table := fmt.Sprintf("groups[%d]", i)
		c.checkName(seen, table, g.Name)
		c.require(g.Kind == KindModel || g.Kind == KindApplication, table, "kind", "must be %q or %q", KindModel, KindApplication)
		c.require(g.ColdLimit >= 1, table, "coldLimit", "must be at least 1")
		c.require(g.WarmLimit >= g.ColdLimit, table, "warmLimit", "must be at least coldLimit")
		c.require(g.WarmAfter >= 0, table, "warmAfter", "must not be negative")
		c.checkExperts(b, &g, table)
		c.require(g.QueueLimit >= 0, table, "queueLimit", "must not be negative")
	}
	return seen
}

func (c *checker) checkExperts(b *Bundle, g *Group, table string) {
	e := g.Experts
	if e == nil {
		return
	}
	table = joinKey(table, "experts")
	c.require(g.Kind == KindModel, table, "layers", "experts require a group of kind %q", KindModel)
	c.require(e.Layers >= 1 && e.PerLayer >= 1, table, "layers", "layers and perLayer must be at least 1")
	c.require(e.RanksPerEndpoint >= 1 && e.SlotsPerRank >= 1, table, "slotsPerRank", "ranksPerEndpoint and slotsPerRank must be at least 1")
	c.require(e.Bytes >= 1 && e.StoreBytesPerSecond >= 1, table, "bytes", "bytes and storeBytesPerSecond must be at least 1")
	endpoints := len(b.EndpointNames(g.Name))
	c.require(endpoints*e.RanksPerEndpoint*e.SlotsPerRank >= e.PerLayer, table, "slotsPerRank", "the group has fewer slots than experts per layer")
}

func (c *checker) checkEndpoints(b *Bundle, groups, domains map[string]bool) {
	seen := map[string]bool{}
	for i, e := range b.Endpoints {
		table := fmt.Sprintf("endpoints[%d]", i)
		c.checkName(seen, table, e.Name)
		c.require(groups[e.Group], table, "group", "no group is named %q", e.Group)
		c.require(domains[e.FailureDomain], table, "failureDomain", "no failure domain is named %q", e.FailureDomain)
		c.require(!domains[e.Name], table, "name", "%q is also the name of a failure domain", e.Name)
	}
}

func (c *checker) checkRoutes(b *Bundle, groups map[string]bool) {
	seen := map[string]bool{}
	for i := range b.Routes {
		r := &b.Routes[i]
		table := fmt.Sprintf("routes[%d]", i)
		c.require(strings.HasPrefix(r.Path, "/"), table, "path", "must start with a slash")
		c.require(!seen[r.Host+r.Path], table, "path", "another route of the host has the path %q", r.Path)
		seen[r.Host+r.Path] = true
		c.require(r.MaxAttempts >= 0, table, "maxAttempts", "must not be negative")
		c.require(groups[r.Group], table, "group", "no group is named %q", r.Group)
		c.require(r.Idempotent || !r.Splice, table, "splice", "requires idempotent = true")
		c.require(r.Priority >= 0 && r.Priority <= maxPriority, table, "priority", "must be 0 to %d", maxPriority)
		c.require(r.MaxBodyBytes >= 1 && r.MaxBodyBytes <= MaxBodyLimit, table, "maxBodyBytes", "must be 1 to %d", MaxBodyLimit)
		timeout, err := time.ParseDuration(r.TimeoutText)
		c.require(err == nil && timeout > 0, table, "timeout", "must be a positive duration such as \"30s\"")
		r.Timeout = timeout
	}
}

func (c *checker) checkClientAccounts(b *Bundle) {
	seen := map[string]bool{}
	hashes := map[string]string{}
	for i, a := range b.ClientAccounts {
		table := fmt.Sprintf("clientAccounts[%d]", i)
		c.checkName(seen, table, a.Name)
		c.require(a.Weight >= 1, table, "weight", "must be at least 1")
		c.require(a.Priority == nil || (*a.Priority >= 0 && *a.Priority <= maxPriority), table, "priority", "must be 0 to %d", maxPriority)
		c.require(len(a.TokenHashes) > 0, table, "tokenHashes", "at least one is required")
		for _, h := range a.TokenHashes {
			_, err := hex.DecodeString(h)
			c.require(err == nil && len(h) == tokenHashLength, table, "tokenHashes", "each must be a SHA-256 in hex")
			owner, taken := hashes[h]
			c.require(!taken, table, "tokenHashes", "a hash is already used by client account %q", owner)
			hashes[h] = a.Name
		}
	}
}
