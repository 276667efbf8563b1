package gate

import (
	"container/heap"
	"time"
)

// waitingAttempt is one queued attempt.
type waitingAttempt struct {
	attempt  Attempt
	callback Callback
	// finishTag is the virtual finish time of weighted fair queueing.
	finishTag float64
	// index is the position in the heap.
	index int
}

// queue orders waiting attempts by priority and, within a priority, by weighted
// fair queueing between client accounts.
type queue struct {
	limit int
	items waitingHeap
	byID  map[string]*waitingAttempt
	// virtualTime is the highest finish tag of the popped attempts.
	virtualTime float64
	// accounts holds the client accounts with waiting attempts, and those whose
	// lastTag was higher than virtualTime when their last waiting attempt left.
	accounts map[string]*accountQueue
}

// accountQueue is the state of one client account.
type accountQueue struct {
	// lastTag is the finish tag of the account's latest attempt.
	lastTag float64
	// waiting is the number of the account's waiting attempts.
	waiting int
	weight  uint32
}

func newQueue(limit int) queue {
	return queue{limit: limit, byID: map[string]*waitingAttempt{}, accounts: map[string]*accountQueue{}}
}

func (q *queue) len() int { return len(q.items) }

// push adds an attempt. If the queue is full, it evicts another attempt, or returns
// ok false if there is none to evict.
func (q *queue) push(a Attempt, c Callback) (evicted *waitingAttempt, ok bool) {
	if q.limit == 0 {
		return nil, false
	}
	if len(q.items) >= q.limit {
		evicted = q.evictionCandidate(a)
		if evicted == nil {
			return nil, false
		}
		q.removeItem(evicted)
	}
	account := q.account(a)
	account.lastTag = max(account.lastTag, q.virtualTime) + 1/float64(a.Weight)
	account.waiting++
	item := &waitingAttempt{attempt: a, callback: c, finishTag: account.lastTag}
	q.byID[a.RequestID] = item
	heap.Push(&q.items, item)
	return evicted, true
}

// account returns the state of the attempt's account, with its present weight.
func (q *queue) account(a Attempt) *accountQueue {
	account := q.accounts[a.Account]
	if account == nil {
		account = &accountQueue{}
		q.accounts[a.Account] = account
	}
	account.weight = max(1, a.Weight)
	return account
}

// evictionCandidate returns the waiting attempt to evict for a: of the attempts of
// other accounts with no higher priority than a, the last one of the account with
// most waiting for its weight. It returns nil if none of them has more waiting than
// a's account would have with a.
func (q *queue) evictionCandidate(a Attempt) *waitingAttempt {
	own := 1.0 / float64(max(1, a.Weight))
	if account := q.accounts[a.Account]; account != nil {
		own = float64(account.waiting+1) / float64(account.weight)
	}
	var worst *waitingAttempt
	worstLoad := own
	for _, w := range q.items {
		account := q.accounts[w.attempt.Account]
		load := float64(account.waiting) / float64(account.weight)
		if w.attempt.Account == a.Account || w.attempt.Priority > a.Priority {
			continue
		}
		if load > worstLoad || (worst != nil && load == worstLoad && w.finishTag > worst.finishTag) {
			worst, worstLoad = w, load
		}
	}
	return worst
}

// pop removes and returns the first attempt, or nil.
func (q *queue) pop() *waitingAttempt {
	if len(q.items) == 0 {
		return nil
	}
	w := q.items[0]
	q.virtualTime = max(q.virtualTime, w.finishTag)
	q.removeItem(w)
	return w
}

// remove removes and returns the waiting attempt at the request, or nil.
func (q *queue) remove(a Attempt) *waitingAttempt {
	w := q.byID[a.RequestID]
	if w != nil {
		q.removeItem(w)
	}
	return w
}

// removeItem removes an attempt, and its account if that is no longer needed.
func (q *queue) removeItem(w *waitingAttempt) {
	heap.Remove(&q.items, w.index)
	delete(q.byID, w.attempt.RequestID)
	account := q.accounts[w.attempt.Account]
	account.waiting--
	if account.waiting == 0 && account.lastTag <= q.virtualTime {
		delete(q.accounts, w.attempt.Account)
	}
}

// removeAll empties the queue and returns the attempts that waited.
func (q *queue) removeAll() []*waitingAttempt {
	all := append([]*waitingAttempt(nil), q.items...)
	for _, w := range all {
		q.removeItem(w)
	}
	return all
}

// removeExpired removes and returns the attempts whose deadline has passed.
func (q *queue) removeExpired(now time.Time) []*waitingAttempt {
	var expired []*waitingAttempt
	for _, w := range q.items {
		if !w.attempt.Deadline.After(now) {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		q.removeItem(w)
	}
	return expired
}

// waitingHeap implements heap.Interface: higher priority first, then lower finish
// tag.
type waitingHeap []*waitingAttempt

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].attempt.Priority != h[j].attempt.Priority {
		return h[i].attempt.Priority > h[j].attempt.Priority
	}
	return h[i].finishTag < h[j].finishTag
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *waitingHeap) Push(x any) {
	w, ok := x.(*waitingAttempt)
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
