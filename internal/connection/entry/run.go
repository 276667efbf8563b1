package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/connection/endpoint"
	"github.com/cicadareel/cicadareel/internal/connection/wire"
	"github.com/cicadareel/cicadareel/internal/outcome"
	"github.com/cicadareel/cicadareel/internal/request/gate"
	"github.com/cicadareel/cicadareel/internal/request/response"
)

const (
	// detachGrace is how long a run without a reader waits for one to resume.
	detachGrace = 10 * time.Second
	// readBytes is the size of one read from the endpoint.
	readBytes = 16 << 10
)

// run is one attempt from the gate to the end of its answer.
type run struct {
	attempt gate.Attempt
	call    endpoint.Call
	answer  *response.Buffer
	// kept answers stay until the epoch rule drops them.
	kept   bool
	cancel context.CancelFunc

	mu sync.Mutex
	// readers counts the streams that read the answer.
	readers int
	// expiry runs when nobody has read for detachGrace.
	expiry *time.Timer
	// endEpoch is the epoch in which the answer ended; 0 while it has not.
	endEpoch uint64
	// endSize is the number of bytes buffered at the end.
	endSize int
}

func newRun(b *wire.Begin, now time.Time) *run {
	header := http.Header{}
	for _, h := range b.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	header.Set(endpoint.RequestIDHeader, b.GetId().GetRequestId())
	header.Set(endpoint.PriorityHeader, strconv.Itoa(int(b.GetPriority())))
	return &run{
		attempt: gate.Attempt{
			RequestID:   b.GetId().GetRequestId(),
			Number:      b.GetId().GetNumber(),
			Account:     b.GetAccount(),
			Weight:      max(1, b.GetWeight()),
			Priority:    int(b.GetPriority()),
			Idempotent:  b.GetIdempotent(),
			Deadline:    now.Add(b.GetRemaining().AsDuration()),
			Incarnation: b.GetIncarnation(),
			Epoch:       b.GetEpoch(),
		},
		call: endpoint.Call{
			Method:     b.GetMethod(),
			Target:     b.GetTarget(),
			Header:     header,
			Body:       b.GetBody(),
			Idempotent: b.GetIdempotent(),
		},
		answer: response.NewBuffer(b.GetKeepAnswer()),
		kept:   b.GetKeepAnswer(),
	}
}

func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

// detach notes that a stream stopped reading. Without a new reader in time, an
// idempotent run is cancelled and any other runs on with its answer discarded.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && !r.kept && !r.answer.Drained() {
		r.expiry = time.AfterFunc(detachGrace, r.abandon)
	}
}

// settle notes that no reader is waited for any more.
func (r *run) settle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

func (r *run) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == 0 {
		r.stop()
	}
}

// stop ends the interest in the answer.
func (r *run) stop() {
	r.answer.Close()
	if r.attempt.Idempotent {
		r.cancel()
	}
}

// execute calls the endpoint and fills the answer. It returns what the gate
// has to know of the completion.
func (r *run) execute(ctx context.Context, client *endpoint.Client) gate.Completion {
	started := time.Now()
	resp, err := client.Do(ctx, r.call)
	if err != nil {
		neverSent := isNeverSent(err)
		r.fail(ctx, !neverSent)
		return gate.Completion{NeverSent: neverSent, Healthy: ctx.Err() != nil, FirstByte: time.Since(started), Total: time.Since(started)}
	}
	defer func() { _ = resp.Body.Close() }()
	firstByte := time.Since(started)
	r.answer.SetHead(response.Head{Status: resp.StatusCode, Header: resp.Header})
	if err := r.copyBody(resp); err != nil {
		r.fail(ctx, true)
		return gate.Completion{Healthy: ctx.Err() != nil, FirstByte: firstByte, Total: time.Since(started)}
	}
	r.answer.End()
	return gate.Completion{Healthy: true, FirstByte: firstByte, Total: time.Since(started)}
}

func (r *run) fail(ctx context.Context, mayHaveRun bool) {
	reason := outcome.EndpointBroke
	switch {
	case ctx.Err() != nil:
		reason = outcome.Canceled
	case !mayHaveRun:
		reason = outcome.EndpointUnreachable
	}
	r.answer.Fail(response.Failure{MayHaveRun: mayHaveRun, Reason: string(reason)})
}

// copyBody reads the whole body, also after its readers left, so that a
// request that is not idempotent is not cut.
func (r *run) copyBody(resp *http.Response) error {
	buffer := make([]byte, readBytes)
	discard := false
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 && !discard {
			discard = !r.answer.Write(buffer[:n])
		}
		if isEOF(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
