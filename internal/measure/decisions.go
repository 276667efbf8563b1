package measure

import (
	"crypto/ed25519"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/balancer"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	targetEndpoints = 910
	targetAccounts  = 36000
	nanosPerMicro   = 1000
)

// Choices measures one choice of an endpoint in microseconds, with and
// without prefix affinity, and its allocations.
func Choices() []Series {
	plain := Series{Name: "choice of an endpoint", Unit: "µs", SizeUnit: "endpoints", Target: targetEndpoints}
	prefix := Series{Name: "choice with prefix affinity", Unit: "µs", SizeUnit: "endpoints", Target: targetEndpoints}
	for _, n := range []int{12, 48, 200, 910} {
		table := filledTable(n)
		plain.Points = append(plain.Points, Point{float64(n), choose(table, false)})
		prefix.Points = append(prefix.Points, Point{float64(n), choose(table, true)})
	}
	return []Series{plain, prefix}
}

func filledTable(n int) *balancer.Picker {
	members := []*balancer.Member{}
	for i := range n {
		m := balancer.NewMember(fmt.Sprint("endpoint-", i), fmt.Sprint("domain-", i%4))
		m.ApplyGateState(16, i%13, true)
		members = append(members, m)
	}
	return balancer.NewPicker(members, "domain-0")
}

func choose(t *balancer.Picker, affinity bool) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			q := balancer.Query{HasPrefix: affinity, PrefixHash: uint64(i) * 0x9e3779b97f4a7c15}
			t.Pick(&q)
		}
	})
	if r.AllocsPerOp() > 0 {
		fmt.Printf("choice allocates %d times\n", r.AllocsPerOp())
	}
	return float64(r.NsPerOp()) / nanosPerMicro
}

// Gates measures admission and completion of one request in microseconds by
// the number of remembered requests, and the memory of the records.
func Gates() []Series {
	cost := Series{Name: "gate: one request", Unit: "µs", SizeUnit: "remembered requests", Target: 1000}
	memory := Series{Name: "gate: memory", Unit: "KB", SizeUnit: "remembered requests", Target: 1000}
	for _, n := range []int{1000, 4000, 16000} {
		before := heap()
		g := gateWith(n)
		memory.Points = append(memory.Points, Point{float64(n), float64(heap()-before) / 1024})
		r := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				pass(g, fmt.Sprint("x", i%n))
			}
		})
		cost.Points = append(cost.Points, Point{float64(n), float64(r.NsPerOp()) / nanosPerMicro})
		runtime.KeepAlive(g)
	}
	return []Series{cost, memory}
}

func gateWith(n int) *gate.Gate {
	open := func() (outcome.Reason, bool) { return "", false }
	g := gate.NewGate("i", gate.Config{ColdLimit: 64, WarmLimit: 64, QueueLimit: 64}, open)
	g.ApplyLoadReport(true, 0)
	for i := range n {
		pass(g, fmt.Sprint("r", i))
	}
	return g
}

func pass(g *gate.Gate, id string) {
	a := gate.Attempt{RequestID: id, Number: 1, Account: "a", Weight: 1, Idempotent: true, Incarnation: "i", Epoch: 1,
		Deadline: time.Now().Add(time.Minute)}
	g.Submit(a, func(gate.Decision) {})
	g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Millisecond, Total: time.Millisecond})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Bundles measures opening a signed bundle, its memory and its size by the
// number of client accounts.
func Bundles() []Series {
	cost := Series{Name: "bundle: verify, parse and check", Unit: "ms", SizeUnit: "client accounts", Target: targetAccounts}
	memory := Series{Name: "bundle: memory", Unit: "MB", SizeUnit: "client accounts", Target: targetAccounts}
	size := Series{Name: "bundle: size", Unit: "KB", SizeUnit: "client accounts", Target: targetAccounts}
	public, private, _ := ed25519.GenerateKey(nil)
	keys := bundle.KeySet{"anna": public}
	for _, n := range []int{10, 1000, 9000, 36000} {
		s, err := bundle.Sign(bundleText(n), "anna", private)
		if err != nil {
			fmt.Println(err)
			return nil
		}
		before := heap()
		started := time.Now()
		b, _ := s.Open(keys)
		cost.Points = append(cost.Points, Point{float64(n), float64(time.Since(started).Microseconds()) / 1000})
		memory.Points = append(memory.Points, Point{float64(n), float64(heap()-before) / (1 << 20)})
		size.Points = append(size.Points, Point{float64(n), float64(len(s.Content)) / 1024})
		runtime.KeepAlive(b)
	}
	return []Series{cost, memory, size}
}

func bundleText(accounts int) []byte {
	text := &strings.Builder{}
	text.WriteString("version = 1\nfailureDomains = [{name=\"a\"}]\n")
	for i := range accounts {
		name := fmt.Sprint("account-", i)
		fmt.Fprintf(text, "[[clientAccounts]]\nname = %q\ntokenHashes = [%q]\nweight = 1\n\n", name, bundle.HashToken(name))
	}
	return []byte(text.String())
}
