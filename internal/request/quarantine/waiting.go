package quarantine

import "slices"

// Waiting is a request at an endpoint that has not begun to respond.
type Waiting struct {
	tracker *Tracker
	parts   []string
	// recall takes the request back from the endpoint.
	recall func()
}

// Wait calls recall if a part of the request is suspected while the request waits for an
// endpoint to begin to respond. The endpoint may drop it before it crashes.
func (t *Tracker) Wait(parts []string, recall func()) *Waiting {
	w := &Waiting{tracker: t, parts: parts, recall: recall}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting[w] = true
	return w
}

// End ends the wait. It may be called more than once.
func (w *Waiting) End() {
	w.tracker.mu.Lock()
	defer w.tracker.mu.Unlock()
	delete(w.tracker.waiting, w)
}

// recallable returns the waiting requests with one of the suspected parts. Parts that are
// less likely the cause than others of the same crash do not count. The caller must hold
// mu.
func (t *Tracker) recallable(suspected []Record) []*Waiting {
	if len(t.waiting) == 0 {
		return nil
	}
	likely := map[string]bool{}
	for _, r := range suspected {
		if r.repeated() || !t.isLessLikely(r) {
			likely[r.Part] = true
		}
	}
	if len(likely) == 0 {
		return nil
	}
	var recallable []*Waiting
	for w := range t.waiting {
		if slices.ContainsFunc(w.parts, func(part string) bool { return likely[part] }) {
			recallable = append(recallable, w)
		}
	}
	return recallable
}
