package registryprocess

import (
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"saffronfall/peer/core"
	"saffronfall/peer/disk"
	"saffronfall/peer/registry"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
)

// storage is the data directory of a registry.
type storage struct {
	// dataDir is nil if nothing is stored.
	dataDir *disk.Store
	// storedFounding is what the data directory has of the founding; nil if nothing.
	storedFounding *foundingRecord
}

// record is a stored state of a registry, or the changes to one. Records of a former version are a
// bare list of replicas.
type record struct {
	Replicas []registry.ReplicaEntry `msgpack:"l"`
	Peers    *registry.Peers         `msgpack:"p"`
	// Founding is set at the one registry that may found the fleet.
	Founding *foundingRecord `msgpack:"f,omitempty"`
}

// foundingRecord stores a registry.FoundingDuty.
type foundingRecord struct {
	MayFound bool           `msgpack:"m"`
	Plan     *core.Founding `msgpack:"p,omitempty"`
}

type storedState struct {
	replicas map[string]registry.ReplicaEntry
	peers    *registry.Peers
	founding *foundingRecord
}

// apply ignores a record that cannot be decoded.
func (s *storedState) apply(encoded []byte) {
	var r record
	if message.Unmarshal(encoded, &r.Replicas) != nil && message.Unmarshal(encoded, &r) != nil {
		return
	}
	for _, entry := range r.Replicas {
		s.replicas[entry.Replica.ID] = entry
	}
	if r.Peers != nil {
		s.peers = r.Peers
	}
	if r.Founding != nil {
		s.founding = r.Founding
	}
}

func (s *storedState) replicaList() []registry.ReplicaEntry {
	var replicas []registry.ReplicaEntry
	for _, id := range ordered.Keys(s.replicas) {
		replicas = append(replicas, s.replicas[id])
	}
	return replicas
}

// open opens the data directory and sets a damaged one aside. If none can be used, the registry
// runs without one.
func open(path string, log logr.Logger) (*disk.Store, storedState) {
	dataDir, found, err := disk.Open(path)
	if errors.Is(err, disk.ErrDamaged) {
		if err = disk.SetAside(path); err == nil {
			dataDir, found, err = disk.Open(path)
		}
	}
	if err == nil && found.Empty {
		err = dataDir.Replace(message.Marshal(record{}))
	}
	if err != nil {
		log.Info("data directory cannot be used; replicas and peers are not stored", "reason", err.Error())
		return nil, storedState{}
	}
	state := storedState{replicas: map[string]registry.ReplicaEntry{}}
	for _, encoded := range append([][]byte{found.State}, found.Records...) {
		if encoded != nil {
			state.apply(encoded)
		}
	}
	return dataDir, state
}

// maxLogBytes is the size of the log at which a new slot replaces it.
const maxLogBytes = 256 << 10

// store appends changes to the data directory. Changes that find the disk full are dropped,
// because a registry also works without them; after any other error nothing more is stored.
func (s *process) store(changes []registry.ReplicaEntry, peers *registry.Peers) {
	if s.dataDir == nil || len(changes) == 0 && peers == nil {
		return
	}
	err := s.dataDir.Append(message.Marshal(record{Replicas: changes, Peers: peers}))
	if err == nil && s.dataDir.Size() > maxLogBytes {
		allPeers := s.machine.Peers()
		err = s.dataDir.Replace(message.Marshal(record{Replicas: s.machine.List(), Peers: &allPeers, Founding: s.storedFounding}))
	}
	if err != nil && !errors.Is(err, disk.ErrFull) {
		s.log.Info("data directory failed; replicas and peers are no longer stored", "reason", err.Error())
		s.dataDir.Close()
		s.dataDir = nil
	}
}

// resumeFounding returns the duty to found the fleet. A registry that is told to found one stores
// this first: a restart is told otherwise, and goes on all the same.
func (s *process) resumeFounding(stored *foundingRecord, bootstrap bool) registry.FoundingDuty {
	s.storedFounding = stored
	if stored != nil {
		return registry.FoundingDuty{MayFound: stored.MayFound, Plan: stored.Plan}
	}
	duty := registry.FoundingDuty{MayFound: bootstrap}
	if bootstrap && !s.storeFounding(duty) {
		s.log.Info("the duty to found the fleet could not be stored; a restart ends it")
	}
	return duty
}

// storeFounding reports whether the duty may be acted on: it is on the disk, or nothing of it ever was.
func (s *process) storeFounding(duty registry.FoundingDuty) bool {
	if s.dataDir == nil {
		return s.storedFounding == nil
	}
	next := &foundingRecord{MayFound: duty.MayFound, Plan: duty.Plan}
	if err := s.dataDir.Append(message.Marshal(record{Founding: next})); err != nil {
		s.log.Info("the founding of the fleet could not be stored", "reason", err.Error())
		return false
	}
	s.storedFounding = next
	return true
}
