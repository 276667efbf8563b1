package standin

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WorkerFault is the fault of a Worker in one request. Its integer values are part of the
// API of cmd/standin.
type WorkerFault int

// Faults of a Worker.
const (
	// NoFault runs the request and responds correctly.
	NoFault WorkerFault = iota
	// Shed rejects the request without running it.
	Shed
	// ErrorAfterRun runs the request and responds with status 500.
	ErrorAfterRun
	// DropResponse runs the request and closes the connection without a response, or
	// after half of the events of a stream.
	DropResponse
	// TruncateResponse closes the connection after half of the response.
	TruncateResponse
	// OmitSignature responds without the signature.
	OmitSignature
	// WrongAttemptID responds with the attempt id of another request.
	WrongAttemptID
	// UnavailableAfterRun runs the request and responds with status 503, without the
	// header that says that the request did not run.
	UnavailableAfterRun
	// Hang runs the request and never responds, or stops within a stream.
	Hang
	// DuplicateEvent sends one event of a stream twice.
	DuplicateEvent
	// TruncateEvent closes the connection within an event of a stream.
	TruncateEvent
	// IgnoreLastEventID sends a stream from its first event on, whatever the caller has.
	IgnoreLastEventID
)

// Run is a request that a Worker began to run.
type Run struct {
	// ID is the request's X-Attempt-Id.
	ID string
	// Target is the request URI.
	Target   string
	Header   http.Header
	At       time.Time
	Canceled bool
}

// RunLogLine is the line of JSON for one run in the file of the --record flag.
type RunLogLine struct {
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
}

// Worker stands in for an endpoint of the users' platform.
type Worker struct {
	// Name is the name of the endpoint.
	Name string
	// StepTime is the time of a plain request or of one event of a stream.
	StepTime time.Duration
	// Events is the number of events of a stream; 0 for plain responses.
	Events int
	// EventIDs are the ids of the events of a stream, in increasing order. If it is nil,
	// events have the ids from 1 to Events.
	EventIDs []int
	// MinResponseBytes is the least length of a plain response, which spaces fill up to it.
	MinResponseBytes int
	// Unframed makes streams have neither a length nor chunks: they end with their
	// connections.
	Unframed bool
	// OnRun is called as each run begins; it may be nil.
	OnRun func(Run)
	// Crash is called when a stream's first event is due. If it returns true, the
	// connection breaks instead; whoever sets Crash stops the worker. It may be nil.
	Crash func(Run) bool

	mu     sync.Mutex
	faults []WorkerFault
	runs   []*Run
	// limit is the request limit that responses name, in requests per second; 0 for none.
	limit float64
	// leaving is true if responses say that the endpoint is leaving.
	leaving bool
	// pauseUntil is until when every request is refused with a Retry-After of the rest.
	pauseUntil time.Time
	// refused has the times of the requests that were refused.
	refused []time.Time
	// misdirected counts the requests for another endpoint.
	misdirected int
}

// SetNextFaults sets the faults of the next requests, in order. Later requests have none.
func (k *Worker) SetNextFaults(f ...WorkerFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// SetLimit sets the request limit that responses name, in requests per second; 0 for
// none.
func (k *Worker) SetLimit(perSecond float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = perSecond
}

// SetLeaving makes responses say that the endpoint is leaving.
func (k *Worker) SetLeaving() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// Pause makes the endpoint refuse all requests for a time and say when it takes some
// again.
func (k *Worker) Pause(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pauseUntil = time.Now().Add(d)
}

// Refused returns the times of the requests that were refused.
func (k *Worker) Refused() []time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.refused)
}

// refuse responds that the request did not run.
func (k *Worker) refuse(w http.ResponseWriter) {
	k.mu.Lock()
	k.refused = append(k.refused, time.Now())
	rest := time.Until(k.pauseUntil)
	k.mu.Unlock()
	if rest > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// paused reports whether the endpoint refuses all requests.
func (k *Worker) paused() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Now().Before(k.pauseUntil)
}

// describeState adds to a response what the endpoint says of itself.
func (k *Worker) describeState(h http.Header) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		h.Set("Server-Leaving", "1")
	}
	if k.limit > 0 {
		h.Set("Server-Limit", strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
}

// Runs returns the requests that ran, in order.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Run, len(k.runs))
	for i, r := range k.runs {
		out[i] = *r
	}
	return out
}

// Misdirected returns the number of requests that were for another endpoint.
func (k *Worker) Misdirected() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.misdirected
}

// nextFault removes and returns the fault of the next request.
func (k *Worker) nextFault() WorkerFault {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.faults) == 0 {
		return NoFault
	}
	f := k.faults[0]
	k.faults = k.faults[1:]
	return f
}

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != k.Name {
		k.mu.Lock()
		k.misdirected++
		k.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := k.nextFault()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	k.describeState(w.Header())
	if f == Shed || k.paused() {
		k.refuse(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := &Run{ID: r.Header.Get("X-Attempt-Id"), Target: r.RequestURI, Header: r.Header.Clone(), At: time.Now()}
	k.mu.Lock()
	k.runs = append(k.runs, run)
	k.mu.Unlock()
	if k.OnRun != nil {
		k.OnRun(*run)
	}
	if k.Events > 0 {
		k.respondStream(w, r, f, run)
		return
	}
	k.respondPlain(w, r, f, run, body)
}

// sleep waits for d. If the request is canceled, it records that and returns false.
func (k *Worker) sleep(r *http.Request, run *Run, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		k.mu.Lock()
		run.Canceled = true
		k.mu.Unlock()
		return false
	}
}

// PlainResponse is the body of the response to the request with the id.
func PlainResponse(id string) string { return "done " + id + "\n" }

// respondPlain runs a request and sends a plain response.
func (k *Worker) respondPlain(w http.ResponseWriter, r *http.Request, f WorkerFault, run *Run, _ []byte) {
	if !k.sleep(r, run, k.StepTime) {
		return
	}
	response := PlainResponse(run.ID)
	if rest := k.MinResponseBytes - len(response); rest > 0 {
		response += strings.Repeat(" ", rest)
	}
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	switch f {
	case ErrorAfterRun:
		w.WriteHeader(http.StatusInternalServerError)
	case UnavailableAfterRun:
		w.WriteHeader(http.StatusServiceUnavailable)
	case DropResponse:
		panic(http.ErrAbortHandler)
	case Hang:
		<-r.Context().Done()
		return
	case OmitSignature:
		w.Header().Del("X-Upstream-Signature")
	case WrongAttemptID:
		w.Header().Set("X-Attempt-Id", "another")
	case TruncateResponse:
		_, _ = io.WriteString(w, response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, response)
}

// StreamEvent is the event with the id, in every stream.
func StreamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: word%d\n\n", id, id) }

// EventIDs returns n ids of events, from step on and step apart.
func EventIDs(n, step int) []int {
	ids := make([]int, n)
	for i := range ids {
		ids[i] = (i + 1) * step
	}
	return ids
}

// Stream returns a stream with the events of the ids.
func Stream(ids []int) string {
	var text strings.Builder
	for _, id := range ids {
		text.WriteString(StreamEvent(id))
	}
	return text.String()
}

// eventIDs returns the ids of the events of a stream that goes on after lastID, or starts
// if lastID is empty.
func (k *Worker) eventIDs(lastID string) []int {
	ids := k.EventIDs
	if ids == nil {
		ids = EventIDs(k.Events, 1)
	}
	last, err := strconv.Atoi(lastID)
	if err != nil {
		return ids
	}
	first := slices.IndexFunc(ids, func(id int) bool { return id > last })
	if first < 0 {
		return nil
	}
	return ids[first:]
}

// respondStream runs a request and sends the events after Last-Event-Id. Faults occur
// half-way.
func (k *Worker) respondStream(w http.ResponseWriter, r *http.Request, f WorkerFault, run *Run) {
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	if k.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	flush := http.NewResponseController(w).Flush
	lastID := r.Header.Get("Last-Event-Id")
	if f == IgnoreLastEventID {
		lastID = ""
	}
	ids := k.eventIDs(lastID)
	half := len(ids)/2 - 1
	for i, id := range ids {
		if !k.sleep(r, run, k.StepTime) {
			return
		}
		if i == 0 && k.Crash != nil && k.Crash(*run) {
			panic(http.ErrAbortHandler)
		}
		text := StreamEvent(id)
		switch {
		case i == half && f == DropResponse:
			panic(http.ErrAbortHandler)
		case i == half && f == TruncateEvent:
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush()
			if k.Unframed {
				return
			}
			panic(http.ErrAbortHandler)
		case i == half && f == DuplicateEvent:
			text += text
		case i == half && f == Hang:
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, text)
		_ = flush()
	}
}
