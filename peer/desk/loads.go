package desk

import (
	"math"
	"slices"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

// Messages by which nodes share what they know of replicas' load. Replicas are named by
// their places in the desk's list, sorted by id without those that are gone, so both
// sides must have the list of the same version; otherwise a message says nothing. A lost
// one is made up for by the next.
type (
	// LoadReport is a node's word to a desk: what it has at replicas now, and how
	// requests ended there since its last word.
	LoadReport struct {
		Incarnation string        `msgpack:"l"`
		Version     uint64        `msgpack:"v"`
		Replicas    []ReplicaLoad `msgpack:"r"`
	}
	// ReplicaLoad is what one node has at one replica.
	ReplicaLoad struct {
		Index       uint16 `msgpack:"p"`
		Outstanding uint16 `msgpack:"o"`
		Served      uint16 `msgpack:"s"`
		Failed      uint16 `msgpack:"f"`
		// Busy is the time that Units of work took there.
		Busy  time.Duration `msgpack:"b"`
		Units uint16        `msgpack:"u"`
	}
	// Loads is a desk's word to a node: for each place, what all other nodes have there
	// and how often requests fail there, in parts of 255.
	Loads struct {
		Incarnation  string `msgpack:"l"`
		Version      uint64 `msgpack:"v"`
		Outstanding  []byte `msgpack:"o"`
		FailureRates []byte `msgpack:"f"`
		// Paces are the times that units of work take, in PaceUnits; zero: not known.
		UnitTimes []uint16 `msgpack:"a"`
	}
)

// PaceUnit is the unit in which paces are told.
const UnitTimeResolution = 100 * time.Microsecond

func init() {
	message.Register(map[string]any{
		"desk.LoadReport": LoadReport{},
		"desk.Loads":      Loads{},
	})
}

// loads is what a desk knows of replicas' load.
type loadState struct {
	// places are the ids of the list of a version, in order.
	order        []string
	orderVersion uint64
	reports      map[string]nodeReport
	histories    map[string]*replicaHistory
	sendAt       time.Duration
	// news is set when a node has said something since the last telling.
	changed bool
}

// replicaRecord is how a replica has done lately, for all nodes.
type replicaHistory struct {
	failures placement.FailureRate
	unitTime placement.UnitTime
}

// nodeLoad is a node's last word.
type nodeReport struct {
	receivedAt  time.Duration
	outstanding map[string]uint16
}

// loadMemory is for how many telling periods a node's word holds: a node that has
// something under way repeats itself well within.
const reportRetention = 4

// Places lists the ids by which loads name replicas: those of a list that are not gone.
func ReplicaOrder[L any](list map[string]L, gone func(L) bool) []string {
	var places []string
	for _, id := range ordered.Keys(list) {
		if !gone(list[id]) {
			places = append(places, id)
		}
	}
	return places
}

func (m *Machine) currentOrder() []string {
	if m.loads.orderVersion != m.version || m.loads.order == nil {
		m.loads.order = ReplicaOrder(m.replicas, func(l *trackedReplica) bool { return l.Gone })
		m.loads.orderVersion = m.version
	}
	return m.loads.order
}

func (m *Machine) onLoadReport(now time.Duration, from string, report LoadReport) {
	if report.Incarnation != m.incarnation || report.Version != m.version {
		return
	}
	places := m.currentOrder()
	if slices.ContainsFunc(report.Replicas, func(one ReplicaLoad) bool { return int(one.Index) >= len(places) }) {
		m.Counters.BadMessages++
		return
	}
	received := nodeReport{receivedAt: now, outstanding: map[string]uint16{}}
	for _, one := range report.Replicas {
		id := places[one.Index]
		received.outstanding[id] = one.Outstanding
		if one.Served > 0 || one.Failed > 0 || one.Units > 0 {
			record := m.historyOf(id)
			record.failures.Add(now, m.params.HeartbeatInterval, int64(one.Served), int64(one.Failed))
			record.unitTime.Add(now, m.params.HeartbeatInterval, one.Busy, int64(one.Units))
		}
	}
	m.loads.reports[from] = received
	m.loads.changed = true
}

func (m *Machine) historyOf(id string) *replicaHistory {
	r := m.loads.histories[id]
	if r == nil {
		r = &replicaHistory{}
		m.loads.histories[id] = r
	}
	return r
}

// tellLoads tells the nodes that have something at replicas of the load there, if anything
// was said since the last time. A node without requests needs no word.
func (m *Machine) sendLoads(now time.Duration) {
	if m.params.LoadInterval <= 0 || now < m.loads.sendAt || !m.loads.changed {
		return
	}
	m.loads.sendAt, m.loads.changed = now+m.params.LoadInterval, false
	for address, report := range m.loads.reports {
		if now > report.receivedAt+reportRetention*m.params.LoadInterval {
			delete(m.loads.reports, address)
		}
	}
	places := m.currentOrder()
	total := m.totalOutstanding(places)
	summary := m.loadSummary(now, places)
	for _, address := range ordered.Keys(m.loads.reports) {
		own := m.loads.reports[address].outstanding
		others := make([]byte, len(places))
		for i, id := range places {
			others[i] = byte(min(total[i]-int(own[id]), math.MaxUint8))
		}
		summary.Outstanding = others
		m.addSend(address, summary)
	}
}

// totals adds up what all nodes have at each place.
func (m *Machine) totalOutstanding(places []string) []int {
	outstanding := make([]int, len(places))
	for i, id := range places {
		for _, report := range m.loads.reports {
			outstanding[i] += int(report.outstanding[id])
		}
	}
	return outstanding
}

// loadsOf is what is told to all nodes alike: how replicas have done lately.
func (m *Machine) loadSummary(now time.Duration, places []string) Loads {
	summary := Loads{Incarnation: m.incarnation, Version: m.version, FailureRates: make([]byte, len(places)), UnitTimes: make([]uint16, len(places))}
	for i, id := range places {
		if r := m.loads.histories[id]; r != nil {
			summary.FailureRates[i] = byte(r.failures.At(now, m.params.HeartbeatInterval) * math.MaxUint8)
			summary.UnitTimes[i] = uint16(min(r.unitTime.At(now, m.params.HeartbeatInterval)/UnitTimeResolution, math.MaxUint16))
		}
	}
	return summary
}

// forgetRecords forgets replicas that are no longer listed.
func (m *Machine) dropUnlistedRecords() {
	for id := range m.loads.histories {
		if _, known := m.replicas[id]; !known {
			delete(m.loads.histories, id)
		}
	}
}
