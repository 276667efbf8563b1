package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// ranks is the number of model workers, which form one group in lock-step.
	ranks = 4
	// badPart is the part of prompts that crashes workers.
	badPart = "bad0bad0"
	// prefill is the time until a worker writes the first event of a stream, step the
	// time of each further one, and events their number.
	prefill = 80 * time.Millisecond
	step    = 30 * time.Millisecond
	events  = 20
	// stall is the deployment's stall_ms, downtime how long a crashed worker is away, and
	// formTime the engine's form_ms.
	stall    = 1500 * time.Millisecond
	downtime = 2 * time.Second
	formTime = 600 * time.Millisecond
	// stabilityWindow is the deployment's stability_window_ms.
	stabilityWindow = 3 * time.Second
	// calm is the time before the first bad request, spell that in which they come.
	calm  = 15 * time.Second
	spell = 60 * time.Second
	// interval is the time between two sound requests, and badEvery the number of sound
	// ones for each bad one.
	interval = 50 * time.Millisecond
	badEvery = 20
	// countedCrashes, tolerableRuns and minRequests are figures of the rules: the crash
	// after which they hold, the bad requests that may reach workers then, and the sound
	// requests from which on their share counts.
	countedCrashes = 5
	tolerableRuns  = 3
	minRequests    = 20
)

// streamRoute is the route to modelService, the service of the group.
var (
	streamRoute = map[string]any{
		"name": "r-2yhvz3p", "host": host, "path_prefix": "/lohu930/", "route_type": "streaming", "timeout_ms": 8000, "target_latency_ms": 400,
		"target_gap_ms": 120, "priority": 1, "service": "huvo11a", "max_attempts": 2, "anonymous": false, "session_affinity": true, "stream_resume": true,
	}
	modelService = map[string]any{
		"name": "huvo11a", "health_path": "/healthz", "max_connections": 408, "cold_start_s": 0.0, "cold_per_s": 36.0,
		"engine": map[string]any{
			"slots": 12, "kv_capacity_tokens": 372000, "link_mbps": 44000.0, "report_lag_ms": 200.0, "sets": 3, "experts": 96, "placements": 40,
			"spare": 4, "expert_mb": 78.0, "expert_share": 0.85, "form_ms": 600.0, "usual": map[string]any{"prompt": 835, "answer": 139},
		},
	}
)

// group is a group of model workers in lock-step.
type group struct {
	d *deployment

	mu    sync.Mutex
	ranks []*rank
	epoch int
	// brokenAt is when a rank crashed; zero while the group is open.
	brokenAt time.Time
	// crashes has the times of crashes, and badRuns those at which requests with the bad
	// part reached workers.
	crashes, badRuns []time.Time
	// begun has the attempts that began to run.
	begun map[string]bool
}

// rank is one model worker.
type rank struct {
	group   *group
	number  int
	id      string
	address string
	engine  http.Handler

	mu     sync.Mutex
	server *http.Server
	born   int64
}

// newGroup starts the ranks of a group and announces them.
func newGroup(d *deployment) (*group, error) {
	g := &group{d: d, epoch: 1, begun: map[string]bool{}}
	commands := standin.NewRankGroup("g1", ranks, 3, 96, 40, 1)
	go commands.Run(make(chan struct{}))
	for i := range ranks {
		r := &rank{group: g, number: i, id: fmt.Sprintf("i-02d9e6b%d", i), address: fmt.Sprintf("127.0.0.1:%d", standin.FreePorts(1)[0])}
		r.engine = commands.Handler(i, http.HandlerFunc(r.serve))
		g.ranks = append(g.ranks, r)
		if err := r.start(); err != nil {
			return nil, err
		}
	}
	g.announce("open")
	go func() {
		broken := false
		for {
			time.Sleep(10 * time.Millisecond)
			if now := !g.breakTime().IsZero(); now != broken {
				broken = now
				commands.SetBroken(broken)
			}
		}
	}()
	return g, nil
}

// announce writes the rows of all ranks.
func (g *group) announce(state string) {
	for _, r := range g.ranks {
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		g.d.store.Put("servers", r.id, map[string]any{
			"service": "huvo11a", "address": r.address, "zone": zones[r.number%len(zones)], "version": "v1", "slots": 12,
			"state": "ready", "cold_remaining_ms": 0, "sequence": g.epoch, "born": born, "size": ranks,
			"group": map[string]any{"name": "g1", "epoch": g.epoch, "rank": r.number, "state": state},
		})
	}
}

// breakTime returns when the group broke; zero while it is open.
func (g *group) breakTime() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.brokenAt
}

// start makes the rank accept connections.
func (r *rank) start() error {
	var l net.Listener
	var err error
	for range 20 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.born = time.Now().UnixMilli()
	r.server = &http.Server{Handler: r.engine}
	go func(s *http.Server) { _ = s.Serve(l) }(r.server)
	return nil
}

// crash ends the rank with all its connections. The group is open again once the rank is
// back and the group has formed.
func (r *rank) crash(id string) {
	g := r.group
	g.mu.Lock()
	if !g.brokenAt.IsZero() {
		g.mu.Unlock()
		return
	}
	g.brokenAt = time.Now()
	g.crashes = append(g.crashes, g.brokenAt)
	n := len(g.crashes)
	g.mu.Unlock()
	g.d.printf("worker %s begins to answer %s and crashes (crash %d)", r.id, id, n)
	r.mu.Lock()
	_ = r.server.Close()
	r.mu.Unlock()
	g.announce("broken")
	time.AfterFunc(downtime, func() {
		if err := r.start(); err != nil {
			g.d.printf("worker %s does not come back: %v", r.id, err)
			return
		}
		time.Sleep(formTime)
		g.mu.Lock()
		g.epoch++
		g.brokenAt = time.Time{}
		g.mu.Unlock()
		g.announce("open")
	})
}

// waitStep waits for a time. It reports false if the group breaks meanwhile, after the
// stall, or the caller leaves.
func (r *rank) waitStep(req *http.Request, d time.Duration) bool {
	for end := time.Now().Add(d); ; {
		if at := r.group.breakTime(); !at.IsZero() {
			select {
			case <-time.After(time.Until(at.Add(stall))):
			case <-req.Context().Done():
			}
			return false
		}
		left := time.Until(end)
		if left <= 0 {
			return true
		}
		select {
		case <-time.After(min(left, 10*time.Millisecond)):
		case <-req.Context().Done():
			return false
		}
	}
}

// serve runs one request of a client.
func (r *rank) serve(w http.ResponseWriter, req *http.Request) {
	g := r.group
	id := req.Header.Get("X-Attempt-Id")
	if req.Header.Get("X-Expected-Instance") != r.id {
		w.Header().Set("X-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	bad := strings.Contains(req.Header.Get("X-Prompt-Prefix"), badPart+":")
	if bad {
		g.mu.Lock()
		g.badRuns = append(g.badRuns, time.Now())
		g.mu.Unlock()
		g.d.printf("worker %s gets %s, which has the bad part", r.id, id)
	}
	w.Header().Set("X-Attempt-Id", id)
	if !r.waitStep(req, prefill) {
		if req.Context().Err() == nil {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if bad {
		r.crash(id)
		panic(http.ErrAbortHandler)
	}
	g.mu.Lock()
	g.begun[id] = true
	g.mu.Unlock()
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Upstream-Signature", r.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w).Flush
	for n := from + 1; n <= events; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: word%d\n\n", n, n)
		_ = flush()
		if !r.waitStep(req, step) {
			panic(http.ErrAbortHandler)
		}
	}
}

// attempt is a client's request.
type attempt struct {
	id  string
	bad bool
	// answer is the status, or the error, of the answer.
	answer string
	sentAt time.Time
}

// runLongPrompts sends requests with long prompts. In the spell, some also have a part that
// crashes workers, behind badAt other parts.
func runLongPrompts(d *deployment, trouble bool) (bool, error) {
	shared := 70
	badAt := shared
	if text := os.Getenv("BAD_AT"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return false, err
		}
		badAt = n
	}
	if err := d.startStore(); err != nil {
		return false, err
	}
	g, err := newGroup(d)
	if err != nil {
		return false, err
	}
	d.configure([]map[string]any{streamRoute}, []map[string]any{modelService})
	if err := d.startEntries(4); err != nil {
		return false, err
	}
	d.printf("prompts have %d shared parts; the bad part stands behind %d of them", shared, badAt)
	var parts []string
	for i := range shared {
		parts = append(parts, fmt.Sprintf("5c1e%04x:10", i))
	}
	var mu sync.Mutex
	var sent []*attempt
	var callers sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	send := func(bad bool) {
		a := &attempt{id: fmt.Sprintf("%016x", rand.Uint64()), bad: bad, sentAt: time.Now()}
		mu.Lock()
		sent = append(sent, a)
		mu.Unlock()
		prompt := slices.Clone(parts)
		if bad {
			prompt = slices.Insert(prompt, badAt, badPart+":10")
		}
		prompt = append(prompt, fmt.Sprintf("%08x:250", rand.Uint32()))
		entry := d.entries[rand.IntN(len(d.entries))]
		callers.Go(func() {
			a.answer = stream(client, entry, a.id, strings.Join(prompt, ","))
			d.printf("client sent %s to %s at %.3f s, with the bad part: %v; answer: %s", a.id, entry, a.sentAt.Sub(d.started).Seconds(), bad, a.answer)
		})
	}
	spellBegins := time.Now().Add(calm)
	for i := 0; time.Now().Before(spellBegins.Add(spell)); i++ {
		send(false)
		if trouble && i%badEvery == 0 && time.Now().After(spellBegins) {
			send(true)
		}
		time.Sleep(interval)
	}
	spellEnds := time.Now()
	callers.Wait()
	return judge(g, sent, spellBegins, spellEnds, trouble)
}

// stream sends a request for a stream, reads it to its end and describes the answer.
func stream(client *http.Client, entry, id, prompt string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry+"/lohu930/2f", strings.NewReader("draft "+id))
	if err != nil {
		return err.Error()
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Model": "m", "X-Token-Usage": "960,100", "X-Prompt-Prefix": prompt, "X-Deadline-Ms": "8000", "X-Api-Key": apiKey,
	} {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	switch {
	case err != nil && !errors.Is(err, io.EOF):
		return fmt.Sprintf("%d, cut", resp.StatusCode)
	case resp.StatusCode == http.StatusOK:
		return fmt.Sprintf("200, %d events", strings.Count(string(content), "data:"))
	}
	return strconv.Itoa(resp.StatusCode)
}

// judge checks the rules of the letter on prompts that crash workers.
func judge(g *group, sent []*attempt, spellBegins, spellEnds time.Time, trouble bool) (bool, error) {
	d := g.d
	g.mu.Lock()
	defer g.mu.Unlock()
	// share returns the share of sound requests, sent in a span, that began to run.
	share := func(from, to time.Time) (float64, int) {
		n, begun := 0, 0
		for _, a := range sent {
			if !a.bad && !a.sentAt.Before(from) && a.sentAt.Before(to) {
				n++
				if g.begun[a.id] {
					begun++
				}
			}
		}
		return float64(begun) / float64(max(1, n)), n
	}
	before, calmRequests := share(spellBegins.Add(-calm+stabilityWindow), spellBegins)
	d.printf("%d crashes; %d requests with the bad part reached workers; parts suspected: %d", len(g.crashes), len(g.badRuns), d.countLogged("prompt part suspected of crashing endpoints"))
	d.printf("before the spell: %.2f of %d sound requests began at the first attempt", before, calmRequests)
	if calmRequests < minRequests || before < 0.9 {
		return false, fmt.Errorf("the deployment does not serve before the spell")
	}
	if !trouble {
		during, n := share(spellBegins, spellEnds)
		d.printf("in the spell, without bad requests: %.2f of %d sound requests began at the first attempt", during, n)
		return during < before/2, nil
	}
	if len(g.crashes) == 0 {
		return false, fmt.Errorf("no worker crashed")
	}
	last := g.crashes[min(countedCrashes, len(g.crashes))-1]
	during, n := share(last.Add(2*stabilityWindow), spellEnds)
	d.printf("LOST: from 2 x stability_window_ms after crash %d: %.2f of %d sound requests with the same key and first part began at the first attempt", min(countedCrashes, len(g.crashes)), during, n)
	late := 0
	if len(g.crashes) >= countedCrashes {
		for _, at := range g.badRuns {
			if at.After(last.Add(stabilityWindow)) {
				late++
			}
		}
	}
	d.printf("BUDGET: later than stability_window_ms after the fifth crash, %d requests with the bad part reached workers; %d may", late, tolerableRuns)
	lost := n >= minRequests && during < before/2
	return lost || late > tolerableRuns, nil
}
