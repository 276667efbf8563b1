package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and portCount give a range below the ports that the kernel
	// gives to outgoing connections, which could take a port before the process
	// that it is meant for listens.
	firstPort = 20000
	portCount = 12000
)

// given are the ports that this process has given out: those who asked for them may
// not listen yet.
var (
	givenMu sync.Mutex
	given   = map[int]bool{}
)

// FreePorts returns loopback ports on which nobody listens at the moment, each only
// once.
func FreePorts(count int) []int {
	givenMu.Lock()
	defer givenMu.Unlock()
	ports := make([]int, 0, count)
	for at := rand.IntN(portCount); len(ports) < count; at++ {
		port := firstPort + at%portCount
		if given[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		given[port] = true
		ports = append(ports, port)
	}
	return ports
}
