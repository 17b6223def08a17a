package route

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Difference turns one table into the next. Whoever holds the table that it
// builds on, known by number and digest, need not be sent the next one whole.
type Difference struct {
	BaseNumber uint64 `msgpack:"b"`
	BaseDigest string `msgpack:"c"`
	Number     uint64 `msgpack:"n"`
	Digest     string `msgpack:"d"`

	Routes          []Route      `msgpack:"r"`
	RemovedRoutes   []RoutePlace `msgpack:"x"`
	Services        []Service    `msgpack:"s"`
	RemovedServices []string     `msgpack:"y"`
	Tenants         []Tenant     `msgpack:"t"`
	RemovedTenants  []string     `msgpack:"z"`
	Keyed           bool         `msgpack:"k"`
	Limits          Limits       `msgpack:"l"`
}

// RoutePlace is what tells a route from all others of its table.
type RoutePlace struct {
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
}

// Place is where a route lies. Hosts are compared without regard to case.
func (r Route) Place() RoutePlace {
	return RoutePlace{Host: strings.ToLower(r.Host), Prefix: r.Prefix}
}

func serviceName(s Service) string { return s.Name }
func tenantName(t Tenant) string   { return t.Name }

// Compare makes the difference between two tables, each with the digest that it
// is known by. The order of routes, services and tenants has no meaning and is
// not kept; nor is the source text.
func Compare(base *Table, baseDigest string, next *Table, digest string) Difference {
	d := Difference{BaseNumber: base.Number, BaseDigest: baseDigest, Number: next.Number, Digest: digest, Keyed: next.Keyed, Limits: next.Limits}
	d.Routes, d.RemovedRoutes = changes(base.Routes, next.Routes, Route.Place)
	d.Services, d.RemovedServices = changes(base.Services, next.Services, serviceName)
	d.Tenants, d.RemovedTenants = changes(base.Tenants, next.Tenants, tenantName)
	return d
}

// changes lists what came or changed from one list to another, and the keys of
// what went.
func changes[T any, K comparable](base, next []T, key func(T) K) (set []T, removed []K) {
	before := make(map[K]T, len(base))
	for _, one := range base {
		before[key(one)] = one
	}
	for _, one := range next {
		old, ok := before[key(one)]
		if !ok || !reflect.DeepEqual(old, one) {
			set = append(set, one)
		}
		delete(before, key(one))
	}
	for _, one := range base {
		if _, ok := before[key(one)]; ok {
			removed = append(removed, key(one))
		}
	}
	return set, removed
}

// Plain is a table's text without the text that it was translated from.
func (t *Table) Plain() []byte {
	plain := Table{Number: t.Number, Keyed: t.Keyed, Limits: t.Limits}
	plain.Routes = append([]Route{}, t.Routes...)
	plain.Services = append([]Service{}, t.Services...)
	plain.Tenants = append([]Tenant{}, t.Tenants...)
	text, err := json.Marshal(plain)
	if err != nil {
		panic(err)
	}
	return text
}

// Size is how many items a difference carries.
func (d Difference) Size() int {
	return len(d.Routes) + len(d.RemovedRoutes) + len(d.Services) + len(d.RemovedServices) + len(d.Tenants) + len(d.RemovedTenants)
}

// Apply makes the next table from the one that a difference builds on. That one
// stays as it is. It fails where the table is another, or where the outcome would
// not be a valid table.
func (d Difference) Apply(base *Table, baseDigest string) (*Table, bool) {
	if base == nil || base.Number != d.BaseNumber || baseDigest != d.BaseDigest || d.Number <= d.BaseNumber {
		return nil, false
	}
	next := &Table{Number: d.Number, Keyed: d.Keyed, Limits: d.Limits}
	next.Routes = merge(base.Routes, d.Routes, d.RemovedRoutes, Route.Place)
	next.Services = merge(base.Services, d.Services, d.RemovedServices, serviceName)
	next.Tenants = merge(base.Tenants, d.Tenants, d.RemovedTenants, tenantName)
	if len(next.cross()) > 0 {
		return nil, false
	}
	next.index()
	return next, true
}

// merge replaces, adds and removes items of a list.
func merge[T any, K comparable](base, set []T, removed []K, key func(T) K) []T {
	changed := make(map[K]T, len(set))
	for _, one := range set {
		changed[key(one)] = one
	}
	next := make([]T, 0, len(base)+len(set))
	for _, one := range base {
		if slices.Contains(removed, key(one)) {
			continue
		}
		if other, ok := changed[key(one)]; ok {
			one = other
			delete(changed, key(one))
		}
		next = append(next, one)
	}
	for _, one := range set {
		if _, added := changed[key(one)]; added {
			next = append(next, one)
			delete(changed, key(one))
		}
	}
	return next
}
