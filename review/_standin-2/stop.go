package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment kavango-quotes: its edge machines and the timeout of its
// longest routes.
const (
	stopMemoryMB = 284
	stopLinkMbps = 1000
	stopTimeout  = 8 * time.Second
	// calmTime is longer than the stability window of 3 s.
	calmTime = 4 * time.Second
	// slowReaders and steadyReaders are the clients of each kind.
	slowReaders   = 8
	steadyReaders = 4
	// answerBytes is the length of a response, which an entry buffers whole.
	answerBytes = 400_000
	// stopAfter is the time from the requests to the stop.
	stopAfter = 300 * time.Millisecond
	// A slow reader reads slowBytes every slowInterval until pauseFrom after its request,
	// then pauses until pauseTo, then reads the rest at once.
	slowBytes    = 3000
	slowInterval = 100 * time.Millisecond
	pauseFrom    = 3400 * time.Millisecond
	pauseTo      = 6400 * time.Millisecond
	clientBuffer = 64 << 10
	readBytes    = 8 << 10
)

// answer is how one request ended at its client.
type answer struct {
	id       string
	slow     bool
	sent     time.Time
	ended    time.Time
	got      int
	complete bool
	problem  string
}

// runStop stops an entry by SIGTERM while clients read their answers. A planned stop excuses
// no answer that ends early.
func runStop(d *deployment) (bool, error) {
	desk := &endpoint{name: "i-desk", work: 30 * time.Millisecond, bytes: answerBytes}
	if err := desk.serve(6, 24); err != nil {
		return false, err
	}
	if err := d.putEndpoint(desk.name, "bookings-desk", desk.address, "zone-a", 6); err != nil {
		return false, err
	}
	routes := []route{{Name: "r-1", Host: host, PathPrefix: "/puxa403/", RouteType: "unsafe", TimeoutMs: int(stopTimeout.Milliseconds()), TargetLatencyMs: 400, Priority: 2, MaxAttempts: 1, Service: "bookings-desk"}}
	if err := d.putConfig(3, routes, "bookings-desk"); err != nil {
		return false, err
	}
	machines, err := d.newMachines(2, stopMemoryMB, stopLinkMbps)
	if err != nil {
		return false, err
	}
	for _, m := range machines {
		if err := m.start(); err != nil {
			return false, err
		}
	}
	for _, m := range machines {
		if err := m.waitReady(); err != nil {
			return false, fmt.Errorf("%s is not ready: %w", m.name, err)
		}
	}
	time.Sleep(calmTime)
	stopped := machines[0]
	var clients sync.WaitGroup
	answers := make([]answer, slowReaders+steadyReaders)
	for i := range answers {
		answers[i] = answer{id: fmt.Sprintf("attempt-%d", i), slow: i < slowReaders}
		clients.Go(func() { readAnswer(stopped.frontend, &answers[i]) })
	}
	time.Sleep(stopAfter)
	stoppedAt := time.Now()
	if d.trouble {
		d.record("SIGTERM to %s", stopped.name)
		if err := stopped.process.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		kill := time.AfterFunc(graceTime, func() { _ = stopped.process.cmd.Process.Kill() })
		defer kill.Stop()
	}
	clients.Wait()
	return d.checkAnswers(desk, answers, stoppedAt)
}

// checkAnswers records the answers and reports whether all that were owed are complete.
func (d *deployment) checkAnswers(desk *endpoint, answers []answer, stoppedAt time.Time) (bool, error) {
	lost := 0
	for _, a := range answers {
		kind := "steady"
		if a.slow {
			kind = "slow"
		}
		ran := desk.ranHere(a.id)
		how := "complete"
		if !a.complete {
			how = "ended early: " + a.problem
		}
		d.record("%s (%s reader): ran %d times, %d of %d bytes, %s, %.2f s after it was sent, %.2f s after the stop",
			a.id, kind, ran, a.got, answerBytes, how, a.ended.Sub(a.sent).Seconds(), a.ended.Sub(stoppedAt).Seconds())
		if ran != 1 {
			return false, fmt.Errorf("%s ran %d times", a.id, ran)
		}
		if !a.complete && a.ended.Sub(a.sent) < stopTimeout && a.ended.Sub(stoppedAt) < graceTime {
			lost++
		}
	}
	d.record("%d of %d answers ended early, before their deadline and before the end of the grace period", lost, len(answers))
	return lost == 0, nil
}

// readAnswer sends one request and reads
// the answer, slowly if the client is a slow reader.
func readAnswer(address string, a *answer) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.problem = err.Error()
		return
	}
	defer func() { _ = conn.Close() }()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(clientBuffer)
	}
	a.sent = time.Now()
	defer func() { a.ended = time.Now() }()
	_ = conn.SetDeadline(a.sent.Add(stopTimeout + 2*time.Second))
	request := "POST /puxa403/2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + a.id + "\r\nX-Deadline-Ms: 8000\r\nX-Api-Key: " + apiKey + "\r\nContent-Length: 600\r\n\r\n" + strings.Repeat("b", 600)
	if _, err := conn.Write([]byte(request)); err != nil {
		a.problem = err.Error()
		return
	}
	reader := bufio.NewReaderSize(conn, 4<<10)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.problem = err.Error()
		return
	}
	defer func() { _ = resp.Body.Close() }()
	buffer := make([]byte, readBytes)
	for {
		size := len(buffer)
		if since := time.Since(a.sent); a.slow && since < pauseFrom {
			time.Sleep(slowInterval)
			size = slowBytes
		} else if a.slow && since < pauseTo {
			time.Sleep(pauseTo - since)
		}
		n, err := resp.Body.Read(buffer[:size])
		a.got += n
		if err == io.EOF {
			a.complete = a.got == answerBytes && resp.StatusCode == http.StatusOK
			a.problem = resp.Status
			return
		}
		if err != nil {
			a.problem = err.Error()
			return
		}
	}
}
