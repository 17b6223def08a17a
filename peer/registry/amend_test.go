package registry

import (
	"testing"
	"time"

	"saffronfall/peer/core"
	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
	"saffronfall/rule/route"
)

// scriptedCores answers a registry's commands by a function; nil sends no answer.
type scriptedCores struct {
	registry *Machine
	answer   func(command any) any
	commands []any
}

// run answers all commands and returns the registry's answers.
func (s *scriptedCores) run(t *testing.T, now time.Duration, o Output) []Answer {
	t.Helper()
	answers := o.Answers
	for _, c := range sentTo[core.Command](o, "c:1") {
		command, err := message.Open(c.Raw)
		if err != nil {
			t.Fatal(err)
		}
		s.commands = append(s.commands, command)
		if body := s.answer(command); body != nil {
			next := s.registry.Receive(now, "c:1", core.CommandResult{ID: c.ID, Partition: c.Partition, Raw: message.Pack(body)})
			answers = append(answers, s.run(t, now, next)...)
		}
	}
	return answers
}

func addService(base, number uint64) Amendment {
	a := route.Amendment{Number: number, Set: route.SetItems{Services: []route.Service{{Name: "new", Connections: 1, TokensPerEvent: 1}}}}
	return Amendment{Base: base, Number: number, Digest: "d", Apply: ApplyAmendment(a)}
}

// TestAmend guards against amending a table other than the cores' current one.
func TestAmend(t *testing.T) {
	read := core.CurrentTable{Number: 4, Text: table(4), Digest: "four"}
	for _, c := range []struct {
		name      string
		amendment Amendment
		agreed    any
		found     any
		want      OrderResult
		// commands counts those sent to the cores.
		commands int
	}{
		{name: "accepted", amendment: addService(4, 5), agreed: core.AcceptTableResult{OK: true, Number: 5}, want: OrderResult{Accepted: true, Number: 5}, commands: 2},
		{name: "race lost during the proposal", amendment: addService(4, 5), agreed: core.AcceptTableResult{Number: 6}, want: OrderResult{RaceLost: true, Number: 6}, commands: 2},
		{name: "accepted before", amendment: addService(3, 4), found: core.AcceptTableResult{OK: true, Number: 4}, want: OrderResult{Accepted: true, Number: 4}, commands: 2},
		{name: "race lost before", amendment: addService(3, 5), found: core.AcceptTableResult{Number: 4}, want: OrderResult{RaceLost: true, Number: 4}, commands: 2},
		{name: "on a base that does not exist yet", amendment: addService(9, 10), found: core.AcceptTableResult{Number: 4}, want: OrderResult{RaceLost: true, Number: 4}, commands: 2},
		{name: "number not above the base", amendment: addService(4, 4), want: OrderResult{Number: 4, Faults: configuration.Faults{{}}}, commands: 1},
		{name: "no answer", amendment: addService(4, 5), want: OrderResult{Uncertain: true}, commands: 2},
	} {
		m := newRegistry(nil)
		foundFleet(m)
		cores := &scriptedCores{registry: m, answer: func(command any) any {
			switch command.(type) {
			case core.ReadTable:
				return read
			case core.FindOrder:
				return c.found
			}
			return c.agreed
		}}
		answers := cores.run(t, time.Millisecond, m.Amend(time.Millisecond, 7, c.amendment))
		if len(answers) == 0 {
			answers = m.Tick(5 * time.Second).Answers
		}
		if len(answers) != 1 || answers[0].Ticket != 7 {
			t.Fatalf("%s: answers %+v", c.name, answers)
		}
		got := answers[0].Body.(OrderResult)
		if got.Accepted != c.want.Accepted || got.RaceLost != c.want.RaceLost || got.Uncertain != c.want.Uncertain || got.Number != c.want.Number || (got.Faults == nil) != (c.want.Faults == nil) {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
		if len(cores.commands) != c.commands {
			t.Errorf("%s: commands %+v", c.name, cores.commands)
		}
		if c.name == "accepted" && m.TableNumber() != 5 {
			t.Errorf("the registry knows table %d", m.TableNumber())
		}
	}
}

func TestPreviewChangesNothing(t *testing.T) {
	m := newRegistry(nil)
	foundFleet(m)
	cores := &scriptedCores{registry: m, answer: func(any) any { return core.CurrentTable{Number: 4, Text: table(4), Digest: "four"} }}
	a := addService(4, 5)
	a.PreviewOnly = true
	answers := cores.run(t, time.Millisecond, m.Amend(time.Millisecond, 7, a))
	if len(answers) != 1 || len(cores.commands) != 1 {
		t.Fatalf("answers %+v, commands %+v", answers, cores.commands)
	}
	got := answers[0].Body.(OrderResult)
	if got.Accepted || got.Preview == nil || len(got.Preview.Services.Added) != 1 || got.Preview.Services.Added[0] != "new" {
		t.Fatalf("preview: %+v", got)
	}
}
