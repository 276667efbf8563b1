package eventstream_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/request/eventstream"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: w%d\n\n", id, id) }

// stream returns the events after from up to to.
func stream(from, to int) string {
	var text strings.Builder
	for id := from + 1; id <= to; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}

// TestBrokenRunsJoinIntoWholeStream breaks a stream off at random places, continues
// it each time after the last complete event, and writes each run in random pieces.
// The output must be the whole stream.
func TestBrokenRunsJoinIntoWholeStream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.IntRange(1, 30).Draw(t, "events")
		s := eventstream.NewSplicer(0)
		var out strings.Builder
		for {
			run := stream(int(s.LastID()), events)
			cut := rapid.IntRange(0, len(run)).Draw(t, "cut")
			if rapid.Bool().Draw(t, "whole") {
				cut = len(run)
			}
			for rest := run[:cut]; rest != ""; {
				n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				complete, err := s.Write([]byte(rest[:n]))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(complete)
				rest = rest[n:]
			}
			if cut == len(run) {
				break
			}
			s.DiscardPartial()
		}
		if out.String() != stream(0, events) {
			t.Fatalf("got %q, want %q", out.String(), stream(0, events))
		}
	})
}

// TestEventOutOfOrderFails replaces one event of a stream. The output must end
// before it, with an error.
func TestEventOutOfOrderFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.IntRange(2, 20).Draw(t, "events")
		at := rapid.IntRange(1, events).Draw(t, "at")
		other := rapid.IntRange(0, 40).Filter(func(n int) bool { return n != at }).Draw(t, "other")
		s := eventstream.NewSplicer(0)
		complete, err := s.Write([]byte(stream(0, at-1) + event(other) + stream(at, events)))
		if err == nil {
			t.Fatalf("no error for event %d in place of event %d", other, at)
		}
		if string(complete) != stream(0, at-1) {
			t.Fatalf("passed on %q, want %q", complete, stream(0, at-1))
		}
	})
}

// FuzzSplicer looks for input that makes the splicer panic or return more bytes than
// it got.
func FuzzSplicer(f *testing.F) {
	f.Add([]byte(stream(0, 3)), uint8(4))
	f.Add([]byte("id: x\n\n: comment\r\n\r\nid:1\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		s := eventstream.NewSplicer(0)
		returned := 0
		for rest := text; len(rest) > 0; {
			n := min(len(rest), int(piece)+1)
			complete, err := s.Write(rest[:n])
			returned += len(complete)
			if err != nil {
				break
			}
			rest = rest[n:]
		}
		if returned > len(text) {
			t.Fatalf("%d bytes returned for %d", returned, len(text))
		}
	})
}
