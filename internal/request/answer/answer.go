// Package answer buffers the answer of one attempt between the endpoint and
// the entry, so that a broken stream can be resumed from an offset.
package answer

import (
	"net/http"
	"sync"
)

const (
	// windowBytes bounds the unacknowledged bytes of an answer.
	windowBytes = 256 << 10
	// keepBytes bounds an answer that is kept from offset 0 for repeats.
	keepBytes = 1 << 20
)

// Failure is why an answer ended without being whole.
type Failure struct {
	// MayHaveRun is false if the attempt certainly did not reach the endpoint.
	MayHaveRun bool
	Reason     string
}

// Buffer is safe for one writer and any number of readers.
type Buffer struct {
	mu sync.Mutex
	// changed is closed and replaced with each change.
	changed chan struct{}
	head    *Head
	// base is the offset of buffer[0]; bytes before it were dropped.
	base   int64
	buffer []byte
	// acked is the highest offset that a reader no longer needs.
	acked int64
	ended bool
	// failure is set instead of ended.
	failure *Failure
	// keep retains everything from offset 0 up to keepBytes.
	keep   bool
	closed bool
}

// Head is the status and header fields of an answer.
type Head struct {
	Status int
	Header http.Header
}

// NewBuffer returns an empty answer. With keep, it stays readable from offset 0.
func NewBuffer(keep bool) *Buffer {
	return &Buffer{changed: make(chan struct{}), keep: keep}
}

func (a *Buffer) signal() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// SetHead stores the head.
func (a *Buffer) SetHead(h Head) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.head = &h
	a.signal()
}

// Write appends bytes, waiting while the window is full. It reports false if
// the answer was closed by its readers.
func (a *Buffer) Write(p []byte) bool {
	a.mu.Lock()
	for !a.closed && a.full(len(p)) {
		changed := a.changed
		a.mu.Unlock()
		<-changed
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.buffer = append(a.buffer, p...)
	a.signal()
	return true
}

func (a *Buffer) full(n int) bool {
	unacked := a.base + int64(len(a.buffer)) - a.acked
	return unacked > 0 && unacked+int64(n) > windowBytes
}

// End marks the answer as whole.
func (a *Buffer) End() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.signal()
}

// Fail marks the answer as broken.
func (a *Buffer) Fail(f Failure) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.failure = &f
	a.signal()
}

// Close tells the writer that nobody reads any more.
func (a *Buffer) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.signal()
}

// Acknowledge lets bytes before offset be dropped.
func (a *Buffer) Acknowledge(offset int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.acked = max(a.acked, min(offset, a.base+int64(len(a.buffer))))
	if !a.keep || a.acked > keepBytes {
		a.keep = false
		drop := a.acked - a.base
		a.buffer = a.buffer[drop:]
		a.base = a.acked
		if len(a.buffer) == 0 {
			a.buffer = nil
		}
	}
	a.signal()
}

// Part is what a reader gets next: PartHead, PartData, PartEnd, PartFailed,
// PartDropped or PartWait.
type Part interface{ isPart() }

// PartHead carries the head.
type PartHead struct{ Head Head }

// PartData carries bytes that start at Offset.
type PartData struct {
	Offset  int64
	Payload []byte
}

// PartEnd says that the answer is whole with the given length in bytes.
type PartEnd struct{ Length int64 }

// PartFailed says that the answer broke.
type PartFailed struct{ Failure Failure }

// PartDropped says that the wanted bytes are no longer kept.
type PartDropped struct{}

// PartWait says that nothing is there yet; Changed is closed on a change.
type PartWait struct{ Changed <-chan struct{} }

func (PartHead) isPart()    {}
func (PartData) isPart()    {}
func (PartEnd) isPart()     {}
func (PartFailed) isPart()  {}
func (PartDropped) isPart() {}
func (PartWait) isPart()    {}

// maxPartBytes bounds one data part.
const maxPartBytes = 32 << 10

// Next returns the part after the given position.
func (a *Buffer) Next(headSent bool, offset int64) Part {
	a.mu.Lock()
	defer a.mu.Unlock()
	end := a.base + int64(len(a.buffer))
	switch {
	case a.head != nil && !headSent:
		return PartHead{Head: *a.head}
	case offset < a.base || offset > end:
		return PartDropped{}
	case offset < end:
		from := offset - a.base
		to := min(from+maxPartBytes, int64(len(a.buffer)))
		return PartData{Offset: offset, Payload: append([]byte(nil), a.buffer[from:to]...)}
	case a.ended:
		return PartEnd{Length: end}
	case a.failure != nil:
		return PartFailed{Failure: *a.failure}
	}
	return PartWait{Changed: a.changed}
}

// KeptFrom returns the lowest offset that can still be read.
func (a *Buffer) KeptFrom() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base
}

// Size returns the number of bytes that the answer holds.
func (a *Buffer) Size() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.buffer)
}

// Drained reports whether the answer is whole and acknowledged to its end.
func (a *Buffer) Drained() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended && a.acked == a.base+int64(len(a.buffer))
}
