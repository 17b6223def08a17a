package core

import (
	"strconv"
	"time"

	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/ordered"
	"saffronfall/rule/replay"
)

// ApplyResult is the outcome of an ApplyRequest. InForce means that every member follows the
// configuration.
type ApplyResult struct {
	Version uint64               `json:"version"`
	InForce bool                 `json:"taken"`
	Code    string               `json:"code,omitempty"`
	Reason  string               `json:"reason,omitempty"`
	Faults  configuration.Faults `json:"faults,omitempty"`
	Replay  *replay.Result       `json:"figures,omitempty"`
}

// ApplyRequest is a configuration that an operator submits.
type ApplyRequest struct {
	BasedOn uint64
	Text    []byte
	// Digest is the text's digest. It identifies repetitions of this request.
	Digest  string
	Timeout time.Duration
	// PlanOnly replays recent requests under the configuration and changes nothing.
	PlanOnly bool
}

// ApplyConfiguration checks a configuration, replays recent requests under it, and commits it if it
// is approved. It then waits until each member follows it or its membership has ended.
func (m *Machine) ApplyConfiguration(now time.Duration, ticket uint64, request ApplyRequest) Output {
	m.out = &Output{}
	until := now + request.Timeout
	after, faults := configuration.Parse(request.Text)
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
		var current CurrentConfiguration
		var before *configuration.Description
		for _, e := range list.Entries {
			if message.Unmarshal(e.Value, &current) == nil {
				before, _ = configuration.Parse(current.Text)
			}
		}
		switch {
		case request.PlanOnly:
		case current.Version > request.BasedOn:
			// It lost a race or is a repetition. It can't be newly accepted, so it needs no replay.
			m.acceptConfiguration(now, ticket, until, request, nil)
			return
		case current.Version < request.BasedOn:
			m.answerOperator(ticket, raceLost(current.Version))
			return
		}
		m.collectSamples(now, until, func(now time.Duration, samples []replay.Sample) {
			replayed := replay.Run(before, after, samples)
			switch {
			case request.PlanOnly:
				m.answerOperator(ticket, ApplyResult{Version: current.Version, Code: "planned", Replay: &replayed})
			case !replayed.Approved:
				m.answerOperator(ticket, ApplyResult{
					Version: current.Version,
					Code:    "not_approved",
					Reason:  "rehearsal newly refused more than the description's approval limit",
					Replay:  &replayed,
				})
			default:
				m.acceptConfiguration(now, ticket, until, request, &replayed)
			}
		})
	})
	return *m.out
}

func raceLost(version uint64) ApplyResult {
	return ApplyResult{
		Version: version,
		Code:    "race_lost",
		Reason:  "another configuration came first; version " + strconv.FormatUint(version, 10) + " is in force",
	}
}

func (m *Machine) acceptConfiguration(
	now time.Duration, ticket uint64, until time.Duration, request ApplyRequest, replayed *replay.Result,
) {
	m.caller.Call(now, AcceptConfiguration{
		BasedOn: request.BasedOn,
		Text:    request.Text,
		Digest:  request.Digest,
	}, until, func(now time.Duration, o Outcome) {
		accepted, ok := o.Answer.(AcceptConfigurationResult)
		switch {
		case !ok:
			m.answerOperator(ticket, ApplyResult{
				Code:   "unsure",
				Reason: "the configuration's part gave no answer in time; hand the same text over again to find out",
			})
		case !accepted.Accepted:
			m.answerOperator(ticket, raceLost(accepted.Version))
		default:
			m.raiseVersionFloor(now, ApplyResult{Version: accepted.Version, Replay: replayed}, ticket, until, map[int]bool{})
		}
	})
}

const (
	// sampleTimeoutDivisor divides a member lease.
	sampleTimeoutDivisor = 4
	pollsPerPullInterval = 4
)

// collectSamples leaves out members that do not answer in time.
func (m *Machine) collectSamples(now, until time.Duration, next func(now time.Duration, samples []replay.Sample)) {
	waiting := m.founding.Partitions
	members := map[string]Member{}
	for n := 0; n < m.founding.Partitions; n++ {
		m.caller.Call(now, ReadEntries{
			Partition: n,
			Prefix:    memberPrefix,
		}, min(until, now+m.params.MemberLease), func(now time.Duration, o Outcome) {
			list, _ := o.Answer.(Entries)
			for _, e := range list.Entries {
				var member Member
				if message.Unmarshal(e.Value, &member) == nil && !member.Ended {
					members[member.ID] = member
				}
			}
			waiting--
			if waiting > 0 {
				return
			}
			m.sampleRound++
			id := m.sampleRound
			m.samples = map[string][]replay.Sample{}
			for _, name := range ordered.Keys(members) {
				m.send(members[name].Peer, ReadSamples{ID: id}, false)
			}
			m.awaitSamples(now, now+m.params.MemberLease/sampleTimeoutDivisor, id, len(members), next)
		})
	}
}

func (m *Machine) awaitSamples(now, until time.Duration, id uint64, want int, next func(now time.Duration, samples []replay.Sample)) {
	if id != m.sampleRound || len(m.samples) >= want || now >= until {
		var all []replay.Sample
		for _, name := range ordered.Keys(m.samples) {
			all = append(all, m.samples[name]...)
		}
		next(now, all)
		return
	}
	m.timers.Add(now+m.params.PullInterval/pollsPerPullInterval, func(now time.Duration) { m.awaitSamples(now, until, id, want, next) })
}

// raiseVersionFloor repeats until no member lags behind, or until the deadline.
func (m *Machine) raiseVersionFloor(now time.Duration, result ApplyResult, ticket uint64, until time.Duration, done map[int]bool) {
	version := result.Version
	waiting := 0
	for n := 0; n < m.founding.Partitions; n++ {
		if !done[n] {
			waiting++
		}
	}
	if waiting == 0 {
		result.InForce = true
		m.answerOperator(ticket, result)
		return
	}
	if now >= until {
		result.Code, result.Reason = "agreed_not_taken", "agreed, and will be in force; not every member has said that it follows"
		m.answerOperator(ticket, result)
		return
	}
	scheduled := false
	for n := 0; n < m.founding.Partitions; n++ {
		if done[n] {
			continue
		}
		m.caller.Call(now, SetVersionFloor{Partition: n, Version: version}, until, func(now time.Duration, o Outcome) {
			if f, ok := o.Answer.(VersionFloorResult); ok {
				done[n] = f.Done
			}
			waiting--
			if waiting == 0 && !scheduled {
				scheduled = true
				m.timers.Add(now+m.params.PullInterval/pollsPerPullInterval, func(now time.Duration) {
					m.raiseVersionFloor(now, result, ticket, until, done)
				})
			}
		})
	}
}
