// Package quarantine decides which requests are refused because a part of their prompts
// crashes endpoints.
//
// It answers a load in which requests that share one part of their prompts crash each
// endpoint that begins to respond to one of them. Whatever else they share with other
// requests, such as their client account or further parts, those are served: a part to which
// endpoints have responded is not suspected.
//
// It answers as well a load in which one request, which callers repeat, crashes each endpoint
// that begins to respond to it, though all parts of its prompt are harmless. Of the requests
// at an endpoint that crashes, those are suspected that waited about as long as the one that
// waited longest; the others are repeated at once. One that is at a second crash is suspected
// whatever it waited. Many endpoints that crash together, with no request at two of them, have
// another cause. So a request ends at most two endpoints, and those at which copies of
// it begin before entries have told each other, until its block is over.
//
// It does no input or output.
package quarantine

import (
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/rendezvous"
)

const (
	// firstBlock is how long requests with a part are refused after its first crash, and
	// maxBlock the longest time after further ones. Each crash of a lock-step group fails
	// all its requests for seconds, so that a trial is rare.
	firstBlock = time.Minute
	maxBlock   = time.Hour
	// blockFactor is by how much each further crash makes the block longer.
	blockFactor = 4
	// shortBlock is the block of a part that is less likely to have caused the crash than
	// another one: about the time in which a lock-step group forms again.
	shortBlock = 5 * time.Second
	// lessLikely is the part of the highest likelihood of one crash below which a part gets
	// the short block.
	lessLikely = 0.75
	// spread is by what part of it a block may be longer at one entry than at another, so
	// that entries do not begin trials at the same time.
	spread = 0.25
	// verdictTime is how long after a crash other entries may tell that they know answers to
	// a part, or a request that is likelier to have caused the crash.
	verdictTime = 60 * time.Millisecond
	// trialTime is how long a trial may take until an endpoint begins to respond. Other
	// requests with the part are refused meanwhile.
	trialTime = 5 * time.Second
	// recordLifetime is how long a record is kept after its block.
	recordLifetime = 10 * time.Minute
	// togetherTime is the time within which endpoints crash together, manyTogether how many
	// of them have another cause than one request and its copies.
	togetherTime = 100 * time.Millisecond
	manyTogether = 5
	// maxRecords bounds the records that are kept. One crash can need as many as there are
	// parts in a header field of 16 KiB.
	maxRecords = 8192
	// maxChanges bounds the parts that are reported one by one if many change together.
	maxChanges = 16
)

// Tracker decides on the requests of one entry. It is safe for concurrent use.
type Tracker struct {
	// instance is the name of this entry.
	instance string
	// onChange is called after each change, without a lock held. It must not block.
	onChange func(Change)

	mu      sync.Mutex
	records map[string]Record
	// lessLikely are the suspected parts of records that are less likely than another one
	// to have caused the same crash; nil after a change of records.
	lessLikely map[string]bool
	// answered remembers the parts to which endpoints responded, answeredRequests the whole
	// requests, which are more and would displace the parts.
	answered, answeredRequests answeredParts
	// waiting are the requests at endpoints that have not begun to respond.
	waiting map[*Waiting]bool
}

// NewTracker returns a tracker that suspects nothing.
func NewTracker(instance string, onChange func(Change)) *Tracker {
	return &Tracker{
		instance: instance, onChange: onChange, records: map[string]Record{}, waiting: map[*Waiting]bool{},
		answered: answeredParts{limit: maxAnswered}, answeredRequests: answeredParts{limit: maxAnsweredRequests},
	}
}

// Decision says whether a request may be sent to an endpoint.
type Decision struct {
	Allowed bool
	// Trial is true if the request is allowed to find out whether a part still crashes
	// endpoints. It may be sent once BeginTrial allows it.
	Trial bool
	// Part is the suspected part because of which the request is refused.
	Part string
	// RetryAfter is how long requests with the part are refused.
	RetryAfter time.Duration
	// Undecided is how long other entries may still tell what they know of the crash
	// because of which the request is refused; 0 if that time is over.
	Undecided time.Duration
}

// Decide decides on a request whose prompt has the parts.
func (t *Tracker) Decide(parts []string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decide(parts, time.Now())
}

// BeginTrial decides again, now that the request can be sent. A request that is allowed
// keeps others with the same suspected parts from being sent for trialTime.
func (t *Tracker) BeginTrial(parts []string) Decision {
	now := time.Now()
	var tried []Record
	t.mu.Lock()
	d := t.decide(parts, now)
	if d.Trial {
		tried = t.recordTrial(parts, now)
	}
	t.mu.Unlock()
	for _, r := range tried[:min(maxChanges, len(tried))] {
		t.onChange(TrialBegun{Record: r})
	}
	return d
}

// recordTrial records a trial of the suspected parts and returns their records. The caller
// must hold mu.
func (t *Tracker) recordTrial(parts []string, now time.Time) []Record {
	var tried []Record
	for _, part := range parts {
		if r, ok := t.records[part]; ok && r.suspected() {
			r.LastTrial = now
			t.store(r)
			tried = append(tried, r)
		}
	}
	return tried
}

// decide returns the decision on a request. The caller must hold mu.
func (t *Tracker) decide(parts []string, now time.Time) Decision {
	allowed, refused, undecided := Decision{Allowed: true}, Decision{}, verdictTime
	if len(t.records) == 0 {
		return allowed
	}
	for _, part := range parts {
		r, ok := t.records[part]
		if !ok || !r.suspected() {
			continue
		}
		allowed.Trial = true
		wait := max(t.blockedUntil(r).Sub(now), r.LastTrial.Add(trialTime).Sub(now))
		if wait > 0 {
			undecided = min(undecided, r.undecided(now))
		}
		if wait > refused.RetryAfter {
			refused.Part, refused.RetryAfter = part, wait
		}
	}
	if refused.Part != "" {
		refused.Undecided = undecided
		return refused
	}
	return allowed
}

// blockedUntil returns when the block of a part ends at this entry. The caller must hold
// mu.
func (t *Tracker) blockedUntil(r Record) time.Time {
	block := r.Block
	if !r.repeated() && t.isLessLikely(r) {
		if isRequest(r.Part) {
			return time.Time{}
		}
		block = shortBlock
	}
	share := float64(rendezvous.Score(t.instance, r.Part)) / math.MaxUint64
	return r.LastCrash.Add(time.Duration(float64(block) * (1 + spread*share)))
}

// store keeps a record. The caller must hold mu.
func (t *Tracker) store(r Record) {
	if before, ok := t.records[r.Part]; ok && before == r {
		return
	}
	// A part of a request is a substring of its header, which is not kept.
	r.Part = strings.Clone(r.Part)
	t.records[r.Part] = r
	t.lessLikely = nil
}

// isLessLikely reports whether another part is more likely to have caused the crash. The
// caller must hold mu.
func (t *Tracker) isLessLikely(r Record) bool {
	if t.lessLikely == nil {
		t.lessLikely = lessLikelyParts(t.records)
	}
	return t.lessLikely[r.Part]
}

// RecordAnswer records that an endpoint began to respond to a request with the parts.
func (t *Tracker) RecordAnswer(parts []string) {
	now := time.Now()
	var cleared []Record
	t.mu.Lock()
	for _, part := range parts {
		t.answeredFor(part).add(part, now)
		r, ok := t.records[part]
		if !ok {
			continue
		}
		if r.suspected() {
			cleared = append(cleared, r)
		}
		r.LastAnswer = now
		t.store(r)
	}
	t.mu.Unlock()
	for _, r := range cleared[:min(maxChanges, len(cleared))] {
		t.onChange(Cleared{Record: r})
	}
}

// Crash is a crash of an endpoint before it began to respond to a request.
type Crash struct {
	Endpoint string
	// Parts are those of the request's prompt, in order.
	Parts []string
	// Waited is how long the request had been at the endpoint.
	Waited time.Duration
}

// RecordCrash records a crash. If a part of the request is suspected already, it explains
// the crash alone.
func (t *Tracker) RecordCrash(c Crash) {
	now := time.Now()
	var suspected []Record
	t.mu.Lock()
	t.expire(now)
	// A request that has waited longer is likelier to be the one to which the endpoint was
	// about to respond, and a later part of its prompt to be new.
	likelihood := c.Waited.Seconds()
	if len(c.Parts) == 1 && isRequest(c.Parts[0]) {
		// A plain request costs one endpoint, and is refused after a second crash only.
		likelihood = 0
	}
	for _, part := range slices.Backward(t.candidates(c.Parts)) {
		before := t.records[part]
		after := merge(before, Record{
			Part: part, LastCrash: now, LastAnswer: t.answeredFor(part).last(part, now), Block: firstBlock,
			Endpoint: c.Endpoint, Likelihood: likelihood,
		})
		if before.suspected() && !sameEvent(before.LastCrash, now) {
			after.Block = min(blockFactor*before.Block, maxBlock)
		}
		t.store(after)
		if !after.suspected() {
			continue
		}
		if !isRequest(part) {
			likelihood /= 2
		}
		if !sameEvent(before.LastCrash, now) || (after.repeated() && !before.repeated()) {
			suspected = append(suspected, after)
		}
	}
	t.trim()
	recalled := t.recallable(suspected)
	t.mu.Unlock()
	for _, w := range recalled {
		w.recall()
	}
	for _, r := range suspected[:min(maxChanges, len(suspected))] {
		t.onChange(Suspected{Record: r, Parts: len(suspected)})
	}
}

// answeredFor returns where answers to the part are remembered. The caller must hold mu.
func (t *Tracker) answeredFor(part string) *answeredParts {
	if isRequest(part) {
		return &t.answeredRequests
	}
	return &t.answered
}

// candidates returns the parts that may have caused a crash: those that are suspected
// already, else all. The caller must hold mu.
func (t *Tracker) candidates(parts []string) []string {
	var known []string
	for _, part := range parts {
		if t.records[part].suspected() {
			known = append(known, part)
		}
	}
	if len(known) > 0 {
		return known
	}
	return parts
}

// Records returns what other entries should know, with the most important record first.
func (t *Tracker) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	all := make([]Record, 0, len(t.records))
	for _, r := range t.records {
		all = append(all, r)
	}
	slices.SortFunc(all, compareImportance)
	return all
}

// RecordsFor returns the Records for an entry that sent its own. Those of parts that it alone
// suspects come first, since they end its refusals.
func (t *Tracker) RecordsFor(theirs []Record) []Record {
	wrong := map[string]bool{}
	for _, r := range theirs {
		if r.suspected() {
			wrong[r.Part] = true
		}
	}
	all := t.Records()
	slices.SortStableFunc(all, func(a, b Record) int {
		return compareBools(wrong[a.Part] && !a.suspected(), wrong[b.Part] && !b.suspected())
	})
	return all
}

// compareBools orders true before false.
func compareBools(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}

// Merge adds what another entry knows, and what this one knows of the same parts.
func (t *Tracker) Merge(records []Record) {
	now := time.Now()
	var suspected, cleared []Record
	t.mu.Lock()
	for _, r := range records {
		known, ok := t.records[r.Part]
		if r.expired(now) {
			continue
		}
		if !ok {
			known = Record{Part: r.Part, LastAnswer: t.answeredFor(r.Part).last(r.Part, now)}
		}
		merged := merge(known, r)
		t.store(merged)
		switch {
		case merged.suspected() && (!known.suspected() || (merged.repeated() && !known.repeated())):
			suspected = append(suspected, merged)
		case known.suspected() && !merged.suspected():
			cleared = append(cleared, merged)
		}
	}
	t.trim()
	recalled := t.recallable(suspected)
	t.mu.Unlock()
	for _, w := range recalled {
		w.recall()
	}
	for _, r := range suspected[:min(maxChanges, len(suspected))] {
		t.onChange(Suspected{Record: r, Parts: len(suspected), ByPeer: true})
	}
	for _, r := range cleared[:min(maxChanges, len(cleared))] {
		t.onChange(Cleared{Record: r, ByPeer: true})
	}
}

// SuspectedParts returns the number of parts that are suspected.
func (t *Tracker) SuspectedParts() int64 {
	suspected := int64(0)
	for _, r := range t.Records() {
		if r.suspected() {
			suspected++
		}
	}
	return suspected
}

// expire removes old records. The caller must hold mu.
func (t *Tracker) expire(now time.Time) {
	for part, r := range t.records {
		if r.expired(now) {
			delete(t.records, part)
			t.lessLikely = nil
		}
	}
}

// trim removes the least important records if there are too many. It removes several, so
// that it need not sort them for each new one. The caller must hold mu.
func (t *Tracker) trim() {
	if len(t.records) <= maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), compareImportance)
	for _, r := range all[maxRecords-maxRecords/8:] {
		delete(t.records, r.Part)
	}
	t.lessLikely = nil
}
