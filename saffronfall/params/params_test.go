package params

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"saffronfall/rule/configuration"
)

func TestExamples(t *testing.T) {
	settings, _ := filepath.Glob("../../examples/first-steps/*[0-9].json")
	if len(settings) != 6 {
		t.Fatalf("found %d settings files, want 6", len(settings))
	}
	for _, path := range settings {
		if _, err := ReadFile(path); err != nil {
			t.Errorf("%s: %v", path, err)
		}
	}
	for _, path := range []string{"first-steps/description.json", "aire-andino.json", "blue-mahoe.json"} {
		text, err := os.ReadFile("../../examples/" + path)
		if err != nil {
			t.Fatal(err)
		}
		if _, faults := configuration.Parse(text); len(faults) > 0 {
			t.Errorf("%s: %v", path, faults)
		}
	}
}

func TestFaultsAllAtOnce(t *testing.T) {
	_, err := Read([]byte(`{"id":"a b","seeds":["localhost:1"],"peer_listen":"x","pull_ms":"soon","drift":7,"colour":"red"}`))
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, want := range []string{"id: a b", "seeds:", "peer_listen: x", "pull_ms: soon", "a whole number from 10 to 1000", "drift: 7", "colour: red", "no such setting", "fleet_secret: nothing"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
}

func TestConfigurationFaults(t *testing.T) {
	_, faults := configuration.Parse([]byte(`{"roles":{"viewer":{"steps":0,"program_tokens_soft":9,"nonsense":1}},"tenants":{"t":{"keys":[{"sha256":"12"}],"burst":0.5}},
		"services":{"m":{"kind":"magic"},"s":{}},"breaker":{"tests":0}}`))
	var all []string
	for _, f := range faults {
		all = append(all, f.String())
	}
	text := strings.Join(all, "\n")
	for _, want := range []string{
		"roles.viewer.steps: 0",
		"roles.viewer.nonsense",
		"tenants.t.keys[0].sha256: 12",
		"64 hexadecimal digits",
		"tenants.t.burst: 0.5",
		"services.m.kind: magic",
		"one of model, tool, once",
		"services.s.kind: nothing",
		"breaker.tests: 0",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in:\n%s", want, text)
		}
	}
	_, faults = configuration.Parse([]byte(`{"roles":{"viewer":{"program_tokens_soft":9,"program_tokens_hard":3}},"tenants":{"t":{"keys":[{"sha256":"` + configuration.KeyDigest("k") + `","role":"ghost"}]},
		"u":{"keys":[{"sha256":"` + configuration.KeyDigest("k") + `"}]}},"services":{"m":{"kind":"model","past_breaker":true}}}`))
	if len(faults) != 4 {
		t.Errorf("faults between settings: %v", faults)
	}
}

func TestReload(t *testing.T) {
	text := func(more string) []byte {
		return []byte(`{"id":"n","fleet_secret":"a secret of some length","seeds":[]` + more + `}`)
	}
	running, err := Read(text(""))
	if err != nil {
		t.Fatal(err)
	}
	next, applied, restart, err := Reload(running, text(`,"patience_ms":50,"pull_ms":99`))
	if err != nil || len(applied) != 1 || applied[0] != "patience_ms" || len(restart) != 1 || restart[0] != "pull_ms" || next.MaxRateWaitMS != 50 || next.PullMS != running.PullMS {
		t.Errorf("%v %v %v %+v", err, applied, restart, next)
	}
	if next, _, _, err := Reload(running, text(`,"patience_ms":50,"pull_ms":-1`)); err == nil || next.MaxRateWaitMS != running.MaxRateWaitMS {
		t.Errorf("an invalid text: %v, patience_ms %d", err, next.MaxRateWaitMS)
	}
}
