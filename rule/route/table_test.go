package route

import (
	"encoding/json"
	"math"
	"reflect"
	"strings"
	"testing"

	"saffronfall/rule/configuration"
)

const digest = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

const example = `{"number":3,"routes":[
{"name":"a","host":"A.example","prefix":"/","mode":"once","timeout_ms":100,"targets":[{"service":"s"}]},
{"name":"b","host":"a.example","prefix":"/x/","mode":"repeatable","timeout_ms":100,"targets":[{"service":"s","weight":0},{"service":"t","weight":9},{"service":"s","weight":1}]},
{"name":"c","host":"a.example","prefix":"/x/y/","mode":"stream","resumable":true,"timeout_ms":100,"targets":[{"service":"t"}]},
{"name":"d","host":"b.example:80","prefix":"/x/","mode":"stream","timeout_ms":100,"targets":[{"service":"t"}]}],
"services":[{"name":"s"},{"name":"t"}],
"tenants":[{"name":"one","keys":["` + digest + `"],"rate":5},{"name":"two","keys":[],"urgency":0}]}`

func TestMatch(t *testing.T) {
	table, faults := Parse([]byte(example))
	if faults != nil {
		t.Fatal(faults)
	}
	for _, c := range []struct{ host, path, name string }{
		{"a.example", "/", "a"}, {"a.example", "/x", "a"}, {"a.example", "/x/", "b"}, {"a.example", "/x/y", "b"}, {"a.example", "/x/y/z", "c"}, {"A.EXAMPLE:8080", "/x/y/", "c"},
		{"a.example", "/X/", "a"}, {"a.example", "//x/", "a"}, {"a.example", "/x%2Fy/", "a"}, {"b.example:80", "/x/1", "d"},
		{"b.example", "/x/1", ""}, {"b.example:81", "/x/1", ""}, {"c.example", "/", ""}, {"", "/", ""}, {"a.example", "*", ""}, {"a.example", "", ""},
	} {
		r, ok := table.Match(c.host, c.path)
		if ok != (c.name != "") || ok && r.Name != c.name {
			t.Errorf("%s%s: %+v", c.host, c.path, r)
		}
	}
	if b, _ := table.Match("a.example", "/x/"); b.Retryable() != true || b.PickService(0) != "t" || b.PickService(0.89) != "t" || b.PickService(0.91) != "s" || b.PickService(1) == "" {
		t.Errorf("%+v", b)
	}
	if c, _ := table.Match("a.example", "/x/y/"); !c.Retryable() {
		t.Error("a resumable stream may run again")
	}
	if d, _ := table.Match("b.example:80", "/x/"); d.Retryable() {
		t.Error("a stream runs at most once")
	}
	if one, ok := table.TenantByKey("foo"); !ok || one.Name != "one" {
		t.Errorf("%+v", one)
	}
	for _, key := range []string{"", "Foo", "foo ", digest} {
		if _, ok := table.TenantByKey(key); ok {
			t.Errorf("%q is a key", key)
		}
	}
}

func TestParseFaults(t *testing.T) {
	for name, change := range map[string][2]string{
		"same host in other case": {`"host":"a.example","prefix":"/x/"`, `"host":"a.EXAMPLE","prefix":"/"`},
		"tenant with a new line":  {`{"name":"one"`, `{"name":"one\r\nX-Other: a"`},
		"tenant ends in a space":  {`{"name":"one"`, `{"name":"one "`},
		"unknown service":         {`{"service":"t"}]}],`, `{"service":"u"}]}],`},
		"duplicate service name":  {`{"name":"t"}`, `{"name":"s"}`},
		"no targets":              {`[{"service":"s"}]`, `[]`},
		"a weight below 0":        {`"weight":9`, `"weight":-9`},
		"duplicate tenant name":   {`"two"`, `"one"`},
		"a shared key":            {`"keys":[]`, `"keys":["` + strings.ToLower(digest) + `"]`},
		"truncated key":           {digest, digest[:40]},
		"urgency out of range":    {`"urgency":0`, `"urgency":10`},
		"no timeout":              {`"timeout_ms":100`, `"timeout_ms":0`},
		"trailing text":           {`"rate":5},`, `"rate":5}]}[`},
	} {
		if !strings.Contains(example, change[0]) {
			t.Fatal(name)
		}
		if _, faults := Parse([]byte(strings.Replace(example, change[0], change[1], 1))); faults == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// FuzzParse guards against accepted tables with wrong lookups, or changes in a round trip through
// JSON.
func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Add([]byte(`{"number":1,"routes":[],"services":[],"tenants":[]}`))
	f.Add([]byte(`{"number":1,"source":"x","keyed":false,"routes":[{"host":"","prefix":"/","mode":"once","timeout_ms":1,"targets":[{"service":"","weight":1e-300}]}],"services":[{"name":""}]}`))
	f.Add([]byte(`{"number":1e400}`))
	f.Add([]byte(`[{}]`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, text []byte) {
		table, faults := Parse(text)
		if faults != nil {
			if table != nil {
				t.Fatal("a table was returned with faults")
			}
			return
		}
		for i := range table.Routes {
			r := &table.Routes[i]
			found, ok := table.Match(r.Host, r.Prefix+"x")
			if !ok || found != r {
				t.Fatalf("%+v is not found; found %+v", r, found)
			}
			for _, fraction := range []float64{0, 0.5, math.Nextafter(1, 0), 1} {
				picked := r.PickService(fraction)
				if _, ok := table.Service(picked); !ok {
					t.Fatalf("%+v at %v: picked the unknown service %q", r, fraction, picked)
				}
				weight := 0.0
				for _, target := range r.Targets {
					if target.Service == picked {
						weight += target.Weight
					}
				}
				if weight <= 0 {
					t.Fatalf("%+v at %v: picked %q, which has no weight", r, fraction, picked)
				}
			}
		}
		for _, tenant := range table.Tenants {
			for _, key := range tenant.Keys {
				holder, ok := table.byKey[strings.ToLower(key)]
				if !ok || holder.Name != tenant.Name {
					t.Fatalf("key %s does not belong to %s", key, tenant.Name)
				}
			}
		}
		table.TenantByKey("x")
		// A missing list is written as an empty one.
		if table.Routes == nil {
			table.Routes = []Route{}
		}
		if table.Services == nil {
			table.Services = []Service{}
		}
		if table.Tenants == nil {
			table.Tenants = []Tenant{}
		}
		written, err := json.Marshal(table)
		if err != nil {
			t.Fatal(err)
		}
		again, faults := Parse(written)
		if faults != nil || !reflect.DeepEqual(again, table) {
			t.Fatalf("%v: %s", faults, written)
		}
	})
}

func TestKeyDigestsIgnoreCase(t *testing.T) {
	table, faults := Parse([]byte(strings.Replace(example, digest, strings.ToUpper(digest), 1)))
	if faults != nil {
		t.Fatal(faults)
	}
	if configuration.KeyDigest("foo") != digest {
		t.Fatal("the digest of the example does not match its key")
	}
	if _, ok := table.TenantByKey("foo"); !ok {
		t.Error("a key with a digest in upper case is unknown")
	}
}

// A node of an earlier version drops a table with a word that it does not know.
func TestTableWithoutDeduplicationHasNoNewWord(t *testing.T) {
	table, faults := Parse([]byte(example))
	if faults != nil {
		t.Fatal(faults)
	}
	if text := string(table.JSONWithoutSource()); strings.Contains(text, "deduplicates") {
		t.Fatalf("a table that no service of which deduplicates: %s", text)
	}
	table.Services[0].Deduplicates = true
	again, faults := Parse(table.JSONWithoutSource())
	if faults != nil || !again.Services[0].Deduplicates || again.Services[1].Deduplicates {
		t.Fatalf("%v, %+v", faults, again)
	}
}
