// Package response buffers an endpoint's response to one attempt on its way to the
// entry, so that a broken stream can be resumed from an offset.
package response

import (
	"net/http"
	"sync"
)

const (
	// windowBytes bounds the unacknowledged bytes of a response; a writer waits
	// while more would be unacknowledged.
	windowBytes = 256 << 10
	// maxReplayBytes bounds the acknowledged bytes of a response that is kept from
	// offset 0 for repeated requests.
	maxReplayBytes = 1 << 20
)

// Failure says why a response ended incomplete.
type Failure struct {
	// MayHaveRun is false if the attempt certainly did not reach the endpoint.
	MayHaveRun bool
	Reason     string
}

// Buffer holds the head of a response and the bytes that readers may still want.
// It is safe for one writer and any number of readers.
type Buffer struct {
	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed chan struct{}
	head    *Head
	// base is the offset of data[0]; earlier bytes were dropped.
	base int64
	data []byte
	// acked is the highest acknowledged offset: no reader needs the bytes before it.
	acked int64
	// ended is true once the response is complete.
	ended bool
	// failure is set instead of ended if the response broke.
	failure *Failure
	// keepAll retains acknowledged bytes up to maxReplayBytes.
	keepAll bool
	// closed is true once no reader is left.
	closed bool
}

// Head is the status and header fields of a response.
type Head struct {
	Status int
	Header http.Header
}

// NewBuffer returns an empty buffer. With keepAll, it stays readable from offset 0
// until more than maxReplayBytes are acknowledged.
func NewBuffer(keepAll bool) *Buffer {
	return &Buffer{changed: make(chan struct{}), keepAll: keepAll}
}

// broadcast wakes all that wait for a change.
func (b *Buffer) broadcast() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetHead sets the status and header fields.
func (b *Buffer) SetHead(h Head) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.head = &h
	b.broadcast()
}

// Write appends bytes and blocks while the window is full. It returns false if
// the buffer was closed.
func (b *Buffer) Write(p []byte) bool {
	b.mu.Lock()
	for !b.closed && b.overflows(len(p)) {
		changed := b.changed
		b.mu.Unlock()
		<-changed
		b.mu.Lock()
	}
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.data = append(b.data, p...)
	b.broadcast()
	return true
}

// overflows reports whether n more bytes exceed the window. A write that is
// larger than the window passes if nothing is unacknowledged.
func (b *Buffer) overflows(n int) bool {
	unacked := b.base + int64(len(b.data)) - b.acked
	return unacked > 0 && unacked+int64(n) > windowBytes
}

// End marks the response as complete.
func (b *Buffer) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	b.broadcast()
}

// Fail marks the response as broken.
func (b *Buffer) Fail(f Failure) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failure = &f
	b.broadcast()
}

// Close makes Write return false: no reader is left.
func (b *Buffer) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.broadcast()
}

// Acknowledge allows the bytes before offset to be dropped.
func (b *Buffer) Acknowledge(offset int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.acked = max(b.acked, min(offset, b.base+int64(len(b.data))))
	if !b.keepAll || b.acked > maxReplayBytes {
		b.keepAll = false
		drop := b.acked - b.base
		b.data = b.data[drop:]
		b.base = b.acked
		if len(b.data) == 0 {
			b.data = nil
		}
	}
	b.broadcast()
}

// Part is the result of Next: PartHead, PartData, PartEnd, PartFailed,
// PartDropped or PartWait.
type Part interface{ isPart() }

// PartHead carries the status and header fields.
type PartHead struct{ Head Head }

// PartData carries bytes that start at Offset.
type PartData struct {
	Offset  int64
	Payload []byte
}

// PartEnd says that the response is complete with the given length in bytes.
type PartEnd struct{ Length int64 }

// PartFailed says that the response broke.
type PartFailed struct{ Failure Failure }

// PartDropped says that the bytes at the wanted offset were dropped or do not
// exist yet.
type PartDropped struct{}

// PartWait says that nothing more is buffered yet; Changed is closed at the next
// change.
type PartWait struct{ Changed <-chan struct{} }

func (PartHead) isPart()    {}
func (PartData) isPart()    {}
func (PartEnd) isPart()     {}
func (PartFailed) isPart()  {}
func (PartDropped) isPart() {}
func (PartWait) isPart()    {}

// maxPartBytes bounds the payload of one PartData.
const maxPartBytes = 32 << 10

// Next returns the next part for a reader at the offset. headSent says that the
// reader has the head already.
func (b *Buffer) Next(headSent bool, offset int64) Part {
	b.mu.Lock()
	defer b.mu.Unlock()
	end := b.base + int64(len(b.data))
	switch {
	case b.head != nil && !headSent:
		return PartHead{Head: *b.head}
	case offset < b.base || offset > end:
		return PartDropped{}
	case offset < end:
		from := offset - b.base
		to := min(from+maxPartBytes, int64(len(b.data)))
		return PartData{Offset: offset, Payload: append([]byte(nil), b.data[from:to]...)}
	case b.ended:
		return PartEnd{Length: end}
	case b.failure != nil:
		return PartFailed{Failure: *b.failure}
	}
	return PartWait{Changed: b.changed}
}

// KeptFrom returns the lowest offset that is still buffered.
func (b *Buffer) KeptFrom() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base
}

// Size returns the number of buffered bytes.
func (b *Buffer) Size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.data)
}

// Begun reports whether any bytes of the body were written.
func (b *Buffer) Begun() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.base > 0 || len(b.data) > 0
}

// Drained reports whether the response is complete and all of it acknowledged.
func (b *Buffer) Drained() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended && b.acked == b.base+int64(len(b.data))
}
