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
type loadSharing struct {
	reportAt time.Duration
	// loadSeenAt is when services' admission last saw the load.
	loadObservedAt time.Duration
	loadUpdates    int64
}

// shareMemory is for how many periods a desk's word of load holds. Once desks are silent
// a node goes by its own sendings.
const loadMemoryPeriods = 6

// places lists the replicas by which loads name a board's: those that the desk's present
// life has told of. What an earlier life told is kept for a while, and has no place.
func (view *deskView) loadIndex() []string {
	if view.indexedVersion != view.version || view.indexedIDs == nil {
		view.indexedIDs = desk.Places(view.replicas, func(p listing) bool { return p.Gone || p.expiresAt > 0 })
		view.indexedVersion = view.version
	}
	return view.indexedIDs
}

// tellLoads tells each desk what this node has at its replicas. Nothing is said while
// nothing is under way and nothing has ended.
func (m *Machine) reportLoads(now time.Duration) {
	if m.params.LoadReportInterval <= 0 || now < m.reportAt {
		return
	}
	m.reportAt = now + m.params.LoadReportInterval
	for _, address := range ordered.Keys(m.desks) {
		view := m.desks[address]
		if !view.alive(now, m.params.HeartbeatInterval) {
			continue
		}
		report := desk.LoadReport{Life: view.incarnation, Version: view.version, List: m.loadsFor(view)}
		if len(report.List) == 0 && !view.reportedLoad {
			continue
		}
		view.reportedLoad = len(report.List) > 0
		m.send(address, report)
	}
}

// loadsAt lists what this node has at a board's replicas.
func (m *Machine) loadsFor(view *deskView) (list []desk.ReplicaLoad) {
	for place, id := range view.loadIndex() {
		r := m.replicas[id]
		if r == nil {
			continue
		}
		ended := r.estimate.TakeOutcomes()
		if r.estimate.Outstanding == 0 && ended == (placement.Outcomes{}) {
			continue
		}
		list = append(list, desk.ReplicaLoad{Place: uint16(place), Outstanding: clampUint16(r.estimate.Outstanding), Served: clampUint16(ended.Served), Failed: clampUint16(ended.Failed),
			Busy: ended.Busy, Units: clampUint16(ended.Units)})
	}
	return list
}

func clampUint16(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// onLoads takes a desk's word of load.
func (m *Machine) handleLoads(now time.Duration, from string, l desk.Loads) {
	view := m.desks[from]
	if view == nil || view.incarnation != l.Life || view.version != l.Version {
		return
	}
	places := view.loadIndex()
	if len(l.Outstanding) != len(places) || len(l.Failing) != len(places) || len(l.Paces) != len(places) {
		m.Counters.BadMessages++
		return
	}
	m.loadUpdates++
	until := now + loadMemoryPeriods*m.params.LoadReportInterval
	for i, id := range places {
		if r := m.replicas[id]; r != nil {
			r.estimate.SetShared(int64(l.Outstanding[i]), float64(l.Failing[i])/math.MaxUint8, until)
			if l.Paces[i] > 0 {
				r.estimate.SetUnitTime(time.Duration(l.Paces[i]) * desk.PaceUnit)
			}
		}
	}
}
