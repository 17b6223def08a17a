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
		first.Call(0, ReadEntries{Part: 1}, time.Second, func(time.Duration, Outcome) {})
		second.Call(0, ReadEntries{Part: 1}, time.Second, func(time.Duration, Outcome) { wrong++ })
	}
	for _, c := range before {
		second.Receive(0, "c", CommandReturn{ID: c.ID, Part: 1, Raw: message.Pack(Done{OK: true})})
	}
	if wrong > 0 {
		t.Errorf("%d returns of an earlier life were taken", wrong)
	}
	for _, c := range after {
		second.Receive(0, "c", CommandReturn{ID: c.ID, Part: 1, Raw: message.Pack(Done{OK: true})})
	}
	if wrong != 40 {
		t.Errorf("%d of 40 own returns were taken", wrong)
	}
}
