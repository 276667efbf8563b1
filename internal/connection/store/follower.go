package store

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cicadareel/cicadareel/internal/events"
	"github.com/cicadareel/cicadareel/internal/table"
	"github.com/cicadareel/cicadareel/internal/version/mirror"
)

const (
	// longPollWait is how long the store may hold a watch call open while nothing
	// changes. A call that the store lost as it went down times out after
	// longPollWait plus longPollMargin, well within the three seconds that users
	// allow for recovery from an outage.
	longPollWait = 1500 * time.Millisecond
	// longPollMargin is how much longer than longPollWait a watch call may take:
	// a slow store needs several tenths of a second to respond.
	longPollMargin = time.Second
	// readTimeout bounds one read of a whole table.
	readTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call, which doubles
	// with each further failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// batchPause is the pause between two watch calls for endpoints. Endpoints
	// change in bursts, and the pause lets one call return several changes.
	batchPause = 150 * time.Millisecond
	// idleInterval is the time between two checks whether this process has to
	// follow the store, while it does not.
	idleInterval = 50 * time.Millisecond
	// sweepInterval is the time between two removals of expired rows from the
	// mirror.
	sweepInterval = 100 * time.Millisecond
)

// Feed reads tables of the platform's store and watches them for changes.
type Feed interface {
	// Read returns a whole table.
	Read(ctx context.Context, t mirror.Topic) (mirror.Snapshot, error)
	// Watch is a long poll: it returns the changes after revision since as soon
	// as there are any, or after wait. The error is a *HistoryLostError if the
	// store no longer keeps these changes.
	Watch(ctx context.Context, t mirror.Topic, since table.Revision, wait time.Duration) (mirror.Delta, error)
}

// HistoryLostError reports that the store no longer keeps the changes after a
// revision, so that the whole table must be read again.
type HistoryLostError struct {
	Since table.Revision
	// Era is the era of the store, which differs from that of Since if the store came
	// back from a copy of its content.
	Era uint64
}

func (e *HistoryLostError) Error() string {
	return fmt.Sprintf("store in era %d does not keep the changes since revision %d of era %d", e.Era, e.Since.Number, e.Since.Era)
}

// Follower keeps a mirror up to date with the tables in the store.
type Follower struct {
	feed   Feed
	mirror *mirror.Mirror
	log    *events.Log
	// shouldFollow reports whether this process has to follow the store itself.
	// Otherwise it gets the tables from peers that do.
	shouldFollow func() bool
	done         sync.WaitGroup
}

// NewFollower starts a goroutine for each topic, which follows the store while
// shouldFollow returns true and ends with ctx.
func NewFollower(ctx context.Context, f Feed, m *mirror.Mirror, shouldFollow func() bool, l *events.Log) *Follower {
	w := &Follower{feed: f, mirror: m, shouldFollow: shouldFollow, log: l}
	for _, t := range mirror.Topics() {
		w.done.Go(func() { w.followLoop(ctx, t) })
	}
	w.done.Go(func() { w.sweepLoop(ctx) })
	return w
}

// Wait returns after the goroutines have ended.
func (w *Follower) Wait() { w.done.Wait() }

// followLoop reads the topic's whole table once and then watches it for changes. It
// reads the whole table again if the store has lost the history of changes.
func (w *Follower) followLoop(ctx context.Context, t mirror.Topic) {
	backoff := minBackoff
	// rereads counts the reads of the whole table since the last successful watch.
	fullRead, rereads := true, 0
	for ctx.Err() == nil {
		if !w.shouldFollow() {
			w.mirror.RecordPause()
			pause(ctx, idleInterval)
			continue
		}
		err := w.readOrWatch(ctx, t, fullRead)
		var lost *HistoryLostError
		switch {
		case err == nil:
			if !fullRead {
				rereads, backoff = 0, minBackoff
			}
			fullRead = false
			w.recordSuccess()
			if t == mirror.Endpoints {
				pause(ctx, batchPause)
			}
			continue
		case errors.As(err, &lost):
			fullRead = true
			rereads++
			w.log.Warn(events.HistoryLost, events.Fields{"topic": t, "revision": lost.Since.Number, "era": lost.Since.Era, "storeEra": lost.Era, "rereads": rereads})
			if rereads == 1 {
				continue
			}
		default:
			w.recordFailure(ctx, t, err)
		}
		pause(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// readOrWatch makes one call and applies its result to the mirror: it reads the
// whole table if fullRead is true or the mirror has no copy yet, and otherwise
// watches for changes.
func (w *Follower) readOrWatch(ctx context.Context, t mirror.Topic, fullRead bool) error {
	if _, known := w.mirror.Revision(t); fullRead || !known {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		s, err := w.feed.Read(ctx, t)
		if err != nil {
			return err
		}
		had, known := w.mirror.Revision(t)
		w.mirror.Replace(t, s)
		if known && s.Revision.Era > had.Era {
			w.logRestore(t, had, s)
		}
		return nil
	}
	since, _ := w.mirror.Revision(t)
	ctx, cancel := context.WithTimeout(ctx, longPollWait+longPollMargin)
	defer cancel()
	d, err := w.feed.Watch(ctx, t, since, longPollWait)
	if err != nil {
		return err
	}
	if d.Revision.Era != since.Era {
		// In another era, since is another state.
		return &HistoryLostError{Since: since, Era: d.Revision.Era}
	}
	w.mirror.Apply(t, d)
	return nil
}

// logRestore logs that the mirror's copy, which had a revision of an earlier era, was
// brought to a snapshot that was read from the store.
func (w *Follower) logRestore(t mirror.Topic, had table.Revision, s mirror.Snapshot) {
	now, _ := w.mirror.Snapshot(t)
	w.log.Warn(events.StoreRestored, events.Fields{
		"topic": t, "era": had.Era, "revision": had.Number,
		"storeEra": s.Revision.Era, "storeRevision": s.Revision.Number, "rows": len(s.Rows),
		"kept": len(now.Lapsed), "withheld": len(now.Withheld),
	})
}

// recordSuccess records a successful call in the mirror and logs the end of an outage.
func (w *Follower) recordSuccess() {
	if w.mirror.LastCallFailed() {
		w.log.Info(events.PlatformReachable, nil)
	}
	w.mirror.RecordSuccess()
}

// recordFailure records a failed call in the mirror and logs the start of an outage.
// Calls that fail because ctx ended do not count.
func (w *Follower) recordFailure(ctx context.Context, t mirror.Topic, err error) {
	if ctx.Err() != nil {
		return
	}
	fields := events.Fields{"topic": t, "error": err.Error()}
	if !w.mirror.LastCallFailed() {
		w.log.Warn(events.PlatformUnreachable, fields)
	}
	w.log.Debug(events.StoreCallFailed, fields)
	w.mirror.RecordFailure()
}

// sweepLoop removes expired rows from the mirror periodically.
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
