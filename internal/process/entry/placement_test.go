package entry

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the placement of streams", func() {
	fleetOf := func(e *testEntry) *directFleet { return e.environment.dependencies.Fleet.(*directFleet) }
	// ranksWithRequests returns the names of the ranks at which an entry has requests.
	ranksWithRequests := func(e *testEntry) []string {
		var names []string
		for name, endpoint := range fleetOf(e).endpoints {
			if endpoint.member.OwnRequests() > 0 {
				names = append(names, name)
			}
		}
		return names
	}

	It("knows the time of a group's passes from the entry's own streams", func() {
		withMaps(1, 1, func(d mapDeployment) {
			e := d.entries[0]
			e.call("/draft/x", "s1", nil)
			Expect(fleetOf(e).groups["g"].lockstep.PassTime()).To(BeNumerically("~", 60*time.Millisecond, 5*time.Millisecond))
		})
	})

	It("begins at ranks that divide the group evenly between the entries", func() {
		withMaps(2, 1, func(d mapDeployment) {
			time.Sleep(time.Second)
			var calls sync.WaitGroup
			for _, e := range d.entries {
				calls.Go(func() { e.call("/draft/x", "s1", nil) })
			}
			time.Sleep(100 * time.Millisecond)
			first, second := ranksWithRequests(d.entries[0]), ranksWithRequests(d.entries[1])
			Expect(first).To(HaveLen(1))
			Expect(second).To(HaveLen(1))
			Expect(first).NotTo(Equal(second))
			Expect(fleetOf(d.entries[0]).busiestPercent()).To(BeNumerically(">=", 100))
			calls.Wait()
		})
	})
})
