package soak

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	// crowdSize is the number of connections that a crowd keeps open, and crowdBody the
	// length of its bodies, which is legal.
	crowdSize = 24
	crowdBody = 60_000
	// crowdPrefix begins the ids of the crowd's requests.
	crowdPrefix = "crowd-"
)

// crowdUntil opens connections until stop is closed, takes the entries in turn, and sends
// a request with a body that stops short of its end, or whose response it does not read.
// It reads nothing and closes the oldest connections.
func (d *deployment) crowdUntil(stop <-chan struct{}) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			_ = c.Close()
		}
	}()
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		c, err := net.DialTimeout("tcp", d.entries[n%len(d.entries)].caller, time.Second)
		if err != nil {
			continue
		}
		open = append(open, c)
		if len(open) > crowdSize {
			_ = open[0].Close()
			open = open[1:]
		}
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(c, crowdRequest(n))
	}
}

// crowdRequest returns the bytes that the crowd sends of its n-th request.
func crowdRequest(n int) string {
	framing := fmt.Sprint("Content-Length: ", crowdBody)
	body := strings.Repeat("c", crowdBody-1)
	path := "book"
	switch n % 3 {
	case 1:
		framing = "Transfer-Encoding: chunked"
		body = fmt.Sprintf("%x\r\n%s", crowdBody, body)
	case 2:
		framing, body, path = "Content-Length: 0", "", "draft"
	}
	return fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Attempt-Id: %s%d\r\n%s\r\n\r\n%s", path, hostName, apiKey, crowdPrefix, n, framing, body)
}

// crowdRuns returns a failure for each request of the crowd that ran although its body
// never ended.
func crowdRuns(ids []string) []string {
	var failures []string
	for _, id := range ids {
		var n int
		if _, err := fmt.Sscanf(id, crowdPrefix+"%d", &n); err == nil && n%3 != 2 {
			failures = append(failures, fmt.Sprintf("request %s ran, although its body did not end", id))
		}
	}
	return failures
}
