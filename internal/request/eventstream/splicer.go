// Package eventstream joins the event streams of successive runs of one
// request into one stream without gaps or repetitions.
package eventstream

import (
	"bytes"
	"fmt"
	"strconv"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// OrderError reports an event whose id does not follow the one before.
type OrderError struct{ Last, Got uint64 }

func (e *OrderError) Error() string { return fmt.Sprintf("event %d follows event %d", e.Got, e.Last) }

// MalformedError reports an event that cannot be read.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "event stream: " + e.Problem }

// Splicer passes on whole events in the order of their ids.
type Splicer struct {
	// last is the id of the last event passed on, or that the caller has from
	// an earlier request; 0 before the first.
	last uint64
	// torn holds the start of an event that is not whole yet, in which no end was
	// found before searched.
	torn     []byte
	searched int
}

// NewSplicer returns a splicer that continues after the event with the id.
func NewSplicer(last uint64) *Splicer { return &Splicer{last: last} }

// LastID returns the id of the last event passed on.
func (s *Splicer) LastID() uint64 { return s.last }

// HasPartial reports whether an event has begun and is not whole.
func (s *Splicer) HasPartial() bool { return len(s.torn) > 0 }

// DiscardPartial drops the event that a broken run left torn.
func (s *Splicer) DiscardPartial() { s.torn, s.searched = nil, 0 }

// Write takes the next bytes of a run and returns the events that they
// complete. Events before an error are returned with it.
func (s *Splicer) Write(p []byte) ([]byte, error) {
	s.torn = append(s.torn, p...)
	end := 0
	for {
		size := eventLength(s.torn[end:], s.searched)
		if size == 0 {
			break
		}
		s.searched = 0
		if err := s.accept(s.torn[end : end+size]); err != nil {
			return s.cut(end), err
		}
		end += size
	}
	whole := s.cut(end)
	s.searched = max(0, len(s.torn)-len(blankLine))
	if len(s.torn) > maxEventBytes {
		return whole, &MalformedError{Problem: "event is too long"}
	}
	return whole, nil
}

// cut removes and returns the first bytes.
func (s *Splicer) cut(n int) []byte {
	if n == 0 {
		return nil
	}
	whole := s.torn[:n:n]
	s.torn = append([]byte(nil), s.torn[n:]...)
	return whole
}

// blankLine is the longer of the two ends of an event.
const blankLine = "\r\n\r\n"

// eventLength returns the length of the first event with its blank line, or 0
// if it is not whole. No end begins before from.
func eventLength(p []byte, from int) int {
	lf := bytes.Index(p[from:], []byte("\n\n"))
	crlf := bytes.Index(p[from:], []byte(blankLine))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return from + lf + 2
	case crlf >= 0:
		return from + crlf + len(blankLine)
	}
	return 0
}

// accept checks the id of an event. Events without an id are comments and
// pass as they are.
func (s *Splicer) accept(event []byte) error {
	id, found, err := readID(event)
	if err != nil || !found {
		return err
	}
	if id != s.last+1 {
		return &OrderError{Last: s.last, Got: id}
	}
	s.last = id
	return nil
}

func readID(event []byte) (id uint64, found bool, err error) {
	for line := range bytes.Lines(event) {
		text, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
		if err != nil {
			return 0, false, &MalformedError{Problem: "id is not a number"}
		}
		return id, true, nil
	}
	return 0, false, nil
}
