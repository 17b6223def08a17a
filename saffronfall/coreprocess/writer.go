package coreprocess

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/rule/message"
)

// writer writes batches of changes to the disk. It shares only its two channels with the event
// loop, and keeps its own copy of the stored state for new slots.
type writer struct {
	store   *disk.Store
	image   core.Stored
	batches <-chan batch
	results chan<- writeResult
	// retryInterval applies while the disk is full.
	retryInterval time.Duration
}

const (
	minSlotSize = int64(1 << 20) // bytes
	// maxLogRatio is the size of the log, in sizes of the last slot, at which a new slot replaces it.
	maxLogRatio = 4
	// largeLogSize in bytes is the size from which a log is no longer than the last slot, since two
	// slots and two logs share the disk.
	largeLogSize = int64(64 << 20)
)

// maxLogSize returns the size in bytes at which a new slot replaces the log.
func maxLogSize(slotSize int64) int64 {
	slotSize = max(slotSize, minSlotSize)
	return min(maxLogRatio*slotSize, max(slotSize, largeLogSize))
}

func (w *writer) run(ctx context.Context) error {
	defer w.store.Close()
	for {
		select {
		case b := <-w.batches:
			start := clock.Now()
			err := w.appendRetrying(ctx, message.Marshal(b.changes))
			for _, c := range b.changes {
				w.image.Apply(c)
			}
			if err == nil && w.store.Size() > maxLogSize(w.store.SlotSize()) {
				encode := func(out io.Writer) error { return message.Encode(out, w.image) }
				if err = w.store.ReplaceWith(encode); errors.Is(err, disk.ErrFull) {
					// The log keeps growing until there is space for a new slot.
					err = nil
				}
			}
			w.report(ctx, writeResult{upTo: b.upTo, duration: clock.Now() - start, err: err})
		case <-ctx.Done():
			return nil
		}
	}
}

func (w *writer) report(ctx context.Context, result writeResult) {
	select {
	case w.results <- result:
	case <-ctx.Done():
	}
}

// appendRetrying retries while the disk is full. Meanwhile the machine considers the disk stalled:
// it hands its partitions over, starts no elections, and acknowledges nothing that depends on the
// batch.
func (w *writer) appendRetrying(ctx context.Context, record []byte) error {
	err := w.store.Append(record)
	if errors.Is(err, disk.ErrFull) {
		w.report(ctx, writeResult{full: true, err: err})
	}
	retry := time.NewTicker(w.retryInterval)
	defer retry.Stop()
	for errors.Is(err, disk.ErrFull) {
		select {
		case <-retry.C:
			err = w.store.Append(record)
		case <-ctx.Done():
			return err
		}
	}
	return err
}
