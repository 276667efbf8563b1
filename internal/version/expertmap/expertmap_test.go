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

// engine simulates the engine of one rank of a lock-step group.
type engine struct {
	mu     sync.Mutex
	state  expertmap.EngineState
	fenced bool
	// highest is the highest ballot seen.
	highest expertmap.Ballot
	// previous is the map in use before the first step of the active one.
	previous expertmap.ID
	// delay draws the time until a command takes effect.
	delay func() time.Duration
}

func (e *engine) State(context.Context) (expertmap.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, nil
}

// execute applies a change after a random delay, unless ctx ends before or the
// engine refuses the ballot.
func (e *engine) execute(ctx context.Context, b expertmap.Ballot, change func()) error {
	select {
	case <-time.After(e.delay()):
	case <-ctx.Done():
		return ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced && b.Less(e.highest) {
		return errFenced
	}
	e.highest = b
	change()
	return nil
}

func (e *engine) Stage(ctx context.Context, b expertmap.Ballot, m expertmap.ID, _ []byte) error {
	return e.execute(ctx, b, func() { e.state.Staged = m })
}

func (e *engine) Hold(ctx context.Context, b expertmap.Ballot, step uint64) error {
	return e.execute(ctx, b, func() {
		if e.state.Step <= step {
			e.state.HoldStep = step
		}
	})
}

func (e *engine) Activate(ctx context.Context, b expertmap.Ballot, m expertmap.ID, step uint64) error {
	return e.execute(ctx, b, func() {
		if e.state.HoldStep == step {
			e.previous = e.nextMap()
			e.state.Active, e.state.ActiveFrom, e.state.HoldStep = m, step, 0
		}
	})
}

// nextMap returns the map of the next step.
func (e *engine) nextMap() expertmap.ID {
	if e.state.Step < e.state.ActiveFrom {
		return e.previous
	}
	return e.state.Active
}

func (e *engine) Release(ctx context.Context, b expertmap.Ballot) error {
	return e.execute(ctx, b, func() { e.state.HoldStep = 0 })
}

// group simulates the ranks with their sidecars. Messages between coordinators
// and sidecars are delayed and lost at random; while reliable is set, delays are
// short and no message is lost.
type group struct {
	random  *rand.Rand
	mu      sync.Mutex
	engines []*engine
	ranks   []*expertmap.Participant
	// starts is the number of sidecar processes started, for their incarnations.
	starts   int
	fenced   bool
	reliable bool
	// mixed counts, over all steps, the ranks that used another map than the first.
	mixed, steps int
	// deliveries are the messages on their way.
	deliveries sync.WaitGroup
}

func newGroup(seed uint64, fenced bool) *group {
	g := &group{random: rand.New(rand.NewPCG(seed, seed)), fenced: fenced}
	for range ranks {
		g.engines = append(g.engines, &engine{fenced: fenced, delay: g.delay})
		g.ranks = append(g.ranks, nil)
	}
	for i := range ranks {
		g.restart(i)
	}
	return g
}

// restart replaces a rank's sidecar by a new process. The engine keeps running.
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

// delay draws a delay that is mostly short and sometimes longer than
// commandTimeout.
func (g *group) delay() time.Duration {
	if g.reliable || g.draw(12) > 0 {
		return time.Duration(g.draw(50)) * time.Millisecond
	}
	return time.Duration(g.draw(6000)) * time.Millisecond
}

func (g *group) Size() int { return ranks }

// Send delivers a command, possibly after its sender gave up, and its reply,
// possibly never.
func (g *group) Send(ctx context.Context, i int, e expertmap.Envelope) (expertmap.Reply, error) {
	type result struct {
		reply expertmap.Reply
		err   error
	}
	results := make(chan result, 1)
	before, after := g.delay(), g.delay()
	lost := !g.reliable && g.draw(15) == 0
	g.deliveries.Go(func() {
		time.Sleep(before)
		g.mu.Lock()
		rank := g.ranks[i]
		g.mu.Unlock()
		reply, err := rank.Handle(context.Background(), e)
		time.Sleep(after)
		if !lost {
			results <- result{reply, err}
		}
	})
	select {
	case r := <-results:
		return r.reply, r.err
	case <-ctx.Done():
		return expertmap.Reply{}, errLost
	}
}

// run executes steps until ctx ends.
func (g *group) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(stepTime)
		g.step()
	}
}

// step runs one step on all ranks, unless a rank is held.
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
		if e.nextMap() != g.engines[0].nextMap() {
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

// runFaults runs competing coordinators with lost messages and restarting
// sidecars, then one coordinator with reliable messages, and returns the group.
func runFaults(seed uint64, fenced bool, switchMap func(context.Context, *group, *expertmap.Coordinator, expertmap.Map)) *group {
	g := newGroup(seed, fenced)
	ctx, stop := context.WithCancel(context.Background())
	var stepping sync.WaitGroup
	stepping.Go(func() { g.run(ctx) })
	var faults sync.WaitGroup
	for i := range 3 {
		faults.Go(func() {
			c := expertmap.NewCoordinator(g, fmt.Sprint("coordinator-", i))
			for range 4 {
				time.Sleep(g.delay())
				switchCtx, cancel := context.WithTimeout(ctx, time.Duration(1+g.draw(8000))*time.Millisecond)
				switchMap(switchCtx, g, c, mapOf(g.draw(5)))
				cancel()
			}
		})
	}
	faults.Go(func() {
		for range 6 {
			time.Sleep(time.Duration(g.draw(3000)) * time.Millisecond)
			g.restart(g.draw(ranks))
		}
	})
	faults.Wait()
	g.deliveries.Wait()
	g.reliable = true
	time.Sleep(2 * expertmap.CommandLifetime)
	last := expertmap.NewCoordinator(g, "last")
	for range 50 {
		if last.Switch(ctx, mapOf(9)) == nil {
			break
		}
	}
	time.Sleep(time.Second)
	stop()
	stepping.Wait()
	g.deliveries.Wait()
	return g
}

// coordinated switches through a coordinator.
func coordinated(ctx context.Context, _ *group, c *expertmap.Coordinator, m expertmap.Map) {
	_ = c.Switch(ctx, m)
}

// uncoordinated switches one rank after the other as soon as its map is staged.
func uncoordinated(ctx context.Context, g *group, _ *expertmap.Coordinator, m expertmap.Map) {
	for _, e := range g.engines {
		_ = e.Stage(ctx, expertmap.Ballot{}, m.ID, nil)
		e.mu.Lock()
		e.state.Active = m.ID
		e.mu.Unlock()
		time.Sleep(g.delay())
	}
}

// inBubble runs f with the fake clock of synctest.
func inBubble(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

var _ = Describe("a switch of the expert map", func() {
	for _, fenced := range []bool{true, false} {
		It(fmt.Sprintf("never mixes maps in a step and completes once messages are reliable (fencing %v)", fenced), func() {
			for seed := range uint64(150) {
				inBubble(func() {
					g := runFaults(seed, fenced, coordinated)
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

	It("mixes maps under the same schedules if ranks switch without a coordinator", func() {
		mixed := 0
		for seed := range uint64(5) {
			inBubble(func() { mixed += runFaults(seed, true, uncoordinated).mixed })
		}
		Expect(mixed).To(BeNumerically(">", 0))
	})

	It("is refused if it addresses an earlier incarnation of the sidecar", func() {
		inBubble(func() {
			g := newGroup(1, true)
			g.reliable = true
			b := expertmap.Ballot{Counter: 1, Owner: "c"}
			reply, err := g.ranks[0].Handle(context.Background(), expertmap.Envelope{Ballot: b, Command: expertmap.Query{}})
			Expect(err).NotTo(HaveOccurred())
			g.restart(0)
			first := reply
			_, err = g.ranks[0].Handle(context.Background(), expertmap.Envelope{Ballot: b, Command: expertmap.Query{}})
			Expect(err).NotTo(HaveOccurred())
			late := expertmap.Envelope{Ballot: b, Incarnation: first.Incarnation, Command: expertmap.Hold{Step: 5}}
			reply, err = g.ranks[0].Handle(context.Background(), late)
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Applied).To(BeFalse())
		})
	})
})
