package sidecar

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

// sealTimeout bounds one attempt to seal.
const sealTimeout = time.Second

// Remote returns the sidecar's present incarnation and epoch.
func (k *Link) Remote() (Remote, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.session == nil {
		return Remote{}, &LinkDownError{Endpoint: k.endpoint}
	}
	return k.remote, nil
}

// Begin sends an attempt. The incarnation and epoch in b must come from Remote.
func (k *Link) Begin(ctx context.Context, b *wire.Begin) (*Exchange, error) {
	x := newExchange(k, b.GetId(), 0)
	return x, k.send(ctx, x, &wire.EntryFrame{Kind: &wire.EntryFrame_Begin{Begin: b}})
}

// Resume asks for the rest of an answer from the offset.
func (k *Link) Resume(ctx context.Context, id *wire.AttemptId, incarnation string, offset int64) (*Exchange, error) {
	x := newExchange(k, id, offset)
	return x, k.send(ctx, x, &wire.EntryFrame{Kind: &wire.EntryFrame_Resume{Resume: &wire.Resume{
		Id: id, Incarnation: incarnation, Offset: offset,
	}}})
}

func (k *Link) send(ctx context.Context, x *Exchange, f *wire.EntryFrame) error {
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
		case s.busy <- struct{}{}:
		default:
		}
	}
	select {
	case s.out <- f:
		return nil
	case <-s.ctx.Done():
	case <-ctx.Done():
	}
	k.forget(x)
	return &LinkDownError{Endpoint: k.endpoint}
}

// Seal asks over a fresh connection what became of an attempt and, unless
// lookOnly, seals it. Old connections may have gone silent.
func (k *Link) Seal(ctx context.Context, id *wire.AttemptId, told Remote, lookOnly bool) (*wire.SealReply, error) {
	conn, err := k.dialer.Dial(k.address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	reply, err := wire.NewSidecarClient(conn).Seal(ctx, &wire.SealRequest{
		Id: id, Incarnation: told.Incarnation, Epoch: told.Epoch, LookOnly: lookOnly,
	})
	return reply, oops.In("sidecar").With("endpoint", k.endpoint).Wrap(err)
}
