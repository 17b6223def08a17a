package relay

import (
	"time"

	"saffronfall/peer/desk"
	"saffronfall/rule/admission"
	"saffronfall/rule/ordered"
	"saffronfall/rule/placement"
)

// board is what one desk has told of replicas.
type board struct {
	life    string
	version uint64
	// heard is when the desk was last heard of, or first told of by another one.
	heard time.Duration
	list  map[string]posted
	// placesOf are the list's replicas as loads name them, as of a version.
	placesOf      []string
	placesVersion uint64
	// toldLoad: this node's last word of load there was that it has something.
	toldLoad bool
}

// speaks reports whether a desk was heard of lately.
func (b *board) speaks(now, beat time.Duration) bool {
	return b.life != "" && now < b.heard+lostBeats*beat
}

type posted struct {
	desk.ReplicaEntry
	// until is when it is dropped; zero: when the desk says so.
	until time.Duration
}

// replicaRecord is one replica: as it announced itself, and as it is known by sendings.
type replicaRecord struct {
	listed   desk.Replica
	estimate *placement.Replica
}

// choosing is what a node knows of services and replicas, and how it chooses.
type choosing struct {
	services map[string]*service
	replicas map[string]*replicaRecord
	policy   *placement.Policy
	// gatherAt is when desks' lists are joined next.
	gatherAt time.Duration
}

// service is what a node knows of the replicas of a service.
type service struct {
	estimates []*placement.Replica
	time      placement.ServiceTime
	admission admission.Controller
	// reference is the pace of its fast replicas.
	reference time.Duration
}

// departed are replicas that said that they leave, and when that was last heard of.
// A replica never comes back under its id, so no other word of it counts any more.
type departed map[string]time.Duration

func (d departed) add(now time.Duration, id string) { d[id] = now }

func (d departed) has(id string) bool {
	_, ok := d[id]
	return ok
}

// departedBeats is for how many heartbeats a node remembers that a replica left:
// longer than desks tell of it.
const departedBeats = 100

// forget drops those that nobody has told of for a time.
func (d departed) forget(before time.Duration) {
	for id, heard := range d {
		if heard < before {
			delete(d, id)
		}
	}
}

// gather joins the boards into one list of replicas. The newest word of a
// replica counts; that it leaves or has left counts whoever said it, and for good:
// it is no word of the desk that told of it, which may fall silent or be forgotten.
func (m *Machine) gather(now time.Duration) {
	best := map[string]desk.ReplicaEntry{}
	live := false
	for _, b := range m.boards {
		live = live || b.speaks(now, m.params.Beat)
	}
	for _, address := range ordered.Keys(m.boards) {
		b := m.boards[address]
		if live && now > b.heard+lostBeats*m.params.Beat {
			continue
		}
		m.rememberDeparted(now, b)
		for id, p := range b.list {
			if p.until > 0 && now >= p.until {
				delete(b.list, id)
				continue
			}
			old, ok := best[id]
			// That one desk has not heard of it for long is no word against another
			// that has.
			if !ok || old.Gone && !p.Gone || old.Gone == p.Gone && old.Replica.Sequence < p.Replica.Sequence {
				best[id] = p.ReplicaEntry
			}
		}
	}
	m.listReplicas(best)
	m.gatherAt = now + m.params.Beat/2
}

// rememberDeparted notes who has left, for as long as a desk that speaks tells so.
func (m *Machine) rememberDeparted(now time.Duration, b *board) {
	for id, p := range b.list {
		if p.Replica.Leaving || p.Final {
			m.left.add(now, id)
		}
	}
}

// lostBeats is after how many beats a silent desk's word is old.
const lostBeats = 4

// listReplicas takes the replicas that can be chosen from now on, and forgets those that
// nobody tells of any more and that have nothing of this node's.
func (m *Machine) listReplicas(told map[string]desk.ReplicaEntry) {
	for _, s := range m.services {
		s.estimates = s.estimates[:0]
	}
	known := map[string]bool{}
	for _, id := range ordered.Keys(told) {
		l := told[id]
		if l.Gone || m.left.has(id) {
			continue
		}
		known[id] = true
		r := m.replicas[id]
		if r == nil {
			r = &replicaRecord{estimate: placement.NewReplica()}
			m.replicas[id] = r
		}
		r.listed = l.Replica
		r.estimate.ID, r.estimate.Zone, r.estimate.Slots, r.estimate.Warming = id, l.Replica.Zone, l.Replica.Slots, l.Replica.WarmupRemaining > 0
		s := m.serviceOf(l.Replica.Service)
		s.estimates = append(s.estimates, r.estimate)
	}
	for id, r := range m.replicas {
		if !known[id] && r.estimate.Outstanding == 0 {
			delete(m.replicas, id)
		}
	}
}

func (m *Machine) serviceOf(name string) *service {
	s := m.services[name]
	if s == nil {
		s = &service{}
		m.services[name] = s
	}
	return s
}

const (
	// resendsAnyway is how many replicas may turn a request away before it goes only to
	// those that have room as far as is known.
	resendsAnyway = 3
	// mostResends bounds how many replicas one request is offered to.
	mostResends = 16
)

// choose picks the replica that a request is sent to next.
func (m *Machine) choose(now time.Duration, w *way) *replicaRecord {
	if now >= m.gatherAt {
		m.gather(now)
	}
	s := m.serviceOf(w.service)
	connections := int64(1 << 30)
	if described, ok := w.table.Service(w.service); ok {
		connections = max(2, described.Connections/int64(max(m.nodes, 1)+1))
	}
	allowed := func(r *placement.Replica) bool {
		return !w.tried[r.ID] && r.Outstanding < connections
	}
	request := placement.Request{Prompt: w.ask.Prompt, Repeatable: w.route.Retryable(), Remaining: w.until - now, ServiceTime: s.time.Mean(), ReferenceUnitTime: s.reference, Rejected: w.unrun > 0}
	if w.route.CacheAffinity {
		request.Affinity = w.ask.Affinity
	}
	chosen := m.policy.Choose(now, request, s.estimates, allowed)
	if chosen == nil {
		return nil
	}
	if w.unrun >= resendsAnyway && (w.unrun >= mostResends || !m.policy.HasRoom(now, chosen)) {
		return nil
	}
	return m.replicas[chosen.ID]
}

// sent notes that a request goes to a replica, and what that will keep of it.
func (m *Machine) sent(now time.Duration, w *way, r *replicaRecord) {
	room := int64(1 << 40)
	if described, ok := w.table.Service(w.service); ok && described.CacheTokens > 0 {
		room = described.CacheTokens * 3 / 4
	}
	w.sentAt, w.sentToRoom = now, m.policy.HasRoom(now, r.estimate)
	r.estimate.RecordSent(now, w.ask.Prompt, room)
}

// came notes what became of a sending.
func (m *Machine) came(now time.Duration, w *way, o Outcome) {
	s := m.serviceOf(w.service)
	result := resultOf(o)
	if result == placement.Served {
		m.learnPace(now, w, s, o)
	}
	w.at.estimate.RecordResult(now, result, o.Load, m.params.Beat, s.time.Mean())
}

// learnPace notes how fast a replica served a request. Only streams tell how fast a replica
// is: how much work another request makes is not known.
func (m *Machine) learnPace(now time.Duration, w *way, s *service, o Outcome) {
	took, r := now-w.sentAt, w.at.estimate
	if o.Events > 1 {
		r.RecordWork(o.Streamed, o.Events-1)
	}
	if w.sentToRoom {
		s.time.Add(time.Duration(float64(took) / r.Slowness(s.reference)))
	}
}

// statusServerFault is the first status by which a replica says that the fault is its
// own.
const statusServerFault = 500

// resultOf is what an outcome says of the replica.
func resultOf(o Outcome) placement.Result {
	switch {
	case o.Moved:
		return placement.Moved
	case o.Unreached:
		return placement.Failed
	case o.Kind == NotRun:
		return placement.Rejected
	case o.Kind == Broken && o.Gone:
		return placement.Canceled
	case o.Kind == Broken, o.Failed && o.Status >= statusServerFault:
		return placement.Failed
	}
	return placement.Served
}
