package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

const (
	entryProgram = "target/cicadareel"
	storeProgram = "bin/standin"
	readyTimeout = 10 * time.Second
	// graceTime is the time from SIGTERM to SIGKILL, as in the settings.
	graceTime = 8 * time.Second
)

// deployment is a store with the operators' configuration, endpoints and entries.
type deployment struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	dir     string
	store   string
	started time.Time

	mu       sync.Mutex
	log      *os.File
	children []*child
}

// child is a process that the case started.
type child struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func newDeployment(recordPath string, trouble bool) (*deployment, error) {
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{trouble: trouble, dir: dir, started: time.Now(), log: log}
	d.record("trouble: %v", trouble)
	ports, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	d.store = ports[0]
	if _, err := d.start(storeProgram, []string{"rowstore", "--address", d.store}, nil, "store"); err != nil {
		d.close()
		return nil, err
	}
	if err := waitFor(readyTimeout, func() bool { return d.put("demo/up", struct{}{}) == nil }); err != nil {
		d.close()
		return nil, fmt.Errorf("the store does not answer: %w", err)
	}
	return d, nil
}

// record writes one line to the record, with the time since the start.
func (d *deployment) record(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.log, "%8.3f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, c := range d.children {
		_ = c.cmd.Process.Kill()
		<-c.done
	}
	_ = os.RemoveAll(d.dir)
	_ = d.log.Close()
}

// start starts a process whose output goes to a file in the temporary folder.
func (d *deployment) start(program string, args, env []string, name string) (*child, error) {
	output, err := os.OpenFile(filepath.Join(d.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &child{cmd: cmd, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(c.done)
	}()
	d.children = append(d.children, c)
	return c, nil
}

// put writes a row as the operators and the endpoints do.
func (d *deployment) put(row string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+d.store+"/rows/"+row, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// putEndpoint announces an endpoint.
func (d *deployment) putEndpoint(name, service, address, zone string, slots int) error {
	return d.put("servers/"+name, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
}

// route is a route of the operators' configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	RouteType       string `json:"route_type"`
	TimeoutMs       int    `json:"timeout_ms"`
	TargetLatencyMs int    `json:"target_latency_ms"`
	TargetGapMs     int    `json:"target_gap_ms,omitempty"`
	Priority        int    `json:"priority"`
	MaxAttempts     int    `json:"max_attempts"`
	StreamResume    bool   `json:"stream_resume"`
	Anonymous       bool   `json:"anonymous"`
	Service         string `json:"service"`
}

const (
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
)

// putConfig writes a version of the configuration.
func (d *deployment) putConfig(version int, routes []route, services ...string) error {
	var list []any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health_path": "/healthz", "max_connections": 440, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0})
	}
	return d.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	})
}

// machine is an edge machine with its entry.
type machine struct {
	d        *deployment
	name     string
	frontend string
	ready    string
	peer     string
	settings string
	process  *child
}

// newMachines returns machines with settings files as the template of the deploy file gives
// them. Their entries are not started.
func (d *deployment) newMachines(n, memoryMB, linkMbps int) ([]*machine, error) {
	ports, err := freePorts(4 * n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, ports[4*i+2])
	}
	seedList, err := json.Marshal(seeds)
	if err != nil {
		return nil, err
	}
	var machines []*machine
	for i := range n {
		m := &machine{d: d, name: fmt.Sprintf("edge-%d", i+1), frontend: ports[4*i], ready: ports[4*i+1], peer: ports[4*i+2]}
		m.settings = filepath.Join(d.dir, m.name+".toml")
		text := fmt.Sprintf(`role = "entry"
instance = %q
failureDomain = "zone-a"
callerAddress = %q
operatorAddress = %q
peerAddress = %q
metricsAddress = %q
seeds = %s
logLevel = "info"

[deployment]
storeAddress = %q
retryRatio = 0.2
retrySlack = 88
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
fencedCommands = true
graceMs = 8000
stallMs = 1500
linkMbps = %d
memoryBytes = %d000000

[tls]
insecure = true
`, m.name, m.frontend, m.ready, m.peer, ports[4*i+3], seedList, d.store, linkMbps, memoryMB)
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		machines = append(machines, m)
	}
	return machines, nil
}

// start starts the entry as the deploy file says.
func (m *machine) start() error {
	var err error
	m.process, err = m.d.start(entryProgram, []string{"entry"}, []string{"CICADAREEL_SETTINGS=" + m.settings}, m.name)
	return err
}

// waitReady waits until the entry says that it is ready.
func (m *machine) waitReady() error {
	return waitFor(readyTimeout, func() bool {
		resp, err := http.Get("http://" + m.ready + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", limit)
}

// freePorts returns unused loopback addresses.
func freePorts(n int) ([]string, error) {
	var addresses []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses, nil
}
