package bundle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/pkg/bundle"
)

var _ = Describe("the urgency of a request", func() {
	first, second := 9, 8
	urgent, usual, without := &bundle.ClientAccount{Name: "urgent", Priority: &first}, &bundle.ClientAccount{Name: "usual", Priority: &second}, &bundle.ClientAccount{Name: "without"}
	quote, batch := &bundle.Route{Host: "a", Group: "g", Priority: 9}, &bundle.Route{Host: "b", Group: "g", Priority: 7}
	newBundle := func(routes ...*bundle.Route) *bundle.Bundle {
		b := bundle.Bundle{ClientAccounts: []bundle.ClientAccount{*urgent, *usual, *without}}
		for _, r := range routes {
			b.Routes = append(b.Routes, *r)
		}
		return bundle.NewBundle(b)
	}
	DescribeTable("is that of its account, then that of its route", func(a *bundle.ClientAccount, r *bundle.Route, expected int) {
		level, levels := newBundle(quote, batch).Level("g", a, r)
		Expect(level).To(Equal(expected))
		Expect(levels).To(Equal(5))
	},
		Entry(nil, urgent, quote, 0),
		Entry(nil, without, quote, 0),
		Entry(nil, urgent, batch, 1),
		Entry(nil, usual, quote, 2),
		Entry(nil, usual, batch, 3),
		Entry(nil, without, batch, 4),
	)
	It("does not differ if the routes have the same priority", func() {
		level, levels := newBundle(quote, &bundle.Route{Host: "c", Group: "g", Priority: 9}).Level("g", usual, quote)
		Expect(level).To(BeZero())
		Expect(levels).To(Equal(1))
	})
})
