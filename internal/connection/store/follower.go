package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
)

const (
	// feedWait is how long one call waits for a change. A call that a store
	// swallowed as it went down is given up after feedWait and feedMargin, well
	// within the three seconds that users grant after an outage.
	feedWait = 1500 * time.Millisecond
	// feedMargin is how much longer than feedWait a call may take: a slow store
	// needs several tenths of a second for an answer.
	feedMargin = time.Second
	// readTimeout bounds the reading of a whole table.
	readTimeout = 2 * time.Second
	// retryFirst and retryLast bound the pause after a failed call.
	retryFirst = 100 * time.Millisecond
	retryLast  = 500 * time.Millisecond
	// batchPause is the time between two calls for changes of endpoints, which
	// come in bursts.
	batchPause = 150 * time.Millisecond
	// idlePause is the time between two looks whether to follow at all.
	idlePause = 50 * time.Millisecond
	// sweepInterval is the time between two looks for lapsed rows.
	sweepInterval = 100 * time.Millisecond
)

// Feed reads followed tables and their changes.
type Feed interface {
	// Read returns a whole table.
	Read(ctx context.Context, t mirror.Topic) (mirror.Snapshot, error)
	// Watch returns the changes after a revision, as soon as there are any or
	// after the wait. The error is a *HistoryLostError if they are not kept.
	Watch(ctx context.Context, t mirror.Topic, since uint64, wait time.Duration) (mirror.Delta, error)
}

// HistoryLostError reports changes that the store no longer keeps.
type HistoryLostError struct{ Since uint64 }

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("changes since revision %d are not kept", e.Since)
}

// Follower keeps a mirror current from the store.
type Follower struct {
	feed   Feed
	mirror *mirror.Mirror
	log    *events.Log
	// wanted reports whether this process is to follow the store; others do, if
	// it is not.
	wanted func() bool
	done   sync.WaitGroup
}

// NewFollower starts following every topic, while wanted, until ctx ends.
func NewFollower(ctx context.Context, f Feed, m *mirror.Mirror, wanted func() bool, l *events.Log) *Follower {
	w := &Follower{feed: f, mirror: m, wanted: wanted, log: l}
	for _, t := range mirror.Topics() {
		w.done.Go(func() { w.followLoop(ctx, t) })
	}
	w.done.Go(func() { w.sweepLoop(ctx) })
	return w
}

// Wait returns after the goroutines have ended.
func (w *Follower) Wait() { w.done.Wait() }

func (w *Follower) followLoop(ctx context.Context, t mirror.Topic) {
	backoff := retryFirst
	whole := true
	for ctx.Err() == nil {
		if !w.wanted() {
			w.mirror.RecordPause()
			pause(ctx, idlePause)
			continue
		}
		err := w.step(ctx, t, whole)
		var lost *HistoryLostError
		switch {
		case err == nil:
			whole, backoff = false, retryFirst
			w.reached()
			if t == mirror.Endpoints {
				pause(ctx, batchPause)
			}
			continue
		case errors.As(err, &lost):
			whole = true
			w.log.Warn(events.HistoryLost, events.Fields{"topic": t, "revision": lost.Since})
			continue
		}
		w.missed(ctx, t, err)
		pause(ctx, backoff)
		backoff = min(2*backoff, retryLast)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// step makes one call and applies its result.
func (w *Follower) step(ctx context.Context, t mirror.Topic, whole bool) error {
	if _, known := w.mirror.Revision(t); whole || !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		s, err := w.feed.Read(ctx, t)
		if err == nil {
			w.mirror.Replace(t, s)
		}
		return err
	}
	since, _ := w.mirror.Revision(t)
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedMargin)
	defer cancel()
	d, err := w.feed.Watch(ctx, t, since, feedWait)
	if err == nil {
		w.mirror.Apply(t, d)
	}
	return err
}

func (w *Follower) reached() {
	if w.mirror.LastCallFailed() {
		w.log.Info(events.PlatformReachable, nil)
	}
	w.mirror.RecordSuccess()
}

func (w *Follower) missed(ctx context.Context, t mirror.Topic, err error) {
	if ctx.Err() != nil {
		return
	}
	fields := events.Fields{"topic": t, "error": err.Error()}
	if !w.mirror.LastCallFailed() {
		w.log.Warn(events.PlatformUnreachable, fields)
	}
	w.log.Debug(events.FeedSilent, fields)
	w.mirror.RecordFailure()
}

func (w *Follower) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.mirror.Sweep()
		}
	}
}
