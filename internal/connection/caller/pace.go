package caller

import "time"

// pace checks a response against the objectives of its route.
type pace struct {
	// first is the time within which the response should begin, and pause the longest
	// time between two parts of a stream; 0 for none.
	first, pause time.Duration
	// last is when the last part was written, or when the request was received.
	last  time.Time
	begun bool
}

func newPace(q *request) pace {
	p := pace{first: q.route.LatencyObjective, last: q.started}
	if q.route.Stream {
		p.pause = q.route.MaxPause
	}
	return p
}

// advance records that a part is written, and reports whether it is late.
func (p *pace) advance(now time.Time) bool {
	limit := p.pause
	if !p.begun {
		limit = p.first
	}
	late := limit > 0 && now.Sub(p.last) > limit
	p.last, p.begun = now, true
	return late
}
