package peer

import (
	"net/netip"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
)

const (
	// minFollowers is the number of followers in small deployments. A follower is
	// a process that follows the store on behalf of all. With three, one is left
	// if two are cut off at once.
	minFollowers = 3
	// processesPerFollower is the number of processes for each follower in
	// large deployments. It bounds the calls to a follower to some 130 per second.
	processesPerFollower = 32
	// followStagger is how much later each further process starts to follow the store when
	// followers are missing, so that not all start at once. maxFollowDelay bounds it, since
	// some of the processes before it may be gone as well.
	followStagger  = 50 * time.Millisecond
	maxFollowDelay = time.Second
	// followerTTL is how long a process counts as a follower after it announced
	// that it is one.
	followerTTL = 2 * time.Second
)

// Following reports whether this process has to follow the store itself.
func (g *TableGossip) Following() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.following
}

// StepDown makes this process stop following the store as soon as another process
// follows it. It is called when the process shuts down.
func (g *TableGossip) StepDown() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steppingDown = true
}

// updateFollowing decides whether this process follows the store. It starts while
// too few other followers are known, and stops once enough followers precede it. A
// faster link precedes a slower one, and then the name decides: followers send
// copies to all others, and one of them changes expert maps. While stepping down, it
// follows only if no other follower is known.
func (g *TableGossip) updateFollowing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	others, preceding, candidates := 0, 0, 0
	for _, state := range g.peers {
		if !state.follows || time.Since(state.lastHeard) > followerTTL {
			if state.precedes(g.self) {
				candidates++
			}
			continue
		}
		others++
		if state.precedes(g.self) {
			preceding++
		}
	}
	wanted := max(minFollowers, (1+len(g.livePeers()))/processesPerFollower)
	was := g.following
	if g.steppingDown {
		wanted = 1
	}
	g.following = g.mustFollow(others < wanted, candidates) || (was && (others < wanted || preceding < wanted && !g.steppingDown))
	switch {
	case g.following && !was:
		g.log.Info(events.FollowingStarted, events.Fields{"followers": others})
	case was && !g.following:
		g.log.Info(events.FollowingStopped, events.Fields{"followers": others})
	}
}

// mustFollow reports whether this process has to start following because followers are
// missing, which the candidates before it did not do in their time. The caller must hold
// mu.
func (g *TableGossip) mustFollow(missing bool, candidates int) bool {
	if !missing {
		g.missingSince = time.Time{}
		return false
	}
	if g.missingSince.IsZero() {
		g.missingSince = time.Now()
	}
	return time.Since(g.missingSince) >= min(time.Duration(candidates)*followStagger, maxFollowDelay)
}

// precedes reports whether the peer is preferred to a process as a follower.
func (s peerState) precedes(self Self) bool {
	if s.linkRate != self.LinkRate {
		return s.linkRate > self.LinkRate
	}
	return s.instance < self.Instance
}

// liveFollowers returns the peers that announced within followerTTL that they follow
// the store. The caller must hold mu.
func (g *TableGossip) liveFollowers() []netip.AddrPort {
	var followers []netip.AddrPort
	for at, state := range g.peers {
		if state.follows && time.Since(state.lastHeard) <= followerTTL {
			followers = append(followers, at)
		}
	}
	return followers
}
