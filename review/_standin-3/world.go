// Command standin-3 holds the cases of the third review that run real processes. It is the
// platform's store, the workers and the clients, and starts entries as separate processes.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file of the case, with times since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// exitUnable is the status of a case that could not run.
const exitUnable = 2

// temporary is the temporary folder of the case; empty before there is one.
var temporary string

// fail ends a case that cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	if temporary != "" {
		_ = os.RemoveAll(temporary)
	}
	os.Exit(exitUnable)
}

// row is a row of the store on the wire.
type row struct {
	Table         string `json:"table"`
	Part          string `json:"part"`
	Key           string `json:"key"`
	Value         []byte `json:"value,omitempty"`
	SchemaVersion uint64 `json:"schema_version"`
	Deleted       bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// store is the platform's store of rows.
type store struct {
	mu       sync.Mutex
	rows     map[string]row
	history  []row
	revision uint64
	changed  chan struct{}
}

func newStore() *store { return &store{rows: map[string]row{}, changed: make(chan struct{})} }

// put writes a row as the operator or a worker does, with an empty part.
func (s *store) put(table, key string, value any) { s.putPart(table, "", key, value) }

// putPart writes a row.
func (s *store) putPart(table, part, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		fail("row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(row{Table: table, Part: part, Key: key, Value: content})
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(row{Table: table, Key: key, Deleted: true})
}

func (s *store) write(r row) {
	r.SchemaVersion = s.revision
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/rows-get":
		s.get(w, r.URL.Query())
	case "/-/rows-feed":
		s.feed(w, r)
	case "/-/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) get(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, r := range s.rows {
		if r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") {
			found = append(found, r)
		}
	}
	for i := range found {
		for j := i; j > 0 && found[j].Key < found[j-1].Key; j-- {
			found[j], found[j-1] = found[j-1], found[j]
		}
	}
	respondRows(w, http.StatusOK, found, s.revision)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found, revision, changed := []row{}, s.revision, s.changed
		for _, r := range s.history {
			if r.Table == q.Get("table") && r.SchemaVersion > since {
				found = append(found, r)
			}
		}
		s.mu.Unlock()
		if len(found) > 0 {
			respondRows(w, http.StatusOK, found, revision)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			respondRows(w, http.StatusOK, found, revision)
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectedRevision []row `json:"expected_revision"`
		Puts             []row `json:"puts"`
		Remove           []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	present := []row{}
	for _, e := range t.ExpectedRevision {
		if now := s.rows[e.id()]; now.SchemaVersion != e.SchemaVersion {
			present = append(present, now)
		}
	}
	if len(present) > 0 {
		respondRows(w, http.StatusPreconditionFailed, present, s.revision)
		return
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, p := range t.Remove {
		p.Deleted = true
		s.write(p)
	}
	respondRows(w, http.StatusOK, []row{}, s.revision)
}

func respondRows(w http.ResponseWriter, status int, rows []row, revision uint64) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "has_more": false, "schema_version": revision, "now_ms": time.Now().UnixMilli()})
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	return l
}

// freePort returns a free loopback address.
func freePort() string {
	l := listen()
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// entry is one entry process.
type entry struct {
	name, settings                  string
	callers, operator, peer, metric string
	cmd                             *exec.Cmd
	exited                          chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*entry
)

// stopAll ends all processes that were started.
func stopAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, e := range processes {
		_ = e.cmd.Process.Signal(syscall.SIGCONT)
		_ = e.cmd.Process.Kill()
		<-e.exited
	}
}

// settings are the fields of deploy/entry.toml for one entry, with the values of a small
// deployment.
const settings = `role = "entry"
instance = "%s"
failureDomain = "%s"
callerAddress = "%s"
operatorAddress = "%s"
peerAddress = "%s"
metricsAddress = "%s"
seeds = [%s]
logLevel = "info"

[deployment]
storeAddress = "%s"
retryRatio = 0.2
retrySlack = 92
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
fencedCommands = true
graceMs = 8000
stallMs = 1500
linkMbps = 1000.0
memoryBytes = %d000000

[tls]
insecure = true
`

// startEntries starts entries on the store, one a zone, and waits until all are ready.
func startEntries(dir, storeAddress string, zones []string, memoryMB int) []*entry {
	var entries []*entry
	var seeds []string
	for i, z := range zones {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", z, i+1), callers: freePort(), operator: freePort(), peer: freePort(), metric: freePort()}
		entries = append(entries, e)
		seeds = append(seeds, strconv.Quote(e.peer))
	}
	for i, e := range entries {
		e.settings = filepath.Join(dir, e.name+".toml")
		text := fmt.Sprintf(settings, e.name, zones[i], e.callers, e.operator, e.peer, e.metric, strings.Join(seeds, ","), storeAddress, memoryMB)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			fail("settings: %v", err)
		}
		e.start(dir)
	}
	for _, e := range entries {
		e.awaitReady()
	}
	return entries
}

// start starts the process with the command of the deploy file.
func (e *entry) start(dir string) {
	log, err := os.OpenFile(filepath.Join(dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	e.cmd = exec.Command("target/cicadareel", "entry")
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "CICADAREEL_SETTINGS=" + e.settings}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	if err := e.cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	e.exited = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); close(done) }(e.cmd, e.exited)
	processesMu.Lock()
	processes = append(processes, e)
	processesMu.Unlock()
}

func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.operator + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *entry) awaitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if e.ready() {
			return
		}
	}
	fail("entry %s does not become ready", e.name)
}

// alive reports whether the process runs.
func (e *entry) alive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return true
	}
}

// memory returns a field of the process's status in bytes: VmRSS now, VmHWM at most.
func (e *entry) memory(field string) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}

// route is a route of the configuration.
type route map[string]any

func newRoute(kind, prefix, service string, timeoutMs, targetMs int) route {
	r := route{
		"name": "r-" + strings.Trim(prefix, "/"), "host": host, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeoutMs,
		"target_latency_ms": targetMs, "priority": 1, "service": service, "max_attempts": 2, "anonymous": false,
	}
	if kind == "streaming" {
		r["session_affinity"], r["stream_resume"], r["target_gap_ms"] = true, true, 120
	}
	if kind == "unsafe" {
		r["max_attempts"] = 1
	}
	return r
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// config returns a configuration with one tenant.
func config(version int, routes []route, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 400, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

// worker is one worker of a service.
type worker struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	sequence                   int
	state                      string
	store                      *store
	done                       chan struct{}
}

// startWorker announces a worker that the handler serves, and keeps announcing it.
func startWorker(s *store, id, service, zone string, slots int, h http.Handler) *worker {
	l := listen()
	w := &worker{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), state: "ready", store: s, done: make(chan struct{})}
	go func() { _ = http.Serve(l, h) }()
	w.announce()
	return w
}

func (w *worker) announce() {
	w.sequence++
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
}

// heartbeats announces the workers every 1.2 s until done is closed.
func heartbeats(workers []*worker) {
	for range time.Tick(1200 * time.Millisecond) {
		for _, w := range workers {
			w.announce()
		}
	}
}

// answer writes a worker's answer with its signature.
func answer(w http.ResponseWriter, r *http.Request, body []byte) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Upstream-Signature", "3e1b.07.5a2."+r.Header.Get("X-Attempt-Id"))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// misdirected answers 421 if the request expects another worker.
func misdirected(w http.ResponseWriter, r *http.Request, id string) bool {
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != id {
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return true
	}
	return false
}

// client is a client's connection.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func connect(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return newClient(c), nil
}

// connectWithWindow connects with a receive buffer of a number of bytes.
func connectWithWindow(address string, window int) (*client, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window) })
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return newClient(c), nil
}

func newClient(c net.Conn) *client { return &client{conn: c, in: bufio.NewReaderSize(c, 1024)} }

// head returns the head of a request.
func head(method, target, id string, deadline time.Duration, length int, more ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Api-Key: %s\r\n", method, target, host, id, deadline.Milliseconds(), key)
	if length >= 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	for _, m := range more {
		b.WriteString(m + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends a whole request and reads the whole answer.
func (c *client) send(request []byte, limit time.Duration) (*http.Response, []byte, error) {
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write(request); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// isTimeout reports whether an error is that of a deadline.
func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}

// request sends one request over a new connection and returns the status, 0 for none, and why
// it is no complete answer.
func request(e *entry, path, id string) (int, string) {
	k, err := connect(e.callers)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = k.conn.Close() }()
	resp, _, err := k.send(head("POST", path, id, 3*time.Second, 0), 3*time.Second)
	switch {
	case resp == nil:
		return 0, err.Error()
	case err != nil:
		return resp.StatusCode, err.Error()
	}
	return resp.StatusCode, ""
}
