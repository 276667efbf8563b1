// Package eventstream joins the server-sent event streams of successive runs of
// one request into one stream without gaps or repetitions.
package eventstream

import "fmt"

// maxEventBytes bounds an event that is not complete yet.
const maxEventBytes = 64 << 10

// OrderError reports an event whose id is not higher than the last one.
type OrderError struct{ Last, Got ID }

func (e *OrderError) Error() string {
	return fmt.Sprintf("event stream: event id %s is not higher than id %s", e.Got, e.Last)
}

// MalformedError reports an event that cannot be parsed.
type MalformedError struct{ Problem string }

func (e *MalformedError) Error() string { return "event stream: " + e.Problem }

// Splicer passes on complete events and checks that their ids increase.
type Splicer struct {
	// lastID is the id of the last event passed on, or of the last one that the
	// caller has from an earlier request; zero before the first event.
	lastID ID
	// partial holds the start of an incomplete event, which scanner has searched.
	partial []byte
	scanner scanner
}

// NewSplicer returns a splicer for a caller that has the events up to lastID; zero for
// none.
func NewSplicer(lastID ID) *Splicer { return &Splicer{lastID: lastID} }

// LastID returns the id of the last event that the caller has; zero for none.
func (s *Splicer) LastID() ID { return s.lastID }

// HasPartial reports whether the last event is incomplete.
func (s *Splicer) HasPartial() bool { return len(s.partial) > 0 }

// DiscardPartial drops the incomplete event of a run that broke.
func (s *Splicer) DiscardPartial() {
	s.partial = nil
	s.scanner.discard()
}

// Write adds the next bytes of a run and returns the events that they complete. With
// an error, it returns the events before the invalid one.
func (s *Splicer) Write(p []byte) ([]byte, error) {
	s.partial = append(s.partial, p...)
	end := 0
	for {
		size := s.scanner.eventLength(s.partial[end:])
		if size == 0 {
			break
		}
		if err := s.checkOrder(s.partial[end : end+size]); err != nil {
			return s.takeFirst(end), err
		}
		end += size
	}
	complete := s.takeFirst(end)
	if len(s.partial) > maxEventBytes {
		return complete, &MalformedError{Problem: "an event is longer than 64 KiB"}
	}
	return complete, nil
}

// takeFirst removes and returns the first n bytes of partial.
func (s *Splicer) takeFirst(n int) []byte {
	if n == 0 {
		return nil
	}
	complete := s.partial[:n:n]
	s.partial = append([]byte(nil), s.partial[n:]...)
	return complete
}

// checkOrder checks the id of an event. Events without an id are comments and pass
// unchecked.
func (s *Splicer) checkOrder(event []byte) error {
	id, found, err := readID(event)
	if err != nil || !found {
		return err
	}
	if !id.isAfter(s.lastID) {
		return &OrderError{Last: s.lastID, Got: id}
	}
	s.lastID = id
	return nil
}
