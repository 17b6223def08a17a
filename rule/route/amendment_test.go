package route

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
)

const currentText = `{"number":3,"keyed":true,
"routes":[{"name":"chat","host":"a","prefix":"/chat/","mode":"stream","timeout_ms":100,"targets":[{"service":"llm"}]},
{"name":"old","host":"a","prefix":"/old/","mode":"once","timeout_ms":100,"targets":[{"service":"app"}]}],
"services":[{"name":"llm"},{"name":"app"}],
"tenants":[{"name":"t1","keys":["00000000000000000000000000000000000000000000000000000000000000aa"],"rate":5}]}`

func parsed(t *testing.T, text string) *Table {
	t.Helper()
	table, faults := Parse([]byte(text))
	if faults != nil {
		t.Fatal(faults)
	}
	return table
}

func TestAmendment(t *testing.T) {
	current := parsed(t, currentText)
	a, faults := ParseAmendment([]byte(`{"number":9,"set":{"routes":[{"name":"chat","host":"a","prefix":"/talk/","mode":"stream","timeout_ms":200,"targets":[{"service":"new"}]},
{"name":"more","host":"a","prefix":"/more/","mode":"once","timeout_ms":100,"targets":[{"service":"app"}]}],"services":[{"name":"new"}]},
"remove":{"routes":["old","never there"],"services":["llm"]}}`))
	if faults != nil {
		t.Fatal(faults)
	}
	next, faults := a.Apply(current)
	if faults != nil {
		t.Fatal(faults)
	}
	if _, old := next.Match("a", "/chat/x"); old {
		t.Error("a replaced route is served under its former prefix")
	}
	if r, ok := next.Match("a", "/talk/x"); !ok || r.TimeoutMS != 200 {
		t.Errorf("the replaced route is %+v", r)
	}
	if _, ok := next.Match("a", "/more/x"); !ok {
		t.Error("an added route is not served")
	}
	if !reflect.DeepEqual(next.Tenants, current.Tenants) || next.Number != 9 || !next.KeyRequired || next.Limits != current.Limits {
		t.Errorf("an item that was not named has changed: %+v", next)
	}
	if len(current.Routes) != 2 || current.Number != 3 {
		t.Error("the current table was modified")
	}
	want := Preview{Routes: ChangedNames{Added: []string{"more"}, Replaced: []string{"chat"}, Removed: []string{"old"}}, Services: ChangedNames{Added: []string{"new"}, Removed: []string{"llm"}}}
	if got := NewPreview(current, next); !reflect.DeepEqual(got, want) {
		t.Errorf("preview %+v", got)
	}
	if again := parsed(t, string(next.JSONWithoutSource())); !reflect.DeepEqual(again.Routes, next.Routes) {
		t.Error("the amended table differs after a round trip through JSON")
	}
}

func TestAmendmentFaults(t *testing.T) {
	route := func(name, prefix, service string) string {
		return fmt.Sprintf(`{"name":%q,"host":"a","prefix":%q,"mode":"once","timeout_ms":100,"targets":[{"service":%q}]}`, name, prefix, service)
	}
	for name, c := range map[string]struct {
		text string
		want []string
	}{
		"not an object":          {`[]`, []string{"$"}},
		"no number":              {`{"set":{}}`, []string{"number"}},
		"number not greater":     {`{"number":3}`, []string{"number"}},
		"no name":                {`{"number":4,"set":{"services":[{}]}}`, []string{"set.services[0].name"}},
		"empty name":             {`{"number":4,"set":{"routes":[` + route("", "/x/", "app") + `]}}`, []string{"set.routes[0].name"}},
		"empty name removed":     {`{"number":4,"remove":{"routes":[""]}}`, []string{"remove.routes[0]"}},
		"set twice":              {`{"number":4,"set":{"services":[{"name":"s"},{"name":"s"}]}}`, []string{"set.services[1].name"}},
		"set and removed":        {`{"number":4,"set":{"services":[{"name":"s"}]},"remove":{"services":["s"]}}`, []string{"remove.services[0]"}},
		"service still in use":   {`{"number":4,"remove":{"services":["app"]}}`, []string{"routes[1].targets.service"}},
		"same host and prefix":   {`{"number":4,"set":{"routes":[` + route("other", "/chat/", "app") + `]}}`, []string{"routes[2].prefix"}},
		"shared key":             {`{"number":4,"set":{"tenants":[{"name":"t2","keys":["00000000000000000000000000000000000000000000000000000000000000AA"]}]}}`, []string{"tenants[1].keys"}},
		"unknown list":           {`{"number":4,"set":{"rooms":[]}}`, []string{"set.rooms"}},
		"several faults at once": {`{"number":2,"set":{"routes":[` + route("a", "/old/", "nobody") + `]}}`, []string{"number", "routes[2].prefix", "routes[2].targets.service"}},
	} {
		current := parsed(t, currentText)
		a, faults := ParseAmendment([]byte(c.text))
		if faults == nil {
			var next *Table
			if next, faults = a.Apply(current); next != nil {
				t.Errorf("%s: a table was returned", name)
			}
		}
		var paths []string
		for _, f := range faults {
			paths = append(paths, f.Path)
		}
		if strings.Join(paths, " ") != strings.Join(c.want, " ") {
			t.Errorf("%s: faults at %v, want %v", name, paths, c.want)
		}
	}
}

// TestAmendmentRefusesAmbiguousNames also covers tables that were translated from another text.
func TestAmendmentRefusesAmbiguousNames(t *testing.T) {
	current := parsed(t, strings.Replace(currentText, `"name":"old"`, `"name":"chat"`, 1))
	if _, faults := (Amendment{Number: 4, Remove: RemovedNames{Routes: []string{"chat"}}}).Apply(current); len(faults) == 0 {
		t.Error("one of two routes with the same name was removed")
	}
	current.Source = "another text"
	if _, faults := (Amendment{Number: 4}).Apply(current); len(faults) != 1 {
		t.Errorf("a translated table was amended: %v", faults)
	}
}

// FuzzAmendment guards against invalid results and changes of the current table.
func FuzzAmendment(f *testing.F) {
	f.Add([]byte(`{"number":9,"set":{"services":[{"name":"new"}]},"remove":{"routes":["old"],"services":["llm"]}}`))
	f.Add([]byte(`{"number":4,"set":{"routes":[{"name":"chat","host":"a","prefix":"/old/","mode":"once","timeout_ms":100,"targets":[{"service":"app"}]}]},"remove":{"routes":["old"]}}`))
	f.Add([]byte(`{"number":4,"set":{"tenants":[{"name":"t1","keys":["00000000000000000000000000000000000000000000000000000000000000bb"]}]}}`))
	f.Add([]byte(`{"number":1e400}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, faults := ParseAmendment(text)
		if faults != nil {
			return
		}
		current := parsed(t, currentText)
		before := string(current.JSONWithoutSource())
		next, faults := a.Apply(current)
		if string(current.JSONWithoutSource()) != before {
			t.Fatal("the current table was modified")
		}
		if faults != nil {
			return
		}
		again, faults := Parse(next.JSONWithoutSource())
		if faults != nil {
			t.Fatalf("the resulting table is invalid: %v", faults)
		}
		names := map[string]bool{}
		for _, r := range again.Routes {
			names[r.Name] = true
		}
		for _, r := range a.Set.Routes {
			if !names[r.Name] {
				t.Fatalf("route %q was set but is missing", r.Name)
			}
		}
		for _, name := range a.Remove.Routes {
			if names[name] {
				t.Fatalf("route %q was removed but is still present", name)
			}
		}
	})
}
