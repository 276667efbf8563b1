package proof

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// moment is a step of a request's way, as a time after it was sent.
type moment struct {
	name string
	at   time.Duration
	// crowded endpoints make the request wait first.
	crowded bool
}

var moments = []moment{
	{"before it is sent", -10 * time.Millisecond, false},
	{"as it is sent", 0, false},
	{"while it waits in the gate", step / 2, true},
	{"before the answer begins", step / 2, false},
	{"in the middle of the answer", 7 * step / 2, false},
	{"as the answer ends", time.Duration(tokens) * 2 * step, false},
}

// job is a kind of request with what the endpoints must show for it.
type job struct {
	name, path, key string
	idempotent      bool
}

var jobs = []job{
	{"draft", "/draft", "", true},
	{"spliced draft", "/splice", "", true},
	{"booking", "/book", "", false},
	{"keyed booking", "/book", "key", false},
}

const probeBody = "the probe"

func (j job) site() string {
	if j.idempotent {
		return "m"
	}
	return "desk"
}

// judge checks the promises that hold for every request, whatever happened.
func (j job) judge(a answer, runs int) {
	GinkgoHelper()
	whole := standin.ExpectedServiceResponse([]byte(probeBody))
	if j.idempotent {
		whole = standin.ExpectedStream([]byte(probeBody), tokens)
	}
	switch {
	case a.aborted:
		Expect(strings.HasPrefix(whole, a.body)).To(BeTrue(), "cut answer is a prefix of the whole")
	case a.outcome == "notRun":
		Expect(runs).To(BeZero(), "refused with not run: %s", a.reason)
	case a.outcome == "unknown":
	default:
		Expect(a.body).To(Equal(whole))
		Expect(runs).To(BeNumerically(">=", 1))
	}
	if !j.idempotent {
		Expect(runs).To(BeNumerically("<=", 1), "runs of a request that is not idempotent")
	}
}

// excused reports whether a single fault may keep the request from being
// answered whole: its endpoint or sidecar dies under it, or its key cannot be
// claimed.
func (j job) excused(m moment, f fault, sites int) bool {
	switch f.name {
	case "store down":
		return j.key != ""
	case "endpoint killed", "sidecar killed":
		return m.at >= 0 && (j.path != "/splice" || sites == 1)
	}
	return false
}

// probeRuns counts the runs that are not the crowd's.
func (r *rig) probeRuns(crowd int) int { return r.totalRuns() - crowd }

// crowd occupies every slot of the endpoints, so that the next request waits.
func (r *rig) crowd(j job) []<-chan answer {
	waiting := []<-chan answer{}
	for range len(r.sites) * 2 {
		waiting = append(waiting, r.doors[0].start(j.path, "crowd", ""))
	}
	time.Sleep(10 * time.Millisecond)
	return waiting
}

// runCell sends one request, strikes the faults one after the other, and
// checks the promises.
func runCell(j job, m moment, sites int, strikes ...fault) {
	single := strikes[0]
	alone := len(strikes) == 1
	bubble(func() {
		names := []string{}
		for i := range sites {
			names = append(names, fmt.Sprintf("%s%d", j.site(), i+1))
		}
		r := newRig(names...)
		defer r.close()
		crowd := []<-chan answer{}
		if m.crowded {
			crowd = r.crowd(j)
		}
		target := r.sites[names[0]]
		var ended []<-chan struct{}
		if m.at < 0 {
			ended = append(ended, strikes[0].inflict(r, target))
			strikes = strikes[1:]
			time.Sleep(-m.at)
		}
		result := r.doors[0].start(j.path, probeBody, j.key)
		for _, f := range strikes {
			time.Sleep(max(0, m.at))
			ended = append(ended, f.inflict(r, target))
		}
		a := <-result
		for _, e := range ended {
			<-e
		}
		time.Sleep(40 * time.Second)
		crowdRuns := countCrowd(crowd, r, target)
		j.judge(a, r.probeRuns(crowdRuns))
		expectColdLimits(r)
		if alone && !j.excused(m, single, sites) {
			Expect(a.outcome).To(BeEmpty(), "must be answered whole: %s", a.reason)
			Expect(a.aborted).To(BeFalse(), "must be answered whole")
		}
	})
}

// countCrowd waits for the crowd and returns how often it ran in all, from
// the endpoints' own records of bodies.
func countCrowd(crowd []<-chan answer, r *rig, _ *site) int {
	for _, c := range crowd {
		<-c
	}
	n := 0
	for _, s := range r.sites {
		n += s.record().Bodies["crowd"]
	}
	return n
}

func expectColdLimits(r *rig) {
	GinkgoHelper()
	for _, s := range r.sites {
		Expect(s.record().PeakCold).To(BeNumerically("<=", 2), "requests at cold endpoint %s", s.name)
	}
}

var _ = Describe("the fault matrix of a request", func() {
	for _, j := range jobs {
		for _, m := range moments {
			for _, f := range faults() {
				It(fmt.Sprintf("%s: %s %s", j.name, f.name, m.name), func() {
					runCell(j, m, 1, f)
					runCell(j, m, 2, f)
				})
			}
		}
	}
})

var _ = Describe("the fault matrix with two faults", func() {
	for _, j := range jobs {
		for _, m := range moments {
			It(fmt.Sprintf("%s: every pair of faults %s", j.name, m.name), func() {
				for _, first := range faults() {
					for _, second := range faults() {
						By(first.name + ", then " + second.name)
						runCell(j, m, 1, first, second)
					}
				}
			})
		}
	}
})
