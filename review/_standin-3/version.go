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
	// weightVersion is the version of the weights of all model workers, and expectedVersion
	// what one client expects.
	weightVersion   = 2
	expectedVersion = 1
	// modelWorkers is the number of model workers.
	modelWorkers = 6
	// expectations is the number of requests of that client, one each expectInterval.
	expectations   = 6
	expectInterval = time.Second
	// settleTime is the time from the change of the configuration, and from the last of
	// these requests, to the requests that are judged, which go on for judgedTime.
	settleTime = 5 * time.Second
	judgedTime = 20 * time.Second
	// leastJudged is the number of requests on a later route from which the rule counts.
	leastJudged  = 20
	streamEvents = 10
)

// expectVersion has one client whose requests carry X-Expected-Version with the version of
// weights that it saw before a release.
func expectVersion(c *context) bool {
	s := newStore()
	storeListener := listen()
	go func() { _ = http.Serve(storeListener, s) }()
	first := newRoute("unsafe", "/book/", "booking-app", 1500, 300)
	later := newRoute("streaming", "/brief/", "reel-lm", 8000, 400)
	services := []map[string]any{plainService("booking-app"), plainService("reel-lm")}
	s.put("op", "config", config(1, []route{first}, services))
	zones := []string{"espoo-a", "vantaa-b", "helsinki-c"}
	var workers []*worker
	ran := &attempts{ids: map[string]bool{}}
	for i, zone := range zones {
		id := fmt.Sprintf("i-book-%d", i)
		workers = append(workers, startWorker(s, id, "booking-app", zone, 6, plainWorker(c, id, ran)))
	}
	for i := range modelWorkers {
		id := fmt.Sprintf("i-model-%d", i)
		workers = append(workers, startWorker(s, id, "reel-lm", zones[i%len(zones)], 12, modelWorker(c, id)))
	}
	go heartbeats(workers)
	e := startEntries(c.dir, storeListener.Addr().String(), []string{"espoo-a", "vantaa-b"}, memoryMB)[0]
	time.Sleep(time.Second)
	s.put("op", "config", config(2, []route{first, later}, services))
	c.record.line("configuration 2 adds the route /brief/")
	time.Sleep(settleTime)

	served, sent := judge(c, e, "before", 2*time.Second)
	c.record.line("before: /book/ %d of %d served, /brief/ %d of %d served", served[0], sent[0], served[1], sent[1])
	if c.trouble {
		for i := range expectations {
			status, why := request(e, "/brief/pinned", fmt.Sprintf("pinned-%d", i), "X-Expected-Version: "+strconv.Itoa(expectedVersion))
			c.record.line("pinned-%d with X-Expected-Version %d: %d %s", i, expectedVersion, status, why)
			time.Sleep(expectInterval)
		}
	}
	time.Sleep(settleTime)
	served, sent = judge(c, e, "judged", judgedTime)
	c.record.line("judged: /book/ %d of %d served, /brief/ %d of %d served; %s is ready: %v", served[0], sent[0], served[1], sent[1], e.name, e.ready())
	firstShare, laterShare := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1])
	return sent[1] < leastJudged || laterShare >= firstShare/4
}

// judge sends ordinary requests on the first and the later route for a time, five a second
// each, and returns how many were served and sent.
func judge(c *context, e *entry, name string, length time.Duration) (served, sent [2]int64) {
	var tasks sync.WaitGroup
	var ok [2]atomic.Int64
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		for r, path := range []string{"/book/1", "/brief/1"} {
			sent[r]++
			tasks.Go(func() {
				id := fmt.Sprintf("%s-%d-%d", name, r, i)
				status, why := request(e, path, id)
				c.record.line("%s on %s: %d %s", id, path, status, why)
				if status == http.StatusOK && why == "" {
					ok[r].Add(1)
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	tasks.Wait()
	return [2]int64{ok[0].Load(), ok[1].Load()}, sent
}

// request sends one request over a new connection and returns the status, 0 for none, and why
// it is no complete answer.
func request(e *entry, path, id string, more ...string) (int, string) {
	k, err := connect(e.callers)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = k.conn.Close() }()
	resp, body, err := k.send(head("POST", path, id, 8*time.Second, 0, more...), 8*time.Second)
	switch {
	case resp == nil:
		return 0, err.Error()
	case err != nil:
		return resp.StatusCode, err.Error()
	case resp.StatusCode == http.StatusOK && resp.Header.Get("X-Upstream-Signature") == "":
		return resp.StatusCode, "no signature"
	case resp.StatusCode == http.StatusOK && strings.HasPrefix(path, "/brief/") && strings.Count(string(body), "\n\n") != streamEvents:
		return resp.StatusCode, "events are missing"
	}
	return resp.StatusCode, ""
}

// modelWorker returns a model worker with weights of weightVersion.
func modelWorker(c *context, id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if misdirected(w, r, id) {
			return
		}
		attempt := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", attempt)
		if want := r.Header.Get("X-Expected-Version"); want != "" && want != strconv.Itoa(weightVersion) {
			c.record.line("%s does not run %s, which expects version %s: 421", id, attempt, want)
			w.Header().Set("X-Not-Executed", "1")
			w.Header().Set("X-Instance-Id", id)
			w.Header().Set("At-Server", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c.record.line("%s runs %s", id, attempt)
		w.Header().Set("X-Upstream-Signature", "3e1b.07.5a2."+attempt)
		w.Header().Set("X-Weight-Versions", strconv.Itoa(weightVersion))
		w.Header().Set("Content-Type", "text/event-stream")
		for event := 1; event <= streamEvents; event++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", event)
			w.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	})
}
