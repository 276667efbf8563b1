package entry

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/response"
	"github.com/cicadareel/cicadareel/internal/standin"
)

// executeAt runs one request with the body at a stand-in and returns the parts of its
// response.
func executeAt(t *testing.T, s *standin.RawServer, idempotent bool, body []byte, times int) [][]response.Part {
	t.Helper()
	client := endpoint.NewClient(standin.StartRawServer(t, s))
	all := [][]response.Part{}
	for range times {
		r := newRun(context.Background(), &wire.Begin{
			Id: &wire.AttemptId{RequestId: "r", Number: 1}, Method: "POST", Target: "/x", Idempotent: idempotent,
			Remaining: durationpb.New(time.Minute), Body: body,
		}, time.Now())
		_, _ = r.execute(client)
		r.cancel()
		all = append(all, partsOf(r))
	}
	return all
}

// TestBrokenResponseIsLogged checks that a sidecar logs why a response is broken.
func TestBrokenResponseIsLogged(t *testing.T) {
	m, err := metrics.NewMetrics()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	var lines bytes.Buffer
	log := events.NewLogTo(&lines, "info", "sidecar-1")
	client := endpoint.NewClient(standin.StartRawServer(t, &standin.RawServer{Response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", Ending: standin.Close{}}))
	g := gate.NewGate("i", gate.Config{ColdLimit: 1, WarmLimit: 1}, func() (outcome.Reason, bool) { return "", false })
	s := NewServer(ctx, "desk-1", "i", g, client, log, m)
	r := newRun(ctx, beginFrame("r", g), time.Now())
	s.startRun(r)
	s.Drain(ctx)
	stop()
	s.Wait()
	log.Close()
	for _, want := range []string{`"event":408`, `"request":"r"`, `"endpoint":"desk-1"`, `"begun":true`, `"error":"unexpected EOF"`} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the log has no %s: %s", want, lines.String())
		}
	}
}

// partsOf returns the parts of a response that has ended.
func partsOf(r *run) []response.Part {
	parts := []response.Part{}
	headSent, offset := false, int64(0)
	for {
		p := r.response.Next(headSent, offset)
		parts = append(parts, p)
		switch k := p.(type) {
		case response.PartHead:
			headSent = true
		case response.PartData:
			offset += int64(len(k.Payload))
		default:
			return parts
		}
	}
}

// expectBroken checks that a response failed, and says that the request may have run.
func expectBroken(t *testing.T, parts []response.Part) {
	t.Helper()
	want := response.PartFailed{Failure: response.Failure{MayHaveRun: true, Reason: string(outcome.EndpointBroke)}}
	if last := parts[len(parts)-1]; last != want {
		t.Errorf("the response ended with %#v, want %#v", last, want)
	}
}

// expectWhole checks that a response has the body.
func expectWhole(t *testing.T, parts []response.Part, body string) {
	t.Helper()
	got := ""
	for _, p := range parts {
		if d, ok := p.(response.PartData); ok {
			got += string(d.Payload)
		}
	}
	if _, ok := parts[len(parts)-1].(response.PartEnd); !ok || got != body {
		t.Errorf("body %q, then %#v, want %q", got, parts[len(parts)-1], body)
	}
}

const (
	// uploadBytes exceeds what the buffers of a connection hold.
	uploadBytes = 8 << 20
	// resetAttempts is the number of attempts at an endpoint that resets its connections:
	// which side of a connection gets the reset differs from attempt to attempt.
	resetAttempts = 50
	unframed      = "HTTP/1.1 200 OK\r\n\r\npart"
)

func TestResetDuringUpload(t *testing.T) {
	for name, idempotent := range map[string]bool{"once": false, "idempotent": true} {
		t.Run(name, func(t *testing.T) {
			s := &standin.RawServer{Response: unframed, Ending: standin.Reset{}}
			for _, parts := range executeAt(t, s, idempotent, make([]byte, uploadBytes), resetAttempts) {
				expectBroken(t, parts)
			}
		})
	}
}

func TestResponseEndedByConnection(t *testing.T) {
	for name, e := range map[string]standin.Ending{"upload read": standin.Close{}, "upload left": standin.HalfClose{}} {
		t.Run(name, func(t *testing.T) {
			for _, parts := range executeAt(t, &standin.RawServer{Response: unframed, Ending: e}, true, make([]byte, uploadBytes), 5) {
				expectWhole(t, parts, "part")
			}
		})
	}
}
