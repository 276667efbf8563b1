package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// drafters and desks are the endpoints of the two services.
	drafters = 4
	desks    = 3
	// weights is the version of the weights at all model endpoints, expected the one that
	// the pinned requests expect.
	weights, expected = "1", "2"
	// pinned is the number of requests at each machine that expect a version.
	pinned = 6
	// settleTime covers the first window of the retry budget.
	settleTime = 12 * time.Second
	// asked is the number of requests at each machine on each route in the steady state,
	// askInterval the time between two. The rule needs 20.
	asked       = 40
	askInterval = 200 * time.Millisecond
	// leastShare is the share of the first route's success below which the rule is broken.
	leastShare = 0.25
)

// runVersions compares how often requests on a route that was added later are served with
// how often those on the first route are, after a few requests expected a version of the
// weights that no endpoint has.
func runVersions(d *deployment) (bool, error) {
	for i := range desks {
		e := &endpoint{name: fmt.Sprintf("i-desk-%d", i), work: 30 * time.Millisecond, bytes: 800}
		if err := e.serve(6, 24); err != nil {
			return false, err
		}
		if err := d.putEndpoint(e.name, "bookings-desk", e.address, "zone-a", 6); err != nil {
			return false, err
		}
	}
	for i := range drafters {
		e := &endpoint{name: fmt.Sprintf("i-draft-%d", i), work: 80 * time.Millisecond, events: 28, gap: 10 * time.Millisecond, weights: weights}
		if err := e.serve(12, 24); err != nil {
			return false, err
		}
		if err := d.putEndpoint(e.name, "cicada-drafters", e.address, "zone-a", 12); err != nil {
			return false, err
		}
	}
	first := route{Name: "r-1", Host: host, PathPrefix: "/cufi504/", RouteType: "safe", TimeoutMs: 1000, TargetLatencyMs: 150, Priority: 2, MaxAttempts: 2, Service: "bookings-desk"}
	later := route{Name: "r-2", Host: host, PathPrefix: "/lohu930/", RouteType: "streaming", TimeoutMs: 8000, TargetLatencyMs: 400, TargetGapMs: 120, Priority: 1, MaxAttempts: 2, StreamResume: true, Service: "cicada-drafters"}
	if err := d.putConfig(3, []route{first}, "bookings-desk", "cicada-drafters"); err != nil {
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
	time.Sleep(2 * time.Second)
	if err := d.putConfig(5, []route{first, later}, "bookings-desk", "cicada-drafters"); err != nil {
		return false, err
	}
	d.record("configuration 5 adds route r-2")
	time.Sleep(settleTime)
	for _, m := range machines {
		for i := range pinned {
			header := ""
			if d.trouble {
				header = "X-Expected-Version: " + expected + "\r\n"
			}
			id := fmt.Sprintf("%s-pinned-%d", m.name, i)
			d.record("%s: request on r-2 with %q: %s", m.name, strings.TrimSpace(header), sendOnce(m.frontend, draftRequest(id, header)))
		}
	}
	time.Sleep(calmTime)
	held := true
	var asking sync.WaitGroup
	var mu sync.Mutex
	for _, m := range machines {
		asking.Go(func() {
			ok := m.askBoth()
			mu.Lock()
			defer mu.Unlock()
			held = held && ok
		})
	}
	asking.Wait()
	return held, nil
}

// askBoth sends requests on both routes and reports whether the later one is served often
// enough.
func (m *machine) askBoth() bool {
	ended := map[string]map[string]int{"r-1": {}, "r-2": {}}
	var mu sync.Mutex
	var asking sync.WaitGroup
	ask := func(routeName, request string) {
		how := sendOnce(m.frontend, request)
		mu.Lock()
		defer mu.Unlock()
		ended[routeName][how]++
	}
	for i := range asked {
		lookup := "GET /cufi504/fi50/2f HTTP/1.1\r\nHost: " + host + fmt.Sprintf("\r\nX-Attempt-Id: %s-look-%d\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\n\r\n", m.name, i, apiKey)
		asking.Go(func() { ask("r-1", lookup) })
		asking.Go(func() { ask("r-2", draftRequest(fmt.Sprintf("%s-draft-%d", m.name, i), "")) })
		time.Sleep(askInterval)
	}
	asking.Wait()
	m.d.record("%s: %d requests on each route; r-1, there from the start: %v; r-2, added later: %v", m.name, asked, ended["r-1"], ended["r-2"])
	return float64(ended["r-2"]["200"]) >= leastShare*float64(ended["r-1"]["200"])
}

// draftRequest returns a request on r-2 with a further header field.
func draftRequest(id, header string) string {
	return "POST /lohu930/2f HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + id + "\r\n" + header +
		"X-Model: m\r\nX-Token-Usage: 714,139\r\nX-Prompt-Prefix: 5c1e07a2:40,e4402b7d:674\r\nX-Deadline-Ms: 8000\r\nX-Api-Key: " + apiKey + "\r\nContent-Length: 2\r\n\r\nhi"
}
