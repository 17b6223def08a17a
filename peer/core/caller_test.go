package core

import (
	"math/rand/v2"
	"testing"
	"time"

	"saffronfall/rule/message"
)

func newCaller(seed uint64, sent *[]Command) *Caller {
	random := rand.New(rand.NewPCG(seed, seed))
	return &Caller{Retry: 100 * time.Millisecond, Random: random.Float64, Partitions: func() int { return 4 }, Cores: func() []string { return []string{"c"} },
		Send: func(to string, body any) { *sent = append(*sent, body.(Command)) }}
}

// A restarted process must not take results for commands of its earlier incarnation for answers to
// its own.
func TestResultForEarlierIncarnationIsIgnored(t *testing.T) {
	var before, after []Command
	first, second := newCaller(1, &before), newCaller(2, &after)
	accepted := 0
	for i := 0; i < 40; i++ {
		first.Call(0, ReadEntries{Partition: 1}, time.Second, func(time.Duration, Outcome) {})
		second.Call(0, ReadEntries{Partition: 1}, time.Second, func(time.Duration, Outcome) { accepted++ })
	}
	for _, c := range before {
		second.Receive(0, "c", CommandResult{ID: c.ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	}
	if accepted > 0 {
		t.Errorf("%d results for an earlier incarnation were accepted", accepted)
	}
	for _, c := range after {
		second.Receive(0, "c", CommandResult{ID: c.ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	}
	if accepted != 40 {
		t.Errorf("%d of 40 own results were accepted", accepted)
	}
}

// Commands that stay unanswered must not overload a partition without a majority.
func TestUnansweredCommandsBackOff(t *testing.T) {
	var sent []Command
	c := newCaller(1, &sent)
	const commands, within = 50, 10 * time.Minute
	for range commands {
		c.Call(0, ReadEntries{Partition: 1}, within, func(time.Duration, Outcome) {})
	}
	now := time.Duration(0)
	advance := func(d time.Duration) int {
		before := len(sent)
		for end := now + d; now < end; {
			now += 50 * time.Millisecond
			c.Tick(now)
		}
		return len(sent) - before
	}
	if early := advance(2 * time.Second); early < commands*15 {
		t.Errorf("%d attempts in the first two seconds", early)
	}
	advance(time.Minute)
	if late := advance(time.Minute); late > commands*40 {
		t.Errorf("%d attempts of %d commands in a minute after the first", late, commands)
	}
	c.SetLeader(1, "leader")
	if first := advance(100 * time.Millisecond); first < commands {
		t.Errorf("%d of %d commands are sent at once to the new leader", first, commands)
	}
	// The same leader again triggers no retries; the first answer of another does, once.
	c.SetLeader(1, "leader")
	if again := advance(100 * time.Millisecond); again > 0 {
		t.Errorf("%d attempts because of a leader that was known", again)
	}
	c.Receive(now, "other", CommandResult{ID: sent[len(sent)-1].ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	if retried := advance(100 * time.Millisecond); retried < commands-1 {
		t.Errorf("%d of %d commands are sent at once after an answer", retried, commands-1)
	}
	c.Receive(now, "other", CommandResult{ID: sent[len(sent)-1].ID, Partition: 1, Raw: message.Pack(Done{OK: true})})
	if again := advance(100 * time.Millisecond); again > 0 {
		t.Errorf("%d attempts because of a second answer", again)
	}
}

// TestCommandFollowsANewLeaderAtOnce guards against waiting out the retry interval of an attempt at the leader before.
func TestCommandFollowsANewLeaderAtOnce(t *testing.T) {
	var sentTo []string
	c := newCaller(1, &[]Command{})
	c.Send = func(to string, _ any) { sentTo = append(sentTo, to) }
	c.SetLeader(1, "old")
	var commands []Command
	c.Send = func(to string, body any) { sentTo, commands = append(sentTo, to), append(commands, body.(Command)) }
	c.Call(0, ReadEntries{Partition: 1}, time.Second, func(time.Duration, Outcome) {})
	c.SetLeader(1, "new")
	c.Tick(time.Millisecond)
	// The old leader's late answer must not make the caller forget the new one.
	c.Receive(2*time.Millisecond, "old", CommandResult{ID: commands[0].ID, Partition: 1, NotLeader: true})
	if len(sentTo) != 2 || sentTo[1] != "new" || c.Leader(1) != "new" {
		t.Errorf("sent to %v, leader %q", sentTo, c.Leader(1))
	}
}

// TestOperatorsCommandNeedsNoPartitions guards against a registry that can't read until it knows the whole fleet.
func TestOperatorsCommandNeedsNoPartitions(t *testing.T) {
	var sent []Command
	c := newCaller(1, &sent)
	c.Partitions = func() int { return 0 }
	ended := 0
	c.Call(0, ReadTable{}, time.Second, func(time.Duration, Outcome) { ended++ })
	if len(sent) != 1 || sent[0].Partition != ConfigurationPartition || ended != 0 {
		t.Errorf("%d commands sent, %d ended", len(sent), ended)
	}
	c.Call(0, JoinMember{}, time.Second, func(time.Duration, Outcome) { ended++ })
	if len(sent) != 1 || ended != 1 {
		t.Errorf("a command of an unknown partition: %d sent, %d ended", len(sent), ended)
	}
}

// Guards against a known leader that is never asked again after one unanswered attempt, because it
// is not among the cores.
func TestUnansweredLeaderIsAskedAgain(t *testing.T) {
	var sent []Command
	asked := map[string]int{}
	c := newCaller(1, &sent)
	c.Send = func(to string, body any) { asked[to]++ }
	c.SetLeader(1, "leader")
	c.Call(0, ReadEntries{Partition: 1}, 4*time.Second, func(time.Duration, Outcome) {})
	for now := time.Duration(0); now < 2*time.Second; now += 50 * time.Millisecond {
		c.Tick(now)
	}
	if asked["leader"] < 2 || asked["c"] < 2 {
		t.Errorf("attempts by address: %v", asked)
	}
}
