package events

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sinkLines bounds the lines that wait to be written; at 256 bytes a line
	// they take 1 MB.
	sinkLines = 4096
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
	return &sink{out: w, lines: make(chan []byte, sinkLines), stopped: make(chan struct{})}
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
	for line := range s.lines {
		if line == nil {
			return
		}
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
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
