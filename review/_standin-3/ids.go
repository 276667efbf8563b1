package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamClients is the number of clients, each of which asks for streamsEach streams.
	streamClients, streamsEach = 5, 4
	// streamEvents is the number of events of a stream, and tokensPerEvent by how much their
	// ids increase: an event of a stream of the site holds so many tokens.
	streamEvents, tokensPerEvent = 28, 5
)

// ids has model workers that number the events of a stream by the tokens made so far.
func ids(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	s.put("op", "config", config(1,
		[]route{newRoute("streaming", "/brief/", "reel-lm", 8000, 400), newRoute("unsafe", "/book/", "booking-app", 1500, 300)},
		[]map[string]any{plainService("reel-lm"), plainService("booking-app")}))
	step := 1
	if c.trouble {
		step = tokensPerEvent
	}
	ran := &attempts{ids: map[string]bool{}}
	var workers []*worker
	for i, zone := range []string{"espoo-a", "vantaa-b", "helsinki-c"} {
		book, model := fmt.Sprintf("i-book-%d", i), fmt.Sprintf("i-model-%d", i)
		workers = append(workers, startWorker(s, book, "booking-app", zone, 6, plainWorker(c, book, ran)),
			startWorker(s, model, "reel-lm", zone, 12, streamWorker(c, model, step, ran)))
	}
	go heartbeats(workers)
	entries := startEntries(c.dir, storeListener.Addr().String(), []string{"espoo-a", "vantaa-b"}, memoryMB)
	time.Sleep(2 * time.Second)

	c.record.line("the ids of events increase by %d", step)
	var clients sync.WaitGroup
	var lost, whole atomic.Int64
	for i := range streamClients {
		clients.Go(func() {
			for n := range streamsEach {
				switch askForStream(c, entries[i%len(entries)], fmt.Sprintf("stream-%d-%d", i, n), ran) {
				case streamWhole:
					whole.Add(1)
				case streamLost:
					lost.Add(1)
				}
			}
		})
	}
	clients.Wait()
	c.record.line("of %d streams %d are whole; %d ran, and their kept connections were closed without the answer", streamClients*streamsEach, whole.Load(), lost.Load())
	return lost.Load() <= lossesAllowed
}

// streamResult is what became of a stream.
type streamResult int

const (
	streamOther streamResult = iota
	streamWhole
	streamLost
)

// askForStream books on a connection, and then asks for a stream on it.
func askForStream(c *context, e *entry, id string, ran *attempts) streamResult {
	k, err := connect(e.callers)
	if err != nil {
		fail("connect: %v", err)
	}
	defer func() { _ = k.conn.Close() }()
	resp, _, err := k.send(head("POST", "/book/1", "first-"+id, 3*time.Second, 0), 3*time.Second)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		fail("first request: %v", err)
	}
	c.record.line("%s sent to %s", id, e.name)
	resp, body, err := k.send(head("POST", "/brief/1", id, 8*time.Second, 0), 8*time.Second)
	status := 0
	if resp != nil {
		status = resp.StatusCode
	}
	events := strings.Count(string(body), "\n\n")
	c.record.line("%s: status %d, %d of %d events: %v", id, status, events, streamEvents, err)
	switch {
	case err == nil && status == http.StatusOK && events == streamEvents:
		return streamWhole
	case err != nil && ran.contains(id):
		return streamLost
	}
	return streamOther
}

// streamWorker returns a model worker whose events have ids that increase by step.
func streamWorker(c *context, id string, step int, ran *attempts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if misdirected(w, r, id) {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		c.record.line("%s runs %s", id, attempt)
		ran.add(attempt)
		h := w.Header()
		h.Set("X-Attempt-Id", attempt)
		h.Set("X-Upstream-Signature", "3e1b.07.5a2."+attempt)
		h.Set("X-Weight-Versions", "1")
		h.Set("Content-Type", "text/event-stream")
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for event := after/step + 1; event <= streamEvents; event++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: five tokens of a draft\n\n", event*step); err != nil {
				c.record.line("%s was cut off from %s at event %d", id, attempt, event)
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
		}
		c.record.line("%s has written all events of %s", id, attempt)
	})
}
