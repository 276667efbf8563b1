package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cicadareel/cicadareel/internal/standin"
)

// grace is how long an entry may take to end after SIGTERM.
const grace = 8 * time.Second

// fault is one thing that goes wrong, or that operators do, for a while. Its two
// halves are called in turn; other faults may come between.
type fault struct {
	name string
	// begin returns what ends it.
	begin func() (end func())
	// length is how long it lasts.
	length time.Duration
	// waits is true if its end waits for a process, which another fault's end may
	// have to wake first.
	waits bool
}

// chaos draws faults from a seed.
type chaos struct {
	d      *deployment
	chance *rand.Rand
	log    func(format string, args ...any)
}

func (c *chaos) entry() *entryNode   { return c.d.entries[c.chance.IntN(len(c.d.entries))] }
func (c *chaos) node() *endpointNode { return c.d.nodes[c.chance.IntN(len(c.d.nodes))] }

func (c *chaos) draw() fault {
	all := []func() fault{c.restart, c.restart, c.pause, c.reload, c.storeLink, c.storeLink, c.endpointLink, c.endpointLink,
		c.store, c.store, c.answers, c.answers, c.answers, c.answers, c.orders, c.orders, c.orders, c.reform, c.change, c.change, c.evacuate, c.drain, c.reborn}
	f := all[c.chance.IntN(len(all))]()
	f.length = time.Duration(300+c.chance.IntN(2500)) * time.Millisecond
	return f
}

// restart ends a process in one of two ways and starts another at its place.
func (c *chaos) restart() fault {
	e, kill := c.entry(), c.chance.IntN(2) == 0
	return fault{name: fmt.Sprintf("restart %s, kill %v", e.name, kill), waits: true, begin: func() func() {
		child, number := e.now()
		e.expectEnd()
		if kill {
			child.Kill()
		} else {
			_ = child.Signal(syscall.SIGTERM)
		}
		return func() {
			select {
			case <-child.Exited():
			case <-time.After(grace + patience):
				c.d.t.Errorf("%s does not end", e.name)
				return
			}
			if _, now := e.now(); now == number {
				c.d.startEntry(e)
			}
		}
	}}
}

func (c *chaos) pause() fault {
	e := c.entry()
	return fault{name: "pause " + e.name, begin: func() func() {
		child, _ := e.now()
		_ = child.Signal(syscall.SIGSTOP)
		return func() { _ = child.Signal(syscall.SIGCONT) }
	}}
}

// reload changes the settings file, for the worse at first.
func (c *chaos) reload() fault {
	e := c.entry()
	return fault{name: "reload " + e.name, begin: func() func() {
		sound, err := os.ReadFile(e.settings)
		if err != nil {
			return func() {}
		}
		_ = os.WriteFile(e.settings+".new", append([]byte("nonsense = ["), sound...), 0o600)
		_ = os.Rename(e.settings, e.settings+".sound")
		_ = os.Rename(e.settings+".new", e.settings)
		child, _ := e.now()
		_ = child.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		_ = os.Rename(e.settings+".sound", e.settings)
		return func() { _ = child.Signal(syscall.SIGHUP) }
	}}
}

// link breaks one relay in a drawn way.
func (c *chaos) link(name string, r *standin.Relay) fault {
	way := c.chance.IntN(5)
	return fault{name: fmt.Sprintf("%s, way %d", name, way), begin: func() func() {
		switch way {
		case 0:
			r.Disconnect()
		case 1:
			r.SetMode(standin.Paused)
		case 2:
			r.SetMode(standin.RepliesPaused)
		case 3:
			r.SetMode(standin.Refusing)
			r.Disconnect()
		case 4:
			r.SetDelay(150 * time.Millisecond)
		}
		return func() {
			r.SetMode(standin.Forwarding)
			r.SetDelay(0)
		}
	}}
}

func (c *chaos) storeLink() fault {
	e := c.entry()
	return c.link("link of "+e.name+" to the store", e.store)
}

func (c *chaos) endpointLink() fault {
	n := c.node()
	return c.link("link to "+n.name, n.relay)
}

func (c *chaos) store() fault {
	troubles := []standin.StoreFaults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {Delay: 200 * time.Millisecond}, {LoseWrites: true}}
	t, forget := troubles[c.chance.IntN(len(troubles))], c.chance.IntN(3) == 0
	return fault{name: fmt.Sprintf("store %+v, forgets %v", t, forget), begin: func() func() {
		c.d.send(http.MethodPost, "http://"+c.d.store+"/trouble", t)
		return func() {
			c.d.send(http.MethodPost, "http://"+c.d.store+"/trouble", standin.StoreFaults{})
			if forget {
				c.d.send(http.MethodPost, "http://"+c.d.store+"/forget", nil)
			}
		}
	}}
}

// plainFaults and streamFaults are how endpoints treat requests.
var (
	plainFaults = []standin.WorkerFault{standin.NoFault, standin.Shed, standin.ErrorAfterRun, standin.DropResponse, standin.TruncateResponse,
		standin.OmitSignature, standin.WrongAttemptID, standin.UnavailableAfterRun, standin.Hang}
	streamFaults = []standin.WorkerFault{standin.NoFault, standin.Shed, standin.DropResponse, standin.DuplicateEvent, standin.TruncateEvent, standin.Hang}
)

// answers spoils the next answers of an endpoint.
func (c *chaos) answers() fault {
	n := c.node()
	kinds := plainFaults
	if n.group == "models" {
		kinds = streamFaults
	}
	faults := make([]standin.WorkerFault, 5+c.chance.IntN(40))
	for i := range faults {
		faults[i] = kinds[c.chance.IntN(len(kinds))]
	}
	return fault{name: fmt.Sprintf("answers of %s %v", n.name, faults), begin: func() func() {
		c.d.send(http.MethodPost, "http://"+n.address+"/faults", faults)
		return func() { c.d.send(http.MethodPost, "http://"+n.address+"/faults", []standin.WorkerFault{}) }
	}}
}

func (c *chaos) orders() fault {
	t := standin.RankFaults{Lose: c.chance.Float64() / 2, Late: c.chance.Float64() / 3, LateBy: time.Duration(1+c.chance.IntN(3)) * time.Second}
	return fault{name: fmt.Sprintf("orders to ranks %+v", t), begin: func() func() {
		c.d.send(http.MethodPost, "http://"+c.d.nodes[0].address+"/trouble", t)
		return func() { c.d.send(http.MethodPost, "http://"+c.d.nodes[0].address+"/trouble", standin.RankFaults{}) }
	}}
}

// reform forms the group of ranks anew.
func (c *chaos) reform() fault {
	return fault{name: "group forms anew", begin: func() func() {
		_ = json.Unmarshal(c.d.send(http.MethodPost, "http://"+c.d.nodes[0].address+"/reform", nil), &c.d.epoch)
		for _, n := range c.d.nodes[:ranks] {
			c.d.announce(n)
		}
		return func() {}
	}}
}

func (c *chaos) change() fault {
	return fault{name: "configuration", begin: func() func() {
		c.d.configure()
		return func() {}
	}}
}

func (c *chaos) evacuate() fault {
	return fault{name: "hold of domain a", begin: func() func() {
		c.d.hold("a", true)
		return func() { c.d.hold("a", false) }
	}}
}

func (c *chaos) desk() *endpointNode { return c.d.nodes[ranks+c.chance.IntN(desks)] }

func (c *chaos) drain() fault {
	n := c.desk()
	return fault{name: "drain " + n.name, begin: func() func() {
		n.draining = true
		c.d.announce(n)
		return func() {
			n.draining = false
			c.d.announce(n)
		}
	}}
}

// reborn announces an endpoint as started again.
func (c *chaos) reborn() fault {
	n := c.desk()
	return fault{name: "restart of " + n.name, begin: func() func() {
		n.relay.Disconnect()
		n.born++
		c.d.announce(n)
		return func() {}
	}}
}

// rage begins faults, one after the other and several at a time, and returns once
// all have ended.
func (c *chaos) rage(length time.Duration) {
	var running sync.WaitGroup
	// Endings touch the same rows as beginnings do.
	var turn sync.Mutex
	for end := time.Now().Add(length); time.Now().Before(end); {
		f := c.draw()
		c.log("%s for %v", f.name, f.length.Round(time.Millisecond))
		turn.Lock()
		stop := f.begin()
		turn.Unlock()
		running.Go(func() {
			time.Sleep(f.length)
			if f.waits {
				stop()
				return
			}
			turn.Lock()
			defer turn.Unlock()
			stop()
		})
		time.Sleep(time.Duration(100+c.chance.IntN(700)) * time.Millisecond)
	}
	running.Wait()
}
