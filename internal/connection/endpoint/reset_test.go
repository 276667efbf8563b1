package endpoint_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/request/transport"
	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// uploadBytes exceeds what the buffers of a connection hold.
	uploadBytes = 8 << 20
	// resetAttempts is the number of attempts at an endpoint that resets its connections:
	// which side of a connection gets the reset differs from attempt to attempt.
	resetAttempts = 50
	unframedHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	unframedBody  = "id: 1\ndata: a\n\n"
)

// attemptAt makes one attempt over a real connection and returns the body and the last event.
func attemptAt(t *testing.T, at netip.AddrPort, a endpoint.Attempt) (string, transport.Event) {
	t.Helper()
	a.Method, a.Target, a.Header = http.MethodPost, "/x", http.Header{}
	x := endpoint.NewDirectClient("one", endpoint.NewClient(at), trustAll{}, quiet{}).Begin(t.Context(), a)
	defer x.Close()
	body := strings.Builder{}
	for {
		e, err := x.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		switch k := e.(type) {
		case transport.Head:
		case transport.Data:
			body.Write(k.Payload)
		default:
			return body.String(), e
		}
	}
}

func isBroken(e transport.Event) bool {
	_, ok := e.(transport.Broken)
	return ok
}

// attemptKinds are the ways in which a response is read.
var attemptKinds = map[string]endpoint.Attempt{"buffered": {}, "streamed": {Stream: true}}

// TestResetDuringUpload checks that a response without a length whose connection is reset is
// broken, also if the reset meets the upload.
func TestResetDuringUpload(t *testing.T) {
	for name, a := range attemptKinds {
		t.Run(name, func(t *testing.T) {
			at := standin.StartRawServer(t, &standin.RawServer{Response: unframedHead + unframedBody, Ending: standin.Reset{}})
			a.Body = make([]byte, uploadBytes)
			complete := 0
			for range resetAttempts {
				if _, last := attemptAt(t, at, a); !isBroken(last) {
					complete++
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d responses that were reset count as complete", complete, resetAttempts)
			}
		})
	}
}

// TestCutAnywhere checks that a response that is cut before its end is broken, however its
// connection ends.
func TestCutAnywhere(t *testing.T) {
	responses := map[string]string{
		"before the head":           "",
		"within the status line":    "HTTP/1.1 20",
		"within the head":           "HTTP/1.1 200 OK\r\nX:",
		"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\n",
		"within a length":           "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"within a chunk":            chunkedHead + "9\r\npart",
		"between chunks":            chunkedHead + "4\r\npart\r\n",
		"before the last line":      chunkedHead + "4\r\npart\r\n0\r\n",
	}
	for cut, response := range responses {
		for name, a := range attemptKinds {
			t.Run(cut+", "+name, func(t *testing.T) {
				for _, e := range []standin.Ending{standin.Reset{}, standin.Close{}, standin.HalfClose{}} {
					at := standin.StartRawServer(t, &standin.RawServer{Response: response, Ending: e})
					for _, size := range []int{0, 1 << 10, uploadBytes} {
						a.Body = make([]byte, size)
						if body, last := attemptAt(t, at, a); !isBroken(last) {
							t.Errorf("%T, upload of %d bytes: body %q, then %#v", e, size, body, last)
						}
					}
				}
			})
		}
	}
}

// TestResponseEndedByConnection checks that a response without a length is complete if the
// endpoint ends its side of the connection in order.
func TestResponseEndedByConnection(t *testing.T) {
	endings := map[string]standin.Ending{"upload read": standin.Close{}, "upload left": standin.HalfClose{}}
	for ending, e := range endings {
		for name, a := range attemptKinds {
			t.Run(ending+", "+name, func(t *testing.T) {
				at := standin.StartRawServer(t, &standin.RawServer{Response: unframedHead + unframedBody, Ending: e})
				for _, size := range []int{0, 1 << 10, uploadBytes} {
					a.Body = make([]byte, size)
					for range resetAttempts / 5 {
						body, last := attemptAt(t, at, a)
						if _, ok := last.(transport.End); !ok || body != unframedBody {
							t.Errorf("upload of %d bytes: body %q, then %#v", size, body, last)
						}
					}
				}
			})
		}
	}
}
