package eventstream

import "bytes"

// scanner finds the ends of events in the format text/event-stream: lines end with LF,
// CR LF or CR, and a blank line ends an event.
type scanner struct {
	// searched counts the bytes of the present event before the line or line end that is
	// searched next.
	searched int
	// inLine is true if a line that is not blank has begun.
	inLine bool
	// crlf is true if the last line end that began with CR was CR LF.
	crlf bool
}

// eventLength returns the length of the first event with its blank line, or 0 if it is
// incomplete. A call after an incomplete event repeats its bytes before further ones.
func (s *scanner) eventLength(p []byte) int {
	for s.searched < len(p) {
		length, known := s.lineEndLength(p[s.searched:])
		switch {
		case !known:
			return 0
		case length == 0:
			s.searched++
			s.inLine = true
		case s.inLine:
			s.searched += length
			s.inLine = false
		default:
			size := s.searched + length
			s.searched = 0
			return size
		}
	}
	return 0
}

// lineEndLength returns the length of the line end at the start of p; 0 if there is none.
// It is not known yet for a last CR to which a LF may belong. A blank line of CR alone in a
// stream without CR LF counts at once, so that its event is not held back.
func (s *scanner) lineEndLength(p []byte) (length int, known bool) {
	switch {
	case p[0] == '\n':
		return 1, true
	case p[0] != '\r':
		return 0, true
	case len(p) == 1:
		return 1, !s.inLine && !s.crlf
	}
	if s.crlf = p[1] == '\n'; s.crlf {
		return 2, true
	}
	return 1, true
}

// discard forgets the present event.
func (s *scanner) discard() { s.searched, s.inLine = 0, false }

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// readID returns the id of an event and whether it has one. The last of several counts.
func readID(event []byte) (id ID, found bool, err error) {
	event = bytes.TrimPrefix(event, byteOrderMark)
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\r' || r == '\n' }) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if string(name) != "id" {
			continue
		}
		if id, err = ParseID(string(bytes.TrimSpace(value))); err != nil {
			return ID{}, false, err
		}
		found = true
	}
	return id, found, nil
}
