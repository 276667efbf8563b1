package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// host is the Host of all routes, and apiKey the key of the only tenant.
	host   = "ficu95.example"
	apiKey = "n2ctnfzs989anu6wsjnb"
	// readyTimeout bounds the start of the entries.
	readyTimeout = 15 * time.Second
	// stopTimeout is how long an entry may take to end after SIGTERM: its grace period.
	stopTimeout = 8 * time.Second
)

// zones are the zones of the deployment, as on the small sites.
var zones = []string{"khomas-a", "khomas-b", "khomas-c"}

// record is the record file of a case. It is safe for concurrent use.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, started: time.Now()}, err
}

// printf adds a line with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// deployment is a small deployment on loopback addresses.
type deployment struct {
	*record
	program string
	dir     string
	store   *standin.RowStore
	// storeAddress is the address of the store.
	storeAddress string
	// entries are the addresses at which entries serve clients.
	entries []string
	// settingsPaths are the settings files of the entries, and readiness the addresses of
	// their readiness checks.
	settingsPaths, readiness []string
	// configVersion is the version of the last configuration.
	configVersion int

	mu        sync.Mutex
	processes []*exec.Cmd
}

func newDeployment(program string, r *record) *deployment {
	return &deployment{record: r, program: program, store: standin.NewRowStore()}
}

// startStore serves the store.
func (d *deployment) startStore() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.storeAddress = l.Addr().String()
	go func() { _ = http.Serve(l, d.store.Handler()) }()
	return nil
}

// configure writes the next configuration.
func (d *deployment) configure(routes, services []map[string]any) {
	d.configVersion += 2
	d.store.Put("op", "config", map[string]any{
		"version": d.configVersion, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	})
	d.printf("configuration %d: %d routes", d.configVersion, len(routes))
}

// settings is deploy/entry.toml as the platform fills it in for a small site.
const settings = `role = "entry"
instance = "%s"
failureDomain = "%s"
callerAddress = "%s"
operatorAddress = "%s"
peerAddress = "%s"
metricsAddress = "%s"
seeds = ["%s"]
logLevel = "info"

[deployment]
storeAddress = "%s"
retryRatio = 0.2
retrySlack = 88
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
fencedCommands = true
graceMs = 8000
stallMs = 1500
linkMbps = 1000.0
memoryBytes = 284000000

[tls]
insecure = true
`

// startEntries starts a number of entries, one zone after the other, and waits until all
// are ready.
func (d *deployment) startEntries(count int) error {
	var err error
	if d.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return err
	}
	ports := standin.FreePorts(4 * count)
	address := func(entry, kind int) string { return fmt.Sprintf("127.0.0.1:%d", ports[4*entry+kind]) }
	var seeds []string
	for i := range min(3, count) {
		seeds = append(seeds, address(i, 2))
	}
	for i := range count {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1)
		path := filepath.Join(d.dir, name+".toml")
		text := fmt.Sprintf(settings, name, zone, address(i, 0), address(i, 1), address(i, 2), address(i, 3), strings.Join(seeds, `", "`), d.storeAddress)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		d.settingsPaths = append(d.settingsPaths, path)
		d.entries, d.readiness = append(d.entries, address(i, 0)), append(d.readiness, address(i, 1))
	}
	return d.startAll()
}

// startAll starts all entries and waits until they are ready.
func (d *deployment) startAll() error {
	for _, path := range d.settingsPaths {
		if err := d.startEntry(path); err != nil {
			return err
		}
	}
	for _, address := range d.readiness {
		if err := waitUntilReady(address); err != nil {
			return err
		}
	}
	d.printf("%d entries are ready", len(d.entries))
	return nil
}

// killAll kills all entries.
func (d *deployment) killAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	d.processes = nil
	d.printf("all entries are killed")
}

// startEntry starts one entry with the command of the deploy file.
func (d *deployment) startEntry(settingsPath string) error {
	log, err := os.OpenFile(strings.TrimSuffix(settingsPath, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.program, "entry")
	command.Env = append(os.Environ(), "CICADAREEL_SETTINGS="+settingsPath)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, command)
	return nil
}

// waitUntilReady waits until an entry's readiness check succeeds.
func waitUntilReady(address string) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the entry at %s does not become ready", address)
}

// stop ends all processes and removes their files.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range d.processes {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range d.processes {
		kill := time.AfterFunc(stopTimeout, func() { _ = p.Process.Kill() })
		_ = p.Wait()
		kill.Stop()
	}
	d.processes = nil
	if d.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// countLogged returns how many lines with the message the entries logged.
func (d *deployment) countLogged(message string) int {
	logs, _ := filepath.Glob(filepath.Join(d.dir, "*.log"))
	n := 0
	for _, path := range logs {
		content, _ := os.ReadFile(path)
		for line := range strings.Lines(string(content)) {
			var event struct {
				Message string `json:"msg"`
			}
			if json.Unmarshal([]byte(line), &event) == nil && event.Message == message {
				n++
			}
		}
	}
	return n
}
