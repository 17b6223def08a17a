package schematest

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Describe returns the encoded field names of a type with their order, options, kinds and element
// types. Go names do not appear unless the encoder writes them. Within itself, a recursive type is
// a reference to the enclosing level.
func Describe(t reflect.Type, encoding Encoding) string {
	d := describer{encoding: encoding}
	d.describe(t, 0)
	return d.text.String()
}

// Untagged returns the encoded fields, nested ones included, that have no tag with an outer name.
// Renaming such a field would change the format.
func Untagged(t reflect.Type, encoding Encoding) []string {
	d := describer{encoding: encoding}
	d.describe(t, 0)
	return d.untagged
}

type describer struct {
	encoding Encoding
	text     strings.Builder
	untagged []string
	// open holds the structs being described, outermost first.
	open []reflect.Type
}

type field struct {
	name    string
	tagged  bool
	options string
	typ     reflect.Type
	depth   int
}

var (
	timeType       = reflect.TypeFor[time.Time]()
	rawType        = reflect.TypeFor[json.RawMessage]()
	customEncoders = map[Encoding][]reflect.Type{
		MessagePack: {reflect.TypeFor[msgpack.CustomEncoder](), reflect.TypeFor[msgpack.Marshaler](), reflect.TypeFor[encoding.BinaryMarshaler](), reflect.TypeFor[encoding.TextMarshaler]()},
		JSONText:    {reflect.TypeFor[json.Marshaler](), reflect.TypeFor[encoding.TextMarshaler]()},
	}
)

func hasCustomEncoding(t reflect.Type, encoding Encoding) bool {
	for _, interfaceType := range customEncoders[encoding] {
		if t.Implements(interfaceType) || reflect.PointerTo(t).Implements(interfaceType) {
			return true
		}
	}
	return false
}

func (d *describer) describe(t reflect.Type, indent int) {
	switch {
	case t == timeType:
		d.text.WriteString("time")
		return
	case t == rawType && d.encoding == JSONText:
		d.text.WriteString("raw JSON")
		return
	case t.Kind() != reflect.Pointer && t.Kind() != reflect.Interface && hasCustomEncoding(t, d.encoding):
		d.text.WriteString("custom " + t.Kind().String())
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		d.text.WriteString("pointer to ")
		d.describe(t.Elem(), indent)
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			d.text.WriteString("bytes")
			return
		}
		d.text.WriteString("list of ")
		d.describe(t.Elem(), indent)
	case reflect.Array:
		fmt.Fprintf(&d.text, "%d times ", t.Len())
		d.describe(t.Elem(), indent)
	case reflect.Map:
		d.text.WriteString("map of ")
		d.describe(t.Key(), indent)
		d.text.WriteString(" to ")
		d.describe(t.Elem(), indent)
	case reflect.Struct:
		d.describeStruct(t, indent)
	default:
		d.text.WriteString(t.Kind().String())
	}
}

func (d *describer) describeStruct(t reflect.Type, indent int) {
	for i, outer := range d.open {
		if outer == t {
			fmt.Fprintf(&d.text, "struct %d levels up", len(d.open)-i)
			return
		}
	}
	d.open = append(d.open, t)
	defer func() { d.open = d.open[:len(d.open)-1] }()
	list, asArray := d.fields(t)
	if asArray {
		d.text.WriteString("unnamed fields ")
	}
	d.text.WriteString("{\n")
	for _, f := range list {
		if !f.tagged {
			d.untagged = append(d.untagged, t.String()+"."+f.name)
		}
		d.text.WriteString(strings.Repeat("  ", indent+1))
		if !asArray {
			d.text.WriteString(fmt.Sprintf("%q", f.name))
			if f.options != "" {
				d.text.WriteString(" [" + f.options + "]")
			}
			d.text.WriteString(": ")
		}
		d.describe(f.typ, indent+1)
		d.text.WriteString("\n")
	}
	d.text.WriteString(strings.Repeat("  ", indent) + "}")
}

func (d *describer) fields(t reflect.Type) (list []field, asArray bool) {
	if d.encoding == JSONText {
		return jsonFields(t), false
	}
	return msgpackFields(t)
}

// msgpackFields follows the rules of vmihailenco/msgpack/v5.
func msgpackFields(t reflect.Type) (list []field, asArray bool) {
	named := map[string]bool{}
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("msgpack"), ",")
		if name == "-" {
			continue
		}
		if f.Name == "_msgpack" {
			asArray = strings.Contains(options, "as_array")
		}
		if !f.IsExported() && !f.Anonymous {
			continue
		}
		inner := f.Type
		for inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if f.Anonymous && inner.Kind() == reflect.Struct && inner != timeType && !hasCustomEncoding(inner, MessagePack) && !strings.Contains(options, "noinline") {
			inlined, _ := msgpackFields(inner)
			shadowed := false
			for _, nested := range inlined {
				shadowed = shadowed || named[nested.name]
			}
			if !shadowed {
				for _, nested := range inlined {
					named[nested.name] = true
					list = append(list, nested)
				}
				continue
			}
		}
		tagged := name != ""
		if !tagged {
			name = f.Name
		}
		named[name] = true
		list = append(list, field{name: name, tagged: tagged, options: options, typ: f.Type})
	}
	return list, asArray
}

// jsonFields follows the rules of encoding/json: of fields with the same name the least nested one
// is encoded.
func jsonFields(t reflect.Type) []field {
	var all []field
	collectJSON(t, 0, &all)
	minDepth := map[string]int{}
	for _, f := range all {
		if depth, ok := minDepth[f.name]; !ok || f.depth < depth {
			minDepth[f.name] = f.depth
		}
	}
	var list []field
	for _, f := range all {
		if f.depth == minDepth[f.name] {
			list = append(list, f)
		}
	}
	return list
}

func collectJSON(t reflect.Type, depth int, all *[]field) {
	for i := range t.NumField() {
		f := t.Field(i)
		tag := f.Tag.Get("json")
		name, options, _ := strings.Cut(tag, ",")
		inner := f.Type
		if f.Anonymous && inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		switch {
		case tag == "-":
		case f.Anonymous && name == "" && inner.Kind() == reflect.Struct && !hasCustomEncoding(inner, JSONText):
			collectJSON(inner, depth+1, all)
		case !f.IsExported():
		default:
			tagged := name != ""
			if !tagged {
				name = f.Name
			}
			*all = append(*all, field{name: name, tagged: tagged, options: options, typ: f.Type, depth: depth})
		}
	}
}
