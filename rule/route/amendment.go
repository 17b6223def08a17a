package route

import (
	"strconv"
	"strings"

	"saffronfall/rule/configuration"
)

// Amendment changes named items of a table and leaves the rest as it is. An item that is
// set replaces the one of its name whole, or is added; one that is removed and is not
// there changes nothing, so that an amendment says how the table should be afterwards.
type Amendment struct {
	// Number is the next table's.
	Number uint64       `json:"number"`
	Set    SetItems     `json:"set"`
	Remove RemovedNames `json:"remove"`
}

// SetItems are items to add or to replace by name.
type SetItems struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
}

// RemovedNames are names of items to remove.
type RemovedNames struct {
	Routes   []string `json:"routes"`
	Services []string `json:"services"`
	Tenants  []string `json:"tenants"`
}

// AmendmentRows is the table of settings of an amendment: those of a table's items, each
// under the name that it is set by.
var AmendmentRows = amendmentRows()

func amendmentRows() []configuration.Row {
	rows := []configuration.Row{
		{Path: "number", Type: "int", Required: true, Min: 1, Max: 1e15, About: "version; above the one in force"},
		{Path: "remove.routes", Type: "texts", Default: []any{}, About: "names of routes to remove"},
		{Path: "remove.services", Type: "texts", Default: []any{}, About: "names of services to remove"},
		{Path: "remove.tenants", Type: "texts", Default: []any{}, About: "names of tenants to remove"},
	}
	for _, row := range Rows {
		list, field, isItem := strings.Cut(row.Path, ".[].")
		if !isItem {
			continue
		}
		row.Path = "set." + list + ".[]." + field
		row.Required = row.Required || field == "name"
		rows = append(rows, row)
	}
	return rows
}

// ParseAmendment reads an amendment and checks what can be checked without the table
// that it changes.
func ParseAmendment(text []byte) (Amendment, configuration.Faults) {
	var a Amendment
	if faults := configuration.Read(text, AmendmentRows, &a); faults != nil {
		return Amendment{}, faults
	}
	var faults configuration.Faults
	faults = append(faults, ambiguous("routes", a.Set.Routes, a.Remove.Routes, routeName)...)
	faults = append(faults, ambiguous("services", a.Set.Services, a.Remove.Services, serviceName)...)
	faults = append(faults, ambiguous("tenants", a.Set.Tenants, a.Remove.Tenants, tenantName)...)
	if len(faults) > 0 {
		return Amendment{}, faults
	}
	return a, nil
}

func routeName(r Route) string { return r.Name }

// ambiguous finds names that an amendment gives more than one fate.
func ambiguous[T any](list string, set []T, removed []string, name func(T) string) (faults configuration.Faults) {
	isSet := map[string]bool{}
	for i, one := range set {
		path := "set." + list + "[" + strconv.Itoa(i) + "].name"
		switch {
		case name(one) == "":
			faults = append(faults, configuration.Fault{Path: path, Value: "", Allowed: "the name that the item is known by"})
		case isSet[name(one)]:
			faults = append(faults, configuration.Fault{Path: path, Value: name(one), Allowed: "a name that is set once"})
		}
		isSet[name(one)] = true
	}
	for i, one := range removed {
		if one == "" {
			faults = append(faults, configuration.Fault{Path: "remove." + list + "[" + strconv.Itoa(i) + "]", Value: one, Allowed: "the name that the item is known by"})
		}
		if isSet[one] {
			faults = append(faults, configuration.Fault{Path: "remove." + list + "[" + strconv.Itoa(i) + "]", Value: one, Allowed: "a name that is not set by the same amendment"})
		}
	}
	return faults
}

// Join makes the next table from the one that an amendment builds on, and checks it
// whole. The current table stays as it is.
func (a Amendment) Join(current *Table) (*Table, configuration.Faults) {
	var faults configuration.Faults
	if a.Number <= current.Number {
		faults = append(faults, configuration.Fault{Path: "number", Value: a.Number, Allowed: "above the one in force, " + strconv.FormatUint(current.Number, 10)})
	}
	if current.Source != "" {
		faults = append(faults, configuration.Fault{Path: "$", Value: "a table that was translated from another text", Allowed: "an amendment of that text"})
	}
	faults = append(faults, repeated("routes", current.Routes, a.Set.Routes, a.Remove.Routes, routeName)...)
	next := &Table{Number: a.Number, Keyed: current.Keyed, Limits: current.Limits}
	next.Routes = merge(current.Routes, a.Set.Routes, a.Remove.Routes, routeName)
	next.Services = merge(current.Services, a.Set.Services, a.Remove.Services, serviceName)
	next.Tenants = merge(current.Tenants, a.Set.Tenants, a.Remove.Tenants, tenantName)
	faults = append(faults, next.cross()...)
	if len(faults) > 0 {
		return nil, faults
	}
	next.index()
	return next, nil
}

// repeated finds names that an amendment changes and that several items of the table
// bear: nobody can tell which one is meant.
func repeated[T any](list string, current, set []T, removed []string, name func(T) string) (faults configuration.Faults) {
	count := map[string]int{}
	for _, one := range current {
		count[name(one)]++
	}
	named := append([]string{}, removed...)
	for _, one := range set {
		named = append(named, name(one))
	}
	for _, one := range named {
		if count[one] > 1 {
			faults = append(faults, configuration.Fault{Path: list, Value: one, Allowed: "a name that one item of the table in force bears"})
		}
	}
	return faults
}

// Changed lists the names of the items of one kind that differ between two tables.
type Changed struct {
	Added    []string `json:"added,omitempty"`
	Replaced []string `json:"replaced,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// Preview is what an order would change.
type Preview struct {
	Routes   Changed `json:"routes"`
	Services Changed `json:"services"`
	Tenants  Changed `json:"tenants"`
}

// PreviewOf compares two tables for people who read it.
func PreviewOf(current, next *Table) Preview {
	return Preview{
		Routes:   changedNames(current.Routes, next.Routes, routeName),
		Services: changedNames(current.Services, next.Services, serviceName),
		Tenants:  changedNames(current.Tenants, next.Tenants, tenantName),
	}
}

func changedNames[T any](current, next []T, name func(T) string) (c Changed) {
	had := make(map[string]bool, len(current))
	for _, one := range current {
		had[name(one)] = true
	}
	set, removed := changes(current, next, name)
	for _, one := range set {
		if had[name(one)] {
			c.Replaced = append(c.Replaced, name(one))
		} else {
			c.Added = append(c.Added, name(one))
		}
	}
	c.Removed = removed
	return c
}
