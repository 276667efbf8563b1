package events_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/events"
)

func TestEvents(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "events")
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// failingWriter fails every write.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }

var _ = Describe("a log", func() {
	It("writes one line of JSON for each event, with its number and process", func() {
		var out bytes.Buffer
		l := events.NewLogTo(&out, "info", "entry-1")
		fields := events.Fields{"request": "r1"}
		l.Info(events.RequestAnswered, fields)
		l.Warn(events.GroupBroken, nil)
		l.Debug(events.StoreCallFailed, nil)
		l.Close()
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(lines).To(HaveLen(2))
		var line map[string]any
		Expect(json.Unmarshal([]byte(lines[0]), &line)).To(Succeed())
		Expect(line).To(And(HaveKeyWithValue("event", float64(events.RequestAnswered)), HaveKeyWithValue("instance", "entry-1"),
			HaveKeyWithValue("request", "r1"), HaveKeyWithValue("msg", events.Text(events.RequestAnswered)), HaveKey("time")))
		Expect(fields).To(HaveLen(1), "the caller's fields are not changed")
	})

	It("does not block on its output, and counts the lines that it drops", func() {
		out := blockedWriter{release: make(chan struct{})}
		l := events.NewLogTo(out, "info", "entry-1")
		for range 10000 {
			l.Info(events.RequestAnswered, nil)
		}
		Expect(l.Dropped()).To(BeNumerically(">", 5000))
		close(out.release)
		l.Close()
	})

	It("counts lines that could not be written", func() {
		l := events.NewLogTo(failingWriter{}, "info", "entry-1")
		l.Info(events.RequestAnswered, nil)
		l.Close()
		Expect(l.Dropped()).To(Equal(int64(1)))
	})
})

func BenchmarkInfo(b *testing.B) {
	l := events.NewLogTo(io.Discard, "info", "entry-1")
	b.ReportAllocs()
	for b.Loop() {
		l.Info(events.RequestAnswered, events.Fields{"request": "9c41d07be2a35f68", "bundleVersion": 4, "route": "r-2yhvz3p",
			"status": 200, "tookMs": 1500, "firstByteMs": 170, "endpoints": "i-9cf3e55595", "waitedMs": 0})
	}
}
