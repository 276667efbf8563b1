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
	// detachGrace is how long a run without readers waits for one to resume.
	detachGrace = 10 * time.Second
	// readBufferBytes is the size of one read from the endpoint.
	readBufferBytes = 16 << 10
)

// run is one attempt from its submission to the gate to the end of its response.
type run struct {
	attempt  gate.Attempt
	call     endpoint.Call
	response *response.Buffer
	// kept is true if the response stays available for repeated requests with the
	// same idempotency key after it was read.
	kept bool
	// ctx ends with the attempt's deadline or the server; cancel ends it earlier.
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	// readers counts the streams that read the response.
	readers int
	// expiry calls stopIfNoReader when the run has had no reader for detachGrace;
	// nil while it has one.
	expiry *time.Timer
	// endEpoch is the admission epoch in which the run ended; 0 until then.
	endEpoch uint64
	// sizeAtEnd is the number of response bytes buffered when the run ended.
	sizeAtEnd int
}

// newRun returns a run for the attempt of a begin frame that arrived at now. Its cancel
// function must be called once it is over or refused.
func newRun(ctx context.Context, b *wire.Begin, now time.Time) *run {
	deadline := now.Add(b.GetRemaining().AsDuration())
	ctx, cancel := context.WithDeadline(ctx, deadline)
	header := http.Header{}
	for _, h := range b.GetHeaders() {
		header[h.GetName()] = h.GetValues()
	}
	header.Set(endpoint.RequestIDHeader, b.GetId().GetRequestId())
	header.Set(endpoint.PriorityHeader, strconv.Itoa(int(b.GetPriority())))
	return &run{
		ctx:    ctx,
		cancel: cancel,
		attempt: gate.Attempt{
			RequestID:   b.GetId().GetRequestId(),
			Number:      b.GetId().GetNumber(),
			Account:     b.GetAccount(),
			Weight:      max(1, b.GetWeight()),
			Priority:    int(b.GetPriority()),
			Idempotent:  b.GetIdempotent(),
			Deadline:    deadline,
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
		response: response.NewBuffer(b.GetKeepAnswer()),
		kept:     b.GetKeepAnswer(),
	}
}

// attach adds a reader and stops the expiry.
func (r *run) attach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers++
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

// detach removes a reader. If no reader resumes within detachGrace, an
// idempotent run is canceled; any other run continues and its response is
// discarded.
func (r *run) detach() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readers--
	if r.readers == 0 && !r.kept && !r.response.Drained() {
		r.expiry = time.AfterFunc(detachGrace, r.stopIfNoReader)
	}
}

// stopExpiry ends the wait for a reader to resume.
func (r *run) stopExpiry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
}

// stopIfNoReader stops the run unless it has a reader.
func (r *run) stopIfNoReader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.readers == 0 {
		r.stop()
	}
}

// stop discards the response and, if the request is idempotent, cancels it.
func (r *run) stop() {
	r.response.Close()
	if r.attempt.Idempotent {
		r.cancel()
	}
}

// execute sends the request to the endpoint, buffers the response, and returns the
// completion for the gate. The error says why there is no complete response.
func (r *run) execute(client *endpoint.Client) (gate.Completion, error) {
	ctx := r.ctx
	started := time.Now()
	resp, err := client.Do(ctx, r.call)
	if err != nil {
		neverSent := isNeverSent(err)
		r.fail(ctx, !neverSent)
		return gate.Completion{NeverSent: neverSent, Healthy: ctx.Err() != nil, FirstByte: time.Since(started), Total: time.Since(started)}, err
	}
	defer func() { _ = resp.Body.Close() }()
	firstByte := time.Since(started)
	r.response.SetHead(response.Head{Status: resp.StatusCode, Header: resp.Header})
	if err := r.copyBody(resp); err != nil {
		r.fail(ctx, true)
		return gate.Completion{Healthy: ctx.Err() != nil, FirstByte: firstByte, Total: time.Since(started)}, err
	}
	r.response.End()
	return gate.Completion{Healthy: true, FirstByte: firstByte, Total: time.Since(started)}, nil
}

// fail marks the response as failed.
func (r *run) fail(ctx context.Context, mayHaveRun bool) {
	reason := outcome.EndpointBroke
	switch {
	case ctx.Err() != nil:
		reason = outcome.Canceled
	case !mayHaveRun:
		reason = outcome.EndpointUnreachable
	}
	r.response.Fail(response.Failure{MayHaveRun: mayHaveRun, Reason: string(reason)})
}

// copyBody reads the body to its end even if the response is discarded, so that
// a request that is not idempotent is not aborted.
func (r *run) copyBody(resp *http.Response) error {
	buffer := make([]byte, readBufferBytes)
	discard := false
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 && !discard {
			discard = !r.response.Write(buffer[:n])
		}
		if isEOF(err) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
