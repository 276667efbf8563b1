package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// endpoint stands in for a server of the users' platform. It runs slots requests at a time,
// queues some more, and turns others away as not executed.
type endpoint struct {
	name    string
	address string
	// places bounds the requests that run or wait.
	slots, places chan struct{}
	// work is how long a request runs before the response begins.
	work time.Duration
	// events is the number of events of a stream, gap the time between them; with 0 events
	// the response is plain and has bytes bytes.
	events int
	gap    time.Duration
	bytes  int
	// weights is the version of the weights; empty for an endpoint without.
	weights string

	mu   sync.Mutex
	runs map[string]int
}

// serve listens at a free port and serves until the process ends.
func (e *endpoint) serve(slots, queue int) error {
	e.slots, e.places, e.runs = make(chan struct{}, slots), make(chan struct{}, slots+queue), map[string]int{}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	go func() { _ = http.Serve(l, e) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.name {
		w.Header().Set("X-Instance-Id", e.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Version"); want != "" && e.weights != "" && want != e.weights {
		w.Header().Set("X-Instance-Id", e.name)
		w.Header().Set("X-Weight-Versions", e.weights)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.places <- struct{}{}:
		defer func() { <-e.places }()
	default:
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-r.Context().Done():
		return
	}
	// A server that closes a connection with unread bytes resets it.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	time.Sleep(e.work)
	w.Header().Set("X-Upstream-Signature", "s."+e.name+"."+id)
	if e.weights != "" {
		w.Header().Set("X-Weight-Versions", e.weights)
	}
	if e.events == 0 {
		body := strings.Repeat("x", e.bytes)
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write([]byte(body))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= e.events; i++ {
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("w", 48))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.gap)
	}
}

// ranHere returns how often the request with the id ran.
func (e *endpoint) ranHere(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}
