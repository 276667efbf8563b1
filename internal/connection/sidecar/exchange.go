package sidecar

import (
	"context"
	"sync"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/request/transport"
)

// maxIncomingBytes bounds the unread bytes of one exchange. A sidecar that keeps
// to the acknowledgement window stays far below.
const maxIncomingBytes = 4 << 20

// Exchange receives the response to one attempt over a link.
type Exchange struct {
	link *Link
	id   *wire.AttemptId

	mu sync.Mutex
	// events are those not read yet.
	events []transport.Event
	// pendingBytes is the size of the payloads in events.
	pendingBytes int
	// ready holds a token when there may be unread events.
	ready chan struct{}
	// nextOffset is the offset of the next byte to receive.
	nextOffset int64
	headSeen   bool
	// finished is true after the final event.
	finished bool
}

func newExchange(l *Link, id *wire.AttemptId, offset int64) *Exchange {
	return &Exchange{link: l, id: id, nextOffset: offset, ready: make(chan struct{}, 1)}
}

// Next implements transport.Exchange.
func (x *Exchange) Next(ctx context.Context) (transport.Event, error) {
	for {
		if e := x.pop(); e != nil {
			return e, nil
		}
		select {
		case <-x.ready:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// pop removes and returns the first unread event, or nil.
func (x *Exchange) pop() transport.Event {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.events) == 0 {
		return nil
	}
	e := x.events[0]
	x.events = x.events[1:]
	if d, ok := e.(transport.Data); ok {
		x.pendingBytes -= len(d.Payload)
	}
	return e
}

// push adds an event. It drops a second head and events after the final one.
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
		x.pendingBytes += len(k.Payload)
	case transport.End, transport.Refused, transport.Broken:
		x.finished = true
	}
	x.events = append(x.events, e)
	select {
	case x.ready <- struct{}{}:
	default:
	}
}

// receiveData accepts bytes at an offset. It drops repeated bytes and breaks the
// exchange at a gap or above maxIncomingBytes.
func (x *Exchange) receiveData(d *wire.Data) {
	x.mu.Lock()
	skip := x.nextOffset - d.GetOffset()
	size := int64(len(d.GetPayload()))
	overflowed := x.pendingBytes > maxIncomingBytes
	if skip >= 0 && skip < size && !overflowed {
		x.nextOffset += size - skip
	}
	x.mu.Unlock()
	switch {
	case skip < 0 || overflowed:
		x.push(transport.Broken{})
	case skip < size:
		x.push(transport.Data{Payload: d.GetPayload()[skip:]})
	}
}

// receiveEnd ends the exchange: with an End event if the head and all bytes arrived,
// else with Broken.
func (x *Exchange) receiveEnd(length int64) {
	x.mu.Lock()
	whole := x.nextOffset == length && x.headSeen
	x.mu.Unlock()
	if whole {
		x.push(transport.End{Length: length})
		return
	}
	x.push(transport.Broken{})
}

// Acknowledge tells the sidecar that the bytes before the offset are no longer
// needed.
func (x *Exchange) Acknowledge(offset int64) {
	x.link.sendWait(&wire.EntryFrame{Kind: &wire.EntryFrame_Acknowledge{Acknowledge: &wire.Acknowledge{
		Id: x.id, Offset: offset,
	}}})
}

// Cancel closes the exchange and tells the sidecar that the response is not
// needed.
func (x *Exchange) Cancel() {
	x.link.removeExchange(x)
	x.link.sendWait(&wire.EntryFrame{Kind: &wire.EntryFrame_Cancel{Cancel: &wire.Cancel{Id: x.id}}})
}

// Close removes the exchange from its link.
func (x *Exchange) Close() { x.link.removeExchange(x) }

// Idle reports whether all received events were read.
func (x *Exchange) Idle() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.events) == 0
}
