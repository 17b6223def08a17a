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
type ApplyResult struct {
	Version   uint64               `json:"version"`
	InForce   bool                 `json:"taken"`
	Code      string               `json:"code,omitempty"`
	Reason    string               `json:"reason,omitempty"`
	Faults    configuration.Faults `json:"faults,omitempty"`
	Rehearsal *rehearsal.Result    `json:"figures,omitempty"`
}

// Hand is a description that an operator hands over.
type ApplyRequest struct {
	BasedOn uint64
	Text    []byte
	// Digest is told by the operator's side, so that a repeated hand-over of
	// the same text is known for one.
	Digest  string
	Timeout time.Duration
	// PlanOnly rehearses and changes nothing.
	PlanOnly bool
}

// Apply checks a description, rehearses it on recent inquiries, measures it
// against its approval limits, agrees it by way of its part, and waits until
// every member follows it or its term has ended.
func (m *Machine) ApplyConfiguration(now time.Duration, ticket uint64, h ApplyRequest) Output {
	m.out = &Output{}
	until := now + h.Timeout
	after, faults := configuration.Parse(h.Text)
	if len(faults) > 0 {
		m.answerOperator(ticket, ApplyResult{Code: "faulty", Reason: "the description has faults", Faults: faults})
		return *m.out
	}
	m.caller.Call(now, ReadEntries{Partition: ConfigurationPartition, Prefix: configurationKey}, until, func(now time.Duration, o Outcome) {
		list, ok := o.Answer.(Entries)
		if !ok {
			m.answerOperator(ticket, ApplyResult{Code: "unsure", Reason: "the configuration's part gave no answer; nothing was agreed"})
			return
		}
		var old CurrentConfiguration
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
			m.acceptConfiguration(now, ticket, until, h, nil)
			return
		case old.Version < h.BasedOn:
			m.answerOperator(ticket, raceLost(old.Version))
			return
		}
		m.collectSamples(now, until, func(now time.Duration, samples []rehearsal.Sample) {
			figures := rehearsal.Run(before, after, samples)
			switch {
			case h.PlanOnly:
				m.answerOperator(ticket, ApplyResult{Version: old.Version, Code: "planned", Rehearsal: &figures})
			case !figures.Approved:
				m.answerOperator(ticket, ApplyResult{Version: old.Version, Code: "not_approved", Reason: "rehearsal newly refused more than the description's approval limit", Rehearsal: &figures})
			default:
				m.acceptConfiguration(now, ticket, until, h, &figures)
			}
		})
	})
	return *m.out
}

func raceLost(version uint64) ApplyResult {
	return ApplyResult{Version: version, Code: "race_lost", Reason: "another configuration came first; version " + strconv.FormatUint(version, 10) + " is in force"}
}

func (m *Machine) acceptConfiguration(now time.Duration, ticket uint64, until time.Duration, h ApplyRequest, figures *rehearsal.Result) {
	m.caller.Call(now, AcceptConfiguration{BasedOn: h.BasedOn, Text: h.Text, Digest: h.Digest}, until, func(now time.Duration, o Outcome) {
		agreed, ok := o.Answer.(AcceptConfigurationResult)
		switch {
		case !ok:
			m.answerOperator(ticket, ApplyResult{Code: "unsure", Reason: "the configuration's part gave no answer in time; hand the same text over again to find out"})
		case !agreed.Accepted:
			m.answerOperator(ticket, raceLost(agreed.Version))
		default:
			m.raiseVersionFloor(now, ApplyResult{Version: agreed.Version, Rehearsal: figures}, ticket, until, map[int]bool{})
		}
	})
}

// gather asks every member for its recent inquiries. Those that give none in a
// short time are left out.
func (m *Machine) collectSamples(now, until time.Duration, next func(now time.Duration, samples []rehearsal.Sample)) {
	waiting := m.founding.Parts
	members := map[string]Member{}
	for n := 0; n < m.founding.Parts; n++ {
		m.caller.Call(now, ReadEntries{Partition: n, Prefix: memberPrefix}, min(until, now+m.params.MemberLease), func(now time.Duration, o Outcome) {
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
			m.gathered++
			id := m.gathered
			m.samples = map[string][]rehearsal.Sample{}
			for _, name := range ordered.Keys(members) {
				m.send(members[name].Peer, ReadSamples{ID: id}, false)
			}
			m.awaitSamples(now, now+m.params.MemberLease/4, id, len(members), next)
		})
	}
}

func (m *Machine) awaitSamples(now, until time.Duration, id uint64, want int, next func(now time.Duration, samples []rehearsal.Sample)) {
	if id != m.gathered || len(m.samples) >= want || now >= until {
		var all []rehearsal.Sample
		for _, name := range ordered.Keys(m.samples) {
			all = append(all, m.samples[name]...)
		}
		next(now, all)
		return
	}
	m.later.Add(now+m.params.PullInterval/4, func(now time.Duration) { m.awaitSamples(now, until, id, want, next) })
}

func (m *Machine) raiseVersionFloor(now time.Duration, taking ApplyResult, ticket uint64, until time.Duration, done map[int]bool) {
	version := taking.Version
	waiting := 0
	for n := 0; n < m.founding.Parts; n++ {
		if !done[n] {
			waiting++
		}
	}
	if waiting == 0 {
		taking.InForce = true
		m.answerOperator(ticket, taking)
		return
	}
	if now >= until {
		taking.Code, taking.Reason = "agreed_not_taken", "agreed, and will be in force; not every member has said that it follows"
		m.answerOperator(ticket, taking)
		return
	}
	ended := false
	for n := 0; n < m.founding.Parts; n++ {
		if done[n] {
			continue
		}
		m.caller.Call(now, SetVersionFloor{Partition: n, Version: version}, until, func(now time.Duration, o Outcome) {
			if f, ok := o.Answer.(VersionFloorResult); ok {
				done[n] = f.Done
			}
			waiting--
			if waiting == 0 && !ended {
				ended = true
				m.later.Add(now+m.params.PullInterval/4, func(now time.Duration) { m.raiseVersionFloor(now, taking, ticket, until, done) })
			}
		})
	}
}
