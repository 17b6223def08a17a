package coreprocess

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/clock"
	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/rule/message"
)

// writer owns the disk. It keeps its own image of what is stored, so that a slot can
// be written without asking the machine, and shares nothing with the process's owner
// but the two channels.
type writer struct {
	folder  *disk.Store
	image   core.Stored
	batches <-chan batch
	done    chan<- written
	// pause is how long it waits while the disk is full.
	pause time.Duration
}

// run writes batches until the process ends.
func (w *writer) run(life context.Context) error {
	defer w.folder.Close()
	slotSize := int64(1 << 20)
	for {
		select {
		case b := <-w.batches:
			began := clock.Now()
			err := w.appendWhenRoom(life, message.Marshal(b.changes))
			for _, c := range b.changes {
				w.image.Apply(c)
			}
			if err == nil && w.folder.Size() > 4*slotSize {
				state := message.Marshal(w.image)
				slotSize = max(1<<20, int64(len(state)))
				if err = w.folder.Replace(state); errors.Is(err, disk.ErrFull) {
					// The log goes on as it is until there is room for a new slot.
					err = nil
				}
			}
			w.tell(life, written{upto: b.upto, took: clock.Now() - began, err: err})
		case <-life.Done():
			return nil
		}
	}
}

// tell tells the owner, unless it has ended.
func (w *writer) tell(life context.Context, what written) {
	select {
	case w.done <- what:
	case <-life.Done():
	}
}

// appendWhenRoom appends to the log, and while the disk is full tries again after
// a pause. The machine sees a disk that hangs meanwhile: it hands its leaderships
// on, stands for none, and nothing that rests on the batch is acknowledged.
func (w *writer) appendWhenRoom(life context.Context, frame []byte) error {
	err := w.folder.Append(frame)
	if errors.Is(err, disk.ErrFull) {
		w.tell(life, written{full: true, err: err})
	}
	pause := time.NewTicker(w.pause)
	defer pause.Stop()
	for errors.Is(err, disk.ErrFull) {
		select {
		case <-pause.C:
			err = w.folder.Append(frame)
		case <-life.Done():
			return err
		}
	}
	return err
}
