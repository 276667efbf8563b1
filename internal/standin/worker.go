package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// WorkerFault is how a Worker treats one request.
type WorkerFault int

// Faults.
const (
	// NoFault answers as asked.
	NoFault WorkerFault = iota
	// Shed refuses without running the request.
	Shed
	// ErrorAfterRun runs the request and answers with a failure.
	ErrorAfterRun
	// DropResponse runs the request and closes the connection.
	DropResponse
	// TruncateResponse sends half of the answer.
	TruncateResponse
	// OmitSignature answers without its signature.
	OmitSignature
	// WrongAttemptID answers with the id of another request.
	WrongAttemptID
	// UnavailableAfterRun runs the request and answers 503 without saying that it did not.
	UnavailableAfterRun
	// Hang runs the request and never answers.
	Hang
	// DuplicateEvent sends one event of a stream twice.
	DuplicateEvent
	// TruncateEvent ends a stream within an event.
	TruncateEvent
)

// Run is a request that a Worker began to work on.
type Run struct {
	ID       string
	Target   string
	Header   http.Header
	At       time.Time
	Canceled bool
}

// RunLogLine is a run as a line of a file.
type RunLogLine struct {
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
}

// Worker stands in for an endpoint of the users' platform.
type Worker struct {
	// Name is its id.
	Name string
	// StepTime is the time that a request takes; for a stream, the time of an event.
	StepTime time.Duration
	// Events is the number of events of a stream; 0 for a plain answer.
	Events int
	// OnRun is told of each run as it begins; nil if nobody is.
	OnRun func(Run)

	mu     sync.Mutex
	faults []WorkerFault
	runs   []*Run
	// misdirected counts requests meant for another endpoint.
	misdirected int
}

// NextFaults sets how the next requests are treated; later ones are sound.
func (k *Worker) NextFaults(f ...WorkerFault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// Runs returns the requests that ran.
func (k *Worker) Runs() []Run {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]Run, len(k.runs))
	for i, r := range k.runs {
		out[i] = *r
	}
	return out
}

// Misdirected returns the number of requests that were meant for another endpoint.
func (k *Worker) Misdirected() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.misdirected
}

func (k *Worker) fault() WorkerFault {
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
	f := k.fault()
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if f == Shed {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
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
		k.stream(w, r, f, run)
		return
	}
	k.plain(w, r, f, run, body)
}

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

// PlainResponse is the whole answer to a request with the id.
func PlainResponse(id string) string { return "done " + id + "\n" }

func (k *Worker) plain(w http.ResponseWriter, r *http.Request, f WorkerFault, run *Run, _ []byte) {
	if !k.sleep(r, run, k.StepTime) {
		return
	}
	answer := PlainResponse(run.ID)
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
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
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// StreamEvent is the text of one event of every stream.
func StreamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: word%d\n\n", id, id) }

func (k *Worker) stream(w http.ResponseWriter, r *http.Request, f WorkerFault, run *Run) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	half := (from + k.Events) / 2
	for id := from + 1; id <= k.Events; id++ {
		if !k.sleep(r, run, k.StepTime) {
			return
		}
		text := StreamEvent(id)
		switch {
		case id == half && f == DropResponse:
			panic(http.ErrAbortHandler)
		case id == half && f == TruncateEvent:
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush()
			panic(http.ErrAbortHandler)
		case id == half && f == DuplicateEvent:
			text += text
		case id == half && f == Hang:
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, text)
		_ = flush()
	}
}
