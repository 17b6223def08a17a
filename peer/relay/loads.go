package relay

import (
	"math"
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

// sharing is how a node tells desks what it has at replicas, and hears what others have.
// Each desk adds up what all nodes have at the replicas that announce themselves there.
type sharing struct {
	shareAt time.Duration
	// loadSeenAt is when services' admission last saw the load.
	loadSeenAt time.Duration
	loadsHeard int64
}

// shareMemory is for how many periods a desk's word of load holds. Once desks are silent
// a node goes by its own sendings.
const shareMemory = 6

// places lists the replicas by which loads name a board's: those that the desk's present
// life has told of. What an earlier life told is kept for a while, and has no place.
func (b *board) places() []string {
	if b.placesVersion != b.version || b.placesOf == nil {
		b.placesOf = desk.ReplicaOrder(b.list, func(p posted) bool { return p.Gone || p.until > 0 })
		b.placesVersion = b.version
	}
	return b.placesOf
}

// tellLoads tells each desk what this node has at its replicas. Nothing is said while
// nothing is under way and nothing has ended.
func (m *Machine) tellLoads(now time.Duration) {
	if m.params.LoadPeriod <= 0 || now < m.shareAt {
		return
	}
	m.shareAt = now + m.params.LoadPeriod
	for _, address := range ordered.Keys(m.boards) {
		b := m.boards[address]
		if !b.speaks(now, m.params.Beat) {
			continue
		}
		report := desk.LoadReport{Incarnation: b.life, Version: b.version, Replicas: m.loadsAt(b)}
		if len(report.Replicas) == 0 && !b.toldLoad {
			continue
		}
		b.toldLoad = len(report.Replicas) > 0
		m.send(address, report)
	}
}

// loadsAt lists what this node has at a board's replicas.
func (m *Machine) loadsAt(b *board) (list []desk.ReplicaLoad) {
	for place, id := range b.places() {
		r := m.replicas[id]
		if r == nil {
			continue
		}
		ended := r.estimate.TakeOutcomes()
		if r.estimate.Outstanding == 0 && ended == (placement.Outcomes{}) {
			continue
		}
		list = append(list, desk.ReplicaLoad{Index: uint16(place), Outstanding: small(r.estimate.Outstanding), Served: small(ended.Served), Failed: small(ended.Failed),
			Busy: ended.Busy, Units: small(ended.Units)})
	}
	return list
}

func small(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// onLoads takes a desk's word of load.
func (m *Machine) onLoads(now time.Duration, from string, l desk.Loads) {
	b := m.boards[from]
	if b == nil || b.life != l.Incarnation || b.version != l.Version {
		return
	}
	places := b.places()
	if len(l.Outstanding) != len(places) || len(l.FailureRates) != len(places) || len(l.UnitTimes) != len(places) {
		m.Counters.BadMessages++
		return
	}
	m.loadsHeard++
	until := now + shareMemory*m.params.LoadPeriod
	for i, id := range places {
		if r := m.replicas[id]; r != nil {
			r.estimate.SetShared(int64(l.Outstanding[i]), float64(l.FailureRates[i])/math.MaxUint8, until)
			if l.UnitTimes[i] > 0 {
				r.estimate.SetUnitTime(time.Duration(l.UnitTimes[i]) * desk.UnitTimeResolution)
			}
		}
	}
}
