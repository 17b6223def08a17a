package relaysim

import "testing"

// linearizableRecord holds three orders and two reads: the second order lost the race against the
// first, and the third has no conclusive answer.
func linearizableRecord() *Record {
	return &Record{
		Tables: []*Table{
			{Number: 1, Valid: true, Text: []byte("one"), SentAt: 1 * sec, AckedAt: 3 * sec, Acked: true},
			{Number: 2, Valid: true, Text: []byte("two"), SentAt: 2 * sec, Refused: true, RefusedAt: 4 * sec},
			{Base: 1, Number: 3, Valid: true, Text: []byte("three"), SentAt: 5 * sec},
		},
		OperatorReads: []ReadBack{
			{From: 4 * sec, At: 6 * sec, Number: 1, Text: []byte("one")},
			{From: 7 * sec, At: 8 * sec, Number: 3, Text: []byte("three")},
		},
	}
}

func TestLinearizableDetectsBreaches(t *testing.T) {
	if list := (&recordIndex{Record: linearizableRecord()}).checkLinearizable(); len(list) > 0 {
		t.Fatal(list)
	}
	for name, inject := range map[string]func(*Record){
		"a read older than an acknowledged order": func(r *Record) { r.OperatorReads[0] = ReadBack{From: 4 * sec, At: 6 * sec} },
		"a read older than a previous read": func(r *Record) {
			r.OperatorReads = append(r.OperatorReads, ReadBack{From: 9 * sec, At: 9 * sec, Number: 1, Text: []byte("one")})
		},
		"another text under a number":  func(r *Record) { r.OperatorReads[0].Text = []byte("two") },
		"two orders taken on one base": func(r *Record) { r.Tables[1].Refused, r.Tables[1].Acked, r.Tables[1].AckedAt = false, true, 4*sec },
		"a refused order in force": func(r *Record) {
			r.OperatorReads[1] = ReadBack{From: 7 * sec, At: 8 * sec, Number: 2, Text: []byte("two")}
		},
		"an order refused without a rival": func(r *Record) { r.Tables[1].RefusedAt, r.Tables[0].SentAt = 2*sec, 2*sec+1 },
		"a table read before its order was sent": func(r *Record) {
			r.OperatorReads[0] = ReadBack{From: 4 * sec, At: 4 * sec, Number: 3, Text: []byte("three")}
		},
		"an acknowledged order lost": func(r *Record) {
			r.Tables[2].Acked, r.Tables[2].AckedAt, r.OperatorReads[1] = true, 6*sec, ReadBack{From: 7 * sec, At: 8 * sec, Number: 1, Text: []byte("one")}
		},
	} {
		r := linearizableRecord()
		inject(r)
		if list := (&recordIndex{Record: r}).checkLinearizable(); len(list) != 1 || list[0].Rule != RuleLinear {
			t.Errorf("%s: %v", name, list)
		}
	}
}

// Guards against a vacuous check of linearizability: runs must record enough orders and reads.
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
