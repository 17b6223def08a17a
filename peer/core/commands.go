package core

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/slab"
)

// commandOrigin is the address and ID to answer, or a function that is called with the result.
type commandOrigin struct {
	from      string
	id        uint64
	partition int
	onResult  func(now time.Duration, r partition.Result)
}

func (m *Machine) handleOutput(now time.Duration, n int, o partition.Output) {
	for i := range o.Records {
		m.out.Changes = append(m.out.Changes, Change{Record: &o.Records[i]})
	}
	for _, s := range o.Sends {
		body := ReplicaMessage{Partition: n, From: m.self.MemberID(), To: s.To, Raw: message.Pack(s.Body)}
		if address := m.addressOf(s.To); address != "" {
			m.send(address, body, s.AfterSync)
		}
	}
	for _, r := range o.Results {
		origin, ok := m.tickets.Take(slab.Ticket(r.RequestID))
		if !ok {
			continue
		}
		if origin.onResult != nil {
			origin.onResult(now, r)
			continue
		}
		m.reply(n, origin, r)
	}
}

func (m *Machine) reply(n int, origin commandOrigin, r partition.Result) {
	if origin.from == "" {
		return
	}
	answer := CommandResult{ID: origin.id, Partition: origin.partition, Uncertain: r.Uncertain, NotLeader: r.NotLeader}
	switch {
	case r.NotLeader:
		m.Counters.Redirected++
		answer.LeaderHint = m.leaderAddress(n)
	case r.Uncertain:
		m.Counters.Uncertain++
	default:
		answer.Raw = message.Pack(r.Body)
	}
	m.send(origin.from, answer, false)
}

func (m *Machine) propose(now time.Duration, n int, command any, origin commandOrigin) {
	p := m.partitions[n]
	if c, ok := command.(ChangeGroup); ok && p != nil {
		client := origin
		origin = commandOrigin{onResult: func(now time.Duration, r partition.Result) {
			r.Body = Done{OK: r.Body == true}
			m.reply(n, client, r)
		}}
		m.handleOutput(now, n, p.ChangeMembers(now, uint64(m.tickets.Put(origin)), c.Add, c.Remove))
		return
	}
	if _, ok := command.(ReadGroup); ok && p != nil {
		client := origin
		origin = commandOrigin{onResult: func(now time.Duration, r partition.Result) {
			g := p.Group()
			if committed, ok := p.CommittedGroup(); ok {
				g = committed
			}
			r.Body = GroupMembers{Members: g.Members, Former: g.Former}
			m.reply(n, client, r)
		}}
	}
	ticket := m.tickets.Put(origin)
	if p == nil {
		m.handleOutput(now, n, partition.Output{Results: []partition.Result{{RequestID: uint64(ticket), NotLeader: true}}})
		return
	}
	m.handleOutput(now, n, p.Propose(now, uint64(ticket), command))
}

// onReplicaMessage passes a message to this core's replica. A snapshot creates the replica.
func (m *Machine) onReplicaMessage(now time.Duration, b ReplicaMessage) {
	m.recordContact(now, b.From)
	if b.To != m.self.MemberID() || b.Partition < 0 || b.Partition >= m.founding.Partitions {
		return
	}
	body, err := message.Open(b.Raw)
	if err != nil {
		m.Counters.BadMessages++
		return
	}
	if m.stalled && requiresDisk(body) {
		// Writes must not queue up for a stalled disk. The leader retries, or sends a snapshot
		// later.
		m.Counters.RefusedWhileStalled++
		return
	}
	p := m.partitions[b.Partition]
	if _, write := body.(partition.Write); write && m.self.Retired && (p == nil || !p.Group().Has(m.self.MemberID())) {
		// The leader does not know yet that this core is retired. A retired core may be shut down
		// at any time, so it joins no group.
		return
	}
	if p == nil {
		if w, ok := body.(partition.Write); !ok || !w.Snapshot {
			return
		}
		p = m.addReplica(now, b.Partition, partition.State{})
	}
	m.handleOutput(now, b.Partition, p.Receive(now, b.From, body))
}

func requiresDisk(body any) bool {
	switch b := body.(type) {
	case partition.Write:
		return true
	case partition.Prepare:
		return !b.PreVote
	}
	return false
}

func (m *Machine) onPullUpdates(now time.Duration, from string, b PullUpdates) {
	if b.WantTopology {
		m.refreshTopology()
		m.send(from, m.Topology(), false)
	}
	for n := 0; n < m.founding.Partitions; n++ {
		p := m.partitions[n]
		if p == nil {
			continue
		}
		if _, ok := p.LeadingTerm(now); !ok {
			continue
		}
		upTo, _ := p.CommittedVersion()
		if n == ConfigurationPartition && b.WantFreshness {
			m.send(from, Freshness{SentAt: b.SentAt, UpTo: upTo}, false)
		}
		after := b.Versions[n]
		if !after.Less(upTo) {
			continue
		}
		update := Update{Partition: n, After: after, UpTo: upTo}
		if after.Term != upTo.Term || after.Seq < p.PurgedSeq() {
			after, update.Snapshot = partition.Version{}, true
		}
		update.Entries = p.Updates(after, UpdatePrefixes)
		m.send(from, update, false)
	}
}

// RunCommand runs an operator's command and answers the ticket with its Outcome.
func (m *Machine) RunCommand(now time.Duration, ticket uint64, command any, within time.Duration) Output {
	m.out = &Output{}
	m.caller.Call(now, command, now+within, func(now time.Duration, o Outcome) {
		m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: o})
	})
	return *m.out
}

func (m *Machine) answerOperator(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}
