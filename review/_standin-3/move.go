package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// moveSettle is the time from the move of the store to the change of the configuration:
	// more than the stability window of 3 s and the time for which processes go on without the
	// store. applyTime is config_apply_ms.
	moveSettle = 10 * time.Second
	applyTime  = 2 * time.Second
	// applyMargin is added to applyTime, and lateRequests is the number of requests to each
	// entry after both.
	applyMargin = 3 * time.Second
	// signaled is the number of entries that get SIGHUP: 0.6 of the site's five. They get it
	// over signalGap.
	signaled     = 3
	signalGap    = 2 * time.Second
	lateRequests = 20
)

// moveStore moves the platform's store to another address. The settings files change, and some
// entries get SIGHUP. Then a new version of the configuration moves a route. Only the entries
// that got SIGHUP are judged.
func moveStore(c *context) bool {
	s := newStore()
	first, second := listen(), listen()
	var newCalls atomic.Int64
	oldServer := &http.Server{Handler: s}
	newServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		newCalls.Add(1)
		s.ServeHTTP(w, r)
	})}
	go func() { _ = oldServer.Serve(first) }()
	go func() { _ = newServer.Serve(second) }()
	services := []map[string]any{plainService("booking-app"), plainService("booking-next")}
	s.put("op", "config", config(1, []route{newRoute("unsafe", "/book/", "booking-app", 1500, 300)}, services))
	ran := &attempts{ids: map[string]bool{}}
	ranOld := &attempts{ids: map[string]bool{}}
	zones := []string{"espoo-a", "vantaa-b", "helsinki-c"}
	var workers []*worker
	for i, zone := range zones {
		oldID, newID := fmt.Sprintf("i-book-%d", i), fmt.Sprintf("i-next-%d", i)
		workers = append(workers, startWorker(s, oldID, "booking-app", zone, 6, plainWorker(c, oldID, ranOld)),
			startWorker(s, newID, "booking-next", zone, 6, plainWorker(c, newID, ran)))
	}
	go heartbeats(workers)
	entries := startEntries(c.dir, first.Addr().String(), []string{"espoo-a", "espoo-a", "vantaa-b", "vantaa-b", "helsinki-c"}, memoryMB)
	time.Sleep(2 * time.Second)
	for i, e := range entries {
		status, why := request(e, "/book/1", fmt.Sprintf("before-%d", i))
		c.record.line("%s before: %d %s", e.name, status, why)
	}

	if c.trouble {
		for _, e := range entries {
			text, err := os.ReadFile(e.settings)
			if err != nil {
				fail("settings: %v", err)
			}
			moved := strings.ReplaceAll(string(text), first.Addr().String(), second.Addr().String())
			if err := os.WriteFile(e.settings, []byte(moved), 0o600); err != nil {
				fail("settings: %v", err)
			}
		}
		c.record.line("the store moves from %s to %s; the settings files have the new address", first.Addr(), second.Addr())
		_ = oldServer.Close()
	}
	entries = entries[:signaled]
	for _, e := range entries {
		_ = e.cmd.Process.Signal(syscall.SIGHUP)
		c.record.line("SIGHUP to %s", e.name)
		time.Sleep(signalGap / signaled)
	}
	time.Sleep(moveSettle)
	s.put("op", "config", config(2, []route{newRoute("unsafe", "/book/", "booking-next", 1500, 300)}, services))
	c.record.line("configuration 2 is acknowledged: /book/ moves from booking-app to booking-next")
	time.Sleep(applyTime + applyMargin)

	stale := 0
	for i := range lateRequests {
		for _, e := range entries {
			id := fmt.Sprintf("late-%s-%d", e.name, i)
			status, why := request(e, "/book/1", id)
			c.record.line("%s: %d %s", id, status, why)
			if ranOld.contains(id) {
				stale++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	for _, e := range entries {
		log, _ := os.ReadFile(filepath.Join(c.dir, e.name+".log"))
		c.record.line("%s is ready: %v; its log says that it has read the settings: %v", e.name, e.ready(), strings.Contains(string(log), "settings reloaded"))
	}
	c.record.line("calls to the store at the other address: %d", newCalls.Load())
	c.record.line("%d of %d requests were run by the old service", stale, lateRequests*len(entries))
	return stale == 0
}
