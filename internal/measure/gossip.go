package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/version/view"
)

// graph has the neighbours of each process, by index.
type graph struct{ neighbours [][]int }

func newGraph(processes, domains int) graph {
	list := make([]store.Instance, processes)
	index := map[string]int{}
	for i := range list {
		list[i] = store.Instance{Name: fmt.Sprint("process-", i), FailureDomain: fmt.Sprint("domain-", i%domains)}
		index[list[i].Name] = i
	}
	g := graph{neighbours: make([][]int, processes)}
	for i := range list {
		self := peer.Self{Instance: list[i].Name, FailureDomain: list[i].FailureDomain}
		for _, n := range peer.Neighbours(self, list) {
			j := index[n.Name]
			g.neighbours[i] = append(g.neighbours[i], j)
		}
	}
	return g
}

// farthestFrom returns the number of successive exchanges after which a change that
// process start knows is known to all, or -1 if it does not reach all. A process that
// learns of a change asks all its neighbours; a neighbour that is behind asks back.
func (g graph) farthestFrom(start int) int {
	distance := make([]int, len(g.neighbours))
	for i := range distance {
		distance[i] = -1
	}
	distance[start] = 0
	queue := []int{start}
	farthest := 0
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		farthest = max(farthest, distance[at])
		for _, next := range g.neighbours[at] {
			if distance[next] < 0 {
				distance[next] = distance[at] + 1
				queue = append(queue, next)
			}
		}
	}
	for _, d := range distance {
		if d < 0 {
			return -1
		}
	}
	return farthest
}

// PropagationHops returns the number of successive exchanges until all processes know
// a change, by the number of processes.
func PropagationHops() Series {
	s := Series{Name: "propagation: successive exchanges until all processes know a change", Unit: "exchanges", SizeUnit: "processes", Target: 1320}
	for _, n := range []int{17, 100, 400, 1320} {
		g := newGraph(n, 4)
		worst := 0
		for start := 0; start < n; start += max(1, n/40) {
			h := g.farthestFrom(start)
			if h < 0 {
				fmt.Printf("propagation: a change at process %d of %d does not reach all\n", start, n)
			}
			worst = max(worst, h)
		}
		s.Points = append(s.Points, Point{float64(n), float64(worst)})
	}
	return s
}

// PrintViewAges simulates the age of the processes' views and prints how often a view
// was stale. Every process polls the table at store.PollInterval, which keeps within the
// read budget of the table. It asks one neighbour every half second, or all of them if
// its view is older than half of view.FreshFor.
func PrintViewAges(processes int, seed uint64) {
	const round = 500 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, seed))
	g := newGraph(processes, 4)
	interval := store.PollInterval(processes)
	age := make([]time.Duration, processes)
	next := make([]time.Duration, processes)
	for i := range next {
		next[i] = time.Duration(random.Int64N(int64(interval)))
	}
	var oldest time.Duration
	stale, samples := 0, 0
	for now := time.Duration(0); now < time.Minute; now += round {
		for i := range age {
			age[i] += round
		}
		for i := range age {
			g.refresh(i, int(now/round), age)
			if next[i] <= now {
				age[i] = 0
				next[i] += interval
			}
			if now < 10*time.Second {
				continue
			}
			samples++
			oldest = max(oldest, age[i])
			if age[i] >= view.FreshFor {
				stale++
			}
		}
	}
	fmt.Printf("\nfreshness at %d processes: each polls every %v; oldest view %v; stale in %d of %d samples (seed %d)\n",
		processes, interval, oldest, stale, samples, seed)
}

// refresh lowers the age of process i's view to the lowest among the neighbours that it
// asks in the round.
func (g graph) refresh(i, round int, age []time.Duration) {
	if age[i] > view.FreshFor/2 {
		for _, n := range g.neighbours[i] {
			age[i] = min(age[i], age[n])
		}
		return
	}
	n := g.neighbours[i][round%len(g.neighbours[i])]
	age[i] = min(age[i], age[n])
}
