package events

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait to be written; at 256 bytes a line
	// they take 1 MB.
	maxQueuedLines = 4096
	// maxBatchBytes is the length from which on gathered lines are written: a pipe's
	// buffer on Linux.
	maxBatchBytes = 64 << 10
	// closeTimeout bounds the writing of the last lines.
	closeTimeout = 200 * time.Millisecond
)

// sink writes lines in the background.
type sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	start   sync.Once
	stopped chan struct{}
}

func newSink(w io.Writer) *sink {
	return &sink{out: w, lines: make(chan []byte, maxQueuedLines), stopped: make(chan struct{})}
}

// Write implements io.Writer. It takes the line or drops it.
func (s *sink) Write(p []byte) (int, error) {
	s.start.Do(func() { go s.writeLoop() })
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

func (s *sink) writeLoop() {
	defer close(s.stopped)
	for last := false; !last; {
		var text []byte
		var lines int64
		text, lines, last = s.nextBatch()
		if _, err := s.out.Write(text); err != nil {
			s.dropped.Add(lines)
		}
	}
}

// nextBatch waits for a line and returns it with those that wait behind it. It reports
// whether they are the last.
func (s *sink) nextBatch() (text []byte, lines int64, last bool) {
	line := <-s.lines
	for line != nil {
		text = append(text, line...)
		lines++
		if len(text) >= maxBatchBytes {
			return text, lines, false
		}
		select {
		case line = <-s.lines:
		default:
			return text, lines, false
		}
	}
	return text, lines, true
}

// close ends the writing after the lines that wait.
func (s *sink) close() {
	s.start.Do(func() { close(s.stopped) })
	select {
	case s.lines <- nil:
	default:
	}
	select {
	case <-s.stopped:
	case <-time.After(closeTimeout):
	}
}
