package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// answer is what a client saw of one request.
type answer struct {
	id, kind string
	entry    int
	// incarnation is that of the process when the request was sent.
	incarnation int
	sent, ended time.Time
	// status is 0 without an answer.
	status int
	proof  string
	body   string
	// whole is true if the answer came to its end.
	whole bool
}

// clients send requests over connections that they keep until the process at the
// other end closes them or is gone.
type clients struct {
	d    *deployment
	http *http.Client
	// running holds a place for each request, so that a stuck deployment does not
	// make more and more of them.
	running chan struct{}
	done    sync.WaitGroup

	mu      sync.Mutex
	answers []answer
	count   int
}

// clientPlaces bounds the requests at a time.
const clientPlaces = 64

func newClients(d *deployment) *clients {
	return &clients{d: d, http: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: clientPlaces}},
		running: make(chan struct{}, clientPlaces)}
}

// keep sends requests until stop is closed.
func (c *clients) keep(stop <-chan struct{}) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			c.done.Wait()
			return
		case <-ticker.C:
		}
		kinds := []string{"draft", "look", "book", "mark"}
		c.begin(n%len(c.d.entries), kinds[n/len(c.d.entries)%len(kinds)])
	}
}

// begin sends a request, unless too many are on their way.
func (c *clients) begin(entry int, kind string) {
	select {
	case c.running <- struct{}{}:
	default:
		return
	}
	c.done.Go(func() {
		defer func() { <-c.running }()
		c.send(entry, kind)
	})
}

// send sends a request and returns what came.
func (c *clients) send(entry int, kind string) answer {
	c.mu.Lock()
	c.count++
	a := answer{id: fmt.Sprint("s", c.count), kind: kind, entry: entry}
	c.mu.Unlock()
	if kind == "mark" {
		c.d.mu.Lock()
		a.kind = markOf(c.d.version - c.count%2)
		c.d.mu.Unlock()
	}
	_, a.incarnation = c.d.entries[entry].now()
	a.sent = time.Now()
	c.exchange(&a)
	a.ended = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

func (c *clients) exchange(a *answer) {
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.entries[a.entry].caller+"/"+a.kind+"/x", strings.NewReader("body of "+a.id))
	if err != nil {
		return
	}
	// The client must not repeat a request by itself.
	req.GetBody = nil
	req.Host = hostName
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("X-Attempt-Id", a.id)
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.proof = resp.StatusCode, resp.Header.Get("X-Upstream-Signature")
	body, err := io.ReadAll(resp.Body)
	a.body, a.whole = string(body), err == nil
}

// right reports whether a whole answer is the endpoint's.
func (a answer) right() bool { return a.whole && a.status == http.StatusOK && a.body == a.expected() }

func (a answer) expected() string {
	if a.kind != "draft" {
		return standin.PlainResponse(a.id)
	}
	var text strings.Builder
	for id := 1; id <= events; id++ {
		text.WriteString(standin.StreamEvent(id))
	}
	return text.String()
}
