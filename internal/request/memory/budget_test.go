package memory_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/memory"
)

const (
	mebibyte = 1 << 20
	// capacity is that of the smallest machine of the users' deployments: a quarter of
	// 136 MB.
	capacity = 34_000_000
	// bodyBytes is the largest legal body.
	bodyBytes = 4 * mebibyte
	fixed     = 32 << 10
	patience  = 50 * time.Millisecond
)

// client is a holder whose connection can be cut off.
type client struct {
	*memory.Holder
	mu  sync.Mutex
	cut []memory.Cut
}

func begin(b *memory.Budget, account string) *client {
	c := &client{}
	c.Holder = b.Begin(account, func(cut memory.Cut) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cut = append(c.cut, cut)
	})
	return c
}

// cuts returns how often the client was cut off.
func (c *client) cuts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.cut)
}

func held(b *memory.Budget) int64 {
	var sum int64
	for _, n := range b.Usage().Held {
		sum += n
	}
	return sum
}

func expectHeld(t *testing.T, b *memory.Budget, want int64) {
	t.Helper()
	if got := held(b); got != want {
		t.Errorf("held = %d, want %d", got, want)
	}
}

// expectNoRoom checks that an error says that there is no room, for the cause.
func expectNoRoom(t *testing.T, err error, cause memory.Cause) {
	t.Helper()
	var noRoom *memory.NoRoomError
	if !errors.As(err, &noRoom) || noRoom.Cause != cause {
		t.Errorf("error = %v, want no room, cause %v", err, cause)
	}
}

func expectTaken(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Errorf("error = %v, want bytes to be taken", err)
	}
}

// fill makes clients of several accounts hold large bodies until there is no room.
func fill(t *testing.T, b *memory.Budget) []*client {
	t.Helper()
	var all []*client
	for i := 0; ; i++ {
		c := begin(b, string(rune('a'+i%8)))
		c.BeginWait()
		if !c.TryTake(memory.Bodies, bodyBytes) {
			c.End()
			break
		}
		all = append(all, c)
	}
	if len(all) < 4 {
		t.Fatalf("%d bodies fit, want 4 at least", len(all))
	}
	return all
}

func TestBytesAreGivenBackOnce(t *testing.T) {
	b := memory.NewBudget(capacity)
	c := begin(b, "a")
	expectTaken(t, c.Take(t.Context(), memory.Requests, fixed, 0))
	expectTaken(t, c.Take(t.Context(), memory.Bodies, 1000, 0))
	c.Give(memory.Bodies, 400)
	expectHeld(t, b, fixed+600)
	c.End()
	c.End()
	c.Give(memory.Bodies, 600)
	expectHeld(t, b, 0)
}

func TestRandomUseStaysWithinCapacityAndEndsAtZero(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := memory.NewBudget(capacity)
	var clients []*client
	for range 20000 {
		switch random.IntN(4) {
		case 0:
			clients = append(clients, begin(b, string(rune('a'+random.IntN(4)))))
		case 1, 2:
			if len(clients) > 0 {
				clients[random.IntN(len(clients))].TryTake(memory.Kind(random.IntN(3)), random.Int64N(mebibyte))
			}
		case 3:
			if len(clients) > 0 {
				i := random.IntN(len(clients))
				clients[i].End()
				clients = append(clients[:i], clients[i+1:]...)
			}
		}
		if held(b) > capacity {
			t.Fatalf("held = %d, capacity is %d", held(b), capacity)
		}
	}
	for _, c := range clients {
		c.End()
	}
	expectHeld(t, b, 0)
}

func TestASingleLargeBodyFitsInCalm(t *testing.T) {
	for _, size := range []int64{1, capacity, 136_000_000} {
		b := memory.NewBudget(size)
		c := begin(b, "a")
		expectTaken(t, c.Take(t.Context(), memory.Requests, fixed, 0))
		expectTaken(t, c.Take(t.Context(), memory.Bodies, bodyBytes, 0))
		c.End()
		expectHeld(t, b, 0)
	}
}

func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	b := memory.NewBudget(capacity)
	fill(t, b)
	for range 100 {
		c := begin(b, "a")
		expectTaken(t, c.Take(t.Context(), memory.Requests, fixed, 0))
		expectTaken(t, c.Take(t.Context(), memory.Bodies, fixed, 0))
	}
}

func TestOneAccountLeavesRoomToOthers(t *testing.T) {
	b := memory.NewBudget(capacity)
	var err error
	for err == nil {
		err = begin(b, "flood").Take(t.Context(), memory.Bodies, bodyBytes, 0)
	}
	expectNoRoom(t, err, memory.AccountFull)
	expectTaken(t, begin(b, "other").Take(t.Context(), memory.Bodies, bodyBytes, 0))
}

func TestARequestWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		all := fill(t, b)
		go func() {
			time.Sleep(patience / 2)
			all[0].End()
		}()
		start := time.Now()
		expectTaken(t, begin(b, "z").Take(t.Context(), memory.Bodies, bodyBytes, patience))
		if took := time.Since(start); took != patience/2 {
			t.Errorf("waited %v, want %v", took, patience/2)
		}
	})
}

func TestARequestIsRefusedOnceItsPatienceEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		fill(t, b)
		start := time.Now()
		expectNoRoom(t, begin(b, "z").Take(t.Context(), memory.Bodies, bodyBytes, patience), memory.Full)
		if took := time.Since(start); took != patience {
			t.Errorf("waited %v, want %v", took, patience)
		}
	})
}

func TestFewRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		fill(t, b)
		var refusedAtOnce int
		var mu sync.Mutex
		var done sync.WaitGroup
		for range 200 {
			done.Go(func() {
				start := time.Now()
				expectNoRoom(t, begin(b, "z").Take(t.Context(), memory.Bodies, bodyBytes, patience), memory.Full)
				mu.Lock()
				defer mu.Unlock()
				if time.Since(start) == 0 {
					refusedAtOnce++
				}
			})
		}
		done.Wait()
		if refusedAtOnce < 100 {
			t.Errorf("%d of 200 refused at once, want 100 at least", refusedAtOnce)
		}
	})
}

func TestACallerThatLeavesWaitsNoLonger(t *testing.T) {
	b := memory.NewBudget(capacity)
	fill(t, b)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := begin(b, "z").Take(ctx, memory.Bodies, bodyBytes, time.Hour); !errors.Is(err, context.Canceled) {
		t.Errorf("error = %v, want that of the context", err)
	}
}

// TestStalledClientsAreCutOff replays the crowd that stops short of the end of its bodies.
func TestStalledClientsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		all := fill(t, b)
		moving, atEndpoint := all[0], all[1]
		atEndpoint.EndWait()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			moving.Moved(4 << 10)
		}
		waiting := begin(b, "z")
		go func() {
			// The holders of clients that were cut off end.
			time.Sleep(time.Millisecond)
			for _, c := range all {
				if c.cuts() > 0 {
					c.End()
				}
			}
		}()
		expectTaken(t, waiting.Take(t.Context(), memory.Bodies, bodyBytes, patience))
		cut := 0
		for _, c := range all {
			cut += c.cuts()
		}
		if cut != 1 || moving.cuts()+atEndpoint.cuts() > 0 {
			t.Errorf("%d clients cut off, of them %d that move and %d that wait for an endpoint; want 1 that has stalled", cut, moving.cuts(), atEndpoint.cuts())
		}
	})
}

func TestAClientThatTricklesHasStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		c := begin(b, "a")
		expectTaken(t, c.Take(t.Context(), memory.Bodies, bodyBytes, 0))
		c.BeginWait()
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			c.Moved(100)
		}
		if !b.CutOffStalled() || c.cuts() != 1 || !c.WasCutOff() {
			t.Errorf("cut off %d times, want once", c.cuts())
		}
		if b.CutOffStalled() {
			t.Error("cut off a second time")
		}
	})
}

func TestTheOneThatHoldsMostAndMovesLeastIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		small, large, later := begin(b, "a"), begin(b, "b"), begin(b, "c")
		expectTaken(t, small.Take(t.Context(), memory.Bodies, 1000, 0))
		expectTaken(t, large.Take(t.Context(), memory.Bodies, bodyBytes, 0))
		expectTaken(t, later.Take(t.Context(), memory.Responses, bodyBytes, 0))
		small.BeginWait()
		large.BeginWait()
		time.Sleep(3 * time.Second)
		later.BeginWait()
		time.Sleep(3 * time.Second)
		b.CutOffStalled()
		if large.cuts() != 1 || small.cuts()+later.cuts() != 0 {
			t.Errorf("cut off: small %d, large %d, later %d; want large", small.cuts(), large.cuts(), later.cuts())
		}
	})
}

func TestOnlyClientsWhoseRoomHelpsAreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(16 * mebibyte)
		calm, flood := begin(b, "calm"), begin(b, "flood")
		expectTaken(t, calm.Take(t.Context(), memory.Bodies, mebibyte, 0))
		expectTaken(t, flood.Take(t.Context(), memory.Bodies, 8*mebibyte, 0))
		calm.BeginWait()
		time.Sleep(3 * time.Second)
		expectNoRoom(t, begin(b, "flood").Take(t.Context(), memory.Bodies, 2*mebibyte, patience), memory.AccountFull)
		if calm.cuts() != 0 {
			t.Error("a client of another account was cut off")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(16 * mebibyte)
		small := begin(b, "small")
		expectTaken(t, small.Take(t.Context(), memory.Bodies, fixed, 0))
		small.BeginWait()
		for _, account := range []string{"a", "b"} {
			expectTaken(t, begin(b, account).Take(t.Context(), memory.Bodies, 6*mebibyte, 0))
		}
		time.Sleep(3 * time.Second)
		expectNoRoom(t, begin(b, "c").Take(t.Context(), memory.Bodies, 4*mebibyte, patience), memory.Full)
		if small.cuts() != 0 {
			t.Error("a small request was cut off for a large one")
		}
	})
}

// TestAProcessThatWasStoppedCutsNobodyOff replays a suspension: nothing runs for a while,
// and all clients seem to have stalled afterwards.
func TestAProcessThatWasStoppedCutsNobodyOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		c := begin(b, "a")
		expectTaken(t, c.Take(t.Context(), memory.Bodies, bodyBytes, 0))
		run := func(d time.Duration) {
			for range d / memory.WatchInterval {
				time.Sleep(memory.WatchInterval)
				b.Saw()
			}
		}
		b.Saw()
		c.BeginWait()
		run(time.Second)
		time.Sleep(10 * time.Second)
		if b.CutOffStalled() {
			t.Error("cut off right after the stop")
		}
		run(750 * time.Millisecond)
		if b.CutOffStalled() {
			t.Error("cut off after less than two seconds in which the process ran")
		}
		run(time.Second)
		if !b.CutOffStalled() {
			t.Error("not cut off after more than two seconds in which the process ran")
		}
	})
}

func TestNothingIsTakenAfterTheEnd(t *testing.T) {
	b := memory.NewBudget(capacity)
	c := begin(b, "a")
	c.End()
	if c.TryTake(memory.Responses, 1000) {
		t.Error("bytes were taken after the end")
	}
	expectHeld(t, b, 0)
}

func TestACapacityThatRisesLetsRequestsIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := memory.NewBudget(capacity)
		fill(t, b)
		go func() {
			time.Sleep(patience / 2)
			b.SetCapacity(2 * capacity)
		}()
		expectTaken(t, begin(b, "z").Take(t.Context(), memory.Bodies, bodyBytes, patience))
	})
}
