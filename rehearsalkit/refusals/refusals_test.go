package refusals

import (
	"strings"
	"testing"

	"saffronfall/peer/relay"
)

const log = `
starting
   1.2 edge-1/node {"msg":"request not served","id":"edge-1","cause":"budget","status":402,"attempt":"a1","route":"chat","more_of_this_cause":0}
   2.4 edge-1/node {"msg":"request not served","id":"edge-1","cause":"budget","status":402,"attempt":"a2","route":"chat","more_of_this_cause":7}
{"msg":"request not served","id":"edge-2","cause":"history_foreign","status":404,"attempt":"a3","route":"guide","more_of_this_cause":0}
{"msg":"request not served","id":"edge-2","cause":"no_replica","status":503,"attempt":"a4","route":"guide","more_of_this_cause":3}
{"msg":"another line that says request not served","status":404}
{"msg":"request not served","status":404
`

// Suppressed refusals must count, and lines with other messages must not.
func TestRead(t *testing.T) {
	r := Refusals{}
	if err := r.Read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	budget := Kind{Status: 402, Cause: "budget", Route: "chat"}
	foreign := Kind{Status: 404, Cause: "history_foreign", Route: "guide"}
	if len(r) != 2 || r[budget].Given != 9 || r[budget].Example != "a1" || r[foreign].Given != 1 {
		t.Errorf("%+v", r)
	}
	var out strings.Builder
	if err := r.Print(&out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.HasPrefix(lines[1], "402") || !strings.HasSuffix(lines[2], "owed") {
		t.Errorf("%s", out.String())
	}
}

// A cause that nodes answer with 400 to 499 must not lack an assessment.
func TestEveryCauseHasAssessment(t *testing.T) {
	for _, cause := range relay.ClientErrorCauses() {
		if _, known := assessments[string(cause)]; !known {
			t.Errorf("%s has no assessment", cause)
		}
	}
}
