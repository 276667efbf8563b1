// Package admission bounds the streams in progress at ranks in lock-step, so
// that those that run keep their pauses.
package admission

import (
	"sync"
	"time"
)

const (
	// roundTime is the time over which pauses are averaged: a few steps.
	roundTime = 150 * time.Millisecond
	// fullShare is the part of the objective from which on pauses count as too
	// long: their spread around the mean needs the rest.
	fullShare = 0.85
	// shrink is the factor of the bound after a round with long pauses.
	shrink = 0.85
	// growth is the relative rise of the bound after a round without.
	growth = 0.08
	// least is the lowest bound.
	least = 2
)

// Window is the bound of one entry on its streams at one group. It is safe for
// concurrent use.
type Window struct {
	mu sync.Mutex
	// limit is the bound; 0 before a long pause was seen.
	limit      float64
	inProgress int
	// sum and count are of the pauses of this round, as parts of their
	// objectives.
	sum   float64
	count int
	round time.Time
}

// Enter takes a place and reports whether there was one.
func (w *Window) Enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limit > 0 && float64(w.inProgress) >= w.limit {
		return false
	}
	w.inProgress++
	return true
}

// Leave gives a place back.
func (w *Window) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inProgress--
}

// Open reports whether a place is free.
func (w *Window) Open() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit == 0 || float64(w.inProgress) < w.limit
}

// Observe takes the pause before an event and the objective for it.
func (w *Window) Observe(pause, objective time.Duration) {
	if objective <= 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sum += float64(pause) / float64(objective)
	w.count++
	now := time.Now()
	if now.Sub(w.round) < roundTime {
		return
	}
	w.adapt(w.sum / float64(w.count))
	w.sum, w.count, w.round = 0, 0, now
}

// adapt sets the bound from the mean pause of a round.
func (w *Window) adapt(pause float64) {
	switch {
	case pause > fullShare && w.limit == 0:
		w.limit = max(least, float64(w.inProgress)*shrink)
	case pause > fullShare:
		w.limit = max(least, min(w.limit, float64(w.inProgress))*shrink)
	case w.limit > 0 && float64(w.inProgress) >= w.limit-1:
		w.limit += max(1, w.limit*growth)
	}
}
