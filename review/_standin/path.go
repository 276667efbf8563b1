package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// plainWorker is a worker of a plain service. It records the request lines.
type plainWorker struct {
	d  *deployment
	id string

	mu sync.Mutex
	// lines has the request line of each request that ran, by attempt id.
	lines map[string]string
}

// ServeHTTP implements http.Handler.
func (w *plainWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expected-Instance") != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	line := r.Method + " " + r.RequestURI
	w.mu.Lock()
	w.lines[id] = line
	w.mu.Unlock()
	w.d.printf("worker %s runs %s: request line %q, host %q, path %q", w.id, id, line, r.Host, r.URL.Path)
	body := "done " + id + "\n"
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Upstream-Signature", w.id+"."+id)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(rw, body)
}

// plainName and otherName are the names of plain services.
const (
	plainName = "wuno96b"
	otherName = "deza12c"
)

// plainService describes a plain service in a configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", "max_connections": 96, "cold_start_s": 0.0, "cold_per_s": 0.0}
}

// startPlainWorker starts and announces the worker with the id of a plain service.
func startPlainWorker(d *deployment, service, id string) (*plainWorker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{d: d, id: id, lines: map[string]string{}}
	go func() { _ = http.Serve(l, w) }()
	d.store.Put("servers", w.id, map[string]any{
		"service": service, "address": l.Addr().String(), "zone": zones[0], "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

// runDoubleSlash sends requests whose paths begin with two slashes, and compares the request
// lines that workers get with those that clients sent. The disruption is a configuration
// that adds a route whose prefix is a single slash.
func runDoubleSlash(d *deployment, trouble bool) (bool, error) {
	const requests = 20
	if err := d.startStore(); err != nil {
		return false, err
	}
	w, err := startPlainWorker(d, plainName, "i-7f3a91c2")
	if err != nil {
		return false, err
	}
	services := []map[string]any{plainService(plainName)}
	routes := []map[string]any{plainRoute("r-fi6y7z5", "/pufi791/", plainName)}
	d.configure(routes, services)
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	if trouble {
		d.configure(append(routes, plainRoute("r-2yhvz3p", "/", plainName)), services)
		time.Sleep(3 * time.Second)
	}
	served, changed := 0, 0
	for i := range requests {
		// Every second request is an ordinary one.
		target := fmt.Sprintf("//lohu930/%df", i)
		if i%2 == 0 {
			target = fmt.Sprintf("/pufi791/%df", i)
		}
		id := fmt.Sprintf("%016x", i+1)
		status, err := get(d.entries[i%len(d.entries)], target, id)
		if err != nil {
			return false, err
		}
		d.printf("client sent %s: request line %q; answer %d", id, "GET "+target, status)
		w.mu.Lock()
		line, ran := w.lines[id]
		w.mu.Unlock()
		if !ran {
			continue
		}
		served++
		if line != "GET "+target {
			changed++
			d.printf("UNASKED: %s ran as %q, the client sent %q", id, line, "GET "+target)
		}
	}
	d.printf("%d requests sent, %d ran, %d with another path", requests, served, changed)
	if served < requests/2 {
		return false, fmt.Errorf("only %d requests ran", served)
	}
	return changed > 0, nil
}

// runEncodedSlash sends requests with an encoded slash in their paths, and checks which
// service runs them. The disruption is a configuration that splits the catch-all route.
func runEncodedSlash(d *deployment, trouble bool) (bool, error) {
	const requests = 20
	if err := d.startStore(); err != nil {
		return false, err
	}
	w, err := startPlainWorker(d, plainName, "i-7f3a91c2")
	if err != nil {
		return false, err
	}
	other, err := startPlainWorker(d, otherName, "i-02d9e6b4")
	if err != nil {
		return false, err
	}
	services := []map[string]any{plainService(plainName), plainService(otherName)}
	routes := []map[string]any{plainRoute("r-2yhvz3p", "/", plainName)}
	d.configure(routes, services)
	if err := d.startEntries(2); err != nil {
		return false, err
	}
	if trouble {
		d.configure(append(routes, plainRoute("r-fi6y7z5", "/pufi791/", otherName)), services)
		time.Sleep(3 * time.Second)
	}
	served, astray := 0, 0
	for i := range requests {
		target := fmt.Sprintf("/pufi791%%2F%df", i)
		if i%2 == 0 {
			target = fmt.Sprintf("/lohu930/%df", i)
		}
		id := fmt.Sprintf("%016x", i+1)
		status, err := get(d.entries[i%len(d.entries)], target, id)
		if err != nil {
			return false, err
		}
		d.printf("client sent %s: request line %q; answer %d", id, "GET "+target, status)
		if w.ran(id) || other.ran(id) {
			served++
		}
		if other.ran(id) {
			astray++
			d.printf("ROUTE: %s was run by %s, but no prefix of a route to that service begins the path %s", id, otherName, target)
		}
	}
	d.printf("%d requests sent, %d ran, %d at a service to which no configuration allows them to go", requests, served, astray)
	if served < requests/2 {
		return false, fmt.Errorf("only %d requests ran", served)
	}
	return astray > 0, nil
}

// ran reports whether the worker ran the attempt.
func (w *plainWorker) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.lines[id]
	return ok
}

func plainRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "route_type": "safe", "timeout_ms": 1000, "target_latency_ms": 150,
		"priority": 2, "service": service, "max_attempts": 2, "anonymous": false,
	}
}

// get sends a GET request with the target as it is and returns the status of the answer.
func get(entry, target, id string) (int, error) {
	conn, err := net.Dial("tcp", entry)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 1000\r\nX-Api-Key: %s\r\n\r\n", target, host, id, apiKey)
	if err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
