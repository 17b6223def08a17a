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
		Life    string        `msgpack:"l"`
		Version uint64        `msgpack:"v"`
		List    []ReplicaLoad `msgpack:"r"`
	}
	// ReplicaLoad is what one node has at one replica.
	ReplicaLoad struct {
		Place       uint16 `msgpack:"p"`
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
		Life        string `msgpack:"l"`
		Version     uint64 `msgpack:"v"`
		Outstanding []byte `msgpack:"o"`
		Failing     []byte `msgpack:"f"`
		// Paces are the times that units of work take, in PaceUnits; zero: not known.
		Paces []uint16 `msgpack:"a"`
	}
)

// PaceUnit is the unit in which paces are told.
const PaceUnit = 100 * time.Microsecond

func init() {
	message.Register(map[string]any{
		"desk.LoadReport": LoadReport{},
		"desk.Loads":      Loads{},
	})
}

// loads is what a desk knows of replicas' load.
type loads struct {
	// places are the ids of the list of a version, in order.
	places        []string
	placesVersion uint64
	nodes         map[string]nodeLoad
	records       map[string]*replicaRecord
	tellAt        time.Duration
	// news is set when a node has said something since the last telling.
	news bool
}

// replicaRecord is how a replica has done lately, for all nodes.
type replicaRecord struct {
	failures placement.FailureRate
	pace     placement.UnitTime
}

// nodeLoad is a node's last word.
type nodeLoad struct {
	at          time.Duration
	outstanding map[string]uint16
}

// loadMemory is for how many telling periods a node's word holds: a node that has
// something under way repeats itself well within.
const loadMemory = 4

// Places lists the ids by which loads name replicas: those of a list that are not gone.
func Places[L any](list map[string]L, gone func(L) bool) []string {
	var places []string
	for _, id := range ordered.Keys(list) {
		if !gone(list[id]) {
			places = append(places, id)
		}
	}
	return places
}

func (m *Machine) placesNow() []string {
	if m.loads.placesVersion != m.version || m.loads.places == nil {
		m.loads.places = Places(m.list, func(l *listed) bool { return l.Gone })
		m.loads.placesVersion = m.version
	}
	return m.loads.places
}

func (m *Machine) onLoadReport(now time.Duration, from string, b LoadReport) {
	if b.Life != m.life || b.Version != m.version {
		return
	}
	places := m.placesNow()
	if slices.ContainsFunc(b.List, func(one ReplicaLoad) bool { return int(one.Place) >= len(places) }) {
		m.Counters.BadMessages++
		return
	}
	word := nodeLoad{at: now, outstanding: map[string]uint16{}}
	for _, one := range b.List {
		id := places[one.Place]
		word.outstanding[id] = one.Outstanding
		if one.Served > 0 || one.Failed > 0 || one.Units > 0 {
			record := m.recordOf(id)
			record.failures.Add(now, m.params.Beat, int64(one.Served), int64(one.Failed))
			record.pace.Add(now, m.params.Beat, one.Busy, int64(one.Units))
		}
	}
	m.loads.nodes[from] = word
	m.loads.news = true
}

func (m *Machine) recordOf(id string) *replicaRecord {
	r := m.loads.records[id]
	if r == nil {
		r = &replicaRecord{}
		m.loads.records[id] = r
	}
	return r
}

// tellLoads tells the nodes that have something at replicas of the load there, if anything
// was said since the last time. A node without requests needs no word.
func (m *Machine) tellLoads(now time.Duration) {
	if m.params.LoadPeriod <= 0 || now < m.loads.tellAt || !m.loads.news {
		return
	}
	m.loads.tellAt, m.loads.news = now+m.params.LoadPeriod, false
	for address, word := range m.loads.nodes {
		if now > word.at+loadMemory*m.params.LoadPeriod {
			delete(m.loads.nodes, address)
		}
	}
	places := m.placesNow()
	total := m.totals(places)
	said := m.loadsOf(now, places)
	for _, address := range ordered.Keys(m.loads.nodes) {
		own := m.loads.nodes[address].outstanding
		others := make([]byte, len(places))
		for i, id := range places {
			others[i] = byte(min(total[i]-int(own[id]), math.MaxUint8))
		}
		said.Outstanding = others
		m.send(address, said)
	}
}

// totals adds up what all nodes have at each place.
func (m *Machine) totals(places []string) []int {
	outstanding := make([]int, len(places))
	for i, id := range places {
		for _, word := range m.loads.nodes {
			outstanding[i] += int(word.outstanding[id])
		}
	}
	return outstanding
}

// loadsOf is what is told to all nodes alike: how replicas have done lately.
func (m *Machine) loadsOf(now time.Duration, places []string) Loads {
	said := Loads{Life: m.life, Version: m.version, Failing: make([]byte, len(places)), Paces: make([]uint16, len(places))}
	for i, id := range places {
		if r := m.loads.records[id]; r != nil {
			said.Failing[i] = byte(r.failures.At(now, m.params.Beat) * math.MaxUint8)
			said.Paces[i] = uint16(min(r.pace.At(now, m.params.Beat)/PaceUnit, math.MaxUint16))
		}
	}
	return said
}

// forgetRecords forgets replicas that are no longer listed.
func (m *Machine) forgetRecords() {
	for id := range m.loads.records {
		if _, known := m.list[id]; !known {
			delete(m.loads.records, id)
		}
	}
}
