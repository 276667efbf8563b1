package proof

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// naiveBalancer sends requests round robin straight to the endpoints, without gates and
// without seals. It retries whenever the connection fails and reports "notRun" when the
// retries are used up. It shows that the checks of this package find violations.
type naiveBalancer struct {
	client  *http.Client
	targets []netip.AddrPort
	next    int
}

func newNaiveBalancer(c *cluster, names ...string) *naiveBalancer {
	n := &naiveBalancer{client: &http.Client{Transport: &http.Transport{DialContext: c.network.DialNetwork, DisableKeepAlives: true}}}
	for _, name := range names {
		n.targets = append(n.targets, c.endpoints[name].endpointAddress())
	}
	return n
}

// exchange sends a request until an attempt gets a response, at most retries + 1 times.
func (n *naiveBalancer) exchange(path, body string, retries int) response {
	for range retries + 1 {
		r, err := n.attempt(path, body)
		if err == nil {
			return r
		}
	}
	return response{outcome: "notRun"}
}

// attempt sends a request once to the next endpoint.
func (n *naiveBalancer) attempt(path, body string) (response, error) {
	at := n.targets[n.next%len(n.targets)]
	n.next++
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return response{}, err
	}
	return response{status: resp.StatusCode, body: string(content)}, nil
}

// violatedGuarantees returns the failures of checkGuarantees, joined by semicolons.
func violatedGuarantees(k requestKind, r response, runs int) string {
	failures := InterceptGomegaFailures(func() { k.checkGuarantees(r, runs) })
	return strings.Join(failures, "; ")
}

var _ = Describe("a naive balancer under the same faults", func() {
	It("runs bookings twice and reports requests that ran as not run", func() {
		found := map[string]bool{}
		for retries := range 2 {
			inBubble(func() {
				c := newCluster("desk1", "desk2")
				defer c.close()
				n := newNaiveBalancer(c, "desk1", "desk2")
				result := make(chan response, 1)
				go func() { result <- n.exchange("/book", probeBody, retries) }()
				time.Sleep(stepTime / 2)
				c.network.Disconnect(c.endpoints["desk1"].endpointAddress().String())
				r := <-result
				time.Sleep(10 * time.Second)
				found[violatedGuarantees(requestKinds[2], r, c.totalRuns())] = true
			})
		}
		text := fmt.Sprint(found)
		Expect(text).To(ContainSubstring("not idempotent"))
		Expect(text).To(ContainSubstring("refused as not run"))
	})

	It("overloads an endpoint that has just started", func() {
		inBubble(func() {
			c := newCluster("m1")
			defer c.close()
			done := make(chan response)
			for range 8 {
				go func() { done <- newNaiveBalancer(c, "m1").exchange("/draft", "filler", 0) }()
			}
			for range 8 {
				<-done
			}
			Expect(c.endpoints["m1"].record().PeakCold).To(BeNumerically(">", 2))
		})
	})
})
