package events

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines limits the lines that wait to be written; at 256 bytes per
	// line they take 1 MB.
	maxQueuedLines = 4096
	// flushBytes is the size at which a batch of lines is written even if more are
	// queued. It is the size of a pipe's buffer on Linux.
	flushBytes = 64 << 10
	// closeTimeout limits how long close waits for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// sink queues lines and writes them in the background.
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

// Write implements io.Writer. It queues the line, or drops it if the queue is
// full.
func (s *sink) Write(p []byte) (int, error) {
	s.start.Do(func() { go s.writeLoop() })
	select {
	case s.lines <- bytes.Clone(p):
	default:
		s.dropped.Add(1)
	}
	return len(p), nil
}

// writeLoop writes batches of lines until the sink is closed.
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

// nextBatch waits for a line and returns it together with the lines queued after
// it. It also returns their number, and whether the sink was closed after them.
func (s *sink) nextBatch() (text []byte, lines int64, last bool) {
	line := <-s.lines
	for line != nil {
		text = append(text, line...)
		lines++
		if len(text) >= flushBytes {
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

// close stops writeLoop after the queued lines and waits for it, at most for
// closeTimeout.
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
