package modelcheck

import (
	"encoding/binary"
	"math"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"saffronfall/rule/partition"
)

// digest is a 128-bit hash.
type digest [2]uint64

// secondSeed makes the halves of a digest independent.
const secondSeed = 0x9e3779b97f4a7c15

// plus adds digests. The sum over its elements identifies a multiset.
func (d digest) plus(other digest) digest { return digest{d[0] + other[0], d[1] + other[1]} }

func (d digest) less(other digest) bool {
	return d[0] < other[0] || (d[0] == other[0] && d[1] < other[1])
}

// excludedTypes are the types of fields that are not part of a machine's state.
var excludedTypes = map[reflect.Type]bool{
	reflect.TypeFor[partition.Counters](): true,
	reflect.TypeFor[partition.Params]():   true,
	reflect.TypeFor[*partition.Output]():  true,
	reflect.TypeFor[partition.Rules]():    true,
}

var durationType = reflect.TypeFor[time.Duration]()

// nextQuantum rounds a time up. Clocks are read only at multiples of a quantum, and machines only
// ask whether a time has passed, so times between the same two quanta are equivalent.
func nextQuantum(n int64) int64 {
	q := int64(quantum)
	if rest := n % q; rest > 0 {
		return n - rest + q
	}
	return n
}

// encoder writes a canonical encoding: map keys are sorted and members renamed.
type encoder struct {
	buffer []byte
	rename map[string]string
}

func digestOf(rename map[string]string, values ...any) digest {
	e := encoder{buffer: make([]byte, 0, 1024), rename: rename}
	for _, value := range values {
		e.encode(reflect.ValueOf(value))
	}
	return e.digest()
}

func (e *encoder) digest() digest {
	second := xxhash.NewWithSeed(secondSeed)
	second.Write(e.buffer)
	return digest{xxhash.Sum64(e.buffer), second.Sum64()}
}

func (e *encoder) number(n uint64) { e.buffer = binary.AppendUvarint(e.buffer, n) }

func (e *encoder) text(s string) {
	e.number(uint64(len(s)))
	e.buffer = append(e.buffer, s...)
}

func (e *encoder) name(s string) string {
	if other, ok := e.rename[s]; ok {
		return other
	}
	return s
}

func (e *encoder) encode(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		e.number(0)
	case reflect.Bool:
		if v.Bool() {
			e.number(1)
		} else {
			e.number(0)
		}
	case reflect.Int, reflect.Int64:
		n := v.Int()
		if v.Type() == durationType {
			n = nextQuantum(n)
		}
		e.number(uint64(n))
	case reflect.Uint8, reflect.Uint64:
		e.number(v.Uint())
	case reflect.Float64:
		e.number(math.Float64bits(v.Float()))
	case reflect.String:
		e.text(e.name(v.String()))
	case reflect.Pointer:
		e.pointer(v)
	case reflect.Interface:
		e.interfaceValue(v)
	case reflect.Slice, reflect.Array:
		e.sequence(v)
	case reflect.Map:
		e.mapValue(v)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Field(i); !excludedTypes[field.Type()] {
				e.encode(field)
			}
		}
	case reflect.Func:
	default:
		panic("modelcheck: cannot encode type " + v.Type().String())
	}
}

func (e *encoder) pointer(v reflect.Value) {
	if v.IsNil() {
		e.number(0)
		return
	}
	e.number(1)
	e.encode(v.Elem())
}

func (e *encoder) interfaceValue(v reflect.Value) {
	if v.IsNil() {
		e.number(0)
		return
	}
	e.text(v.Elem().Type().String())
	e.encode(v.Elem())
}

func (e *encoder) sequence(v reflect.Value) {
	e.number(uint64(v.Len()))
	if v.Type().Elem().Kind() == reflect.String {
		e.names(v)
		return
	}
	for i := range v.Len() {
		e.encode(v.Index(i))
	}
}

// names ignores the order of members under a renaming, so that states which differ only by a
// renaming get the same digest.
func (e *encoder) names(v reflect.Value) {
	names := make([]string, v.Len())
	for i := range names {
		names[i] = e.name(v.Index(i).String())
	}
	if e.rename != nil {
		slices.Sort(names)
	}
	for _, name := range names {
		e.text(name)
	}
}

type mapEntry struct {
	key   string
	value reflect.Value
}

func (e *encoder) mapValue(v reflect.Value) {
	entries := make([]mapEntry, 0, v.Len())
	for iter := v.MapRange(); iter.Next(); {
		key := iter.Key()
		entry := mapEntry{value: iter.Value()}
		if key.Kind() == reflect.String {
			entry.key = e.name(key.String())
		} else {
			entry.key = string(binary.BigEndian.AppendUint64(nil, key.Uint()))
		}
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].key < entries[j].key })
	e.number(uint64(len(entries)))
	for _, entry := range entries {
		e.text(entry.key)
		e.encode(entry.value)
	}
}
