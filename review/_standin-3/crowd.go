package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdPerEntry is the number of clients in the crowd for each entry.
	crowdPerEntry = 1400
	// memoryMB is the memory of an edge machine of lepola-reel.
	memoryMB = 284
	// maxHeaderBytes and maxBodyBytes are limits of the configuration.
	maxHeaderBytes = 16384
	maxBodyBytes   = 4194304
	// pieceBytes is sent every pieceInterval of a body of maxBodyBytes.
	pieceBytes    = 3000
	pieceInterval = 600 * time.Millisecond
	// watchInterval is the time between two looks at the memory of an entry, and
	// restartDelay the time after which the platform starts an ended process again.
	watchInterval = 50 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	// endsAllowed is the number of ends of processes on one machine with which the rule
	// Fault is broken.
	endsAllowed = 3
	crowdLength = 30 * time.Second
	// openTime is how long a client of the crowd stays open after it has stopped: less than
	// header_timeout_ms, which is 3,000.
	openTime = 2500 * time.Millisecond
)

// heads sends many heads of legal size that stop just short of their end, and stay open. The
// platform ends processes that exceed their memory, and starts them again.
func heads(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	s.put("op", "config", config(1,
		[]route{newRoute("unsafe", "/book/", "booking-app", 1500, 300)}, []map[string]any{plainService("booking-app")}))
	var workers []*worker
	ran := &attempts{ids: map[string]bool{}}
	for i, zone := range []string{"espoo-a", "vantaa-b", "helsinki-c"} {
		id := fmt.Sprintf("i-book-%d", i)
		workers = append(workers, startWorker(s, id, "booking-app", zone, 6, plainWorker(c, id, ran)))
	}
	go heartbeats(workers)
	entries := startEntries(c.dir, storeListener.Addr().String(), []string{"espoo-a", "vantaa-b"}, memoryMB)
	c.record.line("memory of each entry: %d MB; clients in the crowd for each entry: %d", memoryMB, crowdPerEntry)
	time.Sleep(2 * time.Second)

	done := make(chan struct{})
	var tasks sync.WaitGroup
	var lost atomic.Int64
	ends := make([]int, len(entries))
	newHead := manyFields
	if os.Getenv("FIELDS") == "0" {
		// To compare.
		newHead = oneField
	}
	for i, e := range entries {
		counts := &crowdCounts{}
		tasks.Go(func() { ends[i] = watchMemory(c, e, counts, done) })
		for n := range bookers {
			tasks.Go(func() { ordinary(c, e, fmt.Sprintf("booker-%d-%d", i, n), ran, &lost, done) })
		}
		if c.trouble {
			startCrowd(&tasks, e, counts, done, func(k *client, id string) { stopShort(k, newHead(id), counts, done) })
		}
	}
	time.Sleep(crowdLength)
	close(done)
	tasks.Wait()
	held := false
	for i, e := range entries {
		c.record.line("%s: ended %d times over its memory", e.name, ends[i])
		held = held || ends[i] < endsAllowed
	}
	c.record.line("%d bookings ran and were cut without an answer", lost.Load())
	return held
}

// plainWorker returns a worker that takes bookings.
func plainWorker(c *context, id string, ran *attempts) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if misdirected(w, r, id) {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		c.record.line("%s runs %s", id, attempt)
		ran.add(attempt)
		time.Sleep(60 * time.Millisecond)
		answer(w, r, make([]byte, 800))
	})
}

// watchMemory does to an entry what its machine and the platform do: a process over its
// memory is killed, and started again after a short delay. It returns how often.
func watchMemory(c *context, e *entry, counts *crowdCounts, done <-chan struct{}) int {
	ends, logged := 0, time.Time{}
	for {
		select {
		case <-done:
			return ends
		case <-time.After(watchInterval):
		}
		now := e.memory("VmRSS")
		if time.Since(logged) > time.Second {
			logged = time.Now()
			c.record.line("%s holds %d MB; its crowd: %d heads begun, %d answered, %d cut", e.name, now/1_000_000,
				counts.requests.Load(), counts.answers.Load(), counts.cuts.Load())
		}
		if now <= memoryMB*1_000_000 {
			continue
		}
		ends++
		c.record.line("%s holds %d MB, over its %d MB: killed", e.name, now/1_000_000, memoryMB)
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		<-e.exited
		time.Sleep(restartDelay)
		e.start(c.dir)
	}
}

// bookers is the number of ordinary clients of each entry.
const bookers = 4

// ordinary is an ordinary client: it books again and again on a kept connection. It adds up
// the bookings that a worker ran and whose connection was closed without an answer.
func ordinary(c *context, e *entry, name string, ran *attempts, lost *atomic.Int64, done <-chan struct{}) {
	var k *client
	answered, others := 0, 0
	for i := 0; ; i++ {
		select {
		case <-done:
			c.record.line("%s: %d bookings answered with 200, %d refused, cut or not sent", name, answered, others)
			return
		case <-time.After(100 * time.Millisecond):
		}
		if k == nil {
			var err error
			if k, err = connect(e.callers); err != nil {
				others++
				continue
			}
		}
		id := fmt.Sprintf("%s-%d", name, i)
		c.record.line("%s sent", id)
		resp, _, err := k.send(head("POST", "/book/1", id, 3*time.Second, 0), 3*time.Second)
		switch {
		case err != nil && ran.contains(id):
			lost.Add(1)
			c.record.line("%s ran and was cut: %v", id, err)
		case err != nil:
			c.record.line("%s was cut: %v", id, err)
		default:
			c.record.line("%s answered %d", id, resp.StatusCode)
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			answered++
		} else {
			others++
		}
		if err != nil || resp.Close {
			_ = k.conn.Close()
			k = nil
		}
	}
}

// attempts are the ids of attempts that workers ran. It is safe for concurrent use.
type attempts struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (a *attempts) add(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ids[id] = true
}

func (a *attempts) contains(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// crowdCounts counts what the crowd of one entry did.
type crowdCounts struct{ requests, pieces, answers, cuts atomic.Int64 }

// startCrowd starts the clients of the crowd for one entry. Each connects again and again, and
// does on each connection what send does.
func startCrowd(tasks *sync.WaitGroup, e *entry, counts *crowdCounts, done <-chan struct{}, send func(k *client, id string)) {
	for range crowdPerEntry {
		tasks.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				if k, err := connect(e.callers); err == nil {
					send(k, fmt.Sprintf("crowd-%s-%d", e.name, counts.requests.Add(1)))
					_ = k.conn.Close()
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
}

// stopShort sends a head without its end, and stays open until the entry answers or closes the
// connection.
func stopShort(k *client, head []byte, counts *crowdCounts, done <-chan struct{}) {
	_, err := k.conn.Write(head[:len(head)-2])
	answer := make([]byte, 1)
	for end := time.Now().Add(openTime); err == nil && time.Now().Before(end); {
		select {
		case <-done:
			return
		default:
		}
		_ = k.conn.SetReadDeadline(time.Now().Add(openTime / 2))
		if _, err = k.conn.Read(answer); isTimeout(err) {
			err = nil
		} else if err == nil {
			counts.answers.Add(1)
			return
		}
	}
	counts.cuts.Add(1)
}

// sendPieces sends the head of a request and its body piece by piece, until the entry
// answers or closes the connection.
func sendPieces(k *client, head []byte, counts *crowdCounts, done <-chan struct{}) {
	if _, err := k.conn.Write(head); err != nil {
		counts.cuts.Add(1)
		return
	}
	piece, answer := make([]byte, pieceBytes), make([]byte, 1)
	for sent := 0; sent < maxBodyBytes-pieceBytes; sent += pieceBytes {
		select {
		case <-done:
			return
		default:
		}
		_, err := k.conn.Write(piece)
		if err == nil {
			counts.pieces.Add(1)
			_ = k.conn.SetReadDeadline(time.Now().Add(pieceInterval))
			_, err = k.conn.Read(answer)
		}
		switch {
		case err == nil:
			counts.answers.Add(1)
			return
		case !isTimeout(err):
			counts.cuts.Add(1)
			return
		}
	}
}

// manyFields returns the head of a request with many short fields and less than
// maxHeaderBytes.
func manyFields(id string) []byte {
	h := head("POST", "/book/1", id, 3*time.Second, 0)
	var b strings.Builder
	b.Write(h[:len(h)-2])
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	for i := 0; b.Len() < maxHeaderBytes-10; i++ {
		fmt.Fprintf(&b, "%c%c%c:\r\n", letters[i%36], letters[i/36%36], letters[i/36/36])
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// oneField returns a head of the same size with one long field.
func oneField(id string) []byte {
	h := head("POST", "/book/1", id, 3*time.Second, 0)
	return head("POST", "/book/1", id, 3*time.Second, 0, "Padding: "+strings.Repeat("a", maxHeaderBytes-10-len(h)))
}

// usualFields returns the head of a request with a body of maxBodyBytes.
func usualFields(id string) []byte {
	return head("POST", "/brief/1", id, 8*time.Second, maxBodyBytes)
}
