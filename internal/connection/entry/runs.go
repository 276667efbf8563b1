package entry

import (
	"sync"
)

const (
	// keepEpochs is the number of epochs for which a whole answer is kept for
	// readers that may still come.
	keepEpochs = 3
	// keepRuns bounds the number of ended runs that are kept.
	keepRuns = 1024
	// keepBytes bounds the bytes of the answers of ended runs that are kept.
	keepBytes = 64 << 20
)

// runs holds the runs of this incarnation by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
	// ended lists ended runs in order of their end.
	ended []*run
	// endedBytes is the size of their answers at their end.
	endedBytes int
}

func newRuns() *runs { return &runs{byID: map[string]*run{}} }

func (s *runs) put(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[r.attempt.RequestID] = r
}

func (s *runs) get(id string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// acknowledged forgets a run whose whole answer was read, unless its answer is
// kept for repeats. Of a request that ran, the gate's record remains.
func (s *runs) acknowledged(r *run) {
	if r.kept || !r.answer.Drained() {
		return
	}
	r.settle()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(r)
}

// removeLocked forgets the run unless a later one took its place.
func (s *runs) removeLocked(r *run) {
	if s.byID[r.attempt.RequestID] == r {
		delete(s.byID, r.attempt.RequestID)
	}
}

// end notes that the run ended in the epoch and drops the oldest ended runs
// over the bound.
func (s *runs) end(r *run, epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.mu.Lock()
	r.endEpoch = epoch
	r.mu.Unlock()
	if s.byID[r.attempt.RequestID] != r {
		return
	}
	if !r.kept && r.answer.Drained() {
		s.removeLocked(r)
		return
	}
	r.endSize = r.answer.Size()
	s.ended = append(s.ended, r)
	s.endedBytes += r.endSize
	for len(s.ended) > keepRuns || s.endedBytes > keepBytes {
		s.dropOldest()
	}
}

func (s *runs) dropOldest() {
	oldest := s.ended[0]
	s.ended = s.ended[1:]
	s.endedBytes -= oldest.endSize
	s.removeLocked(oldest)
}

// expire forgets runs that ended too many epochs ago.
func (s *runs) expire(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && epoch-s.ended[0].endEpoch > keepEpochs {
		s.dropOldest()
	}
}

// unread counts runs whose readers have not had the whole answer.
func (s *runs) unread() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.byID {
		r.mu.Lock()
		if r.readers > 0 || r.endEpoch == 0 {
			n++
		}
		r.mu.Unlock()
	}
	return n
}
