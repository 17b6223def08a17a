package registry

import (
	"math"
	"slices"
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

// Messages about the load of replicas. Replicas are identified by their index in ReplicaOrder,
// so sender and receiver must have the same version of the list; a message of another version
// is ignored. A lost message is replaced by the next one.
type (
	// LoadReport is a node's outstanding requests at replicas, and the results of requests
	// there since its last report.
	LoadReport struct {
		Incarnation string        `msgpack:"l"`
		Version     uint64        `msgpack:"v"`
		Replicas    []ReplicaLoad `msgpack:"r"`
	}
	// ReplicaLoad is one node's load at one replica.
	ReplicaLoad struct {
		Index       uint16 `msgpack:"p"`
		Outstanding uint16 `msgpack:"o"`
		Served      uint16 `msgpack:"s"`
		Failed      uint16 `msgpack:"f"`
		// Busy is the total time that Units of work took.
		Busy  time.Duration `msgpack:"b"`
		Units uint16        `msgpack:"u"`
	}
	// Loads tells a node, by replica index, the outstanding requests of all other nodes and
	// the failure rates, scaled to 255.
	Loads struct {
		Incarnation  string `msgpack:"l"`
		Version      uint64 `msgpack:"v"`
		Outstanding  []byte `msgpack:"o"`
		FailureRates []byte `msgpack:"f"`
		// UnitTimes are times per unit of work in UnitTimeResolution; zero if unknown.
		UnitTimes []uint16 `msgpack:"a"`
	}
)

// UnitTimeResolution is the unit of Loads.UnitTimes.
const UnitTimeResolution = 100 * time.Microsecond

func init() {
	message.Register(map[string]any{
		"desk.LoadReport": LoadReport{},
		"desk.Loads":      Loads{},
	})
}

type loadState struct {
	// order is the ReplicaOrder at orderVersion.
	order        []string
	orderVersion uint64
	reports      map[string]nodeReport
	histories    map[string]*replicaHistory
	sendAt       time.Duration
	// changed is set if a report arrived since Loads were last sent.
	changed bool
}

// replicaHistory combines the reports of all nodes about a replica.
type replicaHistory struct {
	failures placement.FailureRate
	unitTime placement.UnitTime
}

type nodeReport struct {
	receivedAt  time.Duration
	outstanding map[string]uint16
}

// reportRetention is the lifetime of a report in load intervals. A node with outstanding
// requests reports more often.
const reportRetention = 4

// ReplicaOrder returns the sorted ids of the replicas that are not removed.
func ReplicaOrder[L any](replicas map[string]L, isRemoved func(L) bool) []string {
	var order []string
	for _, id := range ordered.Keys(replicas) {
		if !isRemoved(replicas[id]) {
			order = append(order, id)
		}
	}
	return order
}

func (m *Machine) currentOrder() []string {
	if m.loads.orderVersion != m.version || m.loads.order == nil {
		m.loads.order = ReplicaOrder(m.replicas, func(entry *trackedReplica) bool { return entry.Removed })
		m.loads.orderVersion = m.version
	}
	return m.loads.order
}

func (m *Machine) onLoadReport(now time.Duration, from string, report LoadReport) {
	if report.Incarnation != m.incarnation || report.Version != m.version {
		return
	}
	order := m.currentOrder()
	if slices.ContainsFunc(report.Replicas, func(load ReplicaLoad) bool { return int(load.Index) >= len(order) }) {
		m.Counters.BadMessages++
		return
	}
	received := nodeReport{receivedAt: now, outstanding: map[string]uint16{}}
	for _, load := range report.Replicas {
		id := order[load.Index]
		received.outstanding[id] = load.Outstanding
		if load.Served > 0 || load.Failed > 0 || load.Units > 0 {
			history := m.historyOf(id)
			history.failures.Add(now, m.params.HeartbeatInterval, int64(load.Served), int64(load.Failed))
			history.unitTime.Add(now, m.params.HeartbeatInterval, load.Busy, int64(load.Units))
		}
	}
	m.loads.reports[from] = received
	m.loads.changed = true
}

func (m *Machine) historyOf(id string) *replicaHistory {
	history := m.loads.histories[id]
	if history == nil {
		history = &replicaHistory{}
		m.loads.histories[id] = history
	}
	return history
}

// sendLoads sends Loads to the nodes with recent reports; a node without requests needs none.
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
	order := m.currentOrder()
	total := m.totalOutstanding(order)
	summary := m.loadSummary(now, order)
	for _, address := range ordered.Keys(m.loads.reports) {
		reported := m.loads.reports[address].outstanding
		others := make([]byte, len(order))
		for i, id := range order {
			others[i] = byte(min(total[i]-int(reported[id]), math.MaxUint8))
		}
		summary.Outstanding = others
		m.addSend(address, summary)
	}
}

func (m *Machine) totalOutstanding(order []string) []int {
	outstanding := make([]int, len(order))
	for i, id := range order {
		for _, report := range m.loads.reports {
			outstanding[i] += int(report.outstanding[id])
		}
	}
	return outstanding
}

// loadSummary returns the part of Loads that is the same for all nodes.
func (m *Machine) loadSummary(now time.Duration, order []string) Loads {
	summary := Loads{
		Incarnation:  m.incarnation,
		Version:      m.version,
		FailureRates: make([]byte, len(order)),
		UnitTimes:    make([]uint16, len(order)),
	}
	for i, id := range order {
		if history := m.loads.histories[id]; history != nil {
			summary.FailureRates[i] = byte(history.failures.At(now, m.params.HeartbeatInterval) * math.MaxUint8)
			summary.UnitTimes[i] = uint16(min(history.unitTime.At(now, m.params.HeartbeatInterval)/UnitTimeResolution, math.MaxUint16))
		}
	}
	return summary
}

func (m *Machine) dropUnlistedHistories() {
	for id := range m.loads.histories {
		if _, known := m.replicas[id]; !known {
			delete(m.loads.histories, id)
		}
	}
}
