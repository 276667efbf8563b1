package gate

import (
	"container/heap"
	"time"
)

// waiting is one queued attempt.
type waiting struct {
	attempt Attempt
	waiter  Callback
	// tag is the virtual finish time of weighted fair queueing.
	tag   float64
	index int
}

// queue orders waiting attempts by priority and, within a priority, by
// weighted fair sharing between client accounts.
type queue struct {
	limit int
	items waitingHeap
	byID  map[string]*waiting
	// clock is the virtual time: the tag of the last attempt that left.
	clock float64
	// last holds each waiting account's latest tag; entries are dropped when
	// the account has nothing waiting.
	last map[string]*accountShare
}

// accountShare is one account's part of the queue.
type accountShare struct {
	tag     float64
	waiting int
	weight  uint32
}

func newQueue(limit int) queue {
	return queue{limit: limit, byID: map[string]*waiting{}, last: map[string]*accountShare{}}
}

func (q *queue) len() int { return len(q.items) }

// push adds an attempt. A full queue makes room by evicting from the account
// that holds most for its weight, unless that is the newcomer's own.
func (q *queue) push(a Attempt, w Callback) (evicted *waiting, ok bool) {
	if q.limit == 0 {
		return nil, false
	}
	if len(q.items) >= q.limit {
		evicted = q.victim(a)
		if evicted == nil {
			return nil, false
		}
		q.take(evicted)
	}
	share := q.share(a)
	share.tag = max(share.tag, q.clock) + 1/float64(a.Weight)
	share.waiting++
	item := &waiting{attempt: a, waiter: w, tag: share.tag}
	q.byID[a.RequestID] = item
	heap.Push(&q.items, item)
	return evicted, true
}

func (q *queue) share(a Attempt) *accountShare {
	s := q.last[a.Account]
	if s == nil {
		s = &accountShare{}
		q.last[a.Account] = s
	}
	s.weight = max(1, a.Weight)
	return s
}

// victim returns the waiting attempt to evict for a newcomer: the last one of
// the account most over its share, of no higher priority than the newcomer.
func (q *queue) victim(a Attempt) *waiting {
	own := 1.0 / float64(max(1, a.Weight))
	if s := q.last[a.Account]; s != nil {
		own = float64(s.waiting+1) / float64(s.weight)
	}
	var worst *waiting
	worstLoad := own
	for _, w := range q.items {
		s := q.last[w.attempt.Account]
		load := float64(s.waiting) / float64(s.weight)
		if w.attempt.Account == a.Account || w.attempt.Priority > a.Priority {
			continue
		}
		if load > worstLoad || (worst != nil && load == worstLoad && w.tag > worst.tag) {
			worst, worstLoad = w, load
		}
	}
	return worst
}

func (q *queue) pop() *waiting {
	if len(q.items) == 0 {
		return nil
	}
	w := q.items[0]
	q.clock = max(q.clock, w.tag)
	q.take(w)
	return w
}

func (q *queue) remove(a Attempt) *waiting {
	w := q.byID[a.RequestID]
	if w != nil {
		q.take(w)
	}
	return w
}

func (q *queue) take(w *waiting) {
	heap.Remove(&q.items, w.index)
	delete(q.byID, w.attempt.RequestID)
	s := q.last[w.attempt.Account]
	s.waiting--
	if s.waiting == 0 && s.tag <= q.clock {
		delete(q.last, w.attempt.Account)
	}
}

func (q *queue) drain() []*waiting {
	all := append([]*waiting(nil), q.items...)
	for _, w := range all {
		q.take(w)
	}
	return all
}

func (q *queue) expire(now time.Time) []*waiting {
	var expired []*waiting
	for _, w := range q.items {
		if !w.attempt.Deadline.After(now) {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		q.take(w)
	}
	return expired
}

// waitingHeap implements heap.Interface: higher priority first, then lower tag.
type waitingHeap []*waiting

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].attempt.Priority != h[j].attempt.Priority {
		return h[i].attempt.Priority > h[j].attempt.Priority
	}
	return h[i].tag < h[j].tag
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w, ok := x.(*waiting)
	if !ok {
		return
	}
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *waitingHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}
