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

// naive is a plain balancer: round robin straight to the endpoints, no gate,
// no seal, a retry whenever the connection fails, "not run" when retries are
// spent.
type naive struct {
	client  *http.Client
	targets []netip.AddrPort
	next    int
}

func newNaive(r *rig, names ...string) *naive {
	n := &naive{client: &http.Client{Transport: &http.Transport{DialContext: r.network.DialNetwork, DisableKeepAlives: true}}}
	for _, name := range names {
		n.targets = append(n.targets, r.sites[name].endpointAddress())
	}
	return n
}

func (n *naive) exchange(path, body string, retries int) answer {
	for range retries + 1 {
		a, err := n.attempt(path, body)
		if err == nil {
			return a
		}
	}
	return answer{outcome: "notRun"}
}

func (n *naive) attempt(path, body string) (answer, error) {
	at := n.targets[n.next%len(n.targets)]
	n.next++
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.String()+path, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, body: string(content)}, nil
}

// broken names the promises that an answer and the endpoints' records break.
func broken(j job, a answer, runs int) string {
	failures := InterceptGomegaFailures(func() { j.judge(a, runs) })
	return strings.Join(failures, "; ")
}

var _ = Describe("a naive balancer under the same schedules", func() {
	It("runs bookings twice and says not run of what ran", func() {
		found := map[string]bool{}
		for retries := range 2 {
			bubble(func() {
				r := newRig("desk1", "desk2")
				defer r.close()
				n := newNaive(r, "desk1", "desk2")
				result := make(chan answer, 1)
				go func() { result <- n.exchange("/book", probeBody, retries) }()
				time.Sleep(step / 2)
				r.network.Disconnect(r.sites["desk1"].endpointAddress().String())
				a := <-result
				time.Sleep(10 * time.Second)
				found[broken(jobs[2], a, r.totalRuns())] = true
			})
		}
		text := fmt.Sprint(found)
		Expect(text).To(ContainSubstring("not idempotent"))
		Expect(text).To(ContainSubstring("refused with not run"))
	})

	It("overloads an endpoint that has just started", func() {
		bubble(func() {
			r := newRig("m1")
			defer r.close()
			done := make(chan answer)
			for range 8 {
				go func() { done <- newNaive(r, "m1").exchange("/draft", "crowd", 0) }()
			}
			for range 8 {
				<-done
			}
			Expect(r.sites["m1"].record().PeakCold).To(BeNumerically(">", 2))
		})
	})
})
