package sidecar

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

// sealTimeout bounds one seal request.
const sealTimeout = time.Second

// Remote returns the sidecar's current incarnation and admission epoch.
func (k *Link) Remote() (Remote, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session == nil {
		return Remote{}, &LinkDownError{Endpoint: k.endpoint}
	}
	return k.remote, nil
}

// Begin sends an attempt and returns its exchange. The incarnation and epoch in
// b must come from Remote.
func (k *Link) Begin(ctx context.Context, b *wire.Begin) (*Exchange, error) {
	x := newExchange(k, b.GetId(), 0)
	return x, k.startExchange(ctx, x, &wire.EntryFrame{Kind: &wire.EntryFrame_Begin{Begin: b}})
}

// Resume requests the response of an attempt from the offset on and returns its
// exchange.
func (k *Link) Resume(ctx context.Context, id *wire.AttemptId, incarnation string, offset int64) (*Exchange, error) {
	x := newExchange(k, id, offset)
	return x, k.startExchange(ctx, x, &wire.EntryFrame{Kind: &wire.EntryFrame_Resume{Resume: &wire.Resume{
		Id: id, Incarnation: incarnation, Offset: offset,
	}}})
}

// startExchange registers the exchange and sends its first frame.
func (k *Link) startExchange(ctx context.Context, x *Exchange, f *wire.EntryFrame) error {
	k.mu.Lock()
	s := k.session
	if s == nil {
		k.mu.Unlock()
		return &LinkDownError{Endpoint: k.endpoint}
	}
	k.exchanges[x.id.GetRequestId()] = x
	first := len(k.exchanges) == 1
	k.mu.Unlock()
	if first {
		select {
		case s.becameBusy <- struct{}{}:
		default:
		}
	}
	select {
	case s.outgoing <- f:
		return nil
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	k.removeExchange(x)
	return &LinkDownError{Endpoint: k.endpoint}
}

// Seal returns what became of an attempt and, unless lookOnly, makes the sidecar
// never admit it if it has not done so yet. It uses a fresh connection, since
// the link's own may have gone silent.
func (k *Link) Seal(ctx context.Context, id *wire.AttemptId, remote Remote, lookOnly bool) (*wire.SealReply, error) {
	conn, err := k.dialer.Dial(k.address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	reply, err := wire.NewSidecarClient(conn).Seal(ctx, &wire.SealRequest{
		Id: id, Incarnation: remote.Incarnation, Epoch: remote.Epoch, LookOnly: lookOnly,
	})
	return reply, oops.In("sidecar").With("endpoint", k.endpoint).Wrap(err)
}
