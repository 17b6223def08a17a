package coreprocess

import (
	crypto "crypto/rand"
	"encoding/hex"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/rule/message"
)

// storedReader is the disk.Visitor that decodes the stored state, one record at a time.
type storedReader struct{ stored *core.Stored }

// VisitState implements disk.Visitor.
func (r storedReader) VisitState(state io.Reader) error {
	return errors.Wrap(message.Decode(state, r.stored), "decoding the slot of the data directory")
}

// VisitRecord implements disk.Visitor.
func (r storedReader) VisitRecord(record []byte) error {
	var changes []core.Change
	if err := message.Unmarshal(record, &changes); err != nil {
		return errors.Wrap(err, "decoding the log of the data directory")
	}
	for _, c := range changes {
		r.stored.Apply(c)
	}
	return nil
}

// load opens the data directory and gives an empty one a new incarnation. In a cold start, one that
// belongs to no fleet may found one, which is stored. If it is damaged, it is set aside, and the core
// starts without a vote, because it has lost what it promised.
func load(files disk.FileSystem, path string, coldStart bool, log logr.Logger) (*disk.Store, core.Stored, error) {
	var stored core.Stored
	store, opened, err := disk.Visit(files, path, storedReader{stored: &stored})
	if errors.Is(err, disk.ErrDamaged) {
		coldStart = false // what is lost may be that of a fleet's core
		log.Info("stored state is damaged and was set aside; the core starts as a new one without a vote", "cause", err.Error())
		if err := disk.SetAside(path); err != nil {
			return nil, core.Stored{}, err
		}
		stored = core.Stored{}
		store, opened, err = disk.Visit(files, path, storedReader{stored: &stored})
	}
	if err != nil {
		return nil, core.Stored{}, err
	}
	if opened.Empty {
		raw := make([]byte, incarnationBytes)
		if _, err := crypto.Read(raw); err != nil {
			return nil, core.Stored{}, err
		}
		stored.Incarnation, stored.MayFound = hex.EncodeToString(raw), coldStart
		return store, stored, store.Replace(message.Marshal(stored))
	}
	if coldStart && !stored.MayFound && stored.Founding.Partitions == 0 {
		stored.MayFound = true
		return store, stored, store.Replace(message.Marshal(stored))
	}
	return store, stored, nil
}
