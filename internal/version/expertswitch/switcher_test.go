package expertswitch

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// link is a sender's network link. Messages leave one after the other.
type link struct {
	rate float64

	mu        sync.Mutex
	busyUntil time.Time
}

// transmit waits until the bytes have left or ctx ends. What was queued leaves in
// any case.
func (l *link) transmit(ctx context.Context, bytes int64) error {
	l.mu.Lock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	left := time.NewTimer(time.Until(l.busyUntil))
	l.mu.Unlock()
	defer left.Stop()
	select {
	case <-left.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// linkedRank is a rank that is reached over a link. It executes every command.
type linkedRank struct {
	link *link
	// unanswered is the number of next commands that get no response.
	unanswered int
	step       uint64
}

const commandBytes = 200

func (linkedRank) Name() string                                   { return "rank" }
func (linkedRank) Counts(context.Context) (Counts, error)         { return Counts{}, nil }
func (linkedRank) Experts(context.Context) (LoadedExperts, error) { return LoadedExperts{}, nil }
func (r *linkedRank) Report(context.Context) (Report, error) {
	return Report{Ready: true, Step: r.step}, nil
}
func (r *linkedRank) Send(ctx context.Context, c Command, _ Fence) error {
	bytes := int64(commandBytes)
	if prepare, ok := c.(Prepare); ok {
		bytes += prepare.Layout.wireBytes()
	}
	if err := r.link.transmit(ctx, bytes); err != nil {
		return err
	}
	if r.unanswered > 0 {
		r.unanswered--
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

const (
	slowLink = 40e6 / 8
	fastLink = 1000e6 / 8
)

// largeLayout returns the layout of a group of 64 ranks with 12 layers.
func largeLayout() Layout {
	l := make(Layout, 12)
	for layer := range l {
		l[layer] = make([][]int32, 64)
		for rank := range l[layer] {
			l[layer][rank] = []int32{100, 101, 102, 103, 104}
		}
	}
	return l
}

// switchGroups switches three large groups at the same time and returns the
// time that all took and their errors. Ranks leave up to unanswered commands without
// a response.
func switchGroups(l *link, unanswered int) (time.Duration, error) {
	pacer := NewPacer(l.rate)
	started := time.Now()
	errs := make([]error, 3)
	var switches sync.WaitGroup
	for i := range errs {
		ranks := make([]Rank, 64)
		for rank := range ranks {
			ranks[rank] = &linkedRank{link: l, unanswered: rank % (unanswered + 1)}
		}
		token := uint64(0)
		s := NewSwitcher("g", ranks, 0, 0, pacer, func() uint64 { token++; return token })
		switches.Go(func() { errs[i] = s.Switch(context.Background(), largeLayout(), 0) })
	}
	switches.Wait()
	return time.Since(started), errors.Join(errs...)
}

func TestSwitchOfLargeGroups(t *testing.T) {
	tests := []struct {
		name       string
		rate       float64
		unanswered int
		within     time.Duration
	}{
		{"over a slow link", slowLink, 0, 2 * time.Second},
		{"over a fast link", fastLink, 0, 500 * time.Millisecond},
		{"over a slow link with half of the commands lost", slowLink, 2, 5 * time.Second},
		{"over a link of an unknown rate", 0, 0, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &link{rate: test.rate}
				if l.rate == 0 {
					l.rate = slowLink
				}
				took, err := switchGroups(l, test.unanswered)
				if err != nil || took > test.within {
					t.Fatalf("switched in %v, limit %v: %v", took, test.within, err)
				}
			})
		})
	}
}

// TestMapTimeout checks that the time allowed for a map follows what maps take.
func TestMapTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPacer(fastLink)
		expectTimeout(t, p, commandTimeout)
		for range 64 {
			p.recordTimeout()
		}
		expectTimeout(t, p, 2*commandTimeout)
		for range 10 {
			time.Sleep(time.Second)
			p.recordTimeout()
		}
		expectTimeout(t, p, maxMapTimeout)
		for range 200 {
			p.recordArrival(time.Millisecond)
		}
		expectTimeout(t, p, commandTimeout)
	})
}

func expectTimeout(t *testing.T, p *Pacer, expected time.Duration) {
	t.Helper()
	if got := p.timeout().Round(time.Millisecond); got != expected {
		t.Fatalf("the time allowed is %v, not %v", got, expected)
	}
}
