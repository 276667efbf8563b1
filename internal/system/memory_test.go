package system

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// memoryLimit is the memory limit in the entry's settings, and the bound on its memory.
	memoryLimit = 96_000_000
	// bodyLimit is the largest body of the configuration: that of the pages.
	bodyLimit = 4 << 20
	// crowdSize is the number of clients of a crowd. Their bodies are 1.7 times the
	// memory limit.
	crowdSize = 40
	// descriptorLimit is the entry's limit on open descriptors, and descriptorBound the
	// number that a crowd may bring it to: others are left for endpoints, peers and the store.
	descriptorLimit = 320
	descriptorBound = 240
	// connectionCrowd is the number of connections of the crowd that has more than the
	// entry has descriptors.
	connectionCrowd = 400
	crowdHost       = "crowd.example"
	crowdKey        = "crowd-key"
)

// guarded is an entry with a memory limit, a store and two endpoints. The endpoint files
// is slow and sends long responses.
type guarded struct {
	c                        *cluster
	caller, ops, desk, files string
	entry                    *standin.Child
	crowd                    []net.Conn
	mu                       sync.Mutex
	sending                  sync.WaitGroup
}

// startGuarded starts the processes in the directory of the programs.
func startGuarded(dir string) *guarded {
	GinkgoHelper()
	store := freeAddress()
	g := &guarded{c: &cluster{dir: dir}, caller: freeAddress(), ops: freeAddress(), desk: freeAddress(), files: freeAddress()}
	g.c.run("standin", "rowstore", "--address", store)
	g.c.run("standin", "worker", "--name", "desk-0", "--address", g.desk)
	g.c.run("standin", "worker", "--name", "files-0", "--address", g.files, "--work", "1500ms", "--response-bytes", strconv.Itoa(bodyLimit))
	rows := map[string]string{
		"servers/desk-0":  fmt.Sprintf(`{"service":"desk","address":%q,"zone":"a","slots":12,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`, g.desk),
		"servers/files-0": fmt.Sprintf(`{"service":"files","address":%q,"zone":"a","slots":120,"state":"ready","version":"v1","cold_remaining_ms":0,"sequence":1,"born":1}`, g.files),
		"op/config": fmt.Sprintf(`{"version":1,"routes":[
			{"name":"look","host":%[1]q,"path_prefix":"/look/","route_type":"safe","service":"desk","timeout_ms":4000,"target_latency_ms":400,"priority":1,"max_attempts":2},
			{"name":"files","host":%[1]q,"path_prefix":"/files/","route_type":"unsafe","service":"files","timeout_ms":60000,"target_latency_ms":4000,"priority":1,"max_attempts":1}],
			"services":[{"name":"desk","max_connections":100},{"name":"files","max_connections":1000}],
			"limits":{"max_header_bytes":16384,"max_body_bytes":%[2]d,"header_timeout_ms":3000,"idle_timeout_ms":15000},
			"tenants":[{"name":"crowd","api_keys":[%[3]q]}]}`, crowdHost, bodyLimit, crowdKey),
	}
	for row, value := range rows {
		Eventually(func() error { return put("http://"+store+"/rows/"+row, value) }, stateTimeout).Should(Succeed())
	}
	settings := filepath.Join(dir, "guarded.toml")
	Expect(os.WriteFile(settings, fmt.Appendf(nil, `role = "entry"
instance = "entry-0"
failureDomain = "a"
callerAddress = %q
peerAddress = %q
operatorAddress = %q
[deployment]
storeAddress = %q
retryRatio = 0.2
retrySlack = 88
retryWindowMs = 10000
coldFactor = 1.5
coldTolerance = 5
graceMs = 8000
stallMs = 1500
memoryBytes = %d
[tls]
insecure = true
`, g.caller, freeAddress(), g.ops, store, memoryLimit), 0o600)).To(Succeed())
	entry, err := standin.StartChild(filepath.Join(dir, "guarded.log"), "/bin/sh", "-c",
		fmt.Sprintf("ulimit -n %d && exec %s entry --settings %s", descriptorLimit, filepath.Join(dir, "cicadareel"), settings))
	Expect(err).NotTo(HaveOccurred())
	g.entry = entry
	g.c.children = append(g.c.children, entry)
	Eventually(g.askOnce, stateTimeout).Should(Equal(http.StatusOK))
	return g
}

// close ends the crowd and the processes.
func (g *guarded) close() {
	g.mu.Lock()
	for _, c := range g.crowd {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.sending.Wait()
	g.c.close()
}

// portOf returns the port of an address.
func portOf(address string) int {
	_, text, _ := net.SplitHostPort(address)
	port, _ := strconv.Atoi(text)
	return port
}

// watch samples the entry's memory and descriptors.
func (g *guarded) watch() *usageWatch {
	return watchUsage(g.entry.Pid(), portOf(g.caller), portOf(g.files))
}

// send sends an ordinary request with a body of the length over a new connection, and
// returns the status of a complete response, or 0.
func (g *guarded) send(path string, length int) int {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.caller+path, strings.NewReader(strings.Repeat("b", length)))
	Expect(err).NotTo(HaveOccurred())
	req.Host, req.Close = crowdHost, true
	req.Header.Set("X-Api-Key", crowdKey)
	req.Header.Set("X-Attempt-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// askOnce sends one small ordinary request.
func (g *guarded) askOnce() int { return g.send("/look/x", 300) }

// join opens n connections of a crowd and passes each to send in a goroutine of its own,
// all at once. A connection that the entry does not accept is left out.
func (g *guarded) join(n int, send func(number int, c net.Conn)) {
	start := make(chan struct{})
	for i := range n {
		g.sending.Go(func() {
			<-start
			c, err := net.DialTimeout("tcp", g.caller, 20*time.Second)
			if err != nil {
				return
			}
			g.mu.Lock()
			g.crowd = append(g.crowd, c)
			g.mu.Unlock()
			send(i, c)
		})
	}
	close(start)
}

// head returns the head of a request of the crowd, with the header field that frames the
// body.
func head(number int, framing string) string {
	return fmt.Sprintf("POST /files/x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: crowd-%d\r\n%s\r\n\r\n", crowdHost, crowdKey, number, framing)
}

// writeBody writes n bytes of a body with a length, or of one in chunks.
func writeBody(c net.Conn, n int, chunked bool) error {
	const piece = 32 << 10
	text := strings.Repeat("c", piece)
	for n > 0 {
		part := text[:min(n, piece)]
		n -= len(part)
		if chunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return err
		}
	}
	return nil
}

// expectBounds checks the entry's life and what it held at most.
func (g *guarded) expectBounds(peak usage) {
	GinkgoHelper()
	fmt.Fprintln(GinkgoWriter, peak)
	Expect(g.entry.Exited()).NotTo(BeClosed(), "the entry lives")
	Expect(peak.resident).To(BeNumerically("<=", memoryLimit), "resident memory; %v", peak)
	Expect(peak.withQueues).To(BeNumerically("<=", memoryLimit), "memory with socket queues; %v", peak)
	Expect(peak.descriptors).To(BeNumerically("<=", descriptorBound), "open descriptors; %v", peak)
}

// Crowds of clients that nobody controls. No spec depends on times or on the share of
// requests that are served.
var _ = Describe("an entry under a crowd of clients that stay inside the limits", Ordered, Serial, ContinueOnFailure, func() {
	var (
		dir string
		g   *guarded
	)

	BeforeAll(func() { dir = buildPrograms() })
	BeforeEach(func() {
		g = startGuarded(dir)
	})
	AfterEach(func() {
		if g != nil {
			g.close()
		}
	})

	// underCrowd lets a crowd send, checks that an ordinary request is answered while the
	// crowd is there and after it has left, and checks what the entry held.
	underCrowd := func(n int, send func(number int, c net.Conn)) {
		GinkgoHelper()
		w := g.watch()
		g.join(n, send)
		g.sending.Wait()
		time.Sleep(3 * time.Second)
		Eventually(g.askOnce, stateTimeout).Should(Equal(http.StatusOK), "an ordinary request beside the crowd")
		g.mu.Lock()
		for _, c := range g.crowd {
			_ = c.Close()
		}
		g.crowd = nil
		g.mu.Unlock()
		Eventually(g.askOnce, stateTimeout).Should(Equal(http.StatusOK), "an ordinary request after the crowd")
		g.expectBounds(w.stop())
	}

	It("serves a single body of the largest size in calm", func() {
		w := g.watch()
		Expect(g.send("/files/x", bodyLimit)).To(Equal(http.StatusOK))
		g.expectBounds(w.stop())
	})

	It("bears whole bodies at once", func() {
		underCrowd(crowdSize, func(i int, c net.Conn) {
			_, _ = io.WriteString(c, head(i, fmt.Sprint("Content-Length: ", bodyLimit)))
			if writeBody(c, bodyLimit, false) == nil {
				_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
				_, _ = c.Read(make([]byte, 1))
			}
		})
	})

	It("bears bodies that stop just short of their end and stay open", func() {
		underCrowd(crowdSize, func(i int, c net.Conn) {
			chunked := i%2 == 1
			framing := fmt.Sprint("Content-Length: ", bodyLimit)
			if chunked {
				framing = "Transfer-Encoding: chunked"
			}
			_, _ = io.WriteString(c, head(i, framing))
			_ = writeBody(c, bodyLimit-64, chunked)
		})
	})

	It("bears responses that nobody reads", func() {
		underCrowd(crowdSize, func(i int, c net.Conn) {
			_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			_, _ = io.WriteString(c, head(i, "Content-Length: 0"))
		})
	})

	It("bears more connections than it has descriptors, each with a part of a body", func() {
		underCrowd(connectionCrowd, func(i int, c net.Conn) {
			_, _ = io.WriteString(c, head(i, fmt.Sprint("Content-Length: ", bodyLimit)))
			_ = writeBody(c, 1000, false)
		})
	})
})
