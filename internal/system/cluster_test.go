// Package system tests real processes on loopback under traffic: signals, TCP faults,
// orders and outages of the platform.
package system

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/connection/store"
	"github.com/cicadareel/cicadareel/internal/standin"
	"github.com/cicadareel/cicadareel/pkg/bundle"
)

const (
	tokens   = 20                    // tokens of a streamed response
	stepTime = 10 * time.Millisecond // time of one token or of one service call
	// stateTimeout bounds the wait for an expected state. It is long because machines
	// differ in speed.
	stateTimeout = 60 * time.Second
)

// node is an endpoint with its sidecar and the TCP relay in front of the sidecar.
type node struct {
	name, failureDomain string
	endpointAddress     string
	sidecarAddress      string
	relay               *standin.Relay
	endpoint            *standin.Child
	sidecar             *standin.Child
}

// cluster is a system of real processes on loopback.
type cluster struct {
	dir             string
	platform        string
	entries         []*standin.Child
	callerAddresses []string
	peerAddresses   []string
	nodes           []*node
	children        []*standin.Child
	// operatorKey is the operator's name and public key, as in the settings.
	operatorKey string
	// leavingInstance is the instance that the platform lists as leaving; empty for none.
	leavingInstance string
}

// buildPrograms builds the programs into a temporary directory and returns it.
func buildPrograms() string {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	for _, target := range []string{"cicadareel=../..", "standin=../../cmd/standin"} {
		name, path, _ := strings.Cut(target, "=")
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), path).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	}
	return dir
}

// expectCleanExit waits until a process exits and checks that it exits without an error.
func expectCleanExit(p *standin.Child) {
	GinkgoHelper()
	<-p.Exited()
	Expect(p.Err()).NotTo(HaveOccurred())
}

func freeAddress() string {
	return fmt.Sprintf("127.0.0.1:%d", standin.FreePorts(1)[0])
}

// run starts a program of the cluster; its output goes to a log file.
func (c *cluster) run(name string, args ...string) *standin.Child {
	GinkgoHelper()
	log := filepath.Join(c.dir, fmt.Sprintf("%d.log", len(c.children)))
	p, err := standin.StartChild(log, filepath.Join(c.dir, name), args...)
	Expect(err).NotTo(HaveOccurred())
	c.children = append(c.children, p)
	return p
}

// cli runs the command-line client with the operator's settings and returns its output.
func (c *cluster) cli(args ...string) (string, error) {
	command := exec.Command(filepath.Join(c.dir, "cicadareel"), args...)
	command.Env = append(os.Environ(), "CICADAREEL_SETTINGS="+filepath.Join(c.dir, "operator.toml"))
	out, err := command.CombinedOutput()
	return string(out), err
}

// newCluster starts the platform, the endpoints, two entries and the sidecars, applies a
// bundle and waits until all gates are open.
func newCluster(engines, services int) *cluster {
	GinkgoHelper()
	c := &cluster{dir: buildPrograms(), platform: freeAddress()}
	c.createOperatorKey()
	c.run("standin", "platform", "--address", c.platform)
	for i := range engines + services {
		kind, name := "engine", fmt.Sprint("engine-", i)
		if i >= engines {
			kind, name = "service", fmt.Sprint("service-", i)
		}
		c.addNode(kind, name, string("ab"[i%2]))
	}
	for range 2 {
		c.callerAddresses = append(c.callerAddresses, freeAddress())
		c.peerAddresses = append(c.peerAddresses, freeAddress())
	}
	c.publishInstances()
	c.writeSettings("operator", fmt.Sprintf("role = \"operator\"\noperatorName = \"anna\"\noperatorKeyFile = %q\nseeds = [%q, %q]\n",
		filepath.Join(c.dir, "anna.key"), c.peerAddresses[0], c.peerAddresses[1]))
	for i := range c.callerAddresses {
		c.entries = append(c.entries, nil)
		c.startEntry(i)
	}
	for _, n := range c.nodes {
		c.startSidecar(n)
	}
	c.applyBundle()
	return c
}

// createOperatorKey creates the key pair of the operator anna.
func (c *cluster) createOperatorKey() {
	public, private, err := ed25519.GenerateKey(nil)
	Expect(err).NotTo(HaveOccurred())
	c.operatorKey = "anna:" + base64.StdEncoding.EncodeToString(public)
	seed := base64.StdEncoding.EncodeToString(private.Seed())
	Expect(os.WriteFile(filepath.Join(c.dir, "anna.key"), []byte(seed), 0o600)).To(Succeed())
}

// addNode starts an endpoint and the relay to its sidecar.
func (c *cluster) addNode(kind, name, failureDomain string) {
	n := &node{name: name, failureDomain: failureDomain, endpointAddress: freeAddress(), sidecarAddress: freeAddress()}
	args := []string{kind, "--address", n.endpointAddress, "--name", name, "--domain", failureDomain,
		"--tokens", fmt.Sprint(tokens), "--step", stepTime.String()}
	n.endpoint = c.run("standin", append(args, expertMapFlags(kind)...)...)
	relay, err := standin.NewRelay("127.0.0.1:0", n.sidecarAddress)
	Expect(err).NotTo(HaveOccurred())
	n.relay = relay
	c.nodes = append(c.nodes, n)
}

func expertMapFlags(kind string) []string {
	if kind != "engine" {
		return nil
	}
	return []string{"--experts", "16", "--layers", "2", "--load-lag", "500ms"}
}

// publishInstances writes the instance list to the platform.
func (c *cluster) publishInstances() {
	list := []store.Instance{}
	for i, p := range c.peerAddresses {
		list = append(list, store.Instance{Name: fmt.Sprint("entry-", i), Role: "entry", FailureDomain: string("ab"[i]),
			PeerAddress: netip.MustParseAddrPort(p), State: store.StateLive})
	}
	for _, n := range c.nodes {
		list = append(list, store.Instance{Name: "sidecar-" + n.name, Role: "sidecar", FailureDomain: n.failureDomain,
			PeerAddress: netip.MustParseAddrPort(n.relay.Address()), Endpoint: n.name, State: store.StateLive})
	}
	for i := range list {
		if list[i].Name == c.leavingInstance {
			list[i].State = store.StateLeaving
		}
	}
	body, err := json.Marshal(list)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() error { return put("http://"+c.platform+"/instances", string(body)) }, stateTimeout).Should(Succeed())
}

func put(url, body string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// writeSettings writes a settings file with the keys and addresses that all processes
// share, and returns its path.
func (c *cluster) writeSettings(name, text string) string {
	path := filepath.Join(c.dir, name+".toml")
	text += fmt.Sprintf("operatorKeys = [%q]\n[platform]\ntableAddress = %q\nobjectAddress = %q\ninstanceListAddress = %q\n[tls]\ninsecure = true\n",
		c.operatorKey, c.platform, c.platform, c.platform)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (c *cluster) startEntry(i int) {
	path := c.writeSettings(fmt.Sprint("entry-", i), fmt.Sprintf(
		"role = \"entry\"\ninstance = \"entry-%d\"\nfailureDomain = %q\ncallerAddress = %q\npeerAddress = %q\noperatorAddress = %q\n",
		i, string("ab"[i]), c.callerAddresses[i], c.peerAddresses[i], freeAddress()))
	c.entries[i] = c.run("cicadareel", "entry", "--settings", path)
}

func (c *cluster) startSidecar(n *node) {
	path := c.writeSettings("sidecar-"+n.name, fmt.Sprintf(
		"role = \"sidecar\"\ninstance = \"sidecar-%s\"\nfailureDomain = %q\npeerAddress = %q\noperatorAddress = %q\nendpoint = %q\nendpointAddress = %q\n",
		n.name, n.failureDomain, n.sidecarAddress, freeAddress(), n.name, n.endpointAddress))
	n.sidecar = c.run("cicadareel", "sidecar", "--settings", path)
}

// applyBundle signs and applies version 1 of the bundle.
func (c *cluster) applyBundle() {
	text := fmt.Sprintf(`version = 1
failureDomains = [{name="a"}, {name="b"}]
groups = [{name="model", kind="model", coldLimit=2, warmLimit=16, warmAfter=8, queueLimit=64,
           experts={layers=2, perLayer=16, ranksPerEndpoint=1, slotsPerRank=5, bytes=1000, storeBytesPerSecond=1000000}},
          {name="desk", kind="application", coldLimit=4, warmLimit=32, warmAfter=4, queueLimit=64}]
routes = [{path="/draft", group="model", idempotent=true, splice=true, priority=5, timeout="20s", maxBodyBytes=65536},
          {path="/book", group="desk", idempotent=false, priority=5, timeout="20s", maxBodyBytes=65536}]
clientAccounts = [{name="homeowners", tokenHashes=[%q], weight=1}]
`, bundle.HashToken("token"))
	for _, n := range c.nodes {
		group := "model"
		if strings.HasPrefix(n.name, "service") {
			group = "desk"
		}
		text += fmt.Sprintf("[[endpoints]]\nname=%q\ngroup=%q\nfailureDomain=%q\n", n.name, group, n.failureDomain)
	}
	path := filepath.Join(c.dir, "bundle.toml")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	_, err := c.cli("bundle", "sign", path)
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() (string, error) { return c.cli("bundle", "apply", path) }, stateTimeout).Should(ContainSubstring("in force"))
	c.awaitOpenGates(len(c.nodes))
}

// awaitOpenGates waits until exactly the given number of gates is open.
func (c *cluster) awaitOpenGates(gates int) {
	GinkgoHelper()
	Eventually(func() int {
		out, _ := c.cli("status", "--json")
		return strings.Count(out, "\"open\": true")
	}, stateTimeout).Should(Equal(gates))
}

func (c *cluster) close() {
	for _, p := range c.children {
		p.Kill()
	}
	for _, n := range c.nodes {
		n.relay.Close()
	}
}

// startLoad sends drafts and keyed bookings through both entries in the background.
func (c *cluster) startLoad(seed uint64, duration time.Duration) <-chan *standin.Tally {
	done := make(chan *standin.Tally, 1)
	go func() {
		done <- standin.RunLoad(context.Background(), standin.LoadConfig{
			Entries:      []string{"http://" + c.callerAddresses[0], "http://" + c.callerAddresses[1]},
			BearerTokens: []string{"token"},
			Kinds:        []standin.RequestKind{{Path: "/draft", Tokens: tokens}, {Path: "/book", Keyed: true}},
			Rate:         60,
			Duration:     duration,
			Seed:         seed,
		})
	}()
	return done
}

// record returns the endpoint's record.
func (n *node) record() standin.Record {
	GinkgoHelper()
	resp, err := http.Get("http://" + n.endpointAddress + "/record")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	r := standin.Record{}
	Expect(json.NewDecoder(resp.Body).Decode(&r)).To(Succeed())
	return r
}

// expectCorrectOutcomes checks the tally of a load against the endpoints' records: no
// response is wrong, no booking runs twice, a booking that is reported as not run did not
// run, one with a complete response ran once, and no cold endpoint had more than four
// requests at a time.
func (c *cluster) expectCorrectOutcomes(t *standin.Tally) {
	GinkgoHelper()
	Expect(t.Wrong).To(BeZero(), "wrong, mixed up or silently truncated responses")
	runs := map[string]int{}
	for _, n := range c.nodes {
		r := n.record()
		Expect(r.PeakCold).To(BeNumerically("<=", 4))
		for id, count := range r.Bodies {
			if strings.HasPrefix(n.name, "service") {
				runs[id] += count
			}
		}
	}
	for body, count := range runs {
		Expect(count).To(Equal(1), "runs of booking %q", body)
	}
	for key, result := range t.Keys {
		body := strings.Replace(key, "key-", "", 1)
		seed, number, _ := strings.Cut(body, "-")
		ran := runs[fmt.Sprintf("request %s of run %s", number, seed)]
		if result == "notRun" {
			Expect(ran).To(BeZero(), "runs of booking %s, which was refused as not run", key)
		}
		if result == "whole" {
			Expect(ran).To(Equal(1), "booking %s", key)
		}
	}
}
