package proof

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/pkg/order"
)

const processCount = 10

// withControlPlane runs f on processCount processes, at all of which bundle version 1 is
// in force.
func withControlPlane(f func(*controlPlane)) {
	GinkgoHelper()
	inBubble(func() {
		c := newControlPlane(processCount)
		defer c.close()
		c.applyBundle(1)
		time.Sleep(propagationLimit)
		c.expectVersionEverywhere(1)
		f(c)
	})
}

var _ = Describe("an applied bundle", func() {
	It("is in force everywhere in 4 s", func() {
		withControlPlane(func(c *controlPlane) {
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(2)
		})
	})

	It("reaches processes that cannot reach the platform", func() {
		withControlPlane(func(c *controlPlane) {
			for _, p := range c.processes[2:] {
				p.reader.unreachable = true
			}
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(2)
		})
	})

	It("is not rolled back when all processes restart while the platform is down or slow", func() {
		withControlPlane(func(c *controlPlane) {
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			for _, f := range []standin.PlatformFaults{{Outage: true}, {Delay: 3 * time.Second}} {
				c.platform.SetFaults(f)
				for _, p := range c.processes {
					c.restart(p)
				}
				time.Sleep(propagationLimit)
				for _, p := range c.processes {
					Expect(p.view.Version()).To(BeElementOf(uint64(0), uint64(2)))
					if p.view.Version() == 0 {
						Expect(p.view.Freshness().Usable).To(BeFalse())
					}
				}
			}
			c.platform.SetFaults(standin.PlatformFaults{})
			time.Sleep(2 * propagationLimit)
			c.expectVersionEverywhere(2)
		})
	})

	It("reaches a process that starts while the platform is down, through its peers", func() {
		withControlPlane(func(c *controlPlane) {
			p := c.processes[3]
			c.platform.SetFaults(standin.PlatformFaults{Outage: true})
			c.kill(p)
			list := c.processes[4].members.List()
			c.start(p)
			p.members.Replace(list)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(1)
		})
	})

	It("ignores late copies of older versions and wrong signatures", func() {
		withControlPlane(func(c *controlPlane) {
			old := c.signBundle(1, "late copy")
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			forged := c.signBundle(3, "")
			forged.Signature[0] ^= 1
			for _, p := range c.processes {
				adopted, err := p.view.AdoptBundle(old)
				Expect(adopted).To(BeFalse())
				Expect(err).NotTo(HaveOccurred())
				_, err = p.view.AdoptBundle(forged)
				Expect(err).To(HaveOccurred())
			}
			c.expectVersionEverywhere(2)
		})
	})

	It("is only one of two that operators apply at once", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{Delay: 100 * time.Millisecond})
			results := make(chan error, 2)
			for _, note := range []string{"anna's", "ben's"} {
				go func() { results <- c.intentStore().ApplyBundle(context.Background(), c.signBundle(2, note)) }()
			}
			first, second := <-results, <-results
			if first != nil {
				first, second = second, first
			}
			Expect(first).NotTo(HaveOccurred())
			var conflict *store.ConflictError
			Expect(errors.As(second, &conflict)).To(BeTrue())
		})
	})

	It("is confirmed although the response to the write was lost", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{LoseResponses: true})
			c.applyBundle(2)
			c.platform.SetFaults(standin.PlatformFaults{})
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(2)
		})
	})

	It("is refused while the platform is down and changes nothing", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{Outage: true})
			Expect(c.intentStore().ApplyBundle(context.Background(), c.signBundle(2, ""))).NotTo(Succeed())
			c.platform.SetFaults(standin.PlatformFaults{})
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(1)
		})
	})
})

var _ = Describe("an order", func() {
	It("stops new work everywhere in 4 s when it is only in the table", func() {
		withControlPlane(func(c *controlPlane) {
			Expect(c.intentStore().RecordOrders(context.Background(), []order.Order{c.signedOrder("o1", "a", order.TakeOut)})).To(Succeed())
			time.Sleep(propagationLimit)
			c.expectNoNewWork("a")
		})
	})

	It("stops new work everywhere in 4 s while the table is down, and is recorded later", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(10 * time.Second)
			reply := c.sendOrder(c.processes[0], c.signedOrder("o1", "a", order.TakeOut))
			Expect(reply.GetUnreachable()).To(BeEmpty())
			time.Sleep(propagationLimit)
			c.expectNoNewWork("a")
			c.platform.SetFaults(standin.PlatformFaults{})
			time.Sleep(propagationLimit)
			recorded, err := c.intentStore().Orders(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(recorded).To(HaveLen(1))
		})
	})

	It("reports the processes that did not confirm it", func() {
		withControlPlane(func(c *controlPlane) {
			c.network.Pause(addressOf("p5").String())
			reply := c.sendOrder(c.processes[0], c.signedOrder("o1", "a", order.TakeOut))
			Expect(reply.GetUnreachable()).To(ConsistOf("p5"))
			Expect(reply.GetInForce()).To(HaveLen(processCount - 1))
		})
	})

	It("stops new work at a process that is cut off from the platform and from its peers", func() {
		withControlPlane(func(c *controlPlane) {
			p := c.processes[4]
			p.reader.unreachable = true
			c.network.Pause(addressOf(p.name).String())
			for _, other := range c.processes {
				if other != p {
					c.network.Pause(addressOf(other.name).String())
				}
			}
			time.Sleep(propagationLimit)
			Expect(p.view.Freshness().Usable).To(BeFalse())
		})
	})

	It("is not assumed while the platform is down for all processes: work goes on", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{Outage: true})
			for range 60 {
				time.Sleep(time.Second)
				for _, p := range c.processes {
					Expect(p.view.Freshness().Usable).To(BeTrue(), p.name)
				}
			}
		})
	})

	It("is not missed by views that seem fresh because peers pass on old confirmations", func() {
		withControlPlane(func(c *controlPlane) {
			c.platform.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				Expect(p.view.Freshness().Fresh).To(BeFalse(), p.name)
			}
		})
	})

	It("stays in force after a return that does not list it", func() {
		withControlPlane(func(c *controlPlane) {
			c.sendOrder(c.processes[0], c.signedOrder("o1", "a", order.TakeOut))
			c.sendOrder(c.processes[1], c.signedOrder("o2", "a", order.Drain))
			c.sendOrder(c.processes[2], c.signedOrder("o3", "a", order.Return, "o1"))
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				Expect(p.view.StrongestHold("x", "a")).To(Equal(order.Drain))
			}
			c.sendOrder(c.processes[3], c.signedOrder("o4", "a", order.Return, "o1", "o2"))
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				Expect(p.view.StrongestHold("x", "a")).To(BeEmpty())
			}
		})
	})

	It("stays in force when every process restarts", func() {
		withControlPlane(func(c *controlPlane) {
			c.sendOrder(c.processes[0], c.signedOrder("o1", "a", order.TakeOut))
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				c.restart(p)
			}
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				Expect(p.view.StrongestHold("x", "a")).To(Equal(order.TakeOut))
			}
		})
	})

	It("changes nothing if it is forged, and a return that arrives before its hold still releases it", func() {
		withControlPlane(func(c *controlPlane) {
			forged := c.signedOrder("o1", "a", order.TakeOut)
			forged.Target = "b"
			for _, p := range c.processes {
				_, err := p.view.AdoptOrder(forged)
				Expect(err).To(HaveOccurred())
				Expect(p.view.Holds()).To(BeEmpty())
			}
			c.sendOrder(c.processes[0], c.signedOrder("o9", "a", order.Return, "o8"))
			c.sendOrder(c.processes[0], c.signedOrder("o8", "a", order.TakeOut))
			time.Sleep(propagationLimit)
			for _, p := range c.processes {
				Expect(p.view.Holds()).To(BeEmpty())
			}
		})
	})
})
