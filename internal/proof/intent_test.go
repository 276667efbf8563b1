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

const ensembleSize = 10

// ensembled runs f on participants that have version 1 in force.
func ensembled(f func(*ensemble)) {
	GinkgoHelper()
	bubble(func() {
		e := newEnsemble(ensembleSize)
		defer e.close()
		e.accept(1)
		time.Sleep(promptly)
		e.expectVersionEverywhere(1)
		f(e)
	})
}

var _ = Describe("an accepted configuration", func() {
	It("is in force everywhere in 4 s", func() {
		ensembled(func(e *ensemble) {
			e.accept(2)
			time.Sleep(promptly)
			e.expectVersionEverywhere(2)
		})
	})

	It("reaches participants that cannot reach the platform", func() {
		ensembled(func(e *ensemble) {
			for _, p := range e.participants[2:] {
				p.reach.cut = true
			}
			e.accept(2)
			time.Sleep(promptly)
			e.expectVersionEverywhere(2)
		})
	})

	It("does not revert when all processes restart while the platform is down or slow", func() {
		ensembled(func(e *ensemble) {
			e.accept(2)
			time.Sleep(promptly)
			for _, f := range []standin.PlatformFaults{{Outage: true}, {Delay: 3 * time.Second}} {
				e.table.SetFaults(f)
				for _, p := range e.participants {
					e.restart(p)
				}
				time.Sleep(promptly)
				for _, p := range e.participants {
					Expect(p.view.Version()).To(BeElementOf(uint64(0), uint64(2)))
					if p.view.Version() == 0 {
						Expect(p.view.Freshness().Usable).To(BeFalse())
					}
				}
			}
			e.table.SetFaults(standin.PlatformFaults{})
			time.Sleep(2 * promptly)
			e.expectVersionEverywhere(2)
		})
	})

	It("is learnt from peers by a process that starts while the platform is down", func() {
		ensembled(func(e *ensemble) {
			p := e.participants[3]
			e.table.SetFaults(standin.PlatformFaults{Outage: true})
			e.kill(p)
			list := e.participants[4].members.List()
			e.start(p)
			p.members.Replace(list)
			time.Sleep(promptly)
			e.expectVersionEverywhere(1)
		})
	})

	It("ignores late copies of older versions and wrong signatures", func() {
		ensembled(func(e *ensemble) {
			old := e.sign(1, "late copy")
			e.accept(2)
			time.Sleep(promptly)
			forged := e.sign(3, "")
			forged.Signature[0] ^= 1
			for _, p := range e.participants {
				adopted, err := p.view.AdoptBundle(old)
				Expect(adopted).To(BeFalse())
				Expect(err).NotTo(HaveOccurred())
				_, err = p.view.AdoptBundle(forged)
				Expect(err).To(HaveOccurred())
			}
			e.expectVersionEverywhere(2)
		})
	})

	It("is one of two that operators apply at once", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{Delay: 100 * time.Millisecond})
			results := make(chan error, 2)
			for _, note := range []string{"anna's", "ben's"} {
				go func() { results <- e.intent().ApplyBundle(context.Background(), e.sign(2, note)) }()
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

	It("is confirmed although the answer of the write was lost", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{LoseResponses: true})
			e.accept(2)
			e.table.SetFaults(standin.PlatformFaults{})
			e.accept(2)
			time.Sleep(promptly)
			e.expectVersionEverywhere(2)
		})
	})

	It("is refused while the platform is down, with nothing changed", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{Outage: true})
			Expect(e.intent().ApplyBundle(context.Background(), e.sign(2, ""))).NotTo(Succeed())
			e.table.SetFaults(standin.PlatformFaults{})
			time.Sleep(promptly)
			e.expectVersionEverywhere(1)
		})
	})
})

var _ = Describe("an order", func() {
	It("stops new work everywhere in 4 s when it is only in the table", func() {
		ensembled(func(e *ensemble) {
			Expect(e.intent().RecordOrders(context.Background(), []order.Order{e.order("o1", "a", order.TakeOut)})).To(Succeed())
			time.Sleep(promptly)
			e.expectStopped("a")
		})
	})

	It("stops new work everywhere in 4 s while the table is down, and is recorded later", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(10 * time.Second)
			reply := e.tell(e.participants[0], e.order("o1", "a", order.TakeOut))
			Expect(reply.GetUnreachable()).To(BeEmpty())
			time.Sleep(promptly)
			e.expectStopped("a")
			e.table.SetFaults(standin.PlatformFaults{})
			time.Sleep(promptly)
			recorded, err := e.intent().Orders(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(recorded).To(HaveLen(1))
		})
	})

	It("names who did not confirm", func() {
		ensembled(func(e *ensemble) {
			e.network.Pause(addressOf("p5").String())
			reply := e.tell(e.participants[0], e.order("o1", "a", order.TakeOut))
			Expect(reply.GetUnreachable()).To(ConsistOf("p5"))
			Expect(reply.GetInForce()).To(HaveLen(ensembleSize - 1))
		})
	})

	It("binds a process that is cut off or wakes from a pause", func() {
		ensembled(func(e *ensemble) {
			p := e.participants[4]
			p.reach.cut = true
			e.network.Pause(addressOf(p.name).String())
			for _, other := range e.participants {
				if other != p {
					e.network.Pause(addressOf(other.name).String())
				}
			}
			time.Sleep(promptly)
			Expect(p.view.Freshness().Usable).To(BeFalse())
		})
	})

	It("lets work go on while the platform is down for everybody", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{Outage: true})
			for range 60 {
				time.Sleep(time.Second)
				for _, p := range e.participants {
					Expect(p.view.Freshness().Usable).To(BeTrue(), p.name)
				}
			}
		})
	})

	It("cannot be missed by handing old freshness round", func() {
		ensembled(func(e *ensemble) {
			e.table.SetFaults(standin.PlatformFaults{Outage: true})
			time.Sleep(promptly)
			for _, p := range e.participants {
				Expect(p.view.Freshness().Fresh).To(BeFalse(), p.name)
			}
		})
	})

	It("wins over a return that did not see it", func() {
		ensembled(func(e *ensemble) {
			e.tell(e.participants[0], e.order("o1", "a", order.TakeOut))
			e.tell(e.participants[1], e.order("o2", "a", order.Drain))
			e.tell(e.participants[2], e.order("o3", "a", order.Return, "o1"))
			time.Sleep(promptly)
			for _, p := range e.participants {
				Expect(p.view.StrongestHold("x", "a")).To(Equal(order.Drain))
			}
			e.tell(e.participants[3], e.order("o4", "a", order.Return, "o1", "o2"))
			time.Sleep(promptly)
			for _, p := range e.participants {
				Expect(p.view.StrongestHold("x", "a")).To(BeEmpty())
			}
		})
	})

	It("stays in force through restarts of every process", func() {
		ensembled(func(e *ensemble) {
			e.tell(e.participants[0], e.order("o1", "a", order.TakeOut))
			time.Sleep(promptly)
			for _, p := range e.participants {
				e.restart(p)
			}
			time.Sleep(promptly)
			for _, p := range e.participants {
				Expect(p.view.StrongestHold("x", "a")).To(Equal(order.TakeOut))
			}
		})
	})

	It("changes nothing if it is forged, and a return before its hold still releases it", func() {
		ensembled(func(e *ensemble) {
			forged := e.order("o1", "a", order.TakeOut)
			forged.Target = "b"
			for _, p := range e.participants {
				_, err := p.view.AdoptOrder(forged)
				Expect(err).To(HaveOccurred())
				Expect(p.view.Holds()).To(BeEmpty())
			}
			e.tell(e.participants[0], e.order("o9", "a", order.Return, "o8"))
			e.tell(e.participants[0], e.order("o8", "a", order.TakeOut))
			time.Sleep(promptly)
			for _, p := range e.participants {
				Expect(p.view.Holds()).To(BeEmpty())
			}
		})
	})
})
