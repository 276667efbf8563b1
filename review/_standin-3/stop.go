package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// slowReaders is the number of clients that read slowly.
	slowReaders = 6
	// slowAnswerBytes is the length of the answer that they read, at an even rate for
	// slowReadTime. They wait for up to slowDeadline, which is also the route's timeout.
	slowAnswerBytes = 1_000_000
	slowReadTime    = 7300 * time.Millisecond
	slowDeadline    = 8 * time.Second
	// slowWindow is the receive buffer of these clients.
	slowWindow = 16 << 10
	// requestDelay is the time from the SIGTERM to the requests, and graceTime the time
	// from it to the SIGKILL of the platform.
	requestDelay = 500 * time.Millisecond
	graceTime    = 8 * time.Second
)

// stop sends SIGTERM to an entry. On connections that were open before, clients send
// requests shortly after it, whose answers they read slowly and within their deadline.
func stop(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	s.put("op", "config", config(1, []route{newRoute("unsafe", "/export/", "booking-app", int(slowDeadline.Milliseconds()), 300)}, []map[string]any{plainService("booking-app")}))
	workers := exportWorkers(c, s)
	go heartbeats(workers)
	e := startEntries(c.dir, storeListener.Addr().String(), []string{"espoo-a", "vantaa-b"}, memoryMB)[0]
	time.Sleep(2 * time.Second)

	var lost atomic.Int64
	var opened, clients sync.WaitGroup
	opened.Add(slowReaders)
	stopped := make(chan struct{})
	for i := range slowReaders {
		clients.Go(func() {
			k, err := connectWithWindow(e.callers, slowWindow)
			if err != nil {
				fail("connect: %v", err)
			}
			defer func() { _ = k.conn.Close() }()
			resp, _, err := k.send(head("POST", "/export/first", fmt.Sprintf("first-%d", i), slowDeadline, 0), slowDeadline)
			if err != nil || resp.StatusCode != http.StatusOK || resp.Close {
				fail("first request: %v", err)
			}
			opened.Done()
			<-stopped
			time.Sleep(requestDelay)
			if !readSlowly(c, k, fmt.Sprintf("slow-%d", i)) {
				lost.Add(1)
			}
		})
	}
	opened.Wait()
	if c.trouble {
		c.record.line("SIGTERM to %s", e.name)
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		sent := time.Now()
		clients.Go(func() {
			select {
			case <-e.exited:
				c.record.line("%s ended %.2f s after the SIGTERM", e.name, time.Since(sent).Seconds())
			case <-time.After(graceTime):
				c.record.line("%s gets SIGKILL at the end of the grace period", e.name)
				_ = e.cmd.Process.Signal(syscall.SIGKILL)
			}
		})
	}
	close(stopped)
	clients.Wait()
	c.record.line("%d of %d answers were cut", lost.Load(), slowReaders)
	return lost.Load() == 0
}

// exportWorkers starts workers whose answer to /export/all has slowAnswerBytes.
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
				size = slowAnswerBytes
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

// readSlowly sends a request and reads its answer at an even rate. It returns false if the
// connection ended without the whole answer.
func readSlowly(c *context, k *client, id string) bool {
	_ = k.conn.SetDeadline(time.Now().Add(slowDeadline))
	sent := time.Now()
	if _, err := k.conn.Write(head("POST", "/export/all", id, slowDeadline, 0)); err != nil {
		c.record.line("%s was not sent: %v", id, err)
		return true
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		c.record.line("%s: no answer after %.2f s: %v", id, time.Since(sent).Seconds(), err)
		return false
	}
	read, part := 0, make([]byte, 8<<10)
	for err == nil {
		var n int
		n, err = resp.Body.Read(part)
		read += n
		time.Sleep(time.Until(sent.Add(slowReadTime * time.Duration(read) / slowAnswerBytes)))
	}
	c.record.line("%s: status %d, %d of %d bytes after %.2f s: %v", id, resp.StatusCode, read, slowAnswerBytes, time.Since(sent).Seconds(), err)
	return read == slowAnswerBytes
}
