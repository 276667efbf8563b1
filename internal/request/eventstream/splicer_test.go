package eventstream_test

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/cicadareel/cicadareel/internal/request/eventstream"
)

func event(id int) string { return fmt.Sprintf("id: %d\ndata: w%d\n\n", id, id) }

func stream(from, to int) string {
	var text strings.Builder
	for id := from + 1; id <= to; id++ {
		text.WriteString(event(id))
	}
	return text.String()
}

// TestRunsJoin cuts a stream at random into runs and those into pieces. What
// comes out is the stream, whole.
func TestRunsJoin(t *testing.T) {
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
				whole, err := s.Write([]byte(rest[:n]))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(whole)
				rest = rest[n:]
			}
			if cut == len(run) {
				break
			}
			s.DiscardPartial()
		}
		if out.String() != stream(0, events) {
			t.Fatalf("got %q", out.String())
		}
	})
}

// TestDisorderShows replaces an event of a stream by another: nothing wrong
// comes out before the error.
func TestDisorderShows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := rapid.IntRange(2, 20).Draw(t, "events")
		at := rapid.IntRange(1, events).Draw(t, "at")
		other := rapid.IntRange(0, 40).Filter(func(n int) bool { return n != at }).Draw(t, "other")
		s := eventstream.NewSplicer(0)
		whole, err := s.Write([]byte(stream(0, at-1) + event(other) + stream(at, events)))
		if err == nil {
			t.Fatal("no error")
		}
		if string(whole) != stream(0, at-1) {
			t.Fatalf("passed on %q", whole)
		}
	})
}

// FuzzSplicer looks for bytes that crash it or that it makes more of.
func FuzzSplicer(f *testing.F) {
	f.Add([]byte(stream(0, 3)), uint8(4))
	f.Add([]byte("id: x\n\n: comment\r\n\r\nid:1\n\n"), uint8(1))
	f.Fuzz(func(t *testing.T, text []byte, piece uint8) {
		s := eventstream.NewSplicer(0)
		got := 0
		for rest := text; len(rest) > 0; {
			n := min(len(rest), int(piece)+1)
			whole, err := s.Write(rest[:n])
			got += len(whole)
			if err != nil {
				break
			}
			rest = rest[n:]
		}
		if got > len(text) {
			t.Fatalf("%d bytes of %d", got, len(text))
		}
	})
}
