package core

import (
	"strconv"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/rehearsal"
)

// Taking follows one description from its hand-over to its being in force.
type Taking struct {
	Version uint64               `json:"version"`
	Taken   bool                 `json:"taken"`
	Code    string               `json:"code,omitempty"`
	Reason  string               `json:"reason,omitempty"`
	Faults  configuration.Faults `json:"faults,omitempty"`
	Figures *rehearsal.Result    `json:"figures,omitempty"`
}

// Hand is a description that an operator hands over.
type Hand struct {
	BasedOn uint64
	Text    []byte
	// Digest is told by the operator's side, so that a repeated hand-over of
	// the same text is known for one.
	Digest string
	Within time.Duration
	// PlanOnly rehearses and changes nothing.
	PlanOnly bool
}

// Apply checks a description, rehearses it on recent inquiries, measures it
// against its approval limits, agrees it by way of its part, and waits until
// every member follows it or its term has ended.
func (m *Machine) Apply(now time.Duration, ticket uint64, h Hand) Output {
	m.out = &Output{}
	until := now + h.Within
	after, faults := configuration.Parse(h.Text)
	if len(faults) > 0 {
		m.answer(ticket, Taking{Code: "faulty", Reason: "the description has faults", Faults: faults})
		return *m.out
	}
	m.caller.Call(now, ReadEntries{Part: ConfigurationPart, Prefix: configurationKey}, until, func(now time.Duration, o Outcome) {
		list, ok := o.Answer.(Entries)
		if !ok {
			m.answer(ticket, Taking{Code: "unsure", Reason: "the configuration's part gave no answer; nothing was agreed"})
			return
		}
		var old Configured
		var before *configuration.Description
		for _, e := range list.Entries {
			if message.Unmarshal(e.Value, &old) == nil {
				before, _ = configuration.Parse(old.Text)
			}
		}
		switch {
		case h.PlanOnly:
		case old.Version > h.BasedOn:
			// It lost a race, or it was accepted before and comes again. It can't be
			// newly accepted any more, so there is nothing to rehearse.
			m.agree(now, ticket, until, h, nil)
			return
		case old.Version < h.BasedOn:
			m.answer(ticket, raceLost(old.Version))
			return
		}
		m.gather(now, until, func(now time.Duration, samples []rehearsal.Sample) {
			figures := rehearsal.Run(before, after, samples)
			switch {
			case h.PlanOnly:
				m.answer(ticket, Taking{Version: old.Version, Code: "planned", Figures: &figures})
			case !figures.Approved:
				m.answer(ticket, Taking{Version: old.Version, Code: "not_approved", Reason: "rehearsal newly refused more than the description's approval limit", Figures: &figures})
			default:
				m.agree(now, ticket, until, h, &figures)
			}
		})
	})
	return *m.out
}

func raceLost(version uint64) Taking {
	return Taking{Version: version, Code: "race_lost", Reason: "another configuration came first; version " + strconv.FormatUint(version, 10) + " is in force"}
}

func (m *Machine) agree(now time.Duration, ticket uint64, until time.Duration, h Hand, figures *rehearsal.Result) {
	m.caller.Call(now, AgreeConfiguration{BasedOn: h.BasedOn, Text: h.Text, Digest: h.Digest}, until, func(now time.Duration, o Outcome) {
		agreed, ok := o.Answer.(Agreed)
		switch {
		case !ok:
			m.answer(ticket, Taking{Code: "unsure", Reason: "the configuration's part gave no answer in time; hand the same text over again to find out"})
		case !agreed.Agreed:
			m.answer(ticket, raceLost(agreed.Version))
		default:
			m.floor(now, Taking{Version: agreed.Version, Figures: figures}, ticket, until, map[int]bool{})
		}
	})
}

// gather asks every member for its recent inquiries. Those that give none in a
// short time are left out.
func (m *Machine) gather(now, until time.Duration, next func(now time.Duration, samples []rehearsal.Sample)) {
	waiting := m.founding.Partitions
	members := map[string]Member{}
	for n := 0; n < m.founding.Partitions; n++ {
		m.caller.Call(now, ReadEntries{Part: n, Prefix: memberPrefix}, min(until, now+m.params.MemberTerm), func(now time.Duration, o Outcome) {
			list, _ := o.Answer.(Entries)
			for _, e := range list.Entries {
				var one Member
				if message.Unmarshal(e.Value, &one) == nil && !one.Ended {
					members[one.ID] = one
				}
			}
			waiting--
			if waiting > 0 {
				return
			}
			m.sampleRound++
			id := m.sampleRound
			m.samples = map[string][]rehearsal.Sample{}
			for _, name := range ordered.Keys(members) {
				m.send(members[name].Peer, AskSamples{ID: id}, false)
			}
			m.gathering(now, now+m.params.MemberTerm/4, id, len(members), next)
		})
	}
}

func (m *Machine) gathering(now, until time.Duration, id uint64, want int, next func(now time.Duration, samples []rehearsal.Sample)) {
	if id != m.sampleRound || len(m.samples) >= want || now >= until {
		var all []rehearsal.Sample
		for _, name := range ordered.Keys(m.samples) {
			all = append(all, m.samples[name]...)
		}
		next(now, all)
		return
	}
	m.later.Add(now+m.params.Pull/4, func(now time.Duration) { m.gathering(now, until, id, want, next) })
}

func (m *Machine) floor(now time.Duration, taking Taking, ticket uint64, until time.Duration, done map[int]bool) {
	version := taking.Version
	waiting := 0
	for n := 0; n < m.founding.Partitions; n++ {
		if !done[n] {
			waiting++
		}
	}
	if waiting == 0 {
		taking.Taken = true
		m.answer(ticket, taking)
		return
	}
	if now >= until {
		taking.Code, taking.Reason = "agreed_not_taken", "agreed, and will be in force; not every member has said that it follows"
		m.answer(ticket, taking)
		return
	}
	ended := false
	for n := 0; n < m.founding.Partitions; n++ {
		if done[n] {
			continue
		}
		m.caller.Call(now, SetFloor{Part: n, Version: version}, until, func(now time.Duration, o Outcome) {
			if f, ok := o.Answer.(Floored); ok {
				done[n] = f.Done
			}
			waiting--
			if waiting == 0 && !ended {
				ended = true
				m.later.Add(now+m.params.Pull/4, func(now time.Duration) { m.floor(now, taking, ticket, until, done) })
			}
		})
	}
}
