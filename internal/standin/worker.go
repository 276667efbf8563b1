package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Fault is how a Worker treats one request.
type Fault int

// Faults.
const (
	// Sound answers as asked.
	Sound Fault = iota
	// Sheds refuses without running the request.
	Sheds
	// Fails runs the request and answers with a failure.
	Fails
	// LosesAnswer runs the request and closes the connection.
	LosesAnswer
	// Truncates sends half of the answer.
	Truncates
	// Unsigned answers without its signature.
	Unsigned
	// Confuses answers with the id of another request.
	Confuses
	// ClaimsBusy runs the request and answers 503 without saying that it did not.
	ClaimsBusy
	// Stalls runs the request and never answers.
	Stalls
	// Doubles sends one event of a stream twice.
	Doubles
	// Tears ends a stream within an event.
	Tears
)

// Run is a request that a Worker began to work on.
type Run struct {
	ID       string
	Target   string
	Header   http.Header
	At       time.Time
	Canceled bool
}

// RunLine is a run as a line of a file.
type RunLine struct {
	ID       string    `json:"id"`
	Endpoint string    `json:"endpoint"`
	At       time.Time `json:"at"`
}

// Worker stands in for an endpoint of the users' platform.
type Worker struct {
	// Name is its id.
	Name string
	// Work is the time that a request takes; for a stream, the time of an event.
	Work time.Duration
	// Events is the number of events of a stream; 0 for a plain answer.
	Events int
	// Record is told of each run as it begins; nil if nobody is.
	Record func(Run)

	mu     sync.Mutex
	faults []Fault
	runs   []*Run
	// misdirected counts requests meant for another endpoint.
	misdirected int
}

// NextFaults sets how the next requests are treated; later ones are sound.
func (k *Worker) NextFaults(f ...Fault) {
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

func (k *Worker) fault() Fault {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.faults) == 0 {
		return Sound
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
	if f == Sheds {
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
	if k.Record != nil {
		k.Record(*run)
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

// PlainAnswer is the whole answer to a request with the id.
func PlainAnswer(id string) string { return "done " + id + "\n" }

func (k *Worker) plain(w http.ResponseWriter, r *http.Request, f Fault, run *Run, _ []byte) {
	if !k.sleep(r, run, k.Work) {
		return
	}
	answer := PlainAnswer(run.ID)
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	switch f {
	case Fails:
		w.WriteHeader(http.StatusInternalServerError)
	case ClaimsBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
	case LosesAnswer:
		panic(http.ErrAbortHandler)
	case Stalls:
		<-r.Context().Done()
		return
	case Unsigned:
		w.Header().Del("X-Upstream-Signature")
	case Confuses:
		w.Header().Set("X-Attempt-Id", "another")
	case Truncates:
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// Event is the text of one event of every stream.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: word%d\n\n", id, id) }

func (k *Worker) stream(w http.ResponseWriter, r *http.Request, f Fault, run *Run) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Upstream-Signature", k.Name+"."+run.ID)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	half := (from + k.Events) / 2
	for id := from + 1; id <= k.Events; id++ {
		if !k.sleep(r, run, k.Work) {
			return
		}
		text := Event(id)
		switch {
		case id == half && f == LosesAnswer:
			panic(http.ErrAbortHandler)
		case id == half && f == Tears:
			_, _ = io.WriteString(w, text[:len(text)/2])
			_ = flush()
			panic(http.ErrAbortHandler)
		case id == half && f == Doubles:
			text += text
		case id == half && f == Stalls:
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, text)
		_ = flush()
	}
}
