package simulator

import (
	"testing"
)

func TestCalm(t *testing.T) {
	p := Defaults(1)
	p.Faults, p.Loss, p.Operators = false, 0, 1
	p.Logf = t.Logf
	w, breaches := Run(p)
	for _, line := range w.Summary() {
		t.Log(line)
	}
	for _, b := range breaches {
		t.Error(b)
	}
	if w.Counts["asked turn whole"] < 100 {
		t.Error("too few whole turns")
	}
}
