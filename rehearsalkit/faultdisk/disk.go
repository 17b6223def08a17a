// Package faultdisk is a file system of real files whose disk can be full, slow or stalled, and can
// lose power. Synced data survives a loss of power; later writes and changes of names are kept,
// lost or torn at random. One goroutine owns the state. Start reading at Disk.LosePower.
package faultdisk

import (
	"context"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"saffronfall/peer/disk"
)

// Faults are the injected faults; the zero value is none.
type Faults struct {
	// Full makes writes end short with ENOSPC.
	Full bool
	// Stalled blocks operations. Slow is added to the duration of each.
	Stalled bool
	Slow    time.Duration
}

// Disk is a disk with injected faults. It implements the file system of peer/disk.
type Disk struct {
	ctx context.Context
	// operations run one at a time in the goroutine that owns the state.
	operations chan func(s *state)
}

// state is owned by the goroutine that New starts.
type state struct {
	faults Faults
	random *rand.Rand
	// current maps present names to files, durable those that surely survive a loss of power.
	current, durable map[string]*file
	// nameChanges are the changes since their folder was synced, oldest first.
	nameChanges []nameChange
}

// nameChange is a rename. Without from it is a creation, without to a removal.
type nameChange struct {
	from, to string
	file     *file
}

// file is a file's content at its last sync, and the writes since.
type file struct {
	synced []byte
	writes []write
}

// write is a write at an offset, or with truncate a truncation to that size.
type write struct {
	offset   int64
	bytes    []byte
	truncate bool
}

func (w write) apply(content []byte) []byte {
	if w.truncate {
		return resized(content, w.offset)
	}
	end := w.offset + int64(len(w.bytes))
	if end > int64(len(content)) {
		content = resized(content, end)
	}
	copy(content[w.offset:], w.bytes)
	return content
}

// resized returns a copy, cut off or extended by zeros.
func resized(content []byte, size int64) []byte {
	fresh := make([]byte, size)
	copy(fresh, content)
	return fresh
}

// randomStream is the second half of the seed of a disk's random numbers.
const randomStream = 7

// New returns a disk without faults. Its operations fail once ctx has ended. The seed sets the
// random numbers; files take theirs in map order, so losses of several files do not repeat.
func New(ctx context.Context, seed uint64) *Disk {
	d := &Disk{ctx: ctx, operations: make(chan func(s *state))}
	s := &state{random: rand.New(rand.NewPCG(seed, randomStream)), current: map[string]*file{}, durable: map[string]*file{}}
	go func() {
		for {
			select {
			case operation := <-d.operations:
				operation(s)
			case <-ctx.Done():
				return
			}
		}
	}()
	return d
}

// do runs operation in the goroutine that owns the state, and waits for it.
func (d *Disk) do(operation func(s *state) error) error {
	done := make(chan error, 1)
	select {
	case d.operations <- func(s *state) { done <- operation(s) }:
		return <-done
	case <-d.ctx.Done():
		return d.ctx.Err()
	}
}

// SetFaults replaces the injected faults.
func (d *Disk) SetFaults(f Faults) {
	d.do(func(s *state) error {
		s.faults = f
		return nil
	})
}

const stallPollInterval = 5 * time.Millisecond

// awaitReady waits for the end of a stall, and for the delay of a slow disk.
func (d *Disk) awaitReady() error {
	for waited := false; ; {
		var f Faults
		if err := d.do(func(s *state) error {
			f = s.faults
			return nil
		}); err != nil {
			return err
		}
		pause := stallPollInterval
		switch {
		case !f.Stalled && (f.Slow == 0 || waited):
			return nil
		case !f.Stalled:
			pause, waited = f.Slow, true
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-d.ctx.Done():
			timer.Stop()
			return d.ctx.Err()
		}
	}
}

// lookup reads a file from the real disk at its first use.
func (s *state) lookup(name string) (*file, error) {
	if f, ok := s.current[name]; ok {
		return f, nil
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f := &file{synced: content}
	s.current[name], s.durable[name] = f, f
	return f, nil
}

// OpenFile opens a file like os.OpenFile.
func (d *Disk) OpenFile(name string, flag int, mode os.FileMode) (disk.File, error) {
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	var opened disk.File
	return opened, d.do(func(s *state) error {
		f, err := s.lookup(name)
		isNew := os.IsNotExist(err)
		if err != nil && !isNew {
			return err
		}
		osFile, err := os.OpenFile(name, flag, mode)
		if err != nil {
			return err
		}
		switch {
		case isNew:
			f = &file{}
			s.current[name] = f
			s.nameChanges = append(s.nameChanges, nameChange{to: name, file: f})
		case flag&os.O_TRUNC != 0:
			f.writes = append(f.writes, write{truncate: true})
		}
		opened = &handle{disk: d, name: name, file: f, osFile: osFile, appendOnly: flag&os.O_APPEND != 0}
		return nil
	})
}

// Open opens a file to read it.
func (d *Disk) Open(name string) (io.ReadCloser, error) {
	if err := d.awaitReady(); err != nil {
		return nil, err
	}
	return os.Open(name)
}

// Rename renames a file. A sync of the folder makes it durable.
func (d *Disk) Rename(from, to string) error {
	if err := d.awaitReady(); err != nil {
		return err
	}
	return d.do(func(s *state) error {
		f, err := s.lookup(from)
		if err != nil {
			return err
		}
		if _, err := s.lookup(to); err != nil && !os.IsNotExist(err) {
			return err
		}
		if err := os.Rename(from, to); err != nil {
			return err
		}
		delete(s.current, from)
		s.current[to] = f
		s.nameChanges = append(s.nameChanges, nameChange{from: from, to: to, file: f})
		return nil
	})
}

// Remove removes a file. A sync of the folder makes it durable.
func (d *Disk) Remove(name string) error {
	if err := d.awaitReady(); err != nil {
		return err
	}
	return d.do(func(s *state) error {
		f, err := s.lookup(name)
		if err != nil {
			return err
		}
		if err := os.Remove(name); err != nil {
			return err
		}
		delete(s.current, name)
		s.nameChanges = append(s.nameChanges, nameChange{from: name, file: f})
		return nil
	})
}

// SyncDir makes the changes of names in a folder durable.
func (d *Disk) SyncDir(path string) error {
	if err := d.awaitReady(); err != nil {
		return err
	}
	return d.do(func(s *state) error {
		var others []nameChange
		for _, r := range s.nameChanges {
			if filepath.Dir(r.from) != path && filepath.Dir(r.to) != path {
				others = append(others, r)
				continue
			}
			r.apply(s.durable)
		}
		s.nameChanges = others
		return nil
	})
}

func (r nameChange) apply(names map[string]*file) {
	if r.from != "" && names[r.from] == r.file {
		delete(names, r.from)
	}
	if r.to != "" {
		names[r.to] = r.file
	}
}

// syncFile makes a file's content durable, and its name too if the file is new.
func (s *state) syncFile(f *file) {
	for _, w := range f.writes {
		f.synced = w.apply(f.synced)
	}
	f.writes = nil
	kept := s.nameChanges[:0]
	for _, r := range s.nameChanges {
		if r.file == f && r.from == "" {
			r.apply(s.durable)
			continue
		}
		kept = append(kept, r)
	}
	s.nameChanges = kept
}

// LosePower replaces the real files by what a loss of power leaves, then calls end while no other
// operation can run. A process that uses the disk must exit in end. It fails if files can't be
// written.
func (d *Disk) LosePower(end func()) error {
	return d.do(func(s *state) error {
		if err := s.losePower(); err != nil {
			return err
		}
		end()
		return nil
	})
}

const (
	// loseAllProbability is how likely all unsynced writes are lost together.
	loseAllProbability = 0.3
	// sectorSize is the unit, in bytes, of a torn write.
	sectorSize = 512
)

func (s *state) losePower() error {
	losesAll := s.random.Float64() < loseAllProbability
	names := s.durable
	for _, r := range s.nameChanges {
		if !losesAll && s.random.IntN(2) == 0 {
			r.apply(names)
		}
	}
	for name := range s.current {
		if err := os.Remove(name); err != nil && !os.IsNotExist(err) {
			return errors.Wrap(err, "apply a loss of power")
		}
	}
	for name, f := range names {
		content := append([]byte(nil), f.synced...)
		for _, w := range f.writes {
			if !losesAll {
				content = s.applyRandomly(content, w)
			}
		}
		if err := os.WriteFile(name, content, 0o600); err != nil {
			return errors.Wrap(err, "apply a loss of power")
		}
	}
	return nil
}

// A truncation is never torn.
func (s *state) applyRandomly(content []byte, w write) []byte {
	switch s.random.IntN(3) {
	case 0:
		return content
	case 1:
		return w.apply(content)
	}
	if w.truncate {
		return content
	}
	for at := 0; at < len(w.bytes); at += sectorSize {
		if s.random.IntN(2) == 0 {
			piece := w.bytes[at:min(at+sectorSize, len(w.bytes))]
			content = write{offset: w.offset + int64(at), bytes: piece}.apply(content)
		}
	}
	return content
}

// handle is an open file. It implements disk.File.
type handle struct {
	disk       *Disk
	name       string
	file       *file
	osFile     *os.File
	offset     int64
	appendOnly bool
}

// Write writes a random part on a full disk, and returns ENOSPC.
func (h *handle) Write(raw []byte) (written int, err error) {
	if err := h.disk.awaitReady(); err != nil {
		return 0, err
	}
	err = h.disk.do(func(s *state) error {
		part := raw
		if s.faults.Full {
			part = raw[:s.random.IntN(len(raw)+1)]
		}
		if h.appendOnly {
			end, err := h.osFile.Seek(0, io.SeekEnd)
			if err != nil {
				return err
			}
			h.offset = end
		}
		var err error
		if written, err = h.osFile.Write(part); err != nil {
			return err
		}
		h.file.writes = append(h.file.writes, write{offset: h.offset, bytes: append([]byte(nil), part...)})
		h.offset += int64(written)
		if s.faults.Full {
			return &os.PathError{Op: "write", Path: h.name, Err: syscall.ENOSPC}
		}
		return nil
	})
	return written, err
}

// Seek sets the handle's offset.
func (h *handle) Seek(offset int64, whence int) (int64, error) {
	at, err := h.osFile.Seek(offset, whence)
	if err == nil {
		h.offset = at
	}
	return at, err
}

// Truncate changes the size of the file.
func (h *handle) Truncate(size int64) error {
	return h.disk.do(func(*state) error {
		if err := h.osFile.Truncate(size); err != nil {
			return err
		}
		h.file.writes = append(h.file.writes, write{offset: size, truncate: true})
		return nil
	})
}

// Sync makes the file's content durable.
func (h *handle) Sync() error {
	if err := h.disk.awaitReady(); err != nil {
		return err
	}
	return h.disk.do(func(s *state) error {
		s.syncFile(h.file)
		return nil
	})
}

// Close closes the handle.
func (h *handle) Close() error { return h.osFile.Close() }
