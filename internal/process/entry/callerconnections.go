package entry

import (
	"math"
	"net"
	"net/http"

	"golang.org/x/sys/unix"

	"github.com/cicadareel/cicadareel/internal/connection/caller"
	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/metrics"
	"github.com/cicadareel/cicadareel/internal/request/memory"
)

// callerConnections closes connections of callers where there are too many.
type callerConnections struct {
	open *memory.Connections[net.Conn]
	log  *events.Log
}

// newCallerConnections returns callerConnections for a server that uses track.
func newCallerConnections(limit int, d caller.Dependencies) *callerConnections {
	cutOffStalled := func() bool { return d.Memory != nil && d.Memory.CutOffStalled() }
	c := &callerConnections{open: memory.NewConnections[net.Conn](limit, cutOffStalled), log: d.Log}
	d.Metrics.RegisterGauge("cicadareel_caller_connections", "Open connections of callers.", func() int64 { return int64(c.open.Open()) })
	d.Metrics.RegisterGauge("cicadareel_caller_connections_closed", "Connections of callers that were closed for others.", c.open.Closed)
	return c
}

// track is the hook of the server for changes of connections.
func (c *callerConnections) track(conn net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		if surplus, ok := c.open.Opened(conn); ok {
			c.log.Info(events.ConnectionClosed, events.Fields{"open": c.open.Open(), "caller": surplus.RemoteAddr().String(), "isNew": surplus == conn})
			_ = surplus.Close()
		}
	case http.StateActive:
		c.open.Active(conn)
	case http.StateIdle:
		c.open.Idle(conn)
	case http.StateClosed, http.StateHijacked:
		c.open.Ended(conn)
	}
}

// descriptorLimit returns the number of descriptors that the process may have open.
func descriptorLimit() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int64(limit.Cur)
}

// registerHeld registers gauges of what is held for callers.
func registerHeld(m *metrics.Metrics, b *memory.Budget) {
	m.RegisterGauge("cicadareel_held_capacity_bytes", "Bytes that may be held for callers.", func() int64 { return b.Usage().Capacity })
	m.RegisterGauge("cicadareel_held_request_bytes", "Bytes held for the fixed costs of requests.", func() int64 { return b.Usage().Held[memory.Requests] })
	m.RegisterGauge("cicadareel_held_body_bytes", "Bytes held for bodies of requests.", func() int64 { return b.Usage().Held[memory.Bodies] })
	m.RegisterGauge("cicadareel_held_response_bytes", "Bytes held for responses.", func() int64 { return b.Usage().Held[memory.Responses] })
	m.RegisterGauge("cicadareel_callers_cut_off", "Stalled callers that were cut off.", func() int64 { return b.Usage().CutOff })
}
