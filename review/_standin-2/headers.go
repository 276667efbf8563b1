package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment kavango-quotes: its edge machines and the limits of its
// configuration.
const (
	edgeMemoryMB   = 284
	edgeLinkMbps   = 1000
	maxHeaderBytes = 16384
	maxBodyBytes   = 4 << 20
	// headerMargin is left free of maxHeaderBytes.
	headerMargin = 200
	// crowd is the number of clients at one machine at the same time. A machine with these
	// limits accepts 1,444 connections.
	crowd = 1400
	// descriptors is what an edge machine has, and what each process of the case needs.
	descriptors = 4200
	// pieceBytes is what each client sends of its body every pieceInterval. It stays open
	// until it is answered or crowdTime is over.
	pieceBytes    = 400
	pieceInterval = time.Second
	crowdTime     = 9 * time.Second
	// waves is how often the crowd comes, waveInterval the time between two.
	waves        = 6
	waveInterval = 12 * time.Second
	// endsForFault is how often processes of a machine end for the rule to be broken.
	endsForFault = 3
	// restartDelay is the time after which the platform starts an ended process.
	restartDelay = 500 * time.Millisecond
	memoryChecks = 20 * time.Millisecond
	bytesPerMB   = 1 << 20
)

// guard is the platform's memory limit on one machine: it kills a process above the limit
// and starts it again.
type guard struct {
	m    *machine
	mu   sync.Mutex
	ends int
	// peak is the most memory seen, in bytes.
	peak int64
}

func (g *guard) watch(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memoryChecks):
		}
		held := memoryOf(g.m.process.cmd.Process.Pid)
		g.mu.Lock()
		g.peak = max(g.peak, held)
		g.mu.Unlock()
		over := held > edgeMemoryMB*bytesPerMB
		if over {
			_ = g.m.process.cmd.Process.Kill()
		}
		select {
		case <-g.m.process.done:
		default:
			if !over {
				continue
			}
			<-g.m.process.done
		}
		g.mu.Lock()
		g.ends++
		g.mu.Unlock()
		g.m.d.record("%s: process ended with %d MiB, limit %d MiB", g.m.name, held/bytesPerMB, edgeMemoryMB)
		time.Sleep(restartDelay)
		if err := g.m.start(); err != nil {
			g.m.d.record("%s: not started again: %v", g.m.name, err)
			return
		}
	}
}

// memoryOf returns the resident memory of a process without that of mapped files, such as its
// program; 0 if it has ended.
func memoryOf(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 3 {
		return 0
	}
	resident, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	files, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return 0
	}
	return (resident - files) * int64(os.Getpagesize())
}

// runHeaders sends crowds to two edge machines, whose clients send large bodies piece by
// piece and stay inside the limits. With trouble, their headers have as many fields as
// max_header_bytes has room for; without, only the usual ones.
func runHeaders(d *deployment) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < descriptors {
		return false, fmt.Errorf("each process needs %d descriptors", descriptors)
	}
	desk := &endpoint{name: "i-desk", work: 30 * time.Millisecond, bytes: 800}
	if err := desk.serve(6, 24); err != nil {
		return false, err
	}
	if err := d.putEndpoint(desk.name, "bookings-desk", desk.address, "zone-a", 6); err != nil {
		return false, err
	}
	routes := []route{{Name: "r-1", Host: host, PathPrefix: "/lohu930/", RouteType: "unsafe", TimeoutMs: 8000, TargetLatencyMs: 400, Priority: 1, MaxAttempts: 1, Service: "bookings-desk"}}
	if err := d.putConfig(3, routes, "bookings-desk"); err != nil {
		return false, err
	}
	machines, err := d.newMachines(2, edgeMemoryMB, edgeLinkMbps)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var guards []*guard
	var watching sync.WaitGroup
	for _, m := range machines {
		if err := m.start(); err != nil {
			return false, err
		}
		if err := m.waitReady(); err != nil {
			return false, fmt.Errorf("%s is not ready: %w", m.name, err)
		}
		g := &guard{m: m}
		guards = append(guards, g)
		watching.Go(func() { g.watch(stop) })
	}
	time.Sleep(2 * time.Second)
	d.checkCalm(machines)
	for wave := range waves {
		began := time.Now()
		var clients sync.WaitGroup
		for _, m := range machines {
			clients.Go(func() { sendCrowd(d, m, wave) })
		}
		clients.Wait()
		if endsOf(guards) >= endsForFault {
			break
		}
		time.Sleep(waveInterval - time.Since(began))
	}
	close(stop)
	watching.Wait()
	for _, g := range guards {
		d.record("%s: %d ends of processes, at most %d MiB, limit %d MiB", g.m.name, g.ends, g.peak/bytesPerMB, edgeMemoryMB)
	}
	return endsOf(guards) < endsForFault, nil
}

// checkCalm records that one request as the crowd's, with its whole body, is served in calm.
func (d *deployment) checkCalm(machines []*machine) {
	for _, m := range machines {
		head := crowdHead(m.name+"-calm", 600, d.trouble)
		d.record("%s: one request in calm with a header of %d bytes: %s", m.name, len(head), sendOnce(m.frontend, head+strings.Repeat("q", 600)))
	}
}

// endsOf returns how often the processes of each machine ended at least.
func endsOf(guards []*guard) int {
	least := endsForFault
	for _, g := range guards {
		g.mu.Lock()
		least = min(least, g.ends)
		g.mu.Unlock()
	}
	return least
}

// sendCrowd lets a crowd of clients send one request each and records how they ended.
func sendCrowd(d *deployment, m *machine, wave int) {
	var mu sync.Mutex
	ended := map[string]int{}
	headerBytes := 0
	var clients sync.WaitGroup
	for i := range crowd {
		clients.Go(func() {
			head := crowdHead(fmt.Sprintf("%s-%d-%d", m.name, wave, i), maxBodyBytes, d.trouble)
			how := sendPieces(m.frontend, head)
			mu.Lock()
			defer mu.Unlock()
			ended[how]++
			headerBytes = max(headerBytes, len(head))
		})
	}
	clients.Wait()
	d.record("%s: %d clients at once with headers of up to %d bytes, bodies of %d bytes sent piece by piece; ended: %v", m.name, crowd, headerBytes, maxBodyBytes, ended)
}

// crowdHead returns the head of a request. With many fields, it has as many as the limit on
// headers allows.
func crowdHead(id string, bodyBytes int, manyFields bool) string {
	head := "POST /lohu930/2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 8000\r\nX-Api-Key: " + apiKey + fmt.Sprintf("\r\nContent-Length: %d\r\n", bodyBytes)
	if !manyFields {
		return head + "\r\n"
	}
	var text strings.Builder
	text.WriteString(head)
	for i := 0; ; i++ {
		field := "x" + strconv.FormatInt(int64(i), 36) + ":1\r\n"
		if text.Len()+len(field) > maxHeaderBytes-headerMargin {
			break
		}
		text.WriteString(field)
	}
	return text.String() + "\r\n"
}

// sendPieces sends the head of a request and pieces of its body, and returns how it ended.
func sendPieces(address, head string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	end := time.Now().Add(crowdTime)
	_ = conn.SetDeadline(end)
	if _, err := conn.Write([]byte(head)); err != nil {
		return "connection closed"
	}
	answered := make(chan string, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			answered <- "connection closed"
			return
		}
		_ = resp.Body.Close()
		answered <- strconv.Itoa(resp.StatusCode)
	}()
	piece := []byte(strings.Repeat("q", pieceBytes))
	for {
		if _, err := conn.Write(piece); err != nil {
			return <-answered
		}
		select {
		case how := <-answered:
			return how
		case <-time.After(min(pieceInterval, max(0, time.Until(end)))):
		}
	}
}

// sendOnce sends a request on a connection of its own and returns how it ended.
func sendOnce(address, request string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stopTimeout + calmTime))
	if _, err := conn.Write([]byte(request)); err != nil {
		return "connection closed"
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "connection closed"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprint(resp.StatusCode, " broken off")
	}
	return strconv.Itoa(resp.StatusCode)
}
