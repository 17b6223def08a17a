package schematest

import (
	"fmt"
	"reflect"
	"time"
)

// Fill returns a value with every exported field set, the same in every run. Maps have one entry,
// as msgpack encodes map entries in no fixed order. A recursive type is zero on the second level.
func Fill(t reflect.Type) reflect.Value {
	value := reflect.New(t).Elem()
	(&filler{open: map[reflect.Type]bool{}}).fill(value)
	return value
}

type filler struct {
	count int
	open  map[reflect.Type]bool
}

func (f *filler) next() int {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value) {
	t := v.Type()
	switch t {
	case timeType:
		v.Set(reflect.ValueOf(time.Unix(int64(1e9+f.next()), 0).UTC()))
		return
	case rawType:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.next()))
		return
	}
	switch t.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.next()%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("text%d", f.next()))
	case reflect.Pointer:
		if f.open[t.Elem()] {
			return
		}
		v.Set(reflect.New(t.Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		f.fillMap(v)
	case reflect.Interface:
		if t.NumMethod() == 0 {
			v.Set(reflect.ValueOf(fmt.Sprintf("text%d", f.next())))
		}
	case reflect.Struct:
		f.fillStruct(v)
	default:
		panic("schematest: no value of kind " + t.Kind().String())
	}
}

func (f *filler) fillSlice(v reflect.Value) {
	t := v.Type()
	switch {
	case t.Elem().Kind() == reflect.Uint8:
		v.SetBytes(fmt.Appendf(nil, "bytes%d", f.next()))
	case !f.open[t.Elem()]:
		v.Set(reflect.MakeSlice(t, 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	t := v.Type()
	if f.open[t.Elem()] {
		return
	}
	key, value := reflect.New(t.Key()).Elem(), reflect.New(t.Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(t))
	v.SetMapIndex(key, value)
}

func (f *filler) fillStruct(v reflect.Value) {
	t := v.Type()
	f.open[t] = true
	defer delete(f.open, t)
	for i := range t.NumField() {
		structField := t.Field(i)
		if structField.IsExported() || structField.Anonymous && structField.Type.Kind() == reflect.Struct {
			f.fill(v.Field(i))
		}
	}
}
