// Package configuration reads what operators hand over: a table of settings,
// each with its type, default and check, and the description built from it.
package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
)

// Row is one setting of a table. A star in its path stands for any name, and
// [] for every element of a list.
type Row struct {
	Path     string
	Type     string
	Default  any
	Min, Max float64
	Allowed  []string
	Required bool
	Check    func(value any) string
	About    string
}

// Fault is one thing that is wrong with what was handed over.
type Fault struct {
	Path    string `json:"path"`
	Value   any    `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%s: %v is not allowed; allowed: %s", f.Path, f.Value, f.Allowed)
}

// Faults are all that is wrong, at once.
type Faults []Fault

func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Read checks a JSON text against a table, fills in defaults, and decodes the
// outcome into a target.
func Read(text []byte, rows []Row, target any) Faults {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return Faults{{Path: "$", Value: err.Error(), Allowed: "one JSON object"}}
	}
	if decoder.More() {
		return Faults{{Path: "$", Value: "text after the object", Allowed: "one JSON object"}}
	}
	root, ok := tree.(map[string]any)
	if !ok {
		return Faults{{Path: "$", Value: tree, Allowed: "one JSON object"}}
	}
	root, faults := Check(root, rows)
	if len(faults) > 0 {
		return faults
	}
	whole, err := json.Marshal(root)
	if err == nil {
		err = json.Unmarshal(whole, target)
	}
	if err != nil {
		return Faults{{Path: "$", Value: err.Error(), Allowed: "values of the documented types"}}
	}
	return nil
}

type node struct {
	row      *Row
	children map[string]*node
}

func plant(rows []Row) *node {
	root := &node{children: map[string]*node{}}
	for i := range rows {
		at := root
		for _, step := range strings.Split(rows[i].Path, ".") {
			if at.children[step] == nil {
				at.children[step] = &node{children: map[string]*node{}}
			}
			at = at.children[step]
		}
		at.row = &rows[i]
	}
	return root
}

// Check walks a decoded tree along a table, fills defaults in, and lists every
// fault.
func Check(root map[string]any, rows []Row) (map[string]any, Faults) {
	var faults Faults
	out := walk("", root, plant(rows), &faults)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return out.(map[string]any), faults
}

func walk(path string, value any, at *node, faults *Faults) any {
	if list := at.children["[]"]; list != nil {
		items, ok := value.([]any)
		if !ok {
			*faults = append(*faults, Fault{Path: path, Value: value, Allowed: "a list"})
			return value
		}
		for i := range items {
			items[i] = walk(path+"["+strconv.Itoa(i)+"]", items[i], list, faults)
		}
		return items
	}
	if len(at.children) == 0 {
		return leaf(path, value, at.row, faults)
	}
	tree, ok := value.(map[string]any)
	if !ok {
		*faults = append(*faults, Fault{Path: path, Value: value, Allowed: "an object"})
		return value
	}
	for key, child := range tree {
		next := at.children[key]
		if next == nil {
			next = at.children["*"]
			if next != nil && !named(key) {
				*faults = append(*faults, Fault{Path: join(path, key), Value: key, Allowed: "a name of 1 to 64 letters, digits, '-', '_' or '.'"})
				continue
			}
		}
		if next == nil {
			*faults = append(*faults, Fault{Path: join(path, key), Value: child, Allowed: "no such setting; known here: " + strings.Join(known(at), ", ")})
			continue
		}
		tree[key] = walk(join(path, key), child, next, faults)
	}
	for key, next := range at.children {
		if _, there := tree[key]; there || key == "*" {
			continue
		}
		switch {
		case next.row != nil && next.row.Required:
			*faults = append(*faults, Fault{Path: join(path, key), Value: "nothing", Allowed: allowed(next.row)})
		case next.row != nil && next.row.Default != nil:
			tree[key] = next.row.Default
		case next.row == nil && len(next.children) > 0 && next.children["[]"] == nil:
			tree[key] = walk(join(path, key), map[string]any{}, next, faults)
		}
	}
	return tree
}

func known(at *node) []string {
	var names []string
	for key := range at.children {
		names = append(names, key)
	}
	sort.Strings(names)
	return names
}

func named(s string) bool {
	if s == "" || len(s) > 64 {
		return false
	}
	for _, r := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			return false
		}
	}
	return true
}

// Named reports whether a text can be a name.
func Named(s string) bool { return named(s) }

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func leaf(path string, value any, row *Row, faults *Faults) any {
	wrong := func() any {
		*faults = append(*faults, Fault{Path: path, Value: value, Allowed: allowed(row)})
		return value
	}
	switch row.Type {
	case "int", "number":
		number, ok := number(value)
		if !ok || number < row.Min || number > row.Max || (row.Type == "int" && number != math.Trunc(number)) {
			return wrong()
		}
	case "bool":
		if _, ok := value.(bool); !ok {
			return wrong()
		}
	case "text":
		text, ok := value.(string)
		if !ok {
			return wrong()
		}
		if len(row.Allowed) > 0 {
			found := false
			for _, a := range row.Allowed {
				found = found || a == text
			}
			if !found {
				return wrong()
			}
		}
	case "texts":
		items, ok := value.([]any)
		if !ok {
			return wrong()
		}
		for _, item := range items {
			if _, ok := item.(string); !ok {
				return wrong()
			}
		}
	}
	if row.Check != nil {
		if problem := row.Check(value); problem != "" {
			*faults = append(*faults, Fault{Path: path, Value: value, Allowed: problem})
		}
	}
	return value
}

func number(value any) (float64, bool) {
	switch n := value.(type) {
	case json.Number:
		f, err := n.Float64()
		return f, err == nil
	case float64:
		return n, true
	case int:
		return float64(n), true
	}
	return 0, false
}

func allowed(row *Row) string {
	switch {
	case len(row.Allowed) > 0:
		return "one of " + strings.Join(row.Allowed, ", ")
	case row.Type == "int":
		return fmt.Sprintf("a whole number from %.0f to %.0f", row.Min, row.Max)
	case row.Type == "number":
		return fmt.Sprintf("a number from %g to %g", row.Min, row.Max)
	case row.Type == "bool":
		return "true or false"
	case row.Type == "texts":
		return "a list of texts"
	}
	return "a text"
}

// Flatten turns a JSON text into paths and values.
func Flatten(text []byte) map[string]string {
	var tree any
	out := map[string]string{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if decoder.Decode(&tree) == nil {
		flatten("", tree, out)
	}
	return out
}

func flatten(path string, value any, out map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			flatten(join(path, key), child, out)
		}
	case []any:
		for i, child := range v {
			flatten(path+"["+strconv.Itoa(i)+"]", child, out)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}
