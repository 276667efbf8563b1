package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/memory"
)

const (
	// requestBytes is what a request holds apart from larger bodies and responses: a
	// header of headerBytes, the buffers of two connections, goroutines, and firstBytes of
	// its body. A longer header is held twice: as it came and as it is forwarded.
	requestBytes = 32 << 10
	headerBytes  = 8 << 10
	headerCopies = 2
	// firstBytes is the size of a body's first buffer, and buffers up to smallBodyBuffer
	// grow in small steps: a client that has sent nothing holds little.
	firstBytes      = 4 << 10
	smallBodyBuffer = 32 << 10
	// maxRoomWait bounds the wait for room of a request on a route without a latency
	// objective.
	maxRoomWait = 250 * time.Millisecond
	// roomRetryAfter is the Retry-After of a request for which there is no room, which
	// is longer than it takes until stalled clients are cut off.
	roomRetryAfter = 3 * time.Second
	// drainTime is how long the body of a request that was refused unread may take, if
	// its connection stays open.
	drainTime = time.Second
	// writeGrace is how long after the deadline a response or a refusal may still be
	// written.
	writeGrace = time.Second
)

// StalledError reports a client that did not send its body in time, or was cut off.
type StalledError struct{ CutOff bool }

func (e *StalledError) Error() string {
	if e.CutOff {
		return "the client was cut off for others"
	}
	return "the body did not arrive before the deadline"
}

// hold begins to account for what the request holds. The caller ends the holder.
func (s *Service) hold(ctx context.Context, q *request, header http.Header, control *http.ResponseController) error {
	q.held = s.Memory.Begin(q.account.Name, func(c memory.Cut) {
		s.log(q, events.ClientCutOff, events.Fields{"held": c.Held, "stalledMs": c.Stalled.Milliseconds()})
		past := time.Unix(1, 0)
		// The write deadline first: the refusal that follows the failed read sets its own.
		_ = control.SetWriteDeadline(past)
		_ = control.SetReadDeadline(past)
	})
	_ = control.SetWriteDeadline(q.deadline.Add(writeGrace))
	surplus := max(0, headerLength(header)-headerBytes)
	return q.held.Take(ctx, memory.Requests, requestBytes+headerCopies*int64(surplus), q.roomWait())
}

// headerLength returns the number of bytes of the names and values of the fields.
func headerLength(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// roomWait returns how long the request may wait for room.
func (q *request) roomWait() time.Duration {
	wait := maxRoomWait
	if q.route.LatencyObjective > 0 {
		wait = min(wait, q.route.LatencyObjective/objectiveDivisor)
	}
	return min(wait, max(0, q.remaining()))
}

// readBody reads the body up to the route's limit into q.body, at most until the
// request's deadline. Bytes are taken from the budget before they are held.
func (q *request) readBody(w http.ResponseWriter, r *http.Request, control *http.ResponseController) error {
	if r.ContentLength == 0 {
		return nil
	}
	if r.ContentLength > q.route.MaxBodyBytes {
		return errTooLarge(q)
	}
	_ = control.SetReadDeadline(q.deadline)
	q.held.BeginWait()
	defer q.held.EndWait()
	source := http.MaxBytesReader(w, r.Body, q.route.MaxBodyBytes)
	for {
		if len(q.body) == cap(q.body) {
			if err := q.growBody(r.Context(), r.ContentLength); err != nil {
				return err
			}
		}
		n, err := source.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		q.held.Moved(n)
		if errors.Is(err, io.EOF) {
			// The server reads on, to notice when the client goes away.
			_ = control.SetReadDeadline(time.Time{})
			return nil
		}
		if err != nil {
			return q.bodyError(err)
		}
	}
}

// growBody replaces the full buffer of the body by a larger one. A body of a known length
// gets all of its buffer once the client has sent smallBodyBuffer bytes.
func (q *request) growBody(ctx context.Context, length int64) error {
	old := int64(cap(q.body))
	size := 2 * old
	switch {
	case old == 0:
		size = firstBytes
	case old < smallBodyBuffer:
		size = smallBodyBuffer
	case length > 0:
		size = length
	}
	if length > 0 {
		size = min(size, length)
	}
	// One byte more than the limit shows that a body without a length exceeds it.
	size = max(min(size, q.route.MaxBodyBytes+1), old+1)
	if size > firstBytes {
		if err := q.held.Take(ctx, memory.Bodies, size, q.roomWait()); err != nil {
			return err
		}
	}
	grown := make([]byte, len(q.body), size)
	copy(grown, q.body)
	q.body = grown
	if old > firstBytes {
		q.held.Give(memory.Bodies, old)
	}
	return nil
}

func errTooLarge(q *request) error {
	q.body = nil
	return &InvalidRequestError{outcome.TooLarge, "the body exceeds the route's maxBodyBytes"}
}

// bodyError returns the error of a request whose body could not be read.
func (q *request) bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return errTooLarge(q)
	case errors.As(err, &timeout) && timeout.Timeout():
		return &StalledError{CutOff: q.held.WasCutOff()}
	}
	return &InvalidRequestError{outcome.Malformed, "the body could not be read whole"}
}

// refuseUnread refuses a request whose body was not read whole and that has certainly not
// run. If there was no room for it, or its client has stalled, the connection is closed
// after the refusal; otherwise the rest of the body may arrive within drainTime.
func (s *Service) refuseUnread(w http.ResponseWriter, r *http.Request, q *request, err error) {
	control := http.NewResponseController(w)
	var invalid *InvalidRequestError
	var noRoom *memory.NoRoomError
	var stalled *StalledError
	refusal := Refusal{RequestID: q.id, Detail: err.Error()}
	fields := events.Fields{"detail": err.Error()}
	var reason outcome.Reason
	switch {
	case errors.As(err, &invalid):
		limitDrain(w, r)
		fields["reason"] = invalid.Reason
		s.log(q, events.RequestInvalid, fields)
		refusal.Outcome, refusal.Detail = outcome.NotRun{Reason: invalid.Reason}, invalid.Detail
		s.refuse(w, refusal)
		return
	case errors.As(err, &noRoom):
		reason = outcome.MemoryFull
		if noRoom.Cause == memory.AccountFull {
			reason = outcome.AccountMemoryFull
		}
		fields["asked"], fields["held"] = noRoom.Asked, noRoom.Held
	case errors.As(err, &stalled):
		reason = outcome.ClientStalled
	default:
		reason = outcome.Canceled
	}
	after := min(jitter(roomRetryAfter), time.Duration(float64(max(0, q.remaining()))*returnShare))
	fields["reason"], fields["retryAfterMs"] = reason, after.Milliseconds()
	s.log(q, events.RequestRefused, fields)
	closeUnread(w, r, control)
	refusal.Outcome, refusal.RetryAfter = outcome.NotRun{Reason: reason}, after
	s.refuse(w, refusal)
}

// limitDrain bounds the time in which the rest of the body of a refused request may
// arrive on a connection that stays open.
func limitDrain(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTime))
	}
}

// closeUnread makes the server close the connection after the response without reading
// the rest of the body. The server leaves the client half a second to read the response.
func closeUnread(w http.ResponseWriter, r *http.Request, control *http.ResponseController) {
	w.Header().Set("Connection", "close")
	if r.ContentLength == 0 {
		return
	}
	_ = control.SetReadDeadline(time.Unix(1, 0))
	_ = control.SetWriteDeadline(time.Now().Add(writeGrace))
	// The server waits for the client after responses to bodies that exceed a limit.
	_, _ = http.MaxBytesReader(w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
}

// responseRoom takes room for responses from what a request holds.
type responseRoom struct{ held *memory.Holder }

// TryTake implements endpoint.Room.
func (r responseRoom) TryTake(n int64) bool { return r.held.TryTake(memory.Responses, n) }

// Give implements endpoint.Room.
func (r responseRoom) Give(n int64) { r.held.Give(memory.Responses, n) }
