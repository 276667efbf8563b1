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
	loadLength = 8 * time.Second
	// promptly is the time within which operators' intent takes effect.
	promptly = 4 * time.Second
)

var _ = Describe("real processes under traffic", Ordered, func() {
	var c *cluster

	BeforeAll(func() { c = newCluster(4, 2) })
	AfterAll(func() { c.close() })
	seed := uint64(100)

	// under sends traffic, lets f disturb the system, and returns the tally.
	under := func(f func()) *standin.Tally {
		GinkgoHelper()
		seed++
		done := c.load(seed, loadLength)
		time.Sleep(time.Second)
		f()
		t := <-done
		fmt.Fprintf(GinkgoWriter, "sent %d, whole %d, not run %d, unknown %d, cut %d, reasons %v\n",
			t.Sent, t.Whole, t.NotRun, t.Unknown, t.Aborted, t.Reasons)
		c.expectHonest(t)
		return t
	}
	expectAllWhole := func(t *standin.Tally) {
		GinkgoHelper()
		Expect(t.Whole).To(Equal(t.Sent), "%v", t.Reasons)
	}

	It("deliver every request without faults", func() {
		expectAllWhole(under(func() {}))
	})

	It("cut no request when a sidecar shuts down gracefully", func() {
		n := c.nodes[0]
		expectAllWhole(under(func() {
			Expect(n.sidecar.Signal(syscall.SIGTERM)).To(Succeed())
			expectGoodEnd(n.sidecar)
			c.startSidecar(n)
		}))
		c.awaitOpen(len(c.nodes))
	})

	It("cut no request when an entry shuts down gracefully", func() {
		body := "a long draft"
		answer := make(chan string, 1)
		go func() { answer <- c.draft(0, body) }()
		time.Sleep(5 * step)
		Expect(c.entries[0].Signal(syscall.SIGTERM)).To(Succeed())
		expectGoodEnd(c.entries[0])
		Expect(<-answer).To(Equal(standin.ExpectedStream([]byte(body), tokens)))
		c.startEntry(0)
		Eventually(func() string { return c.draft(0, body) }, patience).Should(ContainSubstring("[DONE]"))
	})

	It("stay honest when a sidecar is killed", func() {
		n := c.nodes[4]
		under(func() {
			n.sidecar.Kill()
			time.Sleep(time.Second)
			c.startSidecar(n)
		})
		c.awaitOpen(len(c.nodes))
	})

	It("stay honest when a sidecar is stopped and wakes", func() {
		n := c.nodes[5]
		under(func() {
			Expect(n.sidecar.Signal(syscall.SIGSTOP)).To(Succeed())
			time.Sleep(5 * time.Second)
			Expect(n.sidecar.Signal(syscall.SIGCONT)).To(Succeed())
		})
		c.awaitOpen(len(c.nodes))
	})

	It("deliver every request when a connection goes silent for good", func() {
		expectAllWhole(under(func() {
			for _, n := range c.nodes {
				n.relay.Blackhole()
			}
		}))
	})

	It("deliver every request when connections are cut", func() {
		expectAllWhole(under(func() {
			for _, n := range c.nodes {
				n.relay.Disconnect()
			}
		}))
	})

	It("deliver every request while a failure domain is taken out and returned", func() {
		expectAllWhole(under(func() {
			Expect(c.cli("order", "take-out", "a")).To(ContainSubstring("in force at 8 of 8"))
			ordered := time.Now()
			time.Sleep(promptly)
			for _, n := range c.nodes {
				if n.domain == "a" {
					Expect(n.record().LastStart).To(BeTemporally("<", ordered.Add(promptly)))
				}
			}
			Expect(c.cli("order", "return", "a")).To(ContainSubstring("in force at 8 of 8"))
		}))
	})

	It("give no new work to a taken-out domain from an entry that was stopped and wakes", func() {
		under(func() {
			Expect(c.entries[1].Signal(syscall.SIGSTOP)).To(Succeed())
			_, err := c.cli("order", "take-out", "b")
			Expect(err).To(HaveOccurred(), "one process cannot confirm")
			ordered := time.Now()
			time.Sleep(promptly)
			Expect(c.entries[1].Signal(syscall.SIGCONT)).To(Succeed())
			time.Sleep(time.Second)
			for _, n := range c.nodes {
				if n.domain == "b" {
					Expect(n.record().LastStart).To(BeTemporally("<", ordered.Add(promptly)))
				}
			}
			Expect(c.cli("order", "return", "b")).To(ContainSubstring("in force at 8 of 8"))
		})
	})

	It("serve idempotent work and refuse keyed bookings honestly while the store is down", func() {
		t := under(func() {
			Expect(put("http://"+c.platform+"/faults", `{"outage":true}`)).To(Succeed())
			time.Sleep(5 * time.Second)
			Expect(put("http://"+c.platform+"/faults", `{}`)).To(Succeed())
		})
		Expect(t.Unknown + t.Aborted).To(BeZero())
		Expect(t.Reasons).To(HaveLen(1))
		Expect(t.Reasons["claimStoreDown"]).To(BeNumerically(">", 0))
	})

	It("switched the expert map, and every step used one map at all ranks", func() {
		ranks := []*node{}
		for _, n := range c.nodes {
			if strings.HasPrefix(n.name, "engine") {
				ranks = append(ranks, n)
			}
		}
		Eventually(func() int { return len(ranks[0].mapHistory()) }, patience).Should(BeNumerically(">", 0))
		Eventually(func(g Gomega) {
			for _, n := range ranks {
				g.Expect(n.mapHistory()).To(Equal(ranks[0].mapHistory()), n.name)
			}
		}, patience).Should(Succeed())
	})

	It("give nothing to an instance that the platform lists as leaving", func() {
		n := c.nodes[2]
		expectAllWhole(under(func() {
			c.leaving = "sidecar-" + n.name
			c.publishInstances()
			listed := time.Now()
			time.Sleep(promptly)
			Expect(n.record().LastStart).To(BeTemporally("<", listed.Add(promptly)))
			c.leaving = ""
			c.publishInstances()
		}))
	})

	It("give nothing to an endpoint that is leaving", func() {
		n := c.nodes[1]
		expectAllWhole(under(func() {
			resp, err := http.Post("http://"+n.endpointAddress+"/leave", "", nil)
			Expect(err).NotTo(HaveOccurred())
			_ = resp.Body.Close()
			left := time.Now()
			time.Sleep(promptly)
			Expect(n.record().LastStart).To(BeTemporally("<", left.Add(promptly)))
		}))
	})
})

// mapHistory returns from which step on the endpoint used each map.
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

// draft sends one draft through an entry and returns the answer's body.
func (c *cluster) draft(entry int, body string) string {
	return standin.Post("http://"+c.doors[entry]+"/draft", "token", body)
}
