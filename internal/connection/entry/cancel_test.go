package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
)

// withSession runs a body with a session whose gate admits one attempt at a time.
func withSession(t *testing.T, body func(x *session, g *gate.Gate)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m, err := metrics.NewMetrics()
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
		s := NewServer(ctx, "e", "i", g, endpoint.NewClient(unreachableAddress), events.NewLog("panic", "test"), m)
		x := newSession(s, silentStream{ctx: ctx})
		g.ApplyLoadReport(false, 0)
		body(x, g)
		x.cancel()
		x.senders.Wait()
		stop()
		s.Wait()
	})
}

func beginFrame(id string, g *gate.Gate) *wire.Begin {
	return &wire.Begin{
		Id: &wire.AttemptId{RequestId: id, Number: 1}, Method: "POST", Target: "/x", Idempotent: true,
		Incarnation: "i", Epoch: g.State().Epoch, Remaining: durationpb.New(time.Minute),
	}
}

// TestCancelBeforeStart checks that a cancellation between the admission of an attempt
// and the start of its run neither crashes the process nor is lost.
func TestCancelBeforeStart(t *testing.T) {
	withSession(t, func(x *session, g *gate.Gate) {
		r := x.newRun(beginFrame("r", g))
		x.attach(r)
		x.cancelAttempt("r")
		if r.ctx.Err() == nil {
			t.Error("the run was not canceled")
		}
		x.detach(r)
	})
}

// TestCancelWhileAdmissionArrives checks that a cancellation is not lost if the gate has
// admitted the attempt, but the session does not know yet.
func TestCancelWhileAdmissionArrives(t *testing.T) {
	withSession(t, func(x *session, g *gate.Gate) {
		r := x.newRun(beginFrame("r", g))
		x.addQueued(r)
		x.cancelAttempt("r")
		if r.ctx.Err() == nil {
			t.Error("the run was not canceled")
		}
		x.removeQueued("r")
	})
}

// TestCancelWithTwoReaders checks that a run can be canceled after one of two readers on
// a stream has ended.
func TestCancelWithTwoReaders(t *testing.T) {
	withSession(t, func(x *session, g *gate.Gate) {
		r := x.newRun(beginFrame("r", g))
		x.attach(r)
		x.attach(r)
		x.detach(r)
		x.cancelAttempt("r")
		if r.ctx.Err() == nil {
			t.Error("the run was not canceled")
		}
		x.detach(r)
	})
}
