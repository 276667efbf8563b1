package entry

import (
	"sync"
)

const (
	// maxKeptEpochs is the number of epochs for which the response of an ended
	// run is kept for later readers.
	maxKeptEpochs = 3
	// maxKeptRuns bounds the number of ended runs that are kept.
	maxKeptRuns = 1024
	// maxKeptBytes bounds the response bytes of the ended runs that are kept.
	maxKeptBytes = 64 << 20
)

// runs holds the runs of this process by request id.
type runs struct {
	mu   sync.Mutex
	byID map[string]*run
	// ended lists the ended runs, oldest first.
	ended []*run
	// endedBytes is the sum of their sizeAtEnd.
	endedBytes int
}

func newRuns() *runs { return &runs{byID: map[string]*run{}} }

func (s *runs) add(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byID[r.attempt.RequestID] = r
}

func (s *runs) get(id string) *run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// removeIfRead removes the run if its complete response was acknowledged and is
// not kept for repeated requests. The gate's record of the request remains.
func (s *runs) removeIfRead(r *run) {
	if r.kept || !r.response.Drained() {
		return
	}
	r.stopExpiry()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(r)
}

// removeLocked removes the run unless a later one of the request replaced it.
// The caller holds the lock.
func (s *runs) removeLocked(r *run) {
	if s.byID[r.attempt.RequestID] == r {
		delete(s.byID, r.attempt.RequestID)
	}
}

// markEnded records that the run ended in the epoch, and drops the oldest ended runs
// above maxKeptRuns and maxKeptBytes.
func (s *runs) markEnded(r *run, epoch uint64) {
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

// dropOldest removes the run that ended first. The caller holds the lock.
func (s *runs) dropOldest() {
	oldest := s.ended[0]
	s.ended = s.ended[1:]
	s.endedBytes -= oldest.sizeAtEnd
	s.removeLocked(oldest)
}

// dropExpired drops the runs that ended more than maxKeptEpochs before the epoch.
func (s *runs) dropExpired(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.ended) > 0 && epoch-s.ended[0].endEpoch > maxKeptEpochs {
		s.dropOldest()
	}
}

// countUnfinished counts the runs that have not ended or still have a reader.
func (s *runs) countUnfinished() int {
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
