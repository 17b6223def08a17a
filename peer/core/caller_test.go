package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/message"
)

func caller(seed uint64, sent *[]Command) *Caller {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Caller{Retry: 100 * time.Millisecond, Random: random.Float64, Parts: func() int { return 4 }, Anyone: func() []string { return []string{"c"} },
		Send: func(to string, body any) { *sent = append(*sent, body.(Command)) }}
}

// TestReturnOfAnEarlierLife: a process that comes back at the same address may
// still get returns meant for its earlier life. They must not be taken for
// returns to what it asks now.
func TestReturnOfAnEarlierLife(t *testing.T) {
	var before, after []Command
	first, second := caller(1, &before), caller(2, &after)
	wrong := 0
	for i := 0; i < 40; i++ {
		first.Call(0, ReadEntries{Partition: 1}, time.Second, func(time.Duration, Outcome) {})
		second.Call(0, ReadEntries{Partition: 1}, time.Second, func(time.Duration, Outcome) { wrong++ })
	}
	for _, c := range before {
		second.Receive(0, "c", CommandResult{ID: c.ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	}
	if wrong > 0 {
		t.Errorf("%d returns of an earlier life were taken", wrong)
	}
	for _, c := range after {
		second.Receive(0, "c", CommandResult{ID: c.ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	}
	if wrong != 40 {
		t.Errorf("%d of 40 own returns were taken", wrong)
	}
}

// TestUnansweredCommandsBackOff: what stays without an answer for long is asked for
// less and less often, so that a partition without a majority is not buried under
// settlements that are kept for minutes. What waits for a request is asked for as
// often as ever, and all of it at once when somebody is said to lead the partition.
func TestUnansweredCommandsBackOff(t *testing.T) {
	var sent []Command
	c := caller(1, &sent)
	const commands, within = 50, 10 * time.Minute
	for range commands {
		c.Call(0, ReadEntries{Partition: 1}, within, func(time.Duration, Outcome) {})
	}
	now := time.Duration(0)
	pass := func(d time.Duration) int {
		before := len(sent)
		for end := now + d; now < end; {
			now += 50 * time.Millisecond
			c.Tick(now)
		}
		return len(sent) - before
	}
	if early := pass(2 * time.Second); early < commands*15 {
		t.Errorf("%d tries in the first two seconds", early)
	}
	pass(time.Minute)
	if late := pass(time.Minute); late > commands*40 {
		t.Errorf("%d tries of %d commands in the third minute", late, commands)
	}
	c.Hint(1, "leader")
	if first := pass(100 * time.Millisecond); first < commands {
		t.Errorf("%d of %d commands are tried at once at the new leader", first, commands)
	}
	// The same word again wakes nothing, the first answer does, once.
	c.Hint(1, "leader")
	if again := pass(100 * time.Millisecond); again > 0 {
		t.Errorf("%d tries by a word that is not new", again)
	}
	c.Receive(now, "other", CommandResult{ID: sent[len(sent)-1].ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	if woken := pass(100 * time.Millisecond); woken < commands-1 {
		t.Errorf("%d of %d commands are tried at once after an answer", woken, commands-1)
	}
	c.Receive(now, "other", CommandResult{ID: sent[len(sent)-1].ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	if again := pass(100 * time.Millisecond); again > 0 {
		t.Errorf("%d tries by a second answer", again)
	}
}
