package system

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

func TestSystem(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "system")
}

const (
	loadDuration = 8 * time.Second
	// propagationLimit is the time within which an order takes effect at every process.
	propagationLimit = 4 * time.Second
)

var _ = Describe("real processes under traffic", Ordered, func() {
	var c *cluster

	BeforeAll(func() { c = newCluster(4, 2) })
	AfterAll(func() { c.close() })
	seed := uint64(100)

	// underLoad runs f while clients send requests, checks the outcomes of the requests
	// and returns their tally.
	underLoad := func(f func()) *standin.Tally {
		GinkgoHelper()
		seed++
		done := c.startLoad(seed, loadDuration)
		time.Sleep(time.Second)
		f()
		t := <-done
		fmt.Fprintf(GinkgoWriter, "sent %d, complete %d, not run %d, unknown %d, aborted %d, reasons %v\n",
			t.Sent, t.Whole, t.NotRun, t.Unknown, t.Aborted, t.Reasons)
		c.expectCorrectOutcomes(t)
		return t
	}
	expectAllComplete := func(t *standin.Tally) {
		GinkgoHelper()
		Expect(t.Whole).To(Equal(t.Sent), "%v", t.Reasons)
	}

	It("complete every request without faults", func() {
		expectAllComplete(underLoad(func() {}))
	})

	It("abort no request when a sidecar shuts down gracefully", func() {
		n := c.nodes[0]
		expectAllComplete(underLoad(func() {
			Expect(n.sidecar.Signal(syscall.SIGTERM)).To(Succeed())
			expectCleanExit(n.sidecar)
			c.startSidecar(n)
		}))
		c.awaitOpenGates(len(c.nodes))
	})

	It("abort no request when an entry shuts down gracefully", func() {
		body := "a long draft"
		response := make(chan string, 1)
		go func() { response <- c.postDraft(0, body) }()
		time.Sleep(5 * stepTime)
		Expect(c.entries[0].Signal(syscall.SIGTERM)).To(Succeed())
		expectCleanExit(c.entries[0])
		Expect(<-response).To(Equal(standin.ExpectedStream([]byte(body), tokens)))
		c.startEntry(0)
		Eventually(func() string { return c.postDraft(0, body) }, stateTimeout).Should(ContainSubstring("[DONE]"))
	})

	It("report correct outcomes when a sidecar is killed", func() {
		n := c.nodes[4]
		underLoad(func() {
			n.sidecar.Kill()
			time.Sleep(time.Second)
			c.startSidecar(n)
		})
		c.awaitOpenGates(len(c.nodes))
	})

	It("report correct outcomes when a sidecar is paused and resumed", func() {
		n := c.nodes[5]
		underLoad(func() {
			Expect(n.sidecar.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(5 * time.Second)
			Expect(n.sidecar.Signal(syscall.SIGCONT)).To(Succeed())
		})
		c.awaitOpenGates(len(c.nodes))
	})

	It("complete every request when all connections to sidecars go silent for good", func() {
		expectAllComplete(underLoad(func() {
			for _, n := range c.nodes {
				n.relay.Blackhole()
			}
		}))
	})

	It("complete every request when all connections to sidecars are closed", func() {
		expectAllComplete(underLoad(func() {
			for _, n := range c.nodes {
				n.relay.Disconnect()
			}
		}))
	})

	It("complete every request while a failure domain is taken out and returned", func() {
		expectAllComplete(underLoad(func() {
			Expect(c.cli("order", "take-out", "a")).To(ContainSubstring("in force at 8 of 8"))
			ordered := time.Now()
			time.Sleep(propagationLimit)
			for _, n := range c.nodes {
				if n.failureDomain == "a" {
					Expect(n.record().LastStart).To(BeTemporally("<", ordered.Add(propagationLimit)))
				}
			}
			Expect(c.cli("order", "return", "a")).To(ContainSubstring("in force at 8 of 8"))
		}))
	})

	It("start no request in a taken-out failure domain when an entry that was paused resumes", func() {
		underLoad(func() {
			Expect(c.entries[1].Signal(syscall.SIGSTOP)).To(Succeed())
			_, err := c.cli("order", "take-out", "b")
			Expect(err).To(HaveOccurred(), "the paused entry cannot confirm the order")
			ordered := time.Now()
			time.Sleep(propagationLimit)
			Expect(c.entries[1].Signal(syscall.SIGCONT)).To(Succeed())
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				if n.failureDomain == "b" {
					Expect(n.record().LastStart).To(BeTemporally("<", ordered.Add(propagationLimit)))
				}
			}
			Expect(c.cli("order", "return", "b")).To(ContainSubstring("in force at 8 of 8"))
		})
	})

	It("serve idempotent requests and refuse keyed bookings as not run while the store is down", func() {
		t := underLoad(func() {
			Expect(put("http://"+c.platform+"/faults", `{"outage":true}`)).To(Succeed())
			time.Sleep(5 * time.Second)
			Expect(put("http://"+c.platform+"/faults", `{}`)).To(Succeed())
		})
		Expect(t.Unknown + t.Aborted).To(BeZero())
		Expect(t.Reasons).To(HaveLen(1))
		Expect(t.Reasons["claimStoreDown"]).To(BeNumerically(">", 0))
	})

	It("switch the expert map at the same steps at all ranks", func() {
		ranks := []*node{}
		for _, n := range c.nodes {
			if strings.HasPrefix(n.name, "engine") {
				ranks = append(ranks, n)
			}
		}
		Eventually(func() int { return len(ranks[0].mapHistory()) }, stateTimeout).Should(BeNumerically(">", 0))
		Eventually(func(g Gomega) {
			for _, n := range ranks {
				g.Expect(n.mapHistory()).To(Equal(ranks[0].mapHistory()), n.name)
			}
		}, stateTimeout).Should(Succeed())
	})

	It("start no request at an instance that the platform lists as leaving", func() {
		n := c.nodes[2]
		expectAllComplete(underLoad(func() {
			c.leavingInstance = "sidecar-" + n.name
			c.publishInstances()
			listed := time.Now()
			time.Sleep(propagationLimit)
			Expect(n.record().LastStart).To(BeTemporally("<", listed.Add(propagationLimit)))
			c.leavingInstance = ""
			c.publishInstances()
		}))
	})

	It("start no request at an endpoint that reports that it is leaving", func() {
		n := c.nodes[1]
		expectAllComplete(underLoad(func() {
			resp, err := http.Post("http://"+n.endpointAddress+"/leave", "", nil)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			left := time.Now()
			time.Sleep(propagationLimit)
			Expect(n.record().LastStart).To(BeTemporally("<", left.Add(propagationLimit)))
		}))
	})
})

// mapHistory returns the step from which on the rank used each expert map.
func (n *node) mapHistory() []standin.MapActivation {
	resp, err := http.Get("http://" + n.endpointAddress + "/map/history")
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	history := []standin.MapActivation{}
	_ = json.NewDecoder(resp.Body).Decode(&history)
	return history
}

// postDraft sends one draft through an entry and returns the response body.
func (c *cluster) postDraft(entry int, body string) string {
	return standin.Post("http://"+c.callerAddresses[entry]+"/draft", "token", body)
}
