package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// stagedPart is the part of the table op in which the operator keeps its next
	// configuration, and stagedVersion its version.
	stagedPart    = "next"
	stagedVersion = 5
	// partsTime is the time from that write to the requests, of which each entry gets
	// partsRequests.
	partsTime     = 3 * time.Second
	partsRequests = 20
)

// parts has an operator that keeps its next configuration in the table op, in a part of its
// own, before it sends it as op/config.
func parts(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	services := []map[string]any{plainService("booking-app"), plainService("booking-next")}
	s.put("op", "config", config(1, []route{newRoute("unsafe", "/book/", "booking-app", 1500, 300)}, services))
	ran, ranNext := &attempts{ids: map[string]bool{}}, &attempts{ids: map[string]bool{}}
	zones := []string{"espoo-a", "vantaa-b", "helsinki-c"}
	var workers []*worker
	for i, zone := range zones {
		app, next := fmt.Sprintf("i-book-%d", i), fmt.Sprintf("i-next-%d", i)
		workers = append(workers, startWorker(s, app, "booking-app", zone, 6, plainWorker(c, app, ran)),
			startWorker(s, next, "booking-next", zone, 6, plainWorker(c, next, ranNext)))
	}
	go heartbeats(workers)
	entries := startEntries(c.dir, storeListener.Addr().String(), zones, memoryMB)
	time.Sleep(2 * time.Second)
	for i, e := range entries {
		status, why := request(e, "/book/1", fmt.Sprintf("before-%d", i))
		c.record.line("%s before: %d %s", e.name, status, why)
	}

	if c.trouble {
		s.putPart("op", stagedPart, "config", config(stagedVersion, []route{newRoute("unsafe", "/book/", "booking-next", 1500, 300)}, services))
		c.record.line("the operator writes configuration %d, by which /book/ leads to booking-next, into part %q of the table op", stagedVersion, stagedPart)
	}
	time.Sleep(partsTime)

	wrong := 0
	for i := range partsRequests {
		for _, e := range entries {
			id := fmt.Sprintf("request-%s-%d", e.name, i)
			status, why := request(e, "/book/1", id)
			c.record.line("%s: %d %s", id, status, why)
			if ranNext.contains(id) {
				wrong++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.record.line("%d of %d requests were run by booking-next, to which no version of op/config leads", wrong, partsRequests*len(entries))
	return wrong == 0
}
