package entry

import (
	"context"
	"time"

	"github.com/cicadareel/cicadareel/internal/request/memory"
)

// memoryLoop tells the budget that the process runs until ctx ends.
func memoryLoop(ctx context.Context, b *memory.Budget) {
	ticker := time.NewTicker(memory.WatchInterval)
	defer ticker.Stop()
	for {
		b.Saw()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
