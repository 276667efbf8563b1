package eventstream

import (
	"cmp"
	"strings"
)

// ID is the id of an event, a whole number of any size. The zero value stands for no event
// and comes before every id.
type ID struct {
	// text is the id as the peer wrote it; empty for no event.
	text string
	// digits is the absolute value without leading zeros; empty for 0.
	digits string
	// negative is false for 0.
	negative bool
}

// ParseID returns the id that a peer wrote. The error is a *MalformedError.
func ParseID(text string) (ID, error) {
	digits, negative := strings.CutPrefix(text, "-")
	if digits == "" || strings.Trim(digits, "0123456789") != "" {
		return ID{}, &MalformedError{Problem: "the id of an event is not a whole number"}
	}
	digits = strings.TrimLeft(digits, "0")
	return ID{text: text, digits: digits, negative: negative && digits != ""}, nil
}

// IsZero reports whether the id stands for no event.
func (i ID) IsZero() bool { return i.text == "" }

// String returns the id as the peer wrote it; empty for no event.
func (i ID) String() string { return i.text }

// isAfter reports whether the event with the id comes after that with the other id.
func (i ID) isAfter(other ID) bool {
	switch {
	case other.IsZero():
		return true
	case i.negative != other.negative:
		return other.negative
	case i.negative:
		return compareDigits(i.digits, other.digits) < 0
	default:
		return compareDigits(i.digits, other.digits) > 0
	}
}

// compareDigits compares two numbers without leading zeros.
func compareDigits(a, b string) int {
	return cmp.Or(cmp.Compare(len(a), len(b)), strings.Compare(a, b))
}
