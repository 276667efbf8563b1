package entry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/internal/table"
)

const (
	mapRanks   = 4
	mapLayers  = 2
	mapExperts = 16
	mapSlots   = 6
)

// mapDeployment is a deployment with a lock-step group of ranks.
type mapDeployment struct {
	*deployment
	ranks *standin.RankGroup
}

// withMaps runs a body on a deployment with a group and a number of entries.
func withMaps(entries int, seed uint64, body func(d mapDeployment)) {
	withMapsFenced(true, entries, seed, body)
}

// withMapsFenced is like withMaps, for ranks that refuse lower fencing tokens or do not.
func withMapsFenced(fenced bool, entries int, seed uint64, body func(d mapDeployment)) {
	withFakeClock(func() {
		d := mapDeployment{deployment: newDeployment(), ranks: standin.NewRankGroup("g", mapRanks, mapLayers, mapExperts, mapSlots, seed)}
		d.unfenced, d.ranks.Fenced = !fenced, fenced
		done := make(chan struct{})
		defer d.close()
		defer close(done)
		go d.ranks.Run(done)
		d.configure(func(c map[string]any) {
			c["services"] = []any{map[string]any{"name": "models", "max_connections": 100, "engine": map[string]any{
				"slots": 12, "sets": mapLayers, "experts": mapExperts, "placements": mapSlots, "spare": 2,
				"expert_mb": 100, "link_mbps": 44000, "form_ms": 600, "report_lag_ms": 200,
			}}}
			c["routes"] = []any{route("draft", "streaming", "models", nil)}
		})
		for i := range mapRanks {
			name := fmt.Sprintf("rank-%d", i)
			d.listenAndServe(addressOf(name), d.ranks.Handler(i, &standin.Worker{Name: name, Events: 5, StepTime: 60 * time.Millisecond}))
		}
		d.announceRanks()
		for i := range entries {
			d.startEntry(string(rune('a' + i))).waitUntilReady()
		}
		body(d)
	})
}

func (d mapDeployment) announceRanks() {
	for i := range mapRanks {
		name := fmt.Sprintf("rank-%d", i)
		d.announce(name, "models", "a", addressOf(name), func(r map[string]any) {
			r["group"] = map[string]any{"name": "g", "epoch": d.ranks.Epoch(), "rank": i, "state": "open"}
			r["size"] = mapRanks
		})
	}
}

// sendCommand sends a command to a rank with the lowest fencing token, as an earlier
// lease holder would.
func (d mapDeployment) sendCommand(rank int, fields map[string]any) int {
	GinkgoHelper()
	fields["epoch"], fields["fencing_token"] = d.ranks.Epoch(), 1
	body, err := json.Marshal(fields)
	Expect(err).NotTo(HaveOccurred())
	transport := &http.Transport{DisableKeepAlives: true, DialContext: d.network.DialNetwork}
	req, err := http.NewRequest(http.MethodPost, "http://"+addressOf(fmt.Sprintf("rank-%d", rank))+"/-/order", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := transport.RoundTrip(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// leaseHolder returns the entry with the lease, or nil.
func (d mapDeployment) leaseHolder() *testEntry {
	for _, e := range d.entries {
		if _, held := e.environment.lease.Held(); held {
			return e
		}
	}
	return nil
}

// expectNoViolations checks that all ranks used the same map in every step.
func (d mapDeployment) expectNoViolations() {
	GinkgoHelper()
	Expect(d.ranks.Violations()).To(BeEmpty())
}

var _ = Describe("expert maps", func() {
	It("follow the popularity", func() {
		withMaps(1, 1, func(d mapDeployment) {
			time.Sleep(3 * time.Second)
			Expect(d.ranks.MapVersion()).To(BeNumerically(">", 0))
			d.expectNoViolations()
			Expect(d.ranks.LongestHold()).To(BeNumerically("<=", 120*time.Millisecond))
		})
	})

	It("follow the popularity even if the first ranks get no requests", func() {
		withMaps(0, 1, func(d mapDeployment) {
			d.ranks.SetIdle(0)
			d.ranks.SetIdle(1)
			d.startEntry("a").waitUntilReady()
			time.Sleep(5 * time.Second)
			Expect(d.ranks.MapVersion()).To(BeNumerically(">", 0))
			d.expectNoViolations()
		})
	})

	It("are changed by only one entry", func() {
		withMaps(3, 1, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			held := 0
			for _, e := range d.entries {
				if _, ok := e.environment.lease.Held(); ok {
					held++
				}
			}
			Expect(held).To(Equal(1))
		})
	})

	It("are not taken over by an entry that is shutting down", func() {
		withMaps(3, 1, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			first := d.leaseHolder()
			var leaving, staying *testEntry
			for _, e := range d.entries {
				switch {
				case e == first:
				case leaving == nil:
					leaving = e
				default:
					staying = e
				}
			}
			leaving.environment.handOver()
			time.Sleep(time.Second)
			first.stop()
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				_, held := leaving.environment.lease.Held()
				Expect(held).To(BeFalse())
			}
			Expect(d.leaseHolder()).To(Equal(staying))
		})
	})

	DescribeTable("never differ between ranks in a step, even if commands are lost or late", func(faults standin.RankFaults) {
		for seed := range uint64(6) {
			withMaps(2, seed, func(d mapDeployment) {
				d.ranks.SetFaults(faults)
				for range 20 {
					time.Sleep(1500 * time.Millisecond)
					d.ranks.ShiftPopularity()
				}
				d.expectNoViolations()
				Expect(d.ranks.MapVersion()).To(BeNumerically(">", 0), "the map still changes")
			})
		}
	},
		Entry("a third lost", standin.RankFaults{Lose: 0.35}),
		Entry("a third late by a second", standin.RankFaults{Late: 0.35, LateBy: time.Second}),
		Entry("some late by seconds, some lost", standin.RankFaults{Lose: 0.2, Late: 0.2, LateBy: 4 * time.Second}))

	It("never differ between ranks in a step when lease holders stop at any moment", func() {
		for seed := range uint64(12) {
			withMaps(3, seed, func(d mapDeployment) {
				d.ranks.SetFaults(standin.RankFaults{Lose: 0.1, Late: 0.1, LateBy: 3 * time.Second})
				for round := range 4 {
					time.Sleep(time.Duration(700+37*seed+211*uint64(round)) * time.Millisecond)
					d.ranks.ShiftPopularity()
				}
				if h := d.leaseHolder(); h != nil {
					h.environment.lease.MarkLost("test")
					h.stop()
				}
				time.Sleep(8 * time.Second)
				d.expectNoViolations()
				Expect(d.ranks.LongestHold()).To(BeNumerically("<", 6*time.Second), "a leftover hold is ended")
				before := d.ranks.MapVersion()
				for range 4 {
					d.ranks.ShiftPopularity()
					time.Sleep(2 * time.Second)
				}
				Expect(d.ranks.MapVersion()).To(BeNumerically(">", before), "another entry keeps changing the map")
				d.expectNoViolations()
			})
		}
	})

	It("keep changing after an earlier lease holder left a hold", func() {
		withMaps(0, 1, func(d mapDeployment) {
			d.sendCommand(0, map[string]any{"operation": "reserve", "step": d.ranks.Step() + 4})
			time.Sleep(500 * time.Millisecond)
			d.startEntry("a").waitUntilReady()
			time.Sleep(3 * time.Second)
			Expect(d.ranks.LongestHold()).To(BeNumerically("<", 2*time.Second))
			Expect(d.ranks.MapVersion()).To(BeNumerically(">", 0))
		})
	})

	It("are taken over soon from a lease holder that stopped with the group on hold", func() {
		withMaps(2, 1, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			d.ranks.Fenced = false
			h := d.leaseHolder()
			h.environment.lease.MarkLost("test")
			h.stop()
			time.Sleep(200 * time.Millisecond)
			d.sendCommand(0, map[string]any{"operation": "reserve", "step": d.ranks.Step() + 2})
			time.Sleep(4 * time.Second)
			Expect(d.ranks.LongestHold()).To(And(BeNumerically(">", 0), BeNumerically("<", 1800*time.Millisecond)))
			d.expectNoViolations()
		})
	})

	It("follow the popularity again soon after a lease holder is lost", func() {
		withMaps(3, 1, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			h := d.leaseHolder()
			h.environment.lease.MarkLost("test")
			h.stop()
			d.ranks.ShiftPopularity()
			before, lost := d.ranks.MapVersion(), time.Now()
			for d.ranks.MapVersion() == before && time.Since(lost) < 10*time.Second {
				time.Sleep(100 * time.Millisecond)
			}
			Expect(time.Since(lost)).To(BeNumerically("<", 4*time.Second))
		})
	})

	It("are taken over by one entry from a lease holder that stopped with the group on hold", func() {
		withMaps(5, 1, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			h := d.leaseHolder()
			h.environment.lease.MarkLost("test")
			h.stop()
			time.Sleep(100 * time.Millisecond)
			d.ranks.Fenced = false
			d.sendCommand(0, map[string]any{"operation": "reserve", "step": d.ranks.Step() + 2})
			d.ranks.Fenced = true
			// Recoveries take longer than the entries' checks are apart.
			d.ranks.SetFaults(standin.RankFaults{Lose: 0.6})
			acquisitions := map[table.Revision]bool{}
			for range 400 {
				time.Sleep(10 * time.Millisecond)
				for _, e := range d.entries {
					if revision, held := e.environment.lease.Held(); held {
						acquisitions[revision] = true
					}
				}
			}
			Expect(acquisitions).To(HaveLen(1))
			Expect(d.ranks.LongestHold()).To(BeNumerically("<", 3*time.Second))
			d.expectNoViolations()
		})
	})

	It("reject late commands of an earlier lease holder", func() {
		withMaps(0, 1, func(d mapDeployment) {
			d.startEntry("a").waitUntilReady()
			time.Sleep(200 * time.Millisecond)
			step := d.ranks.Step() + 60
			for i := range mapRanks {
				Expect(d.sendCommand(i, map[string]any{"operation": "reserve", "step": step})).To(Equal(http.StatusPreconditionFailed))
			}
		})
	})

	It("never differ between ranks in a step when an earlier lease holder left ranks armed", func() {
		for seed := range uint64(48) {
			withMaps(0, seed, func(d mapDeployment) {
				layout := make([][][]int32, mapLayers)
				for l := range layout {
					layout[l] = make([][]int32, mapRanks)
					for e := range mapExperts {
						layout[l][(e+1)%mapRanks] = append(layout[l][(e+1)%mapRanks], int32(e))
					}
				}
				step := d.ranks.Step() + 4 + seed%12
				for i := range mapRanks {
					d.sendCommand(i, map[string]any{"operation": "prepare", "version": 7, "expert_map": layout})
					if i%2 == 0 || seed%2 == 0 {
						d.sendCommand(i, map[string]any{"operation": "arm", "version": 7, "step": step + 2})
					}
				}
				if seed%2 == 1 {
					d.sendCommand(0, map[string]any{"operation": "reserve", "step": step})
				}
				d.ranks.SetFaults(standin.RankFaults{Late: 0.5, LateBy: 3 * time.Second})
				d.startEntry("a").waitUntilReady()
				time.Sleep(5 * time.Second)
				d.expectNoViolations()
				Expect(d.ranks.LongestHold()).To(BeNumerically("<", 3*time.Second))
			})
		}
	})

	It("stay as they are where ranks do not refuse lower fencing tokens", func() {
		withMapsFenced(false, 2, 1, func(d mapDeployment) {
			time.Sleep(5 * time.Second)
			Expect(d.ranks.MapVersion()).To(BeZero())
			Expect(d.leaseHolder()).To(BeNil())
		})
	})

	It("start from the initial map when the group forms again", func() {
		withMaps(2, 3, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			d.ranks.StartNewEpoch()
			d.announceRanks()
			time.Sleep(2 * time.Second)
			Expect(d.ranks.MapVersion()).To(BeNumerically(">", 0))
			d.expectNoViolations()
		})
	})

	It("keep changing while the store is down", func() {
		withMaps(2, 4, func(d mapDeployment) {
			time.Sleep(2 * time.Second)
			d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
			time.Sleep(5 * time.Second)
			before := d.ranks.MapVersion()
			d.ranks.ShiftPopularity()
			time.Sleep(3 * time.Second)
			Expect(d.ranks.MapVersion()).To(BeNumerically(">", before))
			d.expectNoViolations()
		})
	})
})
