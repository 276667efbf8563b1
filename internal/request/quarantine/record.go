package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// eventTolerance is the time between two events within which they count as one: entries
// notice one crash at different times, and times that they tell each other become later
// with each exchange.
const eventTolerance = 2 * time.Second

// Record is what is known of a part of prompts, or of a whole request, that may crash
// endpoints. Times are zero if the event is not known.
type Record struct {
	Part string
	// LastCrash is when an endpoint last crashed before it began to respond to a request
	// with the part; PreviousCrash is the crash before.
	LastCrash, PreviousCrash time.Time
	// LastAnswer is when an endpoint last began to respond to a request with the part.
	LastAnswer time.Time
	// LastTrial is when a request with the part was last sent as a trial.
	LastTrial time.Time
	// Block is how long after LastCrash requests with the part are refused.
	Block time.Duration
	// Endpoint is the endpoint of LastCrash, OtherEndpoint another one that crashed, which
	// may have been within eventTolerance; empty if none is known. Likelihood compares the
	// parts that may have caused that crash.
	Endpoint, OtherEndpoint string
	Likelihood              float64
}

// suspected reports whether the part may have caused the crashes. One crash says nothing
// about a part to which endpoints responded before, since another request may have caused
// it.
func (r Record) suspected() bool {
	if r.LastAnswer.IsZero() {
		return !r.LastCrash.IsZero()
	}
	return r.LastAnswer.Before(r.PreviousCrash)
}

// expired reports whether the record is no longer needed.
func (r Record) expired(now time.Time) bool {
	return now.Sub(r.LastCrash) > r.Block+recordLifetime
}

// sameEvent reports whether two times may be those of one event.
func sameEvent(a, b time.Time) bool { return a.Sub(b).Abs() <= eventTolerance }

// merge combines what two entries know of a part.
func merge(a, b Record) Record {
	merged := Record{Part: b.Part, LastAnswer: later(a.LastAnswer, b.LastAnswer), LastTrial: later(a.LastTrial, b.LastTrial)}
	last := a
	if b.describesBetter(a) {
		last = b
	}
	merged.Block, merged.Endpoint, merged.Likelihood = last.Block, last.Endpoint, last.Likelihood
	merged.OtherEndpoint = otherEndpoint(merged.Endpoint, a, b)
	crashes := distinctEvents(a.LastCrash, a.PreviousCrash, b.LastCrash, b.PreviousCrash)
	if len(crashes) > 0 {
		merged.LastCrash = crashes[0]
	}
	if len(crashes) > 1 {
		merged.PreviousCrash = crashes[1]
	}
	return merged
}

// otherEndpoint returns an endpoint in the records that is not the one given. Of several it
// returns the first by name, so that entries agree.
func otherEndpoint(endpoint string, records ...Record) string {
	other := ""
	for _, r := range records {
		for _, name := range []string{r.Endpoint, r.OtherEndpoint} {
			if name != "" && name != endpoint && (other == "" || name < other) {
				other = name
			}
		}
	}
	return other
}

// repeated reports whether more than one crash is known, whatever caused each of them. Of
// parts of prompts, which many requests may have, only crashes at different times count.
func (r Record) repeated() bool {
	return !r.PreviousCrash.IsZero() || (isRequest(r.Part) && r.OtherEndpoint != "")
}

// undecided returns how long other entries may still tell what they know of the only crash.
func (r Record) undecided(now time.Time) time.Duration {
	if r.repeated() {
		return 0
	}
	return max(0, r.LastCrash.Add(verdictTime).Sub(now))
}

// describesBetter reports whether r says more of the last crash than other: that of r is
// later, or it is the same and r has the higher likelihood.
func (r Record) describesBetter(other Record) bool {
	if sameEvent(r.LastCrash, other.LastCrash) {
		return r.Likelihood > other.Likelihood
	}
	return r.LastCrash.After(other.LastCrash)
}

// later returns the later of two times, or a if both may be those of one event.
func later(a, b time.Time) time.Time {
	if b.After(a) && !sameEvent(a, b) {
		return b
	}
	return a
}

// distinctEvents returns the times of distinct events, the latest first. Of the times of
// one event it returns the earliest.
func distinctEvents(times ...time.Time) []time.Time {
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	var events []time.Time
	for _, at := range times {
		switch last := len(events) - 1; {
		case at.IsZero():
		case last >= 0 && sameEvent(events[last], at):
			events[last] = at
		default:
			events = append(events, at)
		}
	}
	return events
}

// compareImportance orders records by their use to an entry that can keep or send only some:
// suspected parts first, of these the ones with more than one crash, then the last crashes,
// of one crash the likeliest.
func compareImportance(a, b Record) int {
	switch {
	case a.suspected() && !b.suspected():
		return -1
	case b.suspected() && !a.suspected():
		return 1
	case a.suspected() && a.repeated() != b.repeated():
		if a.repeated() {
			return -1
		}
		return 1
	case !a.LastCrash.Equal(b.LastCrash):
		return b.LastCrash.Compare(a.LastCrash)
	case a.Likelihood != b.Likelihood:
		return cmp.Compare(b.Likelihood, a.Likelihood)
	}
	return strings.Compare(a.Part, b.Part)
}

// lessLikelyParts returns the suspected parts that are less likely than another one to have
// caused the same crash. Whole requests are compared with each other only; none of them is
// likely if many endpoints crashed together, and none that has a likelihood of zero.
func lessLikelyParts(records map[string]Record) map[string]bool {
	type suspectGroup struct {
		endpoint string
		request  bool
	}
	groups := map[suspectGroup][]Record{}
	for _, r := range records {
		if r.suspected() {
			group := suspectGroup{endpoint: r.Endpoint, request: isRequest(r.Part)}
			groups[group] = append(groups[group], r)
		}
	}
	less := map[string]bool{}
	for _, suspects := range groups {
		slices.SortFunc(suspects, func(a, b Record) int { return a.LastCrash.Compare(b.LastCrash) })
		// window holds the suspects of the same crash as r that no later one in it exceeds in
		// likelihood, so that its first is the likeliest.
		var window []Record
		next := 0
		for _, r := range suspects {
			for ; next < len(suspects) && (!suspects[next].LastCrash.After(r.LastCrash) || sameEvent(suspects[next].LastCrash, r.LastCrash)); next++ {
				for len(window) > 0 && window[len(window)-1].Likelihood <= suspects[next].Likelihood {
					window = window[:len(window)-1]
				}
				window = append(window, suspects[next])
			}
			for !sameEvent(window[0].LastCrash, r.LastCrash) {
				window = window[1:]
			}
			if r.Likelihood < lessLikely*window[0].Likelihood {
				less[r.Part] = true
			}
		}
	}
	crashes := crashTimes(records)
	for _, r := range records {
		if isRequest(r.Part) && (r.Likelihood == 0 || manyCrashed(crashes, r)) {
			less[r.Part] = true
		}
	}
	return less
}

// crashTimes returns the times of the last crashes of the endpoints that whole requests were
// at, in order.
func crashTimes(records map[string]Record) []time.Time {
	byEndpoint := map[string]time.Time{}
	for _, r := range records {
		if at, ok := byEndpoint[r.Endpoint]; isRequest(r.Part) && (!ok || r.LastCrash.After(at)) {
			byEndpoint[r.Endpoint] = r.LastCrash
		}
	}
	return slices.SortedFunc(maps.Values(byEndpoint), time.Time.Compare)
}

// manyCrashed reports whether many endpoints crashed together with that of the record.
func manyCrashed(crashes []time.Time, r Record) bool {
	first, _ := slices.BinarySearchFunc(crashes, r.LastCrash.Add(-togetherTime), time.Time.Compare)
	last := first + manyTogether - 1
	return last < len(crashes) && !crashes[last].After(r.LastCrash.Add(togetherTime))
}
