package entry

import (
	"context"
	"net/netip"
	"sync"

	"google.golang.org/grpc"

	"github.com/cicadareel/cicadareel/internal/connection/wire"
)

// unreachableAddress is an address where nothing listens.
var unreachableAddress = netip.MustParseAddrPort("127.0.0.1:1")

// silentStream is a stream that receives nothing and drops what is sent.
type silentStream struct {
	grpc.ServerStream
	ctx context.Context
}

func (s silentStream) Context() context.Context        { return s.ctx }
func (silentStream) Send(*wire.SidecarFrame) error     { return nil }
func (s silentStream) Recv() (*wire.EntryFrame, error) { <-s.ctx.Done(); return nil, s.ctx.Err() }

// scriptedStream receives the given frames, then nothing, and closes replied
// when a heartbeat with sequence number 1 is sent.
type scriptedStream struct {
	silentStream
	mu      sync.Mutex
	frames  []*wire.EntryFrame
	once    sync.Once
	replied chan struct{}
}

func newScriptedStream(ctx context.Context, frames ...*wire.EntryFrame) *scriptedStream {
	return &scriptedStream{silentStream: silentStream{ctx: ctx}, frames: frames, replied: make(chan struct{})}
}

func (s *scriptedStream) Recv() (*wire.EntryFrame, error) {
	s.mu.Lock()
	if len(s.frames) > 0 {
		f := s.frames[0]
		s.frames = s.frames[1:]
		s.mu.Unlock()
		return f, nil
	}
	s.mu.Unlock()
	return s.silentStream.Recv()
}

func (s *scriptedStream) Send(f *wire.SidecarFrame) error {
	if f.GetHeartbeat().GetSequence() == 1 {
		s.once.Do(func() { close(s.replied) })
	}
	return nil
}
