package desk

import (
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/partition"
	"saffronfall/rule/route"
)

// confirm notes as of when this desk has missed no table.
func (m *Machine) confirm(now time.Duration) {
	if m.fresh.UpTo == (partition.Version{}) || m.pulledUpTo.Less(m.fresh.UpTo) {
		return
	}
	first := m.confirmed < 0
	m.confirmed = max(m.confirmed, m.fresh.SentAt-m.fresh.Age)
	if first {
		for _, address := range ordered.Keys(m.subscribers) {
			m.tell(now, address, m.subscribers[address], true)
		}
	}
}

func (m *Machine) onNews(now time.Duration, b core.Update) {
	if b.Partition != core.ConfigurationPartition || !m.pulledUpTo.Less(b.UpTo) || (!b.Snapshot && m.pulledUpTo.Less(b.After)) {
		return
	}
	m.pulledUpTo = b.UpTo
	t := core.Topology{Fleet: m.topology.Fleet, Cores: map[string]core.Core{}}
	for _, e := range b.Entries {
		switch {
		case e.Key == core.TableKey:
			var agreed core.CurrentTable
			if message.Unmarshal(e.Value, &agreed) == nil {
				m.installText(now, agreed.Number, agreed.Digest, agreed.Text)
			}
		case core.IsCoreKey(e.Key) && !e.Deleted:
			var one core.Core
			if message.Unmarshal(e.Value, &one) == nil {
				t.Cores[one.ID] = one
			}
		}
	}
	m.adopt(now, t)
	m.confirm(now)
}

func (m *Machine) pull(now time.Duration) {
	ask := core.PullUpdates{Versions: map[int]partition.Version{core.ConfigurationPartition: m.pulledUpTo}, WantFreshness: true, SentAt: now, WantTopology: len(m.topology.Leaders) == 0 || m.random() < 0.2}
	if to := m.caller.Leader(core.ConfigurationPartition); to != "" && m.confirmed >= 0 && now-m.confirmed < 3*m.params.Core.PullInterval {
		m.send(to, ask)
		return
	}
	ask.WantTopology = true
	for _, to := range m.coreAddresses() {
		m.send(to, ask)
	}
}

// Handed is what became of a table that was handed over.
type Handed struct {
	// OK: agreed, and durable. Unsure: nobody knows yet; the same may be handed
	// over again.
	OK     bool `json:"taken"`
	Unsure bool `json:"unsure"`
	// Race: another is in force than it was based on.
	Race   bool                 `json:"race_lost"`
	Number uint64               `json:"number"`
	Faults configuration.Faults `json:"faults,omitempty"`
	// Preview is what an amendment would change, where only that was asked.
	Preview *route.Preview `json:"preview,omitempty"`
}

// Apply checks a table and has it agreed by the cores.
func (m *Machine) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) Output {
	m.out = &Output{}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.Counters.Refused++
		m.answer(ticket, Handed{Faults: faults})
		return *m.out
	}
	m.await(now, ticket, Handed{Unsure: true})
	m.agree(now, ticket, core.AcceptTable{Base: base, Number: parsed.Number, Text: text, Digest: digest}, parsed, now+m.params.Within)
	return *m.out
}

// agree has a checked table agreed by the cores, and answers the call that brought it.
func (m *Machine) agree(now time.Duration, ticket uint64, c core.AcceptTable, parsed *route.Table, until time.Duration) {
	m.caller.Call(now, c, until, func(now time.Duration, o core.Outcome) {
		agreed, ok := o.Answer.(core.AcceptTableResult)
		switch {
		case !ok:
			m.settle(ticket, Handed{Unsure: true})
		case agreed.OK:
			m.Counters.Applied++
			m.install(now, parsed, c.Digest)
			m.settle(ticket, Handed{OK: true, Number: agreed.Number})
		case parsed.Number <= agreed.Number && c.Base == agreed.Number:
			m.settle(ticket, Handed{Number: agreed.Number, Faults: configuration.Faults{{Path: "number", Value: parsed.Number, Allowed: "above the one in force"}}})
		default:
			m.settle(ticket, Handed{Race: true, Number: agreed.Number})
		}
	})
}

// Read reads the table in force from the cores: what they answer is the newest.
func (m *Machine) Read(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	m.await(now, ticket, core.CurrentTable{})
	m.caller.Call(now, core.ReadTable{}, now+m.params.Within, func(now time.Duration, o core.Outcome) {
		t, _ := o.Answer.(core.CurrentTable)
		m.settle(ticket, t)
	})
	return *m.out
}
