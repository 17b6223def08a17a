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
func (m *Machine) updateConfirmation(now time.Duration) {
	if m.lastFresh.Upto == (partition.Version{}) || m.pulledUpTo.Less(m.lastFresh.Upto) {
		return
	}
	first := m.lastConfirmed < 0
	m.lastConfirmed = max(m.lastConfirmed, m.lastFresh.Sent-m.lastFresh.Age)
	if first {
		for _, address := range ordered.Keys(m.subscribers) {
			m.sendUpdate(now, address, m.subscribers[address], true)
		}
	}
}

func (m *Machine) onTableSnapshot(now time.Duration, b core.News) {
	if b.Part != core.ConfigurationPart || !m.pulledUpTo.Less(b.Upto) || (!b.Whole && m.pulledUpTo.Less(b.After)) {
		return
	}
	m.pulledUpTo = b.Upto
	t := core.Topology{Fleet: m.topology.Fleet, Cores: map[string]core.Core{}}
	for _, e := range b.Entries {
		switch {
		case e.Key == core.TableKey:
			var agreed core.AgreedTable
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
	m.mergeTopology(now, t)
	m.updateConfirmation(now)
}

func (m *Machine) pull(now time.Duration) {
	request := core.Pull{Versions: map[int]partition.Version{core.ConfigurationPart: m.pulledUpTo}, Fresh: true, Sent: now, Want: len(m.topology.Owners) == 0 || m.random() < 0.2}
	if to := m.caller.HintOf(core.ConfigurationPart); to != "" && m.lastConfirmed >= 0 && now-m.lastConfirmed < 3*m.params.Core.Pull {
		m.addSend(to, request)
		return
	}
	request.Want = true
	for _, to := range m.coreAddresses() {
		m.addSend(to, request)
	}
}

// Handed is what became of a table that was handed over.
type OrderResult struct {
	// OK: agreed, and durable. Unsure: nobody knows yet; the same may be handed
	// over again.
	Accepted bool `json:"taken"`
	Unsure   bool `json:"unsure"`
	// Race: another is in force than it was based on.
	RaceLost bool                 `json:"race_lost"`
	Number   uint64               `json:"number"`
	Faults   configuration.Faults `json:"faults,omitempty"`
	// Preview is what an amendment would change, where only that was asked.
	Preview *route.Preview `json:"preview,omitempty"`
}

// Apply checks a table and has it agreed by the cores.
func (m *Machine) Apply(now time.Duration, ticket uint64, base uint64, text []byte, digest string) Output {
	m.out = &Output{}
	parsed, faults := route.Parse(text)
	if faults != nil {
		m.Counters.TablesRefused++
		m.addAnswer(ticket, OrderResult{Faults: faults})
		return *m.out
	}
	m.addPending(now, ticket, OrderResult{Unsure: true})
	m.proposeTable(now, ticket, core.AgreeTable{Base: base, Number: parsed.Number, Text: text, Digest: digest}, parsed, now+m.params.OperationTimeout)
	return *m.out
}

// agree has a checked table agreed by the cores, and answers the call that brought it.
func (m *Machine) proposeTable(now time.Duration, ticket uint64, c core.AgreeTable, parsed *route.Table, deadline time.Duration) {
	m.caller.Call(now, c, deadline, func(now time.Duration, o core.Outcome) {
		agreed, ok := o.Answer.(core.TableAgreed)
		switch {
		case !ok:
			m.resolve(ticket, OrderResult{Unsure: true})
		case agreed.OK:
			m.Counters.TablesApplied++
			m.install(now, parsed, c.Digest)
			m.resolve(ticket, OrderResult{Accepted: true, Number: agreed.Number})
		case parsed.Number <= agreed.Number && c.Base == agreed.Number:
			m.resolve(ticket, OrderResult{Number: agreed.Number, Faults: configuration.Faults{{Path: "number", Value: parsed.Number, Allowed: "above the one in force"}}})
		default:
			m.resolve(ticket, OrderResult{RaceLost: true, Number: agreed.Number})
		}
	})
}

// Read reads the table in force from the cores: what they answer is the newest.
func (m *Machine) Read(now time.Duration, ticket uint64) Output {
	m.out = &Output{}
	m.addPending(now, ticket, core.AgreedTable{})
	m.caller.Call(now, core.ReadTable{}, now+m.params.OperationTimeout, func(now time.Duration, o core.Outcome) {
		t, _ := o.Answer.(core.AgreedTable)
		m.resolve(ticket, t)
	})
	return *m.out
}
