package sidecar

import (
	"context"
	"sync"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

// incomingLimit bounds the bytes that wait in one exchange; a sidecar that
// respects the acknowledgement window stays far below.
const incomingLimit = 4 << 20

// Exchange is one attempt on one link.
type Exchange struct {
	link *Link
	id   *wire.AttemptId

	mu sync.Mutex
	// events waiting to be read; pending counts their payload bytes.
	events  []transport.Event
	pending int
	// ready holds a token when events may be waiting.
	ready chan struct{}
	// expected is the offset of the next byte.
	expected int64
	headSeen bool
	finished bool
}

func newExchange(l *Link, id *wire.AttemptId, offset int64) *Exchange {
	return &Exchange{link: l, id: id, expected: offset, ready: make(chan struct{}, 1)}
}

// Next waits for the next event.
func (x *Exchange) Next(ctx context.Context) (transport.Event, error) {
	for {
		if e := x.take(); e != nil {
			return e, nil
		}
		select {
		case <-x.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (x *Exchange) take() transport.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.events) == 0 {
		return nil
	}
	e := x.events[0]
	x.events = x.events[1:]
	if d, ok := e.(transport.Data); ok {
		x.pending -= len(d.Payload)
	}
	return e
}

// push adds an event; what follows a final event is dropped as late.
func (x *Exchange) push(e transport.Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return
	}
	switch k := e.(type) {
	case transport.Head:
		if x.headSeen {
			return
		}
		x.headSeen = true
	case transport.Data:
		x.pending += len(k.Payload)
	case transport.End, transport.Refused, transport.Broken:
		x.finished = true
	}
	x.events = append(x.events, e)
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// data accepts bytes at an offset: repeated bytes are dropped, and a gap or a
// flood breaks the exchange.
func (x *Exchange) data(d *wire.Data) {
	x.mu.Lock()
	skip := x.expected - d.GetOffset()
	size := int64(len(d.GetPayload()))
	flooded := x.pending > incomingLimit
	if skip >= 0 && skip < size && !flooded {
		x.expected += size - skip
	}
	x.mu.Unlock()
	switch {
	case skip < 0 || flooded:
		x.push(transport.Broken{})
	case skip < size:
		x.push(transport.Data{Payload: d.GetPayload()[skip:]})
	}
}

// end accepts the explicit end only if every byte before it arrived.
func (x *Exchange) end(length int64) {
	x.mu.Lock()
	whole := x.expected == length && x.headSeen
	x.mu.Unlock()
	if whole {
		x.push(transport.End{Length: length})
		return
	}
	x.push(transport.Broken{})
}

// Acknowledge tells the sidecar that bytes before the offset are not needed
// any more.
func (x *Exchange) Acknowledge(offset int64) {
	x.link.sendOrBreak(&wire.EntryFrame{Kind: &wire.EntryFrame_Acknowledge{Acknowledge: &wire.Acknowledge{
		Id: x.id, Offset: offset,
	}}})
}

// Cancel ends the interest in the attempt.
func (x *Exchange) Cancel() {
	x.link.forget(x)
	x.link.sendOrBreak(&wire.EntryFrame{Kind: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Id: x.id}}})
}

// Close forgets an exchange that brought its final event.
func (x *Exchange) Close() { x.link.forget(x) }

// Idle reports whether no event is waiting.
func (x *Exchange) Idle() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.events) == 0
}
