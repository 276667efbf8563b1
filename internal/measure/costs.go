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

// PickCosts measures the time to pick an endpoint, in microseconds, with and
// without prefix affinity. It prints the number of allocations unless it is 0.
func PickCosts() []Series {
	plain := Series{Name: "pick of an endpoint", Unit: "µs", SizeUnit: "endpoints", Target: targetEndpoints}
	prefix := Series{Name: "pick with prefix affinity", Unit: "µs", SizeUnit: "endpoints", Target: targetEndpoints}
	for _, n := range []int{12, 48, 200, 910} {
		picker := newPicker(n)
		plain.Points = append(plain.Points, Point{float64(n), benchmarkPick(picker, false)})
		prefix.Points = append(prefix.Points, Point{float64(n), benchmarkPick(picker, true)})
	}
	return []Series{plain, prefix}
}

func newPicker(n int) *balancer.Picker {
	members := []*balancer.Member{}
	for i := range n {
		m := balancer.NewMember(fmt.Sprint("endpoint-", i), fmt.Sprint("domain-", i%4))
		m.ApplyGateState(16, i%13, true)
		members = append(members, m)
	}
	return balancer.NewPicker(members, "domain-0")
}

// benchmarkPick returns the microseconds that one pick takes.
func benchmarkPick(p *balancer.Picker, affinity bool) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			q := balancer.Query{HasPrefix: affinity, PrefixHash: uint64(i) * 0x9e3779b97f4a7c15}
			p.Pick(&q)
		}
	})
	if r.AllocsPerOp() > 0 {
		fmt.Printf("a pick allocates %d times\n", r.AllocsPerOp())
	}
	return float64(r.NsPerOp()) / nanosPerMicro
}

// GateCosts measures the admission and completion of one request, in microseconds,
// and the memory of the request records, by the number of records.
func GateCosts() []Series {
	cost := Series{Name: "gate: one request", Unit: "µs", SizeUnit: "request records", Target: 1000}
	memory := Series{Name: "gate: memory", Unit: "KB", SizeUnit: "request records", Target: 1000}
	for _, n := range []int{1000, 4000, 16000} {
		before := heapBytes()
		g := newUsedGate(n)
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes()-before) / 1024})
		r := testing.Benchmark(func(b *testing.B) {
			for i := range b.N {
				runAttempt(g, fmt.Sprint("x", i%n))
			}
		})
		cost.Points = append(cost.Points, Point{float64(n), float64(r.NsPerOp()) / nanosPerMicro})
		runtime.KeepAlive(g)
	}
	return []Series{cost, memory}
}

// newUsedGate returns a gate that has records of n completed requests.
func newUsedGate(n int) *gate.Gate {
	admitAll := func() (outcome.Reason, bool) { return "", false }
	g := gate.NewGate("i", gate.Config{ColdLimit: 64, WarmLimit: 64, QueueLimit: 64}, admitAll)
	g.ApplyLoadReport(true, 0)
	for i := range n {
		runAttempt(g, fmt.Sprint("r", i))
	}
	return g
}

// runAttempt submits and completes an attempt.
func runAttempt(g *gate.Gate, id string) {
	a := gate.Attempt{RequestID: id, Number: 1, Account: "a", Weight: 1, Idempotent: true, Incarnation: "i", Epoch: 1,
		Deadline: time.Now().Add(time.Minute)}
	g.Submit(a, func(gate.Decision) {})
	g.Finish(a, gate.Completion{Healthy: true, FirstByte: time.Millisecond, Total: time.Millisecond})
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BundleCosts measures the time to open a signed bundle, the memory that it takes and
// its encoded size, by the number of client accounts.
func BundleCosts() []Series {
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
		before := heapBytes()
		started := time.Now()
		b, _ := s.Open(keys)
		cost.Points = append(cost.Points, Point{float64(n), float64(time.Since(started).Microseconds()) / 1000})
		memory.Points = append(memory.Points, Point{float64(n), float64(heapBytes()-before) / (1 << 20)})
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
