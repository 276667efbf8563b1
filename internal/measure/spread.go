package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/peer"
	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/version/view"
)

// graph is the neighbourhood of all processes: each asks its neighbours, and
// a neighbour that is behind asks back.
type graph struct{ asks [][]int }

func newGraph(processes, domains int) graph {
	list := make([]store.Instance, processes)
	index := map[string]int{}
	for i := range list {
		list[i] = store.Instance{Name: fmt.Sprint("process-", i), FailureDomain: fmt.Sprint("domain-", i%domains)}
		index[list[i].Name] = i
	}
	g := graph{asks: make([][]int, processes)}
	for i := range list {
		self := peer.Self{Instance: list[i].Name, FailureDomain: list[i].FailureDomain}
		for _, n := range peer.Neighbours(self, list) {
			j := index[n.Name]
			g.asks[i] = append(g.asks[i], j)
		}
	}
	return g
}

// hops returns the number of immediate exchanges until a change known to one
// process is known to all. A process that learns of a change asks all its
// neighbours; a neighbour that is behind asks back.
func (g graph) hops(start int) int {
	distance := make([]int, len(g.asks))
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
		for _, next := range g.asks[at] {
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

// Hops measures the reach of a change by the number of processes.
func Hops() Series {
	s := Series{Name: "spread: exchanges in a row until all know a change", Unit: "exchanges", SizeUnit: "processes", Target: 1320}
	for _, n := range []int{17, 100, 400, 1320} {
		g := newGraph(n, 4)
		worst := 0
		for start := 0; start < n; start += max(1, n/40) {
			h := g.hops(start)
			if h < 0 {
				fmt.Printf("spread: a change at process %d of %d does not reach all\n", start, n)
			}
			worst = max(worst, h)
		}
		s.Points = append(s.Points, Point{float64(n), float64(worst)})
	}
	return s
}

// Ages works out the age of views when every process polls the table within
// the read budget and asks one neighbour every half second, all of them once
// its view is half way to stale. It prints the share of stale moments.
func Ages(processes int, seed uint64) {
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
	stale, moments := 0, 0
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
			moments++
			oldest = max(oldest, age[i])
			if age[i] >= view.FreshFor {
				stale++
			}
		}
	}
	fmt.Printf("\nfreshness at %d processes: each polls every %v; oldest view %v; stale %d of %d moments (seed %d)\n",
		processes, interval, oldest, stale, moments, seed)
}

func (g graph) refresh(i, turn int, age []time.Duration) {
	if age[i] > view.FreshFor/2 {
		for _, n := range g.asks[i] {
			age[i] = min(age[i], age[n])
		}
		return
	}
	n := g.asks[i][turn%len(g.asks[i])]
	age[i] = min(age[i], age[n])
}
