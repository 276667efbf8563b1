package soak

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	seed    = flag.Uint64("soak.seed", 0, "one seed to play; 0 for those of testdata")
	many    = flag.Int("soak.many", 0, "number of fresh seeds to play instead")
	length  = flag.Duration("soak.length", 8*time.Second, "how long faults come")
	entries = flag.Int("soak.entries", 3, "number of entries")
	logs    = flag.String("soak.logs", "", "directory that keeps the logs of failed seeds")
)

// settleTime is more than what changes may take to be in force once all is calm.
const settleTime = 6 * time.Second

// TestSoak plays random faults against real processes.
func TestSoak(t *testing.T) {
	bin := t.TempDir()
	for name, path := range map[string]string{"cicadareel": "../..", "standin": "../../cmd/standin"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(bin, name), path).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	for _, s := range seeds(t) {
		t.Run(fmt.Sprint("seed ", s), func(t *testing.T) {
			t.Parallel()
			soak(t, bin, s)
		})
	}
}

// seeds returns those to play: one that was asked for, fresh ones, or the first
// number of each line of the file of regression cases.
func seeds(t *testing.T) []uint64 {
	if *seed != 0 {
		return []uint64{*seed}
	}
	fresh := make([]uint64, *many)
	for i := range fresh {
		fresh[i] = rand.Uint64N(1 << 40)
	}
	if *many > 0 {
		return fresh
	}
	file, err := os.Open("testdata/seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var all []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var s uint64
		if _, err := fmt.Sscan(lines.Text(), &s); err == nil {
			all = append(all, s)
		}
	}
	return all
}

func soak(t *testing.T, bin string, seed uint64) {
	d := &deployment{t: t, bin: bin, dir: t.TempDir(), epoch: 1}
	t.Cleanup(func() {
		d.close()
		if t.Failed() && *logs != "" {
			d.keepLogs(filepath.Join(*logs, fmt.Sprint("seed-", seed)))
		}
	})
	d.start(*entries)
	c := newClients(d)
	stop := make(chan struct{})
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		c.keep(stop)
	}()
	began := time.Now()
	x := &chaos{d: d, chance: rand.New(rand.NewPCG(seed, 1)), log: func(format string, args ...any) {
		t.Logf("%6.2f s  %s", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}}
	x.rage(*length)
	x.log("calm")
	broken := d.calm(c)
	close(stop)
	<-kept
	broken = append(broken, d.judge(c.answers)...)
	t.Log(tally(c.answers))
	for _, b := range broken {
		t.Error(b)
	}
}

// calm checks what must hold once faults have ended.
func (d *deployment) calm(c *clients) []string {
	var broken []string
	for _, e := range d.entries {
		broken = append(broken, d.serves(c, e)...)
	}
	broken = append(broken, d.isInForce(c)...)
	d.hold("a", true)
	time.Sleep(settleTime)
	from := time.Now()
	d.nodes[ranks+1].draining = true
	d.announce(d.nodes[ranks+1])
	time.Sleep(settleTime)
	broken = append(broken, d.lateRuns(from, func(n *endpointNode) bool { return n.domain == "a" })...)
	from = time.Now()
	time.Sleep(time.Second)
	broken = append(broken, d.lateRuns(from, func(n *endpointNode) bool { return n.draining })...)
	d.hold("a", false)
	d.nodes[ranks+1].draining = false
	d.announce(d.nodes[ranks+1])
	return append(broken, d.ends(c)...)
}

// serves waits until an entry answers each kind of request.
func (d *deployment) serves(c *clients, e *entryNode) []string {
	d.await("http://"+e.ops+"/readyz", http.StatusOK)
	var broken []string
	for i, other := range d.entries {
		if other != e {
			continue
		}
		for _, kind := range []string{"draft", "look", "book"} {
			served := false
			for end := time.Now().Add(patience); !served && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				served = c.send(i, kind).right()
			}
			if !served {
				broken = append(broken, fmt.Sprintf("%s never serves %s again", e.name, kind))
			}
		}
	}
	return broken
}

// isInForce changes the configuration and waits until every entry has it.
func (d *deployment) isInForce(c *clients) []string {
	mark := markOf(d.configure())
	time.Sleep(settleTime)
	var broken []string
	for i, e := range d.entries {
		if a := c.send(i, mark); !a.right() {
			broken = append(broken, fmt.Sprintf("%s does not serve the route of the latest configuration: %+v", e.name, a))
		}
	}
	return broken
}

// ends stops an entry under traffic: no request that ran may lose its answer.
func (d *deployment) ends(c *clients) []string {
	e := d.entries[0]
	child, number := e.now()
	began := time.Now()
	e.expectEnd()
	_ = child.Signal(syscall.SIGTERM)
	select {
	case <-child.Exited():
	case <-time.After(grace + patience):
		return []string{e.name + " does not end"}
	}
	var broken []string
	if err := child.Err(); err != nil {
		broken = append(broken, fmt.Sprintf("%s ended with %v", e.name, err))
	}
	time.Sleep(time.Second)
	runs, err := readRuns(d.runsFile())
	if err != nil {
		return append(broken, err.Error())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.answers {
		if a.entry == 0 && a.incarnation == number && a.ended.After(began) && !a.whole && len(runs[a.id]) > 0 {
			broken = append(broken, fmt.Sprintf("%s %s ran and lost its answer as its entry shut down", a.kind, a.id))
		}
	}
	return broken
}

// tally counts answers by kind and status.
func tally(answers []answer) string {
	counts := map[string]int{}
	for _, a := range answers {
		kind, _, _ := strings.Cut(a.kind, "-")
		switch {
		case a.right():
			counts[kind+" whole"]++
		case a.status == 0 || !a.whole:
			counts[kind+" cut"]++
		default:
			counts[fmt.Sprint(kind, " ", a.status)]++
		}
	}
	return fmt.Sprint(len(answers), " requests: ", counts)
}

func (d *deployment) keepLogs(to string) {
	_ = os.MkdirAll(to, 0o700)
	if err := os.CopyFS(to, os.DirFS(d.dir)); err != nil {
		d.t.Log(err)
	}
}
