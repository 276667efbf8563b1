package standin

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// firstPort and portCount give a range below the ports that the kernel
	// gives to outgoing connections, which could take a port before the process
	// that it is meant for listens.
	firstPort = 20000
	portCount = 12000
)

// FreePorts returns loopback ports on which nobody listens at the moment.
func FreePorts(count int) []int {
	ports := make([]int, 0, count)
	for at := rand.IntN(portCount); len(ports) < count; at++ {
		port := firstPort + at%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = l.Close()
		ports = append(ports, port)
	}
	return ports
}
