package entry

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
)

// TestGateOpensBeforeFirstTick checks that entries are told of a gate that opens
// before the server's goroutines run for the first time.
func TestGateOpensBeforeFirstTick(t *testing.T) {
	// On one processor a new goroutine starts only when this one waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		m, err := metrics.NewMetrics()
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
		s := NewServer(ctx, "e", "i", g, endpoint.NewClient(unreachableAddress), events.NewLog("panic", "test"), m)
		defer s.Wait()
		defer stop()
		x := newSession(s, silentStream{ctx: ctx})
		defer x.cancel()
		s.addSession(x)
		g.ApplyLoadReport(false, 0)
		time.Sleep(2 * tickInterval)
		synctest.Wait()
		expectOpenGate(t, x.outgoing)
	})
}

// expectOpenGate checks that a frame with an open gate is queued.
func expectOpenGate(t *testing.T, frames <-chan *wire.SidecarFrame) {
	t.Helper()
	select {
	case f := <-frames:
		if !f.GetGate().GetOpen() {
			t.Fatal("the frame says that the gate is closed")
		}
	default:
		t.Fatal("no frame says that the gate is open")
	}
}
