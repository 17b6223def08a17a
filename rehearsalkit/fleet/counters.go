package fleet

import (
	"context"
	"time"
)

// Work is the sum of the cores' counters at a time.
type Work struct {
	At                                time.Duration
	Commands, Syncs, Writes, Messages int64
}

// Work reads the counters of all cores, without those that do not answer.
func (f *Fleet) Work(ctx context.Context) Work {
	w := Work{At: f.now()}
	for _, process := range f.cores {
		var counts map[string]int64
		if status, _, err := f.Caller().Do(ctx, "GET", process.operator, "/counters", nil, &counts); err != nil || status != 200 {
			continue
		}
		w.Commands += counts["commands"]
		w.Syncs += counts["syncs"]
		w.Writes += counts["writes"]
		w.Messages += counts["received"] + counts["sent"]
	}
	return w
}

// Idle waits for length and returns the work of the cores per second, or zero if length is
// less than a second.
func (f *Fleet) Idle(ctx context.Context, length time.Duration) Work {
	before := f.Work(ctx)
	pause(ctx, length, length)
	after := f.Work(ctx)
	seconds := int64((after.At - before.At) / time.Second)
	if seconds == 0 {
		return Work{}
	}
	return Work{Commands: (after.Commands - before.Commands) / seconds, Syncs: (after.Syncs - before.Syncs) / seconds,
		Writes: (after.Writes - before.Writes) / seconds, Messages: (after.Messages - before.Messages) / seconds}
}
