package entry

import (
	"sync"
)

const (
	// maxKeptEpochs is the number of epochs for which a whole answer is kept for
	// readers that may still come.
	maxKeptEpochs = 3
	// maxKeptRuns bounds the number of ended runs that are kept.
	maxKeptRuns = 1024
	// maxKeptBytes bounds the bytes of the answers of ended runs that are kept.
	maxKeptBytes = 64 << 20
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
func (s *runs) forgetIfRead(r *run) {
	if r.kept || !r.response.Drained() {
		return
	}
	r.stopExpiry()
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
	if !r.kept && r.response.Drained() {
		s.removeLocked(r)
		return
	}
	r.sizeAtEnd = r.response.Size()
	s.ended = append(s.ended, r)
	s.endedBytes += r.sizeAtEnd
	for len(s.ended) > maxKeptRuns || s.endedBytes > maxKeptBytes {
		s.dropOldest()
	}
}

func (s *runs) dropOldest() {
	oldest := s.ended[0]
	s.ended = s.ended[1:]
	s.endedBytes -= oldest.sizeAtEnd
	s.removeLocked(oldest)
}

// expire forgets runs that ended too many epochs ago.
func (s *runs) expire(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && epoch-s.ended[0].endEpoch > maxKeptEpochs {
		s.dropOldest()
	}
}

// unread counts runs whose readers have not had the whole answer.
func (s *runs) countUnread() int {
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
