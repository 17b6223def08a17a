package relay

import (
	"math"
	"time"

	"saffronfall/peer/registry"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

type loadSharing struct {
	reportAt time.Duration
	// loadObservedAt is when the admission controllers last saw the load.
	loadObservedAt time.Duration
	loadUpdates    int64
}

// loadValidityPeriods is the validity of a load report in report intervals. Without a valid one, a
// node estimates loads from its own attempts.
const loadValidityPeriods = 6

// loadIndex lists replicas in the order to which load reports refer. Listings of an earlier
// incarnation of the registry are not indexed.
func (view *registryView) loadIndex() []string {
	if view.indexedVersion != view.version || view.indexedIDs == nil {
		view.indexedIDs = registry.ReplicaOrder(view.replicas, func(p listing) bool { return p.Removed || p.expiresAt > 0 })
		view.indexedVersion = view.version
	}
	return view.indexedIDs
}

// reportLoads reports this node's requests to each registry, but no second empty report in a row.
func (m *Machine) reportLoads(now time.Duration) {
	if m.params.LoadReportInterval <= 0 || now < m.reportAt {
		return
	}
	m.reportAt = now + m.params.LoadReportInterval
	for _, address := range ordered.Keys(m.registries) {
		view := m.registries[address]
		if !view.alive(now, m.params.HeartbeatInterval) {
			continue
		}
		report := registry.LoadReport{Incarnation: view.incarnation, Version: view.version, Replicas: m.loadsFor(view)}
		if len(report.Replicas) == 0 && !view.reportedLoad {
			continue
		}
		view.reportedLoad = len(report.Replicas) > 0
		m.send(address, report)
	}
}

func (m *Machine) loadsFor(view *registryView) (list []registry.ReplicaLoad) {
	for index, id := range view.loadIndex() {
		r := m.replicas[id]
		if r == nil {
			continue
		}
		outcomes := r.estimate.TakeOutcomes()
		if r.estimate.Outstanding == 0 && outcomes == (placement.Outcomes{}) {
			continue
		}
		list = append(list, registry.ReplicaLoad{
			Index:       uint16(index),
			Outstanding: clampUint16(r.estimate.Outstanding),
			Served:      clampUint16(outcomes.Served),
			Failed:      clampUint16(outcomes.Failed),
			Busy:        outcomes.Busy,
			Units:       clampUint16(outcomes.Units),
		})
	}
	return list
}

func clampUint16(n int64) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// handleLoads ignores reports for another version of the listings, whose order may differ.
func (m *Machine) handleLoads(now time.Duration, from string, loads registry.Loads) {
	view := m.registries[from]
	if view == nil || view.incarnation != loads.Incarnation || view.version != loads.Version {
		return
	}
	ids := view.loadIndex()
	if len(loads.Outstanding) != len(ids) || len(loads.FailureRates) != len(ids) || len(loads.UnitTimes) != len(ids) {
		m.Counters.BadMessages++
		return
	}
	m.loadUpdates++
	until := now + loadValidityPeriods*m.params.LoadReportInterval
	for i, id := range ids {
		if r := m.replicas[id]; r != nil {
			r.estimate.SetShared(int64(loads.Outstanding[i]), float64(loads.FailureRates[i])/math.MaxUint8, until)
			if loads.UnitTimes[i] > 0 {
				r.estimate.SetUnitTime(time.Duration(loads.UnitTimes[i]) * registry.UnitTimeResolution)
			}
		}
	}
}
