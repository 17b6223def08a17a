package route

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"

	"saffronfall/rule/configuration"
	"saffronfall/rule/message"
)

// randomTable returns a random valid table. Any two of them have many items in common.
func randomTable(t testing.TB, number uint64, random *rand.Rand) *Table {
	t.Helper()
	table := Table{Number: number, KeyRequired: random.IntN(4) > 0, Limits: Limits{HeaderBytes: 1000 + int64(random.IntN(2)), BodyBytes: 1000}}
	for i := range 5 {
		if i == 0 || random.IntN(4) > 0 {
			table.Services = append(table.Services, Service{Name: fmt.Sprint("s", i), Connections: 1 + int64(random.IntN(2)), TokensPerEvent: 1})
		}
	}
	for i := range 12 {
		if random.IntN(4) == 0 {
			continue
		}
		r := Route{Name: fmt.Sprint(i), Host: []string{"h.example", "H2.example"}[i%2], Prefix: fmt.Sprintf("/p%d/", i/2), Mode: Once, TimeoutMS: 1000 + float64(random.IntN(2)), MaxAttempts: 1, Urgency: int64(random.IntN(2))}
		r.Targets = []Target{{Service: table.Services[random.IntN(len(table.Services))].Name, Weight: 1 + float64(random.IntN(2))}}
		table.Routes = append(table.Routes, r)
	}
	for i := range 6 {
		if random.IntN(4) == 0 {
			continue
		}
		tenant := Tenant{Name: fmt.Sprint("t", i), Rate: float64(random.IntN(3)), Keys: []string{configuration.KeyDigest(fmt.Sprint("k", i, random.IntN(2)))}}
		if random.IntN(2) == 0 {
			urgency := int64(random.IntN(3))
			tenant.Urgency = &urgency
		}
		table.Tenants = append(table.Tenants, tenant)
	}
	random.Shuffle(len(table.Routes), func(i, j int) { table.Routes[i], table.Routes[j] = table.Routes[j], table.Routes[i] })
	text, err := json.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	parsed, faults := Parse(text)
	if faults != nil {
		t.Fatal(faults)
	}
	return parsed
}

// sorted returns the exported content of a table with its lists sorted.
func sorted(t *Table) Table {
	plain := Table{Number: t.Number, KeyRequired: t.KeyRequired, Limits: t.Limits, Routes: slices.Clone(t.Routes), Services: slices.Clone(t.Services), Tenants: slices.Clone(t.Tenants)}
	slices.SortFunc(plain.Routes, func(a, b Route) int { return strings.Compare(a.Host+a.Prefix, b.Host+b.Prefix) })
	slices.SortFunc(plain.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(plain.Tenants, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	return plain
}

func TestDifferenceRoundTrip(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for round := range 400 {
		base, next := randomTable(t, 3, random), randomTable(t, 5, random)
		before := sorted(base)
		var sent Difference
		if err := message.Unmarshal(message.Marshal(Compare(base, "three", next, "five")), &sent); err != nil {
			t.Fatal(err)
		}
		got, ok := sent.Apply(base, "three")
		if !ok {
			t.Fatalf("round %d: the difference was not applied", round)
		}
		if a, b := fmt.Sprintf("%+v", jsonOf(t, sorted(got))), fmt.Sprintf("%+v", jsonOf(t, sorted(next))); a != b {
			t.Fatalf("round %d:\n%s\n%s", round, a, b)
		}
		if !reflect.DeepEqual(before, sorted(base)) {
			t.Fatal("the base table was modified")
		}
		for _, r := range next.Routes {
			found, ok := got.Match(r.Host, r.Prefix+"x")
			if !ok || found.Key() != r.Key() || !reflect.DeepEqual(found.Targets, r.Targets) {
				t.Fatalf("round %d: %+v found as %+v", round, r, found)
			}
		}
		for i := range 6 {
			for _, key := range []string{fmt.Sprint("k", i, 0), fmt.Sprint("k", i, 1)} {
				want, known := next.TenantByKey(key)
				holder, found := got.TenantByKey(key)
				if known != found || known && want.Name != holder.Name {
					t.Fatalf("round %d: key %s", round, key)
				}
			}
		}
	}
}

func jsonOf(t *testing.T, table Table) string {
	t.Helper()
	text, err := json.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestDifferenceOmitsUnchangedItems(t *testing.T) {
	base := randomTable(t, 1, rand.New(rand.NewPCG(3, 4)))
	text, _ := json.Marshal(base)
	next, faults := Parse([]byte(strings.Replace(string(text), `"number":1`, `"number":2`, 1)))
	if faults != nil {
		t.Fatal(faults)
	}
	next.Routes[2].TimeoutMS = 77
	if d := Compare(base, "a", next, "b"); d.Size() != 1 || len(d.Routes) != 1 || d.Routes[0].TimeoutMS != 77 {
		t.Errorf("%+v", d)
	}
}

// TestDifferenceRefusesOtherBase also covers results that are older or invalid.
func TestDifferenceRefusesOtherBase(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	base, next := randomTable(t, 3, random), randomTable(t, 5, random)
	good := Compare(base, "three", next, "five")
	other := randomTable(t, 4, random)
	if _, ok := good.Apply(other, "three"); ok {
		t.Error("applied to a table with another number")
	}
	if _, ok := good.Apply(base, "another three"); ok {
		t.Error("applied to a table with another digest")
	}
	if _, ok := good.Apply(nil, ""); ok {
		t.Error("applied without a base table")
	}
	back := good
	back.Number = 3
	if _, ok := back.Apply(base, "three"); ok {
		t.Error("applied although its number is not greater")
	}
	broken := good
	broken.RemovedServices = nil
	for _, s := range append(slices.Clone(base.Services), good.Services...) {
		broken.RemovedServices = append(broken.RemovedServices, s.Name)
	}
	broken.Services = nil
	if _, ok := broken.Apply(base, "three"); ok {
		t.Error("applied although routes refer to removed services")
	}
}

func BenchmarkApply(b *testing.B) {
	base, next := benchTables(b)
	d := Compare(base, "a", next, "b")
	b.ResetTimer()
	for range b.N {
		d.Apply(base, "a")
	}
}

func BenchmarkParse(b *testing.B) {
	_, next := benchTables(b)
	text, _ := json.Marshal(next)
	b.ResetTimer()
	for range b.N {
		Parse(text)
	}
}

func benchTables(b *testing.B) (base, next *Table) {
	table := Table{Number: 1, Services: []Service{{Name: "s", Connections: 1, TokensPerEvent: 1}}, Limits: Limits{HeaderBytes: 1000, BodyBytes: 1000}, Tenants: []Tenant{}}
	for i := range 150 {
		table.Routes = append(table.Routes, Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/p%d/", i), Mode: Once, TimeoutMS: 1000, MaxAttempts: 1, Targets: []Target{{Service: "s", Weight: 1}}})
	}
	parse := func(t Table) *Table {
		text, _ := json.Marshal(t)
		parsed, faults := Parse(text)
		if faults != nil {
			b.Fatal(faults)
		}
		return parsed
	}
	base = parse(table)
	table.Number = 2
	table.Routes = slices.Clone(table.Routes)
	table.Routes[7].TimeoutMS = 5
	return base, parse(table)
}

// TestJSONWithoutSource also covers tables whose lists were left out.
func TestJSONWithoutSource(t *testing.T) {
	parsed, faults := Parse([]byte(`{"number":3,"source":"the operator's","routes":[],"services":[]}`))
	if faults != nil {
		t.Fatal(faults)
	}
	again, faults := Parse(parsed.JSONWithoutSource())
	if faults != nil || again.Number != 3 || again.Source != "" {
		t.Errorf("%v %+v", faults, again)
	}
	random := rand.New(rand.NewPCG(7, 8))
	for range 50 {
		table := randomTable(t, 3, random)
		again, faults := Parse(table.JSONWithoutSource())
		if faults != nil || !reflect.DeepEqual(sorted(again), sorted(table)) {
			t.Fatalf("%v", faults)
		}
	}
}
