package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// ranks is the number of model servers, which form one group in lock-step.
	ranks = 4
	// rankSlots is what each of them runs at a time, foreignSlots what the foreign row names.
	rankSlots, foreignSlots = 12, 4096
	// streamsPerSecond and lookupsPerSecond are the requests to all machines together, in the
	// proportion of the sheet, which four ranks can serve.
	streamsPerSecond, lookupsPerSecond = 32, 4
	// calmBefore is how long requests are sent before the foreign row is written, faultAfter
	// how long after it all entries are killed, and downTime how long they are down.
	calmBefore = 8 * time.Second
	faultAfter = 3 * time.Second
	downTime   = time.Second
	// recoveryTime is recovery_s of the bounds; requests of the judgeTime after it are judged.
	recoveryTime = 12 * time.Second
	judgeTime    = 8 * time.Second
	// leastServed is the share of them that has to be served.
	leastServed = 0.25
	// streamPatience is how long a client waits without an event.
	streamPatience = 2 * time.Second
)

// runForeignRow writes the row of another writer, from which the fields of a rank's group are
// missing, among the rows of the ranks, and ends with a kill of all entries.
func runForeignRow(d *deployment) (bool, error) {
	if err := d.startRanks(); err != nil {
		return false, err
	}
	desk := &endpoint{name: "i-desk", work: 30 * time.Millisecond, bytes: 800}
	if err := desk.serve(6, 24); err != nil {
		return false, err
	}
	if err := d.putEndpoint(desk.name, "bookings-desk", desk.address, "zone-a", 6); err != nil {
		return false, err
	}
	machines, err := d.newMachines(4, edgeMemoryMB, edgeLinkMbps)
	if err != nil {
		return false, err
	}
	if err := startAll(machines); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	began := time.Now()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	defer func() { _ = silent.Close() }()
	traffic := newTraffic(machines)
	time.Sleep(calmBefore)
	if d.trouble {
		if err := d.putForeignRow(silent.Addr().String()); err != nil {
			return false, err
		}
	}
	time.Sleep(faultAfter)
	faultAt := time.Now()
	d.record("final fault: all entries are killed")
	for _, m := range machines {
		_ = m.process.cmd.Process.Kill()
		<-m.process.done
	}
	time.Sleep(downTime)
	if err := startAll(machines); err != nil {
		return false, err
	}
	back := time.Now()
	time.Sleep(recoveryTime + judgeTime)
	traffic.stop()
	before, sentBefore := traffic.served(began, faultAt)
	after, sentAfter := traffic.served(back.Add(recoveryTime), back.Add(recoveryTime+judgeTime))
	d.record("served before the final fault: %d of %d; from %v after the machines were back: %d of %d", before, sentBefore, recoveryTime, after, sentAfter)
	d.record("how requests after it ended: %v", traffic.endings(back.Add(recoveryTime), back.Add(recoveryTime+judgeTime)))
	if float64(before) < leastServed*float64(sentBefore) {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	return float64(after) >= leastServed*float64(sentAfter), nil
}

// startRanks starts the project's stand-in of a group in lock-step and announces its ranks.
func (d *deployment) startRanks() error {
	addresses, err := freePorts(ranks)
	if err != nil {
		return err
	}
	args := []string{"ranks", "--name", "rank"}
	for _, a := range addresses {
		args = append(args, "--address", a)
	}
	if _, err := d.start(storeProgram, args, nil, "ranks"); err != nil {
		return err
	}
	born := time.Now().UnixMilli()
	for i, a := range addresses {
		err := d.put(fmt.Sprintf("servers/rank-%d", i), map[string]any{
			"service": "cicada-drafters", "address": a, "zone": "zone-a", "version": "v1", "slots": rankSlots, "state": "ready",
			"cold_remaining_ms": 0, "sequence": 1, "born": born,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": i, "state": "open"}, "size": ranks,
		})
		if err != nil {
			return err
		}
	}
	return d.put("op/config", map[string]any{
		"version": 3,
		"routes": []route{
			{Name: "r-1", Host: host, PathPrefix: "/lohu930/", RouteType: "streaming", TimeoutMs: 8000, TargetLatencyMs: 400, TargetGapMs: 120, Priority: 1, MaxAttempts: 2, StreamResume: true, Service: "cicada-drafters"},
			{Name: "r-2", Host: host, PathPrefix: "/cufi504/", RouteType: "safe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, MaxAttempts: 2, Service: "bookings-desk"},
		},
		"services": []any{
			map[string]any{"name": "cicada-drafters", "health_path": "/healthz", "max_connections": 408, "protocol": "h1", "cold_start_s": 3, "cold_per_s": 36, "engine": map[string]any{
				"slots": rankSlots, "sets": 3, "experts": 24, "placements": 8, "spare": 2, "expert_mb": 50, "link_mbps": 44000, "form_ms": 600, "report_lag_ms": 200,
			}},
			map[string]any{"name": "bookings-desk", "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "cold_start_s": 0, "cold_per_s": 0},
		},
		"limits":  map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
}

// putForeignRow writes a row that lacks what a rank says of its group. Whoever listens at its
// address answers nothing.
func (d *deployment) putForeignRow(address string) error {
	row := map[string]any{
		"service": "cicada-drafters", "address": address, "zone": "zone-a", "version": "v1", "slots": foreignSlots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
	d.record("another writer writes servers/monitor-1: %v", row)
	return d.put("servers/monitor-1", row)
}

func startAll(machines []*machine) error {
	for _, m := range machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range machines {
		if err := m.waitReady(); err != nil {
			return fmt.Errorf("%s is not ready: %w", m.name, err)
		}
	}
	return nil
}

// traffic sends requests to all machines in turn until it is stopped.
type traffic struct {
	stopped chan struct{}
	sending sync.WaitGroup

	mu    sync.Mutex
	ended []ending
}

// ending is how one request ended.
type ending struct {
	sent time.Time
	how  string
}

func newTraffic(machines []*machine) *traffic {
	t := &traffic{stopped: make(chan struct{})}
	t.sending.Go(func() {
		t.sendLoop(machines, streamsPerSecond, func(i int) string { return draftRequest(fmt.Sprintf("draft-%d", i), "") }, streamPatience)
	})
	t.sending.Go(func() {
		t.sendLoop(machines, lookupsPerSecond, func(i int) string {
			return "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: " + host + fmt.Sprintf("\r\nX-Attempt-Id: look-%d\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\n\r\n", i, apiKey)
		}, time.Second)
	})
	return t
}

func (t *traffic) sendLoop(machines []*machine, perSecond int, request func(int) string, patience time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.stopped:
			return
		case <-ticker.C:
		}
		m := machines[i%len(machines)]
		t.sending.Go(func() {
			sent := time.Now()
			how := sendPatiently(m.frontend, request(i), patience)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.ended = append(t.ended, ending{sent: sent, how: how})
		})
	}
}

func (t *traffic) stop() {
	close(t.stopped)
	t.sending.Wait()
}

// served returns how many of the requests sent in a time were served, and their number.
func (t *traffic) served(from, to time.Time) (served, sent int) {
	for how, n := range t.endings(from, to) {
		sent += n
		if how == "200" {
			served += n
		}
	}
	return served, sent
}

// endings returns how the requests sent in a time ended.
func (t *traffic) endings(from, to time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, e := range t.ended {
		if e.sent.After(from) && e.sent.Before(to) {
			counts[e.how]++
		}
	}
	return counts
}

// sendPatiently sends a request and gives up after patience without a byte.
func sendPatiently(address, request string, patience time.Duration) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(request)); err != nil {
		return "connection closed"
	}
	var answer strings.Builder
	buffer := make([]byte, readBytes)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(patience))
		n, err := conn.Read(buffer)
		answer.Write(buffer[:n])
		if how, whole := parseAnswer(answer.String()); whole {
			return how
		}
		var timeout net.Error
		switch {
		case err == nil:
		case asTimeout(err, &timeout):
			return "no byte within the client's patience"
		default:
			return "connection closed"
		}
	}
}

// parseAnswer returns the status of an answer, and whether all of it is there.
func parseAnswer(text string) (string, bool) {
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		return "", false
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "", false
	}
	return strconv.Itoa(resp.StatusCode), true
}

func asTimeout(err error, into *net.Error) bool {
	return errors.As(err, into) && (*into).Timeout()
}
