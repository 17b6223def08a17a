package core

import (
	"time"

	"saffronfall/rule/message"
	"saffronfall/rule/partition"
	"saffronfall/rule/slab"
)

type origin struct {
	from    string
	id      uint64
	part    int
	handled func(now time.Duration, r partition.Result)
}

func (m *Machine) take(now time.Duration, n int, o partition.Output) {
	for i := range o.Records {
		m.out.Changes = append(m.out.Changes, Change{Record: &o.Records[i]})
	}
	for _, s := range o.Sends {
		body := PartMessage{Part: n, From: m.self.Seat(), To: s.To, Raw: message.Pack(s.Body)}
		if address := m.addressOf(s.To); address != "" {
			m.send(address, body, s.AfterSync)
		}
	}
	for _, r := range o.Results {
		at, ok := m.tickets.Take(slab.Ticket(r.RequestID))
		if !ok {
			continue
		}
		if at.handled != nil {
			at.handled(now, r)
			continue
		}
		m.reply(n, at, r)
	}
}

func (m *Machine) reply(n int, at origin, r partition.Result) {
	if at.from == "" {
		return
	}
	answer := CommandReturn{ID: at.id, Part: at.part, Unsure: r.Uncertain, Moved: r.NotLeader}
	switch {
	case r.NotLeader:
		m.Counters.Moved++
		answer.Hint = m.hint(n)
	case r.Uncertain:
		m.Counters.Unsure++
	default:
		answer.Raw = message.Pack(r.Body)
	}
	m.send(at.from, answer, false)
}

func (m *Machine) propose(now time.Duration, n int, command any, from origin) {
	p := m.parts[n]
	if c, ok := command.(ChangeSeat); ok && p != nil {
		answer := from
		from = origin{handled: func(now time.Duration, r partition.Result) {
			r.Body = Done{OK: r.Body == true}
			m.reply(n, answer, r)
		}}
		m.take(now, n, p.ChangeMembers(now, uint64(m.tickets.Put(from)), c.Add, c.Remove))
		return
	}
	if _, ok := command.(ReadSeats); ok && p != nil {
		answer := from
		from = origin{handled: func(now time.Duration, r partition.Result) {
			g := p.Group()
			if owned, ok := p.CommittedGroup(); ok {
				g = owned
			}
			r.Body = Seats{Seats: g.Members, Former: g.Former}
			m.reply(n, answer, r)
		}}
	}
	ticket := m.tickets.Put(from)
	if p == nil {
		m.take(now, n, partition.Output{Results: []partition.Result{{RequestID: uint64(ticket), NotLeader: true}}})
		return
	}
	m.take(now, n, p.Propose(now, uint64(ticket), command))
}

func (m *Machine) onPart(now time.Duration, b PartMessage) {
	m.hear(now, b.From)
	if b.To != m.self.Seat() || b.Part < 0 || b.Part >= m.founding.Parts {
		return
	}
	body, err := message.Open(b.Raw)
	if err != nil {
		m.Counters.BadMessages++
		return
	}
	if m.stalled && wantsDisk(body) {
		// Nothing may pile up before a disk that takes nothing. Whoever sent it
		// sends it again, or a whole copy once the disk is back.
		m.Counters.Stalled++
		return
	}
	p := m.parts[b.Part]
	if _, write := body.(partition.Write); write && m.self.Retired && (p == nil || !p.Group().Has(m.self.Seat())) {
		// A leader that has not heard of the retirement wants to hand a replica to
		// this core, which may be taken away at any moment.
		return
	}
	if p == nil {
		if w, ok := body.(partition.Write); !ok || !w.Snapshot {
			return
		}
		p = m.seat(now, b.Part, partition.State{})
	}
	m.take(now, b.Part, p.Receive(now, b.From, body))
}

// wantsDisk reports whether a message makes a replica write.
func wantsDisk(body any) bool {
	switch b := body.(type) {
	case partition.Write:
		return true
	case partition.Prepare:
		return !b.PreVote
	}
	return false
}

func (m *Machine) onPull(now time.Duration, from string, b Pull) {
	if b.Want {
		m.learn()
		m.send(from, m.Topology(), false)
	}
	for n := 0; n < m.founding.Parts; n++ {
		p := m.parts[n]
		if p == nil {
			continue
		}
		if _, ok := p.LeadingTerm(now); !ok {
			continue
		}
		upto, _ := p.CommittedVersion()
		if n == ConfigurationPart && b.Fresh {
			m.send(from, Fresh{Sent: b.Sent, Upto: upto}, false)
		}
		after := b.Versions[n]
		if !after.Less(upto) {
			continue
		}
		news := News{Part: n, After: after, Upto: upto}
		if after.Term != upto.Term || after.Seq < p.PurgedSeq() {
			after, news.Whole = partition.Version{}, true
		}
		news.Entries = p.Updates(after, NewsPrefixes)
		m.send(from, news, false)
	}
}

// Ask runs one command on behalf of an operator.
func (m *Machine) Ask(now time.Duration, ticket uint64, command any, within time.Duration) Output {
	m.out = &Output{}
	m.caller.Call(now, command, now+within, func(now time.Duration, o Outcome) {
		m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: o})
	})
	return *m.out
}

func (m *Machine) answer(ticket uint64, body any) {
	m.out.Answers = append(m.out.Answers, Answer{Ticket: ticket, Body: body})
}
