package route

import (
	"strconv"
	"strings"

	"saffronfall/rule/configuration"
)

// Amendment is an operator's partial change of a table. A set item replaces the whole item of
// its name or is added; removing an item that does not exist is no error.
type Amendment struct {
	// Number is that of the resulting table.
	Number uint64       `json:"number"`
	Set    SetItems     `json:"set"`
	Remove RemovedNames `json:"remove"`
}

// SetItems holds the items to add or replace.
type SetItems struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
}

// RemovedNames holds the names of the items to remove.
type RemovedNames struct {
	Routes   []string `json:"routes"`
	Services []string `json:"services"`
	Tenants  []string `json:"tenants"`
}

// AmendmentSettings lists the settings of an amendment; those of items have the prefix "set.".
var AmendmentSettings = amendmentSettings()

func amendmentSettings() []configuration.Setting {
	settings := []configuration.Setting{
		{Path: "number", Type: "int", Required: true, Min: 1, Max: 1e15, Help: "version; greater than the current one"},
		{Path: "remove.routes", Type: "texts", Default: []any{}, Help: "names of routes to remove"},
		{Path: "remove.services", Type: "texts", Default: []any{}, Help: "names of services to remove"},
		{Path: "remove.tenants", Type: "texts", Default: []any{}, Help: "names of tenants to remove"},
	}
	for _, setting := range Settings {
		list, field, isItem := strings.Cut(setting.Path, ".[].")
		if !isItem {
			continue
		}
		setting.Path = "set." + list + ".[]." + field
		setting.Required = setting.Required || field == "name"
		settings = append(settings, setting)
	}
	return settings
}

// ParseAmendment decodes JSON and makes the checks that need no table. It returns all faults of
// single settings or, if there are none, of names.
func ParseAmendment(text []byte) (Amendment, configuration.Faults) {
	var amendment Amendment
	if faults := configuration.Read(text, AmendmentSettings, &amendment); faults != nil {
		return Amendment{}, faults
	}
	var faults configuration.Faults
	faults = append(faults, nameFaults("routes", amendment.Set.Routes, amendment.Remove.Routes, routeName)...)
	faults = append(faults, nameFaults("services", amendment.Set.Services, amendment.Remove.Services, serviceName)...)
	faults = append(faults, nameFaults("tenants", amendment.Set.Tenants, amendment.Remove.Tenants, tenantName)...)
	if len(faults) > 0 {
		return Amendment{}, faults
	}
	return amendment, nil
}

func routeName(r Route) string { return r.Name }

func nameFaults[T any](list string, set []T, removed []string, name func(T) string) (faults configuration.Faults) {
	isSet := map[string]bool{}
	for i, item := range set {
		path := "set." + list + "[" + strconv.Itoa(i) + "].name"
		switch {
		case name(item) == "":
			faults = append(faults, configuration.Fault{Path: path, Value: "", Allowed: "the name that the item is known by"})
		case isSet[name(item)]:
			faults = append(faults, configuration.Fault{Path: path, Value: name(item), Allowed: "a name that is set once"})
		}
		isSet[name(item)] = true
	}
	for i, item := range removed {
		if item == "" {
			faults = append(faults, configuration.Fault{
				Path:    "remove." + list + "[" + strconv.Itoa(i) + "]",
				Value:   item,
				Allowed: "the name that the item is known by",
			})
		}
		if isSet[item] {
			faults = append(faults, configuration.Fault{
				Path:    "remove." + list + "[" + strconv.Itoa(i) + "]",
				Value:   item,
				Allowed: "a name that is not set by the same amendment",
			})
		}
	}
	return faults
}

// Apply returns the amended table, or every fault. It does not modify the current table.
func (a Amendment) Apply(current *Table) (*Table, configuration.Faults) {
	var faults configuration.Faults
	if a.Number <= current.Number {
		faults = append(faults, configuration.Fault{
			Path:    "number",
			Value:   a.Number,
			Allowed: "above the one in force, " + strconv.FormatUint(current.Number, 10),
		})
	}
	if current.Source != "" {
		faults = append(faults, configuration.Fault{
			Path:    "$",
			Value:   "a table that was translated from another text",
			Allowed: "an amendment of that text",
		})
	}
	faults = append(faults, ambiguousNames("routes", current.Routes, a.Set.Routes, a.Remove.Routes, routeName)...)
	next := &Table{Number: a.Number, KeyRequired: current.KeyRequired, Limits: current.Limits}
	next.Routes = merge(current.Routes, a.Set.Routes, a.Remove.Routes, routeName)
	next.Services = merge(current.Services, a.Set.Services, a.Remove.Services, serviceName)
	next.Tenants = merge(current.Tenants, a.Set.Tenants, a.Remove.Tenants, tenantName)
	faults = append(faults, next.validate()...)
	if len(faults) > 0 {
		return nil, faults
	}
	next.index()
	return next, nil
}

// ambiguousNames reports names of the amendment that several current items share, as they do not
// identify one item.
func ambiguousNames[T any](list string, current, set []T, removed []string, name func(T) string) (faults configuration.Faults) {
	count := map[string]int{}
	for _, item := range current {
		count[name(item)]++
	}
	named := append([]string{}, removed...)
	for _, item := range set {
		named = append(named, name(item))
	}
	for _, item := range named {
		if count[item] > 1 {
			faults = append(faults, configuration.Fault{Path: list, Value: item, Allowed: "a name that one item of the table in force bears"})
		}
	}
	return faults
}

// ChangedNames lists the changed items of one kind.
type ChangedNames struct {
	Added    []string `json:"added,omitempty"`
	Replaced []string `json:"replaced,omitempty"`
	Removed  []string `json:"removed,omitempty"`
}

// Preview lists what a new table would change, by name.
type Preview struct {
	Routes   ChangedNames `json:"routes"`
	Services ChangedNames `json:"services"`
	Tenants  ChangedNames `json:"tenants"`
}

// NewPreview returns the differences between two tables.
func NewPreview(current, next *Table) Preview {
	return Preview{
		Routes:   changedNames(current.Routes, next.Routes, routeName),
		Services: changedNames(current.Services, next.Services, serviceName),
		Tenants:  changedNames(current.Tenants, next.Tenants, tenantName),
	}
}

func changedNames[T any](current, next []T, name func(T) string) (c ChangedNames) {
	existing := make(map[string]bool, len(current))
	for _, item := range current {
		existing[name(item)] = true
	}
	set, removed := diff(current, next, name)
	for _, item := range set {
		if existing[name(item)] {
			c.Replaced = append(c.Replaced, name(item))
		} else {
			c.Added = append(c.Added, name(item))
		}
	}
	c.Removed = removed
	return c
}
