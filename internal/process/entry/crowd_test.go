package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cicadareel/cicadareel/internal/standin"
)

const (
	// crowdBody is the largest body in these specs, and crowdHeld what the entry may hold:
	// room for two such bodies of one client account.
	crowdBody = 256 << 10
	crowdHeld = 5 * crowdBody
)

// crowdClient is a client that sends its request piece by piece.
type crowdClient struct {
	net.Conn
	responses *bufio.Reader
}

// openClient sends the head of a request with a body of crowdBody bytes.
func (e *testEntry) openClient(path, id string) *crowdClient {
	GinkgoHelper()
	conn, err := e.deployment.network.Dial(context.Background(), e.address)
	Expect(err).NotTo(HaveOccurred())
	c := &crowdClient{Conn: conn, responses: bufio.NewReader(conn)}
	c.sendText(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n", path, hostName, callerKey, id, crowdBody))
	return c
}

func (c *crowdClient) sendText(text string) {
	GinkgoHelper()
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// sendBody sends a part of the body.
func (c *crowdClient) sendBody(n int) {
	GinkgoHelper()
	c.sendText(strings.Repeat("b", n))
}

// expectClosing reads a refusal as not run, after which the connection is closed.
func (c *crowdClient) expectClosing() {
	GinkgoHelper()
	resp, err := http.ReadResponse(c.responses, nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	Expect(resp.Close).To(BeTrue())
	_, err = c.responses.ReadByte()
	Expect(err).To(HaveOccurred(), "the connection is closed")
}

var _ = Describe("clients that send large bodies or do not read", func() {
	var d *deployment
	var e *testEntry
	var one, two *standin.Worker

	// withCrowd runs a body on a deployment with two endpoints whose entry may hold little.
	withCrowd := func(change func(*standin.Worker), body func()) {
		withFakeClock(func() {
			d = newDeployment()
			defer d.close()
			d.heldBytes = crowdHeld
			d.configure(func(c map[string]any) {
				c["limits"] = map[string]any{"max_body_bytes": crowdBody}
				c["routes"] = append(c["routes"].([]any), route("slow", "unsafe", "desk", func(r map[string]any) { r["timeout_ms"] = 30000 }))
			})
			one = d.startWorker("desk-1", "desk", "a", change)
			two = d.startWorker("desk-2", "desk", "b", change)
			e = d.startEntry("a")
			e.waitUntilReady()
			body()
		})
	}
	held := func() int64 {
		var sum int64
		for _, n := range e.environment.dependencies.Memory.Usage().Held {
			sum += n
		}
		return sum
	}
	// fill opens clients that stop just short of the end of their bodies until the entry
	// has no room for another one.
	fill := func() []*crowdClient {
		GinkgoHelper()
		var all []*crowdClient
		for i := range 2 {
			c := e.openClient("/slow/x", fmt.Sprint("crowd-", i))
			c.sendBody(crowdBody - 64)
			all = append(all, c)
		}
		time.Sleep(100 * time.Millisecond)
		Expect(held()).To(BeNumerically(">", 2*crowdBody))
		return all
	}

	It("are served whole in calm, and everything is given back", func() {
		withCrowd(nil, func() {
			c := e.openClient("/book/x", "r1")
			c.sendBody(crowdBody)
			resp, err := http.ReadResponse(c.responses, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(resp.Close).To(BeFalse())
			Expect(totalRuns(one, two)).To(Equal(1))
			time.Sleep(time.Second)
			Expect(held()).To(BeZero())
		})
	})

	It("are refused as not run if there is no room, while small requests are served", func() {
		withCrowd(nil, func() {
			fill()
			c := e.openClient("/slow/x", "r1")
			c.sendBody(crowdBody / 2)
			c.expectClosing()
			expectLookups(e, 20)
			Expect(totalRuns(one, two)).To(Equal(20))
		})
	})

	It("are cut off for others once they have stalled", func() {
		withCrowd(nil, func() {
			all := fill()
			time.Sleep(3 * time.Second)
			c := e.openClient("/slow/x", "r1")
			c.sendBody(crowdBody)
			resp, err := http.ReadResponse(c.responses, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			all[0].expectClosing()
			Expect(totalRuns(one, two)).To(Equal(1))
		})
	})

	It("hold nothing any more after the deadline of their requests", func() {
		withCrowd(nil, func() {
			all := fill()
			time.Sleep(31 * time.Second)
			for _, c := range all {
				c.expectClosing()
			}
			Expect(held()).To(BeZero())
			Expect(totalRuns(one, two)).To(BeZero())
		})
	})

	It("are charged for long headers", func() {
		withCrowd(func(w *standin.Worker) { w.StepTime = time.Second }, func() {
			go e.call("/slow/x", "r1", func(r *http.Request) { r.Header.Set("X-Prompt-Prefix", strings.Repeat("p", 40<<10)) })
			time.Sleep(100 * time.Millisecond)
			Expect(held()).To(BeNumerically(">=", 80<<10))
			time.Sleep(2 * time.Second)
			Expect(held()).To(BeZero())
		})
	})

	It("get an immediate refusal of a body over the limit, which the entry does not read", func() {
		withCrowd(nil, func() {
			r := e.call("/slow/x", "r1", func(r *http.Request) {
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("b", crowdBody+1))), crowdBody+1
			})
			Expect(r.status).To(Equal(http.StatusRequestEntityTooLarge))
		})
	})

	It("hold nothing any more if they leave a long response unread", func() {
		withCrowd(func(w *standin.Worker) { w.MinResponseBytes = 8 * crowdBody }, func() {
			for i := range 8 {
				c := e.openClient("/book/x", fmt.Sprint("crowd-", i))
				c.sendBody(crowdBody)
			}
			time.Sleep(200 * time.Millisecond)
			Expect(held()).To(BeNumerically("<=", crowdHeld))
			time.Sleep(3 * time.Second)
			Expect(held()).To(BeZero())
		})
	})
})
