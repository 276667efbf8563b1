package caller

import (
	"testing"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/eventstream"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

// canceledExchange records whether it was canceled.
type canceledExchange struct {
	transport.Exchange
	canceled bool
}

func (x *canceledExchange) Cancel() { x.canceled = true }

// TestEventsOutOfOrderOfAFollowedClaim checks that events out of order end a request that
// follows another entry's attempt, whose endpoint is not a member of this entry's.
func TestEventsOutOfOrderOfAFollowedClaim(t *testing.T) {
	d := &dispatch{
		service: &Service{Dependencies: Dependencies{Log: events.NewLog("panic", "test")}},
		request: &request{},
	}
	x := &canceledExchange{}
	step := d.handleResult(t.Context(), attempt{}, x, outOfOrder{cause: &eventstream.OrderError{}})
	end, ok := step.(finish)
	if !ok || end.outcome != (outcome.Unknown{Reason: outcome.EventsOutOfOrder}) || !x.canceled {
		t.Errorf("handleResult() = %#v, canceled %v, want an unknown outcome and a canceled exchange", step, x.canceled)
	}
}
