package expertmap_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/version/expertmap"
)

var suite *testing.T

func TestExpertMap(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "expertmap")
}

const (
	ranks    = 4
	stepTime = 20 * time.Millisecond
)

var (
	errLost   = errors.New("message lost")
	errFenced = errors.New("fenced")
)

// engine is one rank of a group in lock-step.
type engine struct {
	mu     sync.Mutex
	state  expertmap.EngineState
	fenced bool
	seen   expertmap.Ballot
	// previous is the map in use before the first step of the active one.
	previous expertmap.ID
	// slow delays the effect of orders.
	slow func() time.Duration
}

func (e *engine) State(context.Context) (expertmap.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

func (e *engine) order(ctx context.Context, b expertmap.Ballot, change func()) error {
	select {
	case <-time.After(e.slow()):
	case <-ctx.Done():
		return ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && b.Less(e.seen) {
		return errFenced
	}
	e.seen = b
	change()
	return nil
}

func (e *engine) Stage(ctx context.Context, b expertmap.Ballot, m expertmap.ID, _ []byte) error {
	return e.order(ctx, b, func() { e.state.Staged = m })
}

func (e *engine) Hold(ctx context.Context, b expertmap.Ballot, step uint64) error {
	return e.order(ctx, b, func() {
		if e.state.Step <= step {
			e.state.HoldStep = step
		}
	})
}

func (e *engine) Activate(ctx context.Context, b expertmap.Ballot, m expertmap.ID, step uint64) error {
	return e.order(ctx, b, func() {
		if e.state.HoldStep == step {
			e.previous = e.used()
			e.state.Active, e.state.ActiveFrom, e.state.HoldStep = m, step, 0
		}
	})
}

// used returns the map of the next step.
func (e *engine) used() expertmap.ID {
	if e.state.Step < e.state.ActiveFrom {
		return e.previous
	}
	return e.state.Active
}

func (e *engine) Release(ctx context.Context, b expertmap.Ballot) error {
	return e.order(ctx, b, func() { e.state.HoldStep = 0 })
}

// group is ranks with their sidecars; messages between coordinators and
// sidecars are delayed and lost at random.
type group struct {
	random  *rand.Rand
	mu      sync.Mutex
	engines []*engine
	ranks   []*expertmap.Participant
	starts  int
	fenced  bool
	calm    bool
	// mixed counts the steps in which ranks used different maps.
	mixed, steps int
	late         sync.WaitGroup
}

func newGroup(seed uint64, fenced bool) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, seed)), fenced: fenced}
	for range ranks {
		g.engines = append(g.engines, &engine{fenced: fenced, slow: g.delay})
		g.ranks = append(g.ranks, nil)
	}
	for i := range ranks {
		g.restart(i)
	}
	return g
}

func (g *group) restart(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts++
	g.ranks[i] = expertmap.NewParticipant(g.engines[i], fmt.Sprint("sidecar-", g.starts))
}

func (g *group) draw(n int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.IntN(n)
}

// delay is mostly short and now and then longer than any timeout.
func (g *group) delay() time.Duration {
	if g.calm || g.draw(12) > 0 {
		return time.Duration(g.draw(50)) * time.Millisecond
	}
	return time.Duration(g.draw(6000)) * time.Millisecond
}

func (g *group) Size() int { return ranks }

// Send delivers a command, perhaps late, perhaps after its sender gave up,
// and its report, perhaps not at all.
func (g *group) Send(ctx context.Context, i int, c expertmap.Envelope) (expertmap.Reply, error) {
	type reply struct {
		report expertmap.Reply
		err    error
	}
	replies := make(chan reply, 1)
	before, after := g.delay(), g.delay()
	lost := !g.calm && g.draw(15) == 0
	g.late.Go(func() {
		time.Sleep(before)
		g.mu.Lock()
		rank := g.ranks[i]
		g.mu.Unlock()
		report, err := rank.Handle(context.Background(), c)
		time.Sleep(after)
		if !lost {
			replies <- reply{report, err}
		}
	})
	select {
	case r := <-replies:
		return r.report, r.err
	case <-ctx.Done():
		return expertmap.Reply{}, errLost
	}
}

// run steps the ranks in lock-step until ctx ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(stepTime)
		g.step()
	}
}

func (g *group) step() {
	for _, e := range g.engines {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.state.HoldStep != 0 && e.state.Step >= e.state.HoldStep {
			return
		}
	}
	g.steps++
	for _, e := range g.engines {
		if e.used() != g.engines[0].used() {
			g.mixed++
		}
	}
	for _, e := range g.engines {
		e.state.Step++
	}
}

func mapOf(n int) expertmap.Map {
	return expertmap.Map{ID: expertmap.ID(fmt.Sprint("map-", n)), Content: []byte("content")}
}

// storm runs competing coordinators and restarting sidecars for a while, then
// one coordinator in calm, and returns the group.
func storm(seed uint64, fenced bool, drive func(context.Context, *group, *expertmap.Coordinator, expertmap.Map)) *group {
	g := newGroup(seed, fenced)
	ctx, stop := context.WithCancel(context.Background())
	var duties sync.WaitGroup
	duties.Go(func() { g.run(ctx) })
	var rivals sync.WaitGroup
	for i := range 3 {
		rivals.Go(func() {
			c := expertmap.NewCoordinator(g, fmt.Sprint("coordinator-", i))
			for range 4 {
				time.Sleep(g.delay())
				life, die := context.WithTimeout(ctx, time.Duration(1+g.draw(8000))*time.Millisecond)
				drive(life, g, c, mapOf(g.draw(5)))
				die()
			}
		})
	}
	rivals.Go(func() {
		for range 6 {
			time.Sleep(time.Duration(g.draw(3000)) * time.Millisecond)
			g.restart(g.draw(ranks))
		}
	})
	rivals.Wait()
	g.late.Wait()
	g.calm = true
	time.Sleep(2 * expertmap.CommandLifetime)
	last := expertmap.NewCoordinator(g, "last")
	for range 50 {
		if last.Switch(ctx, mapOf(9)) == nil {
			break
		}
	}
	time.Sleep(time.Second)
	stop()
	duties.Wait()
	g.late.Wait()
	return g
}

func careful(ctx context.Context, _ *group, c *expertmap.Coordinator, m expertmap.Map) {
	_ = c.Switch(ctx, m)
}

// naive tells each rank to use the map as soon as it is staged.
func naive(ctx context.Context, g *group, _ *expertmap.Coordinator, m expertmap.Map) {
	for _, e := range g.engines {
		_ = e.Stage(ctx, expertmap.Ballot{}, m.ID, nil)
		e.mu.Lock()
		e.state.Active = m.ID
		e.mu.Unlock()
		time.Sleep(g.delay())
	}
}

func bubble(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

var _ = Describe("a switch of the expert map", func() {
	for _, fenced := range []bool{true, false} {
		It(fmt.Sprintf("never mixes maps in a step and always completes in calm (fencing %v)", fenced), func() {
			for seed := range uint64(150) {
				bubble(func() {
					g := storm(seed, fenced, careful)
					Expect(g.mixed).To(BeZero(), "seed %d", seed)
					for _, e := range g.engines {
						Expect(e.state.Active).To(Equal(expertmap.ID("map-9")), "seed %d", seed)
						Expect(e.state.HoldStep).To(BeZero(), "seed %d", seed)
					}
					Expect(g.steps).To(BeNumerically(">", 100))
				})
			}
		})
	}

	It("is mixed by a naive coordinator under the same schedules", func() {
		mixed := 0
		for seed := range uint64(5) {
			bubble(func() { mixed += storm(seed, true, naive).mixed })
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})

	It("is refused to a sidecar's earlier incarnation", func() {
		bubble(func() {
			g := newGroup(1, true)
			g.calm = true
			b := expertmap.Ballot{Counter: 1, Owner: "c"}
			r, err := g.ranks[0].Handle(context.Background(), expertmap.Envelope{Ballot: b, Command: expertmap.Query{}})
			Expect(err).NotTo(HaveOccurred())
			g.restart(0)
			r0 := r
			_, err = g.ranks[0].Handle(context.Background(), expertmap.Envelope{Ballot: b, Command: expertmap.Query{}})
			Expect(err).NotTo(HaveOccurred())
			late := expertmap.Envelope{Ballot: b, Incarnation: r0.Incarnation, Command: expertmap.Hold{Step: 5}}
			r, err = g.ranks[0].Handle(context.Background(), late)
			Expect(err).NotTo(HaveOccurred())
			Expect(r.Applied).To(BeFalse())
		})
	})
})
