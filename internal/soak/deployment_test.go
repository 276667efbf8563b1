package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	hostName = "soak.example"
	key      = "soak-key"
	events   = 20
	ranks    = 4
	desks    = 3
	// patience bounds waiting for a state that must come; machines differ in speed.
	patience = 40 * time.Second
)

// endpointNode is an endpoint behind a relay.
type endpointNode struct {
	name, group, domain string
	address             string
	relay               *standin.Relay
	born                int64
	draining            bool
}

// entryNode is one place of an entry; processes come and go there.
type entryNode struct {
	name, caller, peer, ops string
	settings                string
	store                   *standin.Relay

	mu    sync.Mutex
	child *standin.Child
	// incarnation counts the processes.
	incarnation int
	// ending is true while the process may end, for the soak told it to.
	ending bool
}

// deployment is a platform with entries.
type deployment struct {
	t        *testing.T
	bin, dir string
	store    string
	entries  []*entryNode
	nodes    []*endpointNode
	children []*standin.Child

	mu      sync.Mutex
	version int
	epoch   uint64
}

// start starts all processes and waits until they are ready.
func (d *deployment) start(entries int) {
	ports := standin.FreePorts(1 + ranks + desks + 3*entries)
	take := func() string {
		at := fmt.Sprintf("127.0.0.1:%d", ports[0])
		ports = ports[1:]
		return at
	}
	d.store = take()
	d.run("standin", "rowstore", "--address", d.store)
	d.await("http://"+d.store+"/-/rows-get?table=op", http.StatusOK)
	d.startEndpoints(take)
	for _, n := range d.nodes {
		d.announce(n)
	}
	d.configure()
	for i := range entries {
		d.addEntry(i, take)
	}
	for _, e := range d.entries {
		d.await("http://"+e.ops+"/readyz", http.StatusOK)
	}
}

func (d *deployment) startEndpoints(take func() string) {
	args := []string{"ranks", "--name", "rank", "--record", d.runsFile(), "--events", fmt.Sprint(events)}
	for i := range ranks {
		n := d.addNode(fmt.Sprint("rank-", i), "models", string("ab"[i%2]), take())
		args = append(args, "--address", n.address)
	}
	d.run("standin", args...)
	for i := range desks {
		n := d.addNode(fmt.Sprint("desk-", i), "desk", string("ab"[i%2]), take())
		d.run("standin", "worker", "--name", n.name, "--address", n.address, "--record", d.runsFile())
	}
	for _, n := range d.nodes {
		d.await("http://"+n.address+"/runs", http.StatusOK)
	}
}

func (d *deployment) runsFile() string { return filepath.Join(d.dir, "runs.jsonl") }

func (d *deployment) addNode(name, group, domain, address string) *endpointNode {
	relay, err := standin.NewRelay("127.0.0.1:0", address)
	d.must(err)
	n := &endpointNode{name: name, group: group, domain: domain, address: address, relay: relay, born: 1}
	d.nodes = append(d.nodes, n)
	return n
}

func (d *deployment) must(err error) {
	d.t.Helper()
	if err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) run(program string, args ...string) *standin.Child {
	d.t.Helper()
	c, err := standin.StartChild(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", args[0], len(d.children))), filepath.Join(d.bin, program), args...)
	d.must(err)
	d.children = append(d.children, c)
	return c
}

func (d *deployment) addEntry(i int, take func() string) {
	e := &entryNode{name: fmt.Sprint("entry-", i), caller: take(), peer: take(), ops: take()}
	relay, err := standin.NewRelay("127.0.0.1:0", d.store)
	d.must(err)
	e.store = relay
	d.entries = append(d.entries, e)
	e.settings = filepath.Join(d.dir, e.name+".toml")
	d.must(os.WriteFile(e.settings, []byte(d.settingsOf(i)), 0o600))
	d.startEntry(e)
}

func (d *deployment) settingsOf(i int) string {
	e := d.entries[i]
	return fmt.Sprintf(`role = "entry"
instance = %q
failureDomain = %q
callerAddress = %q
peerAddress = %q
operatorAddress = %q
seeds = [%q, %q]
[deployment]
storeAddress = %q
retryRatio = 0.2
retrySlack = 88
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
graceMs = %d
stallMs = 1500
[tls]
insecure = true
`, e.name, string("ab"[i%2]), e.caller, e.peer, e.ops, d.entries[0].peer, d.entries[i/2].peer, e.store.Address(), grace.Milliseconds())
}

// startEntry starts a process at an entry's place.
func (d *deployment) startEntry(e *entryNode) {
	c, err := standin.StartChild(filepath.Join(d.dir, e.name+".log"), filepath.Join(d.bin, "cicadareel"), "entry", "--settings", e.settings)
	if err != nil {
		d.t.Error(err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.child, e.ending = c, false
	e.incarnation++
}

// now returns the process at an entry's place and its number.
func (e *entryNode) now() (*standin.Child, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.child, e.incarnation
}

// expectEnd notes that the process is about to end.
func (e *entryNode) expectEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ending = true
}

// endedItself reports whether the process ended without being told to.
func (e *entryNode) endedItself() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.child.Exited():
		return !e.ending
	default:
		return false
	}
}

// close ends what the soak started, and nothing else.
func (d *deployment) close() {
	for _, e := range d.entries {
		if c, _ := e.now(); c != nil {
			c.Kill()
		}
		e.store.Close()
	}
	for _, c := range d.children {
		c.Kill()
	}
	for _, n := range d.nodes {
		n.relay.Close()
	}
}

// await asks an address until it answers with the status.
func (d *deployment) await(url string, status int) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get(url)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == status {
			return
		}
	}
	d.t.Fatalf("%s never answered %d", url, status)
}

// send makes a call of the operators or of a control address.
func (d *deployment) send(method, url string, body any) []byte {
	content, err := json.Marshal(body)
	if err != nil {
		d.t.Error(err)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(content))
	if err != nil {
		d.t.Error(err)
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		d.t.Error(err)
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	out, _ := io.ReadAll(resp.Body)
	return out
}

func (d *deployment) put(row string, value any) {
	d.send(http.MethodPut, "http://"+d.store+"/rows/"+row, value)
}

// announce writes the row of an endpoint.
func (d *deployment) announce(n *endpointNode) {
	row := map[string]any{"service": n.group, "address": n.relay.Address(), "zone": n.domain, "slots": 12, "state": "ready", "born": n.born}
	if n.draining {
		row["state"] = "draining"
	}
	if n.group == "models" {
		var rank int
		_, _ = fmt.Sscanf(n.name, "rank-%d", &rank)
		row["group"] = map[string]any{"name": "g", "epoch": d.epoch, "rank": rank, "state": "open"}
		row["size"] = ranks
	}
	d.put("servers/"+n.name, row)
}

func markOf(version int) string { return fmt.Sprintf("mark-%d", version) }

// configure writes the next version of the configuration. Each has a route of its
// own, which shows that exactly that version is in force.
func (d *deployment) configure() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	route := func(name, kind, group string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": hostName, "path_prefix": "/" + name + "/", "route_type": kind, "service": group,
			"timeout_ms": 4000, "target_latency_ms": 400, "target_gap_ms": 120, "priority": 1, "max_attempts": attempts, "stream_resume": kind == "streaming"}
	}
	d.put("op/config", map[string]any{
		"version": d.version,
		"routes": []any{route("draft", "streaming", "models", 2), route("look", "safe", "desk", 2), route("book", "unsafe", "desk", 1),
			route(markOf(d.version), "safe", "desk", 2)},
		"services": []any{
			map[string]any{"name": "models", "max_connections": 100, "engine": map[string]any{"slots": 12, "sets": 3, "experts": 24,
				"placements": 8, "spare": 2, "expert_mb": 50, "link_mbps": 44000, "form_ms": 600, "report_lag_ms": 200}},
			map[string]any{"name": "desk", "max_connections": 100},
		},
		"limits":  map[string]any{"max_body_bytes": 65536},
		"tenants": []any{map[string]any{"name": "homeowners", "api_keys": []string{key}}},
	})
	return d.version
}

// hold keeps a failure domain free of work, or releases it.
func (d *deployment) hold(domain string, held bool) {
	if held {
		d.put("op/evacuate/"+domain, struct{}{})
		return
	}
	d.send(http.MethodDelete, "http://"+d.store+"/rows/op/evacuate/"+domain, nil)
}
