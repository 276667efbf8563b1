package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and portCount are a range below the ephemeral ports of the kernel.
	// An outgoing connection could otherwise take a port before the process that
	// it is meant for listens on it.
	firstPort = 20000
	portCount = 12000
)

// reserved holds the ports that FreePorts has returned. Their users may not listen
// yet.
var (
	reservedMu sync.Mutex
	reserved   = map[int]bool{}
)

// FreePorts returns loopback ports that are free at the moment. It returns each port
// only once.
func FreePorts(count int) []int {
	reservedMu.Lock()
	defer reservedMu.Unlock()
	ports := make([]int, 0, count)
	for offset := rand.IntN(portCount); len(ports) < count; offset++ {
		port := firstPort + offset%portCount
		if reserved[port] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		reserved[port] = true
		ports = append(ports, port)
	}
	return ports
}
