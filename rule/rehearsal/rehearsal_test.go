package rehearsal

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"saffronfall/rule/configuration"
)

// TestPlan: what a plan tells of a change that takes a key, narrows a role and
// lowers a rate, on inquiries that all three concern.
func TestPlan(t *testing.T) {
	parse := func(text string) *configuration.Description {
		d, faults := configuration.Parse([]byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return d
	}
	clerk, keeper := configuration.Sum("clerk"), configuration.Sum("keeper")
	before := parse(`{"roles":{"viewer":{"sessions_per_minute":5}},"services":{"model":{"kind":"model"}},
		"tenants":{"parish":{"keys":[{"sha256":"` + clerk + `"}]},"station":{"keys":[{"sha256":"` + keeper + `"}],"inquiries_per_second":50}}}`)
	after := parse(`{"roles":{"viewer":{"sessions_per_minute":2,"steps":3}},"services":{"model":{"kind":"model"}},
		"tenants":{"parish":{"keys":[]},"station":{"keys":[{"sha256":"` + keeper + `"}],"inquiries_per_second":1,"burst":4}}}`)
	var samples []Sample
	for i := 0; i < 4; i++ {
		samples = append(samples, Sample{Tenant: "parish", User: "ana", Role: "viewer", Kind: "open", KeySum: clerk, Age: time.Duration(9-i) * time.Second},
			Sample{Tenant: "station", User: "bo", Role: "viewer", Kind: "open", KeySum: keeper, Age: time.Duration(9-i) * time.Second})
	}
	for i := 0; i < 8; i++ {
		samples = append(samples, Sample{Tenant: "station", User: "bo", Role: "viewer", Kind: "turn", Service: "model", KeySum: keeper, Steps: int64(i + 1), Tokens: 100, Charged: int64(i+1) * 100, Age: time.Duration(900-i*10) * time.Millisecond})
	}
	goldie.New(t).Assert(t, "plan", []byte(Run(before, after, samples).Text(7)))
}
