package endpoint_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/request/transport"
	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// responseBytes is the length of a response that would be buffered whole, and room
	// what there is room for.
	responseBytes = 512 << 10
	room          = 64 << 10
)

// countedRoom is a budget of room bytes.
type countedRoom struct{ left, peak int64 }

func (r *countedRoom) TryTake(n int64) bool {
	if n > r.left {
		return false
	}
	r.left -= n
	r.peak = max(r.peak, room-r.left)
	return true
}

func (r *countedRoom) Give(n int64) { r.left += n }

// quiet ignores observations.
type quiet struct{}

func (quiet) Observe(endpoint.Observation) {}

// exchangeWithRoom requests a response and returns the length of each of its parts.
func exchangeWithRoom(t *testing.T, r endpoint.Room, framing func(http.Header)) []int {
	n := standin.NewNetwork()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		framing(w.Header())
		_, _ = w.Write([]byte(strings.Repeat("r", responseBytes)))
	})}
	l := n.Listen(endpointAddress)
	go func() { _ = s.Serve(l) }()
	defer func() {
		n.Close()
		_ = s.Close()
	}()
	dial := func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) }
	c := endpoint.NewClientWithDialer(netip.MustParseAddrPort(endpointAddress), dial)
	a := endpoint.Attempt{Call: endpoint.Call{Method: http.MethodGet, Target: "/", Header: http.Header{}}, Room: r}
	x := endpoint.NewDirectClient("one", c, trustAll{}, quiet{}).Begin(t.Context(), a)
	defer x.Close()
	var parts []int
	for {
		e, err := x.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		switch k := e.(type) {
		case transport.Data:
			parts = append(parts, len(k.Payload))
		case transport.End:
			return parts
		case transport.Broken, transport.Refused, transport.Failed:
			t.Fatalf("response ended with %#v", e)
		}
	}
}

// TestResponsesAreBufferedAsFarAsThereIsRoom checks that a response for which there is no
// room is passed on in parts, complete, and that its room is given back.
func TestResponsesAreBufferedAsFarAsThereIsRoom(t *testing.T) {
	framings := map[string]func(http.Header){
		"length": func(h http.Header) { h.Set("Content-Length", strconv.Itoa(responseBytes)) },
		"chunks": func(h http.Header) { h.Set("Transfer-Encoding", "chunked") },
	}
	for name, framing := range framings {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &countedRoom{left: room}
				sum := 0
				for _, part := range exchangeWithRoom(t, r, framing) {
					if part > room {
						t.Errorf("a part of %d bytes, there is room for %d", part, room)
					}
					sum += part
				}
				if sum != responseBytes {
					t.Errorf("%d bytes, want %d", sum, responseBytes)
				}
				if r.left != room {
					t.Errorf("%d bytes of room are left, want %d", r.left, room)
				}
			})
		})
	}
}

// TestResponsesWithRoomAreBufferedWhole checks that a response is complete before any of
// it is passed on, so that a broken one can be repeated.
func TestResponsesWithRoomAreBufferedWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := exchangeWithRoom(t, &countedRoom{left: 4 * responseBytes}, func(h http.Header) { h.Set("Content-Length", strconv.Itoa(responseBytes)) })
		if len(parts) != 1 || parts[0] != responseBytes {
			t.Errorf("parts %v, want one of %d bytes", parts, responseBytes)
		}
	})
}
