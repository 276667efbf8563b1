package proof

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/pkg/order"
)

var _ = Describe("a table that comes back from a copy", func() {
	// lose makes a change that the table then loses.
	lose := func(c *controlPlane, change func()) {
		before := c.platform.CopyTable()
		change()
		time.Sleep(propagationLimit)
		c.platform.RestoreTable(before)
		time.Sleep(propagationLimit)
	}

	ordersRevision := func(c *controlPlane) uint64 {
		row, err := c.platform.Get(context.Background(), "orders")
		Expect(err).NotTo(HaveOccurred())
		return row.Number
	}

	setUnreachable := func(c *controlPlane, unreachable bool) {
		for _, p := range c.processes {
			p.reader.unreachable = unreachable
		}
	}

	It("gets the bundle in force again, so that the next one follows it", func() {
		withControlPlane(func(c *controlPlane) {
			lose(c, func() { c.applyBundle(2) })
			pointer, _, err := c.intentStore().Pointer(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(pointer.Version).To(Equal(uint64(2)))
			Expect(c.intentStore().ApplyBundle(context.Background(), c.signBundle(2, "another"))).NotTo(Succeed())
			c.applyBundle(3)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(3)
		})
	})

	It("gets the bundle in force again if it has none", func() {
		withControlPlane(func(c *controlPlane) {
			empty := c.platform.CopyTable()
			c.platform.RestoreTable(empty.Without("current"))
			time.Sleep(propagationLimit)
			c.applyBundle(2)
			time.Sleep(propagationLimit)
			c.expectVersionEverywhere(2)
		})
	})

	It("hides no order, although the revision of the orders is one from before", func() {
		withControlPlane(func(c *controlPlane) {
			record := func(o order.Order) {
				Expect(c.intentStore().RecordOrders(context.Background(), []order.Order{o})).To(Succeed())
			}
			record(c.signedOrder("o0", "b", order.Drain))
			before := c.platform.CopyTable()
			record(c.signedOrder("o1", "b", order.Drain))
			time.Sleep(propagationLimit)
			setUnreachable(c, true)
			time.Sleep(time.Second)
			lost := ordersRevision(c)
			c.platform.RestoreTable(before)
			next := c.signedOrder("o2", "a", order.TakeOut)
			for ordersRevision(c) < lost {
				record(next)
			}
			setUnreachable(c, false)
			time.Sleep(propagationLimit)
			c.expectNoNewWork("a")
			recorded, err := c.intentStore().Orders(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(recorded).To(HaveLen(3))
		})
	})
})
