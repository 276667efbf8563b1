package entry

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
)

// FuzzFrame feeds arbitrary frames to a session with a closed gate: none may
// crash the sidecar or reach the endpoint.
func FuzzFrame(f *testing.F) {
	for _, frame := range []*wire.EntryFrame{
		{},
		{Kind: &wire.EntryFrame_Begin{Begin: &wire.Begin{Id: &wire.AttemptId{RequestId: "r", Number: 1}, Method: "POST", Target: "/x"}}},
		{Kind: &wire.EntryFrame_Resume{Resume: &wire.Resume{Offset: -1}}},
		{Kind: &wire.EntryFrame_Acknowledge{Acknowledge: &wire.Acknowledge{Offset: -5}}},
		{Kind: &wire.EntryFrame_Cancel{}},
	} {
		encoded, err := proto.Marshal(frame)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	m, err := metrics.NewMetrics()
	if err != nil {
		f.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return outcome.Held, true })
	s := NewServer(ctx, "e", "i", g, endpoint.NewClient(unreachableAddress), events.NewLog("panic", "fuzz"), m)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		frame := &wire.EntryFrame{}
		if proto.Unmarshal(encoded, frame) != nil {
			return
		}
		c := newSession(s, silentStream{ctx: ctx})
		_ = c.handleIfOpen(frame)
		c.cancel()
		c.senders.Wait()
		if g.State().InFlight != 0 {
			t.Fatal("a frame reached the endpoint")
		}
	})
}

// TestMalformedFrame checks that a malformed frame ends only its own stream.
func TestMalformedFrame(t *testing.T) {
	m, err := metrics.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
	s := NewServer(ctx, "e", "i", g, endpoint.NewClient(unreachableAddress), events.NewLog("panic", "test"), m)
	bad := &wire.EntryFrame{Kind: &wire.EntryFrame_Begin{Begin: &wire.Begin{}}}
	good := &wire.EntryFrame{Kind: &wire.EntryFrame_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: 1}}}
	ended := make(chan error, 2)
	badStream, goodStream := newScriptedStream(ctx, bad), newScriptedStream(ctx, good)
	go func() { ended <- s.Work(badStream) }()
	go func() { _ = s.Work(goodStream) }()
	if err := <-ended; err == nil {
		t.Fatal("a malformed frame was accepted")
	}
	select {
	case <-goodStream.replied:
	case <-time.After(time.Minute):
		t.Fatal("the other stream got no reply to its heartbeat")
	}
}
