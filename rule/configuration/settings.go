// Package configuration decodes and validates configuration from JSON.
//
// A list of Settings is the schema that Read applies to any target; Description is the configuration
// of quotas, roles, tenants and services. Validation reports every fault at once, and a
// configuration with a fault is never used in part. Start reading at Read and Description.
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

// Setting describes one setting. Path has keys separated by dots; a star stands for any name and []
// for every element of a list. Type is int, number, bool, text or texts (a list). A missing value
// without Default stays missing. Check returns what is allowed if a value is invalid, else "".
type Setting struct {
	Path     string
	Type     string
	Default  any
	Min, Max float64
	Allowed  []string
	Required bool
	Check    func(value any) string
	Help     string
}

// FaultKind says what makes a value invalid.
type FaultKind int

const (
	// InvalidValue is a value that its setting does not allow.
	InvalidValue FaultKind = iota
	// UnknownWord is a word that is none of those that its setting knows.
	UnknownWord
	// UnknownSetting is a setting that does not exist.
	UnknownSetting
	// UnreadableText is a text that cannot be decoded; the value describes the error.
	UnreadableText
)

// Fault is one invalid value of a configuration. Allowed describes the valid ones.
type Fault struct {
	Path    string `json:"path"`
	Value   any    `json:"value,omitempty"`
	Allowed string `json:"allowed"`

	kind FaultKind
}

// WithKind returns the fault with a kind, which is not part of its encoding.
func (f Fault) WithKind(kind FaultKind) Fault {
	f.kind = kind
	return f
}

// Kind is InvalidValue unless WithKind has set another.
func (f Fault) Kind() FaultKind { return f.kind }

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %v is not allowed; allowed: %s", f.Path, f.Value, f.Allowed)
}

// Faults lists every invalid value of a configuration.
type Faults []Fault

// Error implements error with one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Read checks a JSON text against settings, fills in defaults and decodes it into target, which must
// be a pointer.
func Read(text []byte, settings []Setting, target any) Faults {
	if faults := CheckUnicode(text); faults != nil {
		return faults
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree any
	if err := decoder.Decode(&tree); err != nil {
		return Faults{{Path: "$", Value: err.Error(), Allowed: "one JSON object", kind: UnreadableText}}
	}
	if decoder.More() {
		return Faults{{Path: "$", Value: "text after the object", Allowed: "one JSON object"}}
	}
	root, ok := tree.(map[string]any)
	if !ok {
		return Faults{{Path: "$", Value: tree, Allowed: "one JSON object"}}
	}
	root, faults := Check(root, settings)
	if len(faults) > 0 {
		return faults
	}
	encoded, err := json.Marshal(root)
	if err == nil {
		err = json.Unmarshal(encoded, target)
	}
	if err != nil {
		return Faults{{Path: "$", Value: err.Error(), Allowed: "values of the documented types", kind: UnreadableText}}
	}
	return nil
}

// node is part of the tree of settings. Only leaves have a setting.
type node struct {
	setting  *Setting
	children map[string]*node
}

func buildTree(settings []Setting) *node {
	root := &node{children: map[string]*node{}}
	for i := range settings {
		current := root
		for _, key := range strings.Split(settings[i].Path, ".") {
			if current.children[key] == nil {
				current.children[key] = &node{children: map[string]*node{}}
			}
			current = current.children[key]
		}
		current.setting = &settings[i]
	}
	return root
}

// Check validates a decoded JSON object and fills in defaults, in place. It returns the faults by
// path. Numbers may be of type json.Number.
func Check(root map[string]any, settings []Setting) (map[string]any, Faults) {
	var faults Faults
	out := checkNode("", root, buildTree(settings), &faults)
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
	return out.(map[string]any), faults
}

func checkNode(path string, value any, schema *node, faults *Faults) any {
	if list := schema.children["[]"]; list != nil {
		items, ok := value.([]any)
		if !ok {
			*faults = append(*faults, Fault{Path: path, Value: value, Allowed: "a list"})
			return value
		}
		for i := range items {
			items[i] = checkNode(path+"["+strconv.Itoa(i)+"]", items[i], list, faults)
		}
		return items
	}
	if len(schema.children) == 0 {
		return checkValue(path, value, schema.setting, faults)
	}
	object, ok := value.(map[string]any)
	if !ok {
		*faults = append(*faults, Fault{Path: path, Value: value, Allowed: "an object"})
		return value
	}
	for key, child := range object {
		next := schema.children[key]
		if next == nil {
			next = schema.children["*"]
			if next != nil && !ValidName(key) {
				*faults = append(*faults, Fault{
					Path:    joinPath(path, key),
					Value:   key,
					Allowed: "a name of 1 to 64 letters, digits, '-', '_' or '.'",
				})
				continue
			}
		}
		if next == nil {
			*faults = append(*faults, Fault{
				Path:    joinPath(path, key),
				Value:   child,
				Allowed: "no such setting; known here: " + strings.Join(childNames(schema), ", "),
				kind:    UnknownSetting,
			})
			continue
		}
		object[key] = checkNode(joinPath(path, key), child, next, faults)
	}
	for key, next := range schema.children {
		if _, present := object[key]; present || key == "*" {
			continue
		}
		switch {
		case next.setting != nil && next.setting.Required:
			*faults = append(*faults, Fault{Path: joinPath(path, key), Value: "nothing", Allowed: allowed(next.setting)})
		case next.setting != nil && next.setting.Default != nil:
			object[key] = next.setting.Default
		case next.setting == nil && len(next.children) > 0 && next.children["[]"] == nil:
			object[key] = checkNode(joinPath(path, key), map[string]any{}, next, faults)
		}
	}
	return object
}

func childNames(schema *node) []string {
	var names []string
	for key := range schema.children {
		names = append(names, key)
	}
	sort.Strings(names)
	return names
}

const maxNameLength = 64

// ValidName reports whether a text consists of 1 to 64 letters, digits, '-', '_' or '.'.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for _, r := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			return false
		}
	}
	return true
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func checkValue(path string, value any, setting *Setting, faults *Faults) any {
	reject := func() any {
		*faults = append(*faults, Fault{Path: path, Value: value, Allowed: allowed(setting)})
		return value
	}
	switch setting.Type {
	case "int", "number":
		number, ok := toFloat(value)
		if !ok || number < setting.Min || number > setting.Max || (setting.Type == "int" && number != math.Trunc(number)) {
			return reject()
		}
	case "bool":
		if _, ok := value.(bool); !ok {
			return reject()
		}
	case "text":
		text, ok := value.(string)
		if !ok {
			return reject()
		}
		if len(setting.Allowed) > 0 {
			found := false
			for _, allowedText := range setting.Allowed {
				found = found || allowedText == text
			}
			if !found {
				*faults = append(*faults, Fault{Path: path, Value: value, Allowed: allowed(setting), kind: UnknownWord})
				return value
			}
		}
	case "texts":
		items, ok := value.([]any)
		if !ok {
			return reject()
		}
		for _, item := range items {
			if _, ok := item.(string); !ok {
				return reject()
			}
		}
	}
	if setting.Check != nil {
		if problem := setting.Check(value); problem != "" {
			*faults = append(*faults, Fault{Path: path, Value: value, Allowed: problem})
		}
	}
	return value
}

func toFloat(value any) (float64, bool) {
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

func allowed(setting *Setting) string {
	switch {
	case len(setting.Allowed) > 0:
		return "one of " + strings.Join(setting.Allowed, ", ")
	case setting.Type == "int":
		return fmt.Sprintf("a whole number from %.0f to %.0f", setting.Min, setting.Max)
	case setting.Type == "number":
		return fmt.Sprintf("a number from %g to %g", setting.Min, setting.Max)
	case setting.Type == "bool":
		return "true or false"
	case setting.Type == "texts":
		return "a list of texts"
	}
	return "a text"
}

// Flatten returns the values of a JSON text by path. The map is empty if the text is invalid.
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
			flatten(joinPath(path, key), child, out)
		}
	case []any:
		for i, child := range v {
			flatten(path+"["+strconv.Itoa(i)+"]", child, out)
		}
	default:
		out[path] = fmt.Sprint(v)
	}
}
