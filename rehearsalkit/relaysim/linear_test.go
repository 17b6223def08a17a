package relaysim

import "testing"

// linearRecord is a history of three orders and two reads that is linearizable:
// the second order lost to the first, the third has no clear answer.
func linearRecord() *Record {
	return &Record{
		Tables: []*Table{
			{Number: 1, Valid: true, Text: []byte("one"), Sent: 1 * s, Acked: 3 * s, IsAcked: true},
			{Number: 2, Valid: true, Text: []byte("two"), Sent: 2 * s, Refused: true, RefusedAt: 4 * s},
			{Base: 1, Number: 3, Valid: true, Text: []byte("three"), Sent: 5 * s},
		},
		Readings: []ReadBack{
			{From: 4 * s, At: 6 * s, Number: 1, Text: []byte("one")},
			{From: 7 * s, At: 8 * s, Number: 3, Text: []byte("three")},
		},
	}
}

// TestLinearCanFail breaks a good history in each way and wants it seen.
func TestLinearCanFail(t *testing.T) {
	if list := (&books{Record: linearRecord()}).linear(); len(list) > 0 {
		t.Fatal(list)
	}
	for name, harm := range map[string]func(*Record){
		"a read older than an acknowledged order": func(r *Record) { r.Readings[0] = ReadBack{From: 4 * s, At: 6 * s} },
		"a read that goes back": func(r *Record) {
			r.Readings = append(r.Readings, ReadBack{From: 9 * s, At: 9 * s, Number: 1, Text: []byte("one")})
		},
		"another text under a number":                   func(r *Record) { r.Readings[0].Text = []byte("two") },
		"two orders taken on one base":                  func(r *Record) { r.Tables[1].Refused, r.Tables[1].IsAcked, r.Tables[1].Acked = false, true, 4*s },
		"a refused order in force":                      func(r *Record) { r.Readings[1] = ReadBack{From: 7 * s, At: 8 * s, Number: 2, Text: []byte("two")} },
		"an order refused though nothing stood against": func(r *Record) { r.Tables[1].RefusedAt, r.Tables[0].Sent = 2*s, 2*s+1 },
		"read before it was ordered":                    func(r *Record) { r.Readings[0] = ReadBack{From: 4 * s, At: 4 * s, Number: 3, Text: []byte("three")} },
		"an acknowledged order lost": func(r *Record) {
			r.Tables[2].IsAcked, r.Tables[2].Acked, r.Readings[1] = true, 6*s, ReadBack{From: 7 * s, At: 8 * s, Number: 1, Text: []byte("one")}
		},
	} {
		r := linearRecord()
		harm(r)
		if list := (&books{Record: r}).linear(); len(list) != 1 || list[0].Rule != RuleLinear {
			t.Errorf("%s: %v", name, list)
		}
	}
}

// TestRunsRecordReads wants the histories that are judged to hold reads among
// the orders, or the judgement shows little.
func TestRunsRecordReads(t *testing.T) {
	orders, reads := 0, 0
	RunSeeds(1, 3, nil, func(o Outcome) {
		orders += int(o.Counts["tables acknowledged"])
		reads += int(o.Counts["tables read"])
		for _, b := range o.Breaches {
			t.Error(b)
		}
	})
	if orders < 6 || reads < 6 {
		t.Errorf("%d orders acknowledged, %d reads", orders, reads)
	}
}
