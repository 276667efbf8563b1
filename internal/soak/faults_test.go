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

// shutdownGrace is how long an entry may take to exit after SIGTERM.
const shutdownGrace = 8 * time.Second

// fault is a failure, or an action of operators, that lasts for a while. Several faults
// may last at a time.
type fault struct {
	name string
	// start starts the fault and returns the function that ends it.
	start    func() (end func())
	duration time.Duration
	// waitsForExit is true if the end waits for a process to exit. The process may be
	// paused until another fault ends, so this end must not hold up other ends.
	waitsForExit bool
}

// faultInjector injects random faults into a deployment. The order of its random draws
// determines the faults of a seed.
type faultInjector struct {
	deployment *deployment
	random     *rand.Rand
	log        func(format string, args ...any)
}

// entry returns a random entry.
func (in *faultInjector) entry() *entryNode {
	return in.deployment.entries[in.random.IntN(len(in.deployment.entries))]
}

// node returns a random endpoint.
func (in *faultInjector) node() *endpointNode {
	return in.deployment.nodes[in.random.IntN(len(in.deployment.nodes))]
}

// drawFault returns a random fault. Faults that are listed more often are more likely.
func (in *faultInjector) drawFault() fault {
	all := []func() fault{in.restart, in.restart, in.pause, in.reload, in.storeLink, in.storeLink, in.endpointLink, in.endpointLink,
		in.store, in.store, in.endpointResponses, in.endpointResponses, in.endpointResponses, in.endpointResponses, in.mapCommands, in.mapCommands, in.mapCommands, in.startEpoch, in.changeConfig, in.changeConfig, in.holdFailureDomain, in.drain, in.restartEndpoint}
	f := all[in.random.IntN(len(all))]()
	f.duration = time.Duration(300+in.random.IntN(2500)) * time.Millisecond
	return f
}

// restart kills or gracefully ends the process of an entry and starts the next one after
// it has exited.
func (in *faultInjector) restart() fault {
	e, kill := in.entry(), in.random.IntN(2) == 0
	return fault{name: fmt.Sprintf("restart %s, kill %v", e.name, kill), waitsForExit: true, start: func() func() {
		child, incarnation := e.expectExit()
		if kill {
			child.Kill()
		} else {
			_ = child.Signal(syscall.SIGTERM)
		}
		return func() {
			select {
			case <-child.Exited():
			case <-time.After(shutdownGrace + stateTimeout):
				in.deployment.t.Errorf("%s did not exit within %v", e.name, shutdownGrace+stateTimeout)
				return
			}
			in.deployment.startEntry(e, incarnation)
		}
	}}
}

// pause stops the process of an entry by SIGSTOP and resumes it.
func (in *faultInjector) pause() fault {
	e := in.entry()
	return fault{name: "pause " + e.name, start: func() func() {
		child, _ := e.current()
		_ = child.Signal(syscall.SIGSTOP)
		return func() { _ = child.Signal(syscall.SIGCONT) }
	}}
}

// reload makes an entry reload an invalid settings file and later the valid one.
func (in *faultInjector) reload() fault {
	e := in.entry()
	return fault{name: "reload " + e.name, start: func() func() {
		valid, err := os.ReadFile(e.settings)
		if err != nil {
			return func() {}
		}
		_ = os.WriteFile(e.settings+".new", append([]byte("nonsense = ["), valid...), 0o600)
		_ = os.Rename(e.settings, e.settings+".valid")
		_ = os.Rename(e.settings+".new", e.settings)
		child, _ := e.current()
		_ = child.Signal(syscall.SIGHUP)
		time.Sleep(50 * time.Millisecond)
		_ = os.Rename(e.settings+".valid", e.settings)
		return func() { _ = child.Signal(syscall.SIGHUP) }
	}}
}

// link disturbs the connections of a relay in one of five ways.
func (in *faultInjector) link(name string, r *standin.Relay) fault {
	kind := in.random.IntN(5)
	return fault{name: fmt.Sprintf("%s, kind %d", name, kind), start: func() func() {
		switch kind {
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

// storeLink disturbs the link of an entry to the store.
func (in *faultInjector) storeLink() fault {
	e := in.entry()
	return in.link("link from "+e.name+" to the store", e.store)
}

// endpointLink disturbs the links of all entries to an endpoint.
func (in *faultInjector) endpointLink() fault {
	n := in.node()
	return in.link("link to "+n.name, n.relay)
}

// rewriteDelay is how long after a restore of the store operators and endpoints write
// again what was lost.
const rewriteDelay = 300 * time.Millisecond

// store makes the store misbehave and, with a probability of 1/3, drop its history of
// changes at the end or, if it was not only slow or silent, come back from a copy that was
// made at the start.
func (in *faultInjector) store() fault {
	faults := []standin.StoreFaults{{Status: http.StatusServiceUnavailable}, {Silent: true}, {Delay: 200 * time.Millisecond}, {LoseWrites: true}}
	chosen, dropHistory := faults[in.random.IntN(len(faults))], in.random.IntN(3) == 0
	restored := dropHistory && (chosen.LoseWrites || chosen.Status != 0)
	post := func(action string, body any) {
		in.deployment.send(http.MethodPost, "http://"+in.deployment.store+"/"+action, body)
	}
	return fault{name: fmt.Sprintf("store %+v, drops history %v, restored %v", chosen, dropHistory, restored), start: func() func() {
		if restored {
			post("copy", nil)
		}
		post("trouble", chosen)
		return func() {
			post("trouble", standin.StoreFaults{})
			switch {
			case restored:
				post("restore", nil)
				time.Sleep(rewriteDelay)
				post("rewrite", nil)
			case dropHistory:
				post("forget", nil)
			}
		}
	}}
}

// plainFaults and streamFaults are the faults of endpoints that send plain and streamed
// responses.
var (
	plainFaults = []standin.WorkerFault{standin.NoFault, standin.Shed, standin.ErrorAfterRun, standin.DropResponse, standin.TruncateResponse,
		standin.OmitSignature, standin.WrongAttemptID, standin.UnavailableAfterRun, standin.Hang}
	streamFaults = []standin.WorkerFault{standin.NoFault, standin.Shed, standin.DropResponse, standin.DuplicateEvent, standin.TruncateEvent, standin.Hang}
)

// endpointResponses sets a random fault, or none, for each of the next 5 to 44 requests of
// an endpoint.
func (in *faultInjector) endpointResponses() fault {
	n := in.node()
	kinds := plainFaults
	if n.group == "models" {
		kinds = streamFaults
	}
	faults := make([]standin.WorkerFault, 5+in.random.IntN(40))
	for i := range faults {
		faults[i] = kinds[in.random.IntN(len(kinds))]
	}
	return fault{name: fmt.Sprintf("responses of %s %v", n.name, faults), start: func() func() {
		in.deployment.send(http.MethodPost, "http://"+n.address+"/faults", faults)
		return func() { in.deployment.send(http.MethodPost, "http://"+n.address+"/faults", []standin.WorkerFault{}) }
	}}
}

// mapCommands makes the ranks send no response to some expert map commands and execute
// some of these late.
func (in *faultInjector) mapCommands() fault {
	faults := standin.RankFaults{Lose: in.random.Float64() / 2, Late: in.random.Float64() / 3, LateBy: time.Duration(1+in.random.IntN(3)) * time.Second}
	return fault{name: fmt.Sprintf("expert map commands to ranks %+v", faults), start: func() func() {
		in.deployment.send(http.MethodPost, "http://"+in.deployment.nodes[0].address+"/trouble", faults)
		return func() {
			in.deployment.send(http.MethodPost, "http://"+in.deployment.nodes[0].address+"/trouble", standin.RankFaults{})
		}
	}}
}

// startEpoch starts a new epoch of the group of ranks and announces it.
func (in *faultInjector) startEpoch() fault {
	return fault{name: "new epoch of the ranks", start: func() func() {
		_ = json.Unmarshal(in.deployment.send(http.MethodPost, "http://"+in.deployment.nodes[0].address+"/reform", nil), &in.deployment.epoch)
		for _, n := range in.deployment.nodes[:ranks] {
			in.deployment.announce(n)
		}
		return func() {}
	}}
}

// changeConfig writes the next version of the configuration.
func (in *faultInjector) changeConfig() fault {
	return fault{name: "new configuration", start: func() func() {
		in.deployment.writeConfig()
		return func() {}
	}}
}

// holdFailureDomain places a hold on failure domain a.
func (in *faultInjector) holdFailureDomain() fault {
	return fault{name: "hold on failure domain a", start: func() func() {
		in.deployment.setHold("a", true)
		return func() { in.deployment.setHold("a", false) }
	}}
}

// worker returns a random endpoint of the group desk.
func (in *faultInjector) worker() *endpointNode {
	return in.deployment.nodes[ranks+in.random.IntN(workers)]
}

// drain announces an endpoint as draining.
func (in *faultInjector) drain() fault {
	n := in.worker()
	return fault{name: "drain " + n.name, start: func() func() {
		n.draining = true
		in.deployment.announce(n)
		return func() {
			n.draining = false
			in.deployment.announce(n)
		}
	}}
}

// restartEndpoint closes the connections of an endpoint and announces it as restarted.
func (in *faultInjector) restartEndpoint() fault {
	n := in.worker()
	return fault{name: "restart of " + n.name, start: func() func() {
		n.relay.Disconnect()
		n.born++
		in.deployment.announce(n)
		return func() {}
	}}
}

// injectFor starts random faults for the duration, several of which may last at a time,
// and returns when all have ended.
func (in *faultInjector) injectFor(duration time.Duration) {
	var running sync.WaitGroup
	// rows guards the store's rows, which starts and ends of faults write.
	var rows sync.Mutex
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		f := in.drawFault()
		in.log("%s for %v", f.name, f.duration.Round(time.Millisecond))
		rows.Lock()
		end := f.start()
		rows.Unlock()
		running.Go(func() {
			time.Sleep(f.duration)
			if f.waitsForExit {
				end()
				return
			}
			rows.Lock()
			defer rows.Unlock()
			end()
		})
		time.Sleep(time.Duration(100+in.random.IntN(700)) * time.Millisecond)
	}
	running.Wait()
}
