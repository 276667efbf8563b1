package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/memory"
)

// TestStalledCallersAreCutOffAtTheEndOfAShutdown checks that a caller that stalls keeps
// its connection until shortly before the shutdown ends.
func TestStalledCallersAreCutOffAtTheEndOfAShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 10 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), drain)
		defer cancel()
		budget := memory.NewBudget(0)
		go memoryLoop(ctx, budget)
		begun := time.Now()
		var after time.Duration
		budget.Begin("a", func(memory.Cut) { after = time.Since(begun) }).BeginWait()
		cutOffStalled(ctx, budget)
		if after < drain-cutOffTime || after >= drain {
			t.Errorf("cut off after %v of %v", after, drain)
		}
	})
}
