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

func (m *Machine) handleOutput(now time.Duration, n int, output partition.Output) {
	for i := range output.Records {
		m.out.Changes = append(m.out.Changes, Change{Record: &output.Records[i]})
	}
	for _, s := range output.Sends {
		body := ReplicaMessage{Partition: n, From: m.self.MemberID(), To: s.To, Raw: message.Pack(s.Body)}
		if address := m.addressOf(s.To); address != "" {
			m.send(address, body, s.AfterSync)
		}
	}
	for _, result := range output.Results {
		origin, ok := m.tickets.Take(slab.Ticket(result.RequestID))
		if !ok {
			continue
		}
		if origin.onResult != nil {
			origin.onResult(now, result)
			continue
		}
		m.reply(n, origin, result)
	}
}

func (m *Machine) reply(n int, origin commandOrigin, result partition.Result) {
	if origin.from == "" {
		return
	}
	answer := CommandResult{ID: origin.id, Partition: origin.partition, Uncertain: result.Uncertain, NotLeader: result.NotLeader}
	switch {
	case result.NotLeader:
		m.Counters.Redirected++
		answer.LeaderHint = m.leaderAddress(n)
	case result.Uncertain:
		m.Counters.Uncertain++
	default:
		answer.Raw = message.Pack(result.Body)
	}
	m.send(origin.from, answer, false)
}

func (m *Machine) propose(now time.Duration, n int, command any, origin commandOrigin) {
	replica := m.partitions[n]
	if change, ok := command.(ChangeGroup); ok && replica != nil {
		sender := origin
		origin = commandOrigin{onResult: func(now time.Duration, r partition.Result) {
			r.Body = Done{OK: r.Body == true}
			m.reply(n, sender, r)
		}}
		m.handleOutput(now, n, replica.ChangeMembers(now, uint64(m.tickets.Put(origin)), change.Add, change.Remove))
		return
	}
	if _, ok := command.(ReadGroup); ok && replica != nil {
		sender := origin
		origin = commandOrigin{onResult: func(now time.Duration, r partition.Result) {
			g := replica.Group()
			if committed, ok := replica.CommittedGroup(); ok {
				g = committed
			}
			r.Body = GroupMembers{Members: g.Members, Former: g.Former}
			m.reply(n, sender, r)
		}}
	}
	if retirement, ok := command.(RetireCore); ok && replica != nil {
		m.proposeRetirement(now, n, retirement, origin)
		return
	}
	ticket := m.tickets.Put(origin)
	if replica == nil {
		m.handleOutput(now, n, partition.Output{Results: []partition.Result{{RequestID: uint64(ticket), NotLeader: true}}})
		return
	}
	m.handleOutput(now, n, replica.Propose(now, uint64(ticket), command))
}

// onReplicaMessage passes a message to this core's replica. A snapshot creates the replica.
func (m *Machine) onReplicaMessage(now time.Duration, msg ReplicaMessage) {
	m.recordContact(now, msg.From)
	if msg.To != m.self.MemberID() || msg.Partition < 0 || msg.Partition >= m.founding.Partitions {
		return
	}
	body, err := message.Open(msg.Raw)
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
	replica := m.partitions[msg.Partition]
	if _, write := body.(partition.Write); write && m.self.Retired && (replica == nil || !replica.Group().Has(m.self.MemberID())) {
		// The leader does not know yet that this core is retired. A retired core may be shut down
		// at any time, so it joins no group.
		return
	}
	if replica == nil {
		if w, ok := body.(partition.Write); !ok || !w.Snapshot {
			return
		}
		replica = m.addReplica(now, msg.Partition, partition.State{})
	}
	m.handleOutput(now, msg.Partition, replica.Receive(now, msg.From, body))
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

func (m *Machine) onPullUpdates(now time.Duration, from string, pull PullUpdates) {
	if pull.WantTopology {
		m.refreshTopology()
		if topology := m.Topology(); pull.KnownDigest == 0 || pull.KnownDigest != topology.Digest() {
			m.send(from, topology, false)
		}
	}
	for n := 0; n < m.founding.Partitions; n++ {
		replica := m.partitions[n]
		if replica == nil {
			continue
		}
		if _, ok := replica.LeadingTerm(now); !ok {
			continue
		}
		upTo, _ := replica.CommittedVersion()
		if n == ConfigurationPartition && pull.WantFreshness {
			m.send(from, Freshness{SentAt: pull.SentAt, UpTo: upTo}, false)
		}
		after := pull.Versions[n]
		if !after.Less(upTo) {
			continue
		}
		update := Update{Partition: n, After: after, UpTo: upTo}
		if after.Term != upTo.Term || after.Seq < replica.PurgedSeq() {
			after, update.Snapshot = partition.Version{}, true
		}
		update.Entries = replica.Updates(after, UpdatePrefixes)
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
