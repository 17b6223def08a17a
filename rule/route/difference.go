package route

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
)

// Difference holds the changes from a base table to a later one. It is sent, instead of the complete
// table, to a node that has the base, which number and digest identify.
type Difference struct {
	BaseNumber uint64 `msgpack:"b"`
	BaseDigest string `msgpack:"c"`
	Number     uint64 `msgpack:"n"`
	Digest     string `msgpack:"d"`

	Routes          []Route    `msgpack:"r"`
	RemovedRoutes   []RouteKey `msgpack:"x"`
	Services        []Service  `msgpack:"s"`
	RemovedServices []string   `msgpack:"y"`
	Tenants         []Tenant   `msgpack:"t"`
	RemovedTenants  []string   `msgpack:"z"`
	KeyRequired     bool       `msgpack:"k"`
	Limits          Limits     `msgpack:"l"`
}

// RouteKey identifies a route in a table. The host is in lower case.
type RouteKey struct {
	Host   string `msgpack:"h"`
	Prefix string `msgpack:"p"`
}

// Key returns the key of the route.
func (r Route) Key() RouteKey {
	return RouteKey{Host: strings.ToLower(r.Host), Prefix: r.Prefix}
}

func serviceName(s Service) string { return s.Name }
func tenantName(t Tenant) string   { return t.Name }

// Compare returns the difference between two tables with the given digests. It omits the source
// text and the order of items, which has no meaning.
func Compare(base *Table, baseDigest string, next *Table, digest string) Difference {
	difference := Difference{
		BaseNumber:  base.Number,
		BaseDigest:  baseDigest,
		Number:      next.Number,
		Digest:      digest,
		KeyRequired: next.KeyRequired,
		Limits:      next.Limits,
	}
	difference.Routes, difference.RemovedRoutes = diff(base.Routes, next.Routes, Route.Key)
	difference.Services, difference.RemovedServices = diff(base.Services, next.Services, serviceName)
	difference.Tenants, difference.RemovedTenants = diff(base.Tenants, next.Tenants, tenantName)
	return difference
}

// diff returns the new and changed items, and the keys of the removed ones.
func diff[T any, K comparable](base, next []T, key func(T) K) (set []T, removed []K) {
	before := make(map[K]T, len(base))
	for _, item := range base {
		before[key(item)] = item
	}
	for _, item := range next {
		old, ok := before[key(item)]
		if !ok || !reflect.DeepEqual(old, item) {
			set = append(set, item)
		}
		delete(before, key(item))
	}
	for _, item := range base {
		if _, ok := before[key(item)]; ok {
			removed = append(removed, key(item))
		}
	}
	return set, removed
}

// JSONWithoutSource returns the table as JSON that Parse reads, without its source text.
func (t *Table) JSONWithoutSource() []byte {
	table := Table{Number: t.Number, KeyRequired: t.KeyRequired, Limits: t.Limits}
	table.Routes = append([]Route{}, t.Routes...)
	table.Services = append([]Service{}, t.Services...)
	table.Tenants = append([]Tenant{}, t.Tenants...)
	text, err := json.Marshal(table)
	if err != nil {
		panic(err)
	}
	return text
}

// Size returns the number of changed and removed items.
func (d Difference) Size() int {
	return len(d.Routes) + len(d.RemovedRoutes) + len(d.Services) + len(d.RemovedServices) + len(d.Tenants) + len(d.RemovedTenants)
}

// Apply returns the changed table without modifying base. It returns false if base is another
// table or the result is invalid.
func (d Difference) Apply(base *Table, baseDigest string) (*Table, bool) {
	if base == nil || base.Number != d.BaseNumber || baseDigest != d.BaseDigest || d.Number <= d.BaseNumber {
		return nil, false
	}
	next := &Table{Number: d.Number, KeyRequired: d.KeyRequired, Limits: d.Limits}
	next.Routes = merge(base.Routes, d.Routes, d.RemovedRoutes, Route.Key)
	next.Services = merge(base.Services, d.Services, d.RemovedServices, serviceName)
	next.Tenants = merge(base.Tenants, d.Tenants, d.RemovedTenants, tenantName)
	if len(next.validate()) > 0 {
		return nil, false
	}
	next.index()
	return next, true
}

// merge replaces or appends the items of set and omits the removed ones.
func merge[T any, K comparable](base, set []T, removed []K, key func(T) K) []T {
	changed := make(map[K]T, len(set))
	for _, item := range set {
		changed[key(item)] = item
	}
	next := make([]T, 0, len(base)+len(set))
	for _, item := range base {
		if slices.Contains(removed, key(item)) {
			continue
		}
		if replacement, ok := changed[key(item)]; ok {
			item = replacement
			delete(changed, key(item))
		}
		next = append(next, item)
	}
	for _, item := range set {
		if _, added := changed[key(item)]; added {
			next = append(next, item)
			delete(changed, key(item))
		}
	}
	return next
}
