package quarantine

import (
	"hash/maphash"
	"time"
)

const (
	// answerLifetime is how long an answer to a part counts at least, unless more parts are
	// answered than are kept.
	answerLifetime = 10 * time.Minute
	// maxAnswered bounds the parts of prompts of one generation, maxAnsweredRequests the
	// whole requests.
	maxAnswered, maxAnsweredRequests = 65536, 16384
)

// answeredParts remembers the parts to which endpoints responded within answerLifetime,
// and up to as long before, in two generations.
type answeredParts struct {
	// current and previous have hashes of parts: the parts themselves would keep the header
	// fields in memory of which they are substrings.
	current, previous map[uint64]time.Time
	// since is when the current generation began.
	since time.Time
	// limit bounds the parts of one generation.
	limit int
}

// add records a response.
func (a *answeredParts) add(part string, now time.Time) {
	a.rotate(now)
	a.current[hashPart(part)] = now
}

// last returns when an endpoint last began to respond to a request with the part; zero if
// it is not known.
func (a *answeredParts) last(part string, now time.Time) time.Time {
	a.rotate(now)
	hash := hashPart(part)
	if at, ok := a.current[hash]; ok {
		return at
	}
	return a.previous[hash]
}

// rotate begins a new generation if the current one is old or large.
func (a *answeredParts) rotate(now time.Time) {
	if a.current == nil || now.Sub(a.since) > answerLifetime || len(a.current) >= a.limit {
		a.current, a.previous, a.since = map[uint64]time.Time{}, a.current, now
	}
}

var partSeed = maphash.MakeSeed()

func hashPart(part string) uint64 { return maphash.String(partSeed, part) }
