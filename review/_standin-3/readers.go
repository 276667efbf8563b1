package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// answerBytes is the length of the answer that the readers read. They wait for up to
	// readDeadline, which is also the route's timeout, and readWindow is their receive buffer.
	answerBytes  = 1_000_000
	readDeadline = 8 * time.Second
	readWindow   = 16 << 10
	// pausingReaders is the number of clients that read with a pause, and lossesAllowed how
	// many of their answers may be cut.
	pausingReaders = 8
	lossesAllowed  = 3
	// beforePause is what they read at once; readPause is the pause after it.
	beforePause = 100_000
	readPause   = 3 * time.Second
	// crowdDelay is the time from their requests to the crowd.
	crowdDelay = 300 * time.Millisecond
)

// readers has clients that read a large answer with a pause, within their deadline, while
// others send many large bodies of legal size piece by piece.
func readers(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	s.put("op", "config", config(1,
		[]route{newRoute("streaming", "/brief/", "reel-lm", 8000, 400), newRoute("unsafe", "/export/", "booking-app", int(readDeadline.Milliseconds()), 300)},
		[]map[string]any{plainService("reel-lm"), plainService("booking-app")}))
	workers := exportWorkers(c, s)
	go heartbeats(workers)
	e := startEntries(c.dir, storeListener.Addr().String(), []string{"espoo-a", "vantaa-b"}, memoryMB)[0]
	time.Sleep(2 * time.Second)

	done := make(chan struct{})
	var clients, others sync.WaitGroup
	var lost atomic.Int64
	for i := range pausingReaders {
		clients.Go(func() {
			if !readWithPause(c, e, fmt.Sprintf("reader-%d", i)) {
				lost.Add(1)
			}
		})
	}
	time.Sleep(crowdDelay)
	counts := &crowdCounts{}
	if c.trouble {
		c.record.line("the crowd of %d clients begins", crowdPerEntry)
		startCrowd(&others, e, counts, done, func(k *client, id string) { sendPieces(k, usualFields(id), counts, done) })
	}
	clients.Wait()
	close(done)
	others.Wait()
	c.record.line("the crowd: %d heads and %d pieces of bodies sent, %d answered, %d cut", counts.requests.Load(), counts.pieces.Load(), counts.answers.Load(), counts.cuts.Load())
	c.record.line("%d of %d readers' answers were cut; %s holds %d MB", lost.Load(), pausingReaders, e.name, e.memory("VmRSS")/1_000_000)
	return lost.Load() <= lossesAllowed
}

// exportWorkers starts workers whose answer to /export/all has answerBytes.
func exportWorkers(c *context, s *store) []*worker {
	var workers []*worker
	for i, zone := range []string{"espoo-a", "vantaa-b", "helsinki-c"} {
		id := fmt.Sprintf("i-book-%d", i)
		workers = append(workers, startWorker(s, id, "booking-app", zone, 6, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if misdirected(w, r, id) {
				return
			}
			size := 800
			if r.URL.Path == "/export/all" {
				size = answerBytes
			}
			attempt := r.Header.Get("X-Attempt-Id")
			c.record.line("%s runs %s", id, attempt)
			time.Sleep(60 * time.Millisecond)
			answer(w, r, make([]byte, size))
			c.record.line("%s has handed over its whole answer to %s", id, attempt)
		})))
	}
	return workers
}

// readWithPause sends a request on a kept connection and reads its answer with a pause. It
// returns false if the connection ended without the whole answer.
func readWithPause(c *context, e *entry, id string) bool {
	k, err := connectWithWindow(e.callers, readWindow)
	if err != nil {
		fail("connect: %v", err)
	}
	defer func() { _ = k.conn.Close() }()
	resp, _, err := k.send(head("POST", "/export/first", "first-"+id, readDeadline, 0), readDeadline)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
		fail("first request: %v", err)
	}
	sent := time.Now()
	_ = k.conn.SetDeadline(sent.Add(readDeadline))
	c.record.line("%s sent", id)
	if _, err = k.conn.Write(head("POST", "/export/all", id, readDeadline, 0)); err != nil {
		fail("request: %v", err)
	}
	if resp, err = http.ReadResponse(k.in, nil); err != nil {
		c.record.line("%s: no answer after %.2f s: %v", id, time.Since(sent).Seconds(), err)
		return false
	}
	first, err := io.CopyN(io.Discard, resp.Body, beforePause)
	if err != nil {
		c.record.line("%s: status %d, %d bytes after %.2f s: %v", id, resp.StatusCode, first, time.Since(sent).Seconds(), err)
		return false
	}
	time.Sleep(readPause)
	rest, err := io.Copy(io.Discard, resp.Body)
	c.record.line("%s: status %d, %d of %d bytes after %.2f s: %v", id, resp.StatusCode, first+rest, answerBytes, time.Since(sent).Seconds(), err)
	return err == nil && !errors.Is(err, io.ErrUnexpectedEOF) && first+rest == answerBytes
}
