package replay

import (
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"saffronfall/rule/configuration"
)

// TestResultText covers a removed key, a restricted role and a lowered rate.
func TestResultText(t *testing.T) {
	parse := func(text string) *configuration.Description {
		d, faults := configuration.Parse([]byte(text))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		return d
	}
	parishKey, stationKey := configuration.KeyDigest("clerk"), configuration.KeyDigest("keeper")
	before := parse(`{"roles":{"viewer":{"sessions_per_minute":5}},"services":{"model":{"kind":"model"}},
		"tenants":{"parish":{"keys":[{"sha256":"` + parishKey + `"}]},"station":{"keys":[{"sha256":"` + stationKey + `"}],"inquiries_per_second":50}}}`)
	after := parse(`{"roles":{"viewer":{"sessions_per_minute":2,"steps":3}},"services":{"model":{"kind":"model"}},
		"tenants":{"parish":{"keys":[]},"station":{"keys":[{"sha256":"` + stationKey + `"}],"inquiries_per_second":1,"burst":4}}}`)
	var samples []Sample
	for i := 0; i < 4; i++ {
		samples = append(samples, Sample{Tenant: "parish", User: "ana", Role: "viewer", Kind: "open", KeyDigest: parishKey, Age: time.Duration(9-i) * time.Second},
			Sample{Tenant: "station", User: "bo", Role: "viewer", Kind: "open", KeyDigest: stationKey, Age: time.Duration(9-i) * time.Second})
	}
	for i := 0; i < 8; i++ {
		samples = append(samples, Sample{Tenant: "station", User: "bo", Role: "viewer", Kind: "turn", Service: "model", KeyDigest: stationKey, Steps: int64(i + 1), Tokens: 100, Charged: int64(i+1) * 100, Age: time.Duration(900-i*10) * time.Millisecond})
	}
	goldie.New(t).Assert(t, "plan", []byte(Run(before, after, samples).Text(7)))
}

// Guards against replays that count sessions and tokens otherwise than nodes do.
func TestReplayAppliesNodeChecks(t *testing.T) {
	key := configuration.KeyDigest("clerk")
	for _, c := range []struct{ role, tenant, want string }{
		{`"concurrent_sessions":1,"sessions_per_minute":9`, `"burst":9`, "concurrency"},
		{`"concurrent_sessions":9,"sessions_per_minute":2`, `"burst":9`, "window_minute"},
		{`"concurrent_sessions":9,"sessions_per_minute":9,"turn_tokens":1,"user_day_tokens_soft":50,"user_day_tokens_hard":150`, `"burst":9`, "day_tokens"},
		{`"concurrent_sessions":9,"sessions_per_minute":9`, `"burst":9,"day_tokens":200`, "tenant_day"},
		{`"concurrent_sessions":9,"sessions_per_minute":9,"steps":1`, `"burst":9`, "steps"},
		{`"concurrent_sessions":9,"sessions_per_minute":9,"program_tokens_soft":50,"program_tokens_hard":90`, `"burst":9`, "program_tokens"},
		{`"concurrent_sessions":9,"sessions_per_minute":9`, `"burst":9`, ""},
	} {
		d, faults := configuration.Parse([]byte(`{"roles":{"viewer":{` + c.role + `}},"services":{"model":{"kind":"model"}},
			"tenants":{"parish":{"keys":[{"sha256":"` + key + `"}],` + c.tenant + `}}}`))
		if len(faults) > 0 {
			t.Fatal(faults)
		}
		s := func(kind, id string, steps, charged int64, age time.Duration) Sample {
			return Sample{Tenant: "parish", User: "ana", Role: "viewer", Program: id, Kind: kind, KeyDigest: key, Steps: steps, Tokens: 100, Charged: charged, Age: age * time.Second}
		}
		recent := []Sample{s("open", "a", 0, 0, 9), s("turn", "a", 1, 100, 8), s("turn", "a", 2, 200, 7), s("open", "b", 0, 0, 6), s("close", "a", 0, 0, 5), s("close", "b", 0, 0, 4), s("open", "c", 0, 0, 3)}
		result := Run(nil, d, recent)
		st := newState(d)
		got := ""
		for i, sample := range recent {
			if check := st.check(sample, time.Duration(i)*time.Second, "x"); check != "" && got == "" {
				got = check
			}
		}
		if got != c.want || (result.RefusedAfter == 0) != (c.want == "") {
			t.Errorf("%s, %s: %q, want %q; %+v", c.role, c.tenant, got, c.want, result)
		}
	}
}
