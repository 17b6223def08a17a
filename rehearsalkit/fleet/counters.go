package fleet

import (
	"context"
	"time"
)

// Counters are the sums of the cores' counters at a time, or their rates a second.
type Counters struct {
	At                                time.Duration
	Commands, Syncs, Writes, Messages int64
}

// ReadCounters sums the counters of the cores that answer.
func (f *Fleet) ReadCounters(ctx context.Context) Counters {
	w := Counters{At: f.now()}
	for _, process := range f.cores {
		var counts map[string]int64
		if status, _, err := f.operatorClient().Do(ctx, "GET", process.operator, "/counters", nil, &counts); err != nil || status != 200 {
			continue
		}
		w.Commands += counts["commands"]
		w.Syncs += counts["syncs"]
		w.Writes += counts["writes"]
		w.Messages += counts["received"] + counts["sent"]
	}
	return w
}

// IdleRate waits for length and returns the rates of the counters, or zero if length is less than a
// second.
func (f *Fleet) IdleRate(ctx context.Context, length time.Duration) Counters {
	before := f.ReadCounters(ctx)
	pause(ctx, length, length)
	after := f.ReadCounters(ctx)
	seconds := int64((after.At - before.At) / time.Second)
	if seconds == 0 {
		return Counters{}
	}
	return Counters{Commands: (after.Commands - before.Commands) / seconds, Syncs: (after.Syncs - before.Syncs) / seconds,
		Writes: (after.Writes - before.Writes) / seconds, Messages: (after.Messages - before.Messages) / seconds}
}
