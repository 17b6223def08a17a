package relaysim

import "reflect"

// footprint estimates the bytes of a value and all that it references, except for functions and
// what they capture.
func footprint(value any) int64 {
	f := footprinter{seen: map[uintptr]bool{}}
	return f.total(reflect.ValueOf(value))
}

type footprinter struct{ seen map[uintptr]bool }

func (f *footprinter) total(v reflect.Value) int64 {
	if !v.IsValid() {
		return 0
	}
	return int64(v.Type().Size()) + f.referenced(v)
}

func (f *footprinter) firstVisit(at uintptr) bool {
	visited := f.seen[at]
	f.seen[at] = true
	return !visited
}

// referenced is the size of all that a value references, without the value itself.
func (f *footprinter) referenced(v reflect.Value) (sum int64) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && f.firstVisit(v.Pointer()) {
			return f.total(v.Elem())
		}
	case reflect.Interface:
		if !v.IsNil() {
			return f.total(v.Elem())
		}
	case reflect.String:
		return int64(v.Len())
	case reflect.Slice:
		if v.IsNil() || !f.firstVisit(v.Pointer()) {
			return 0
		}
		sum = int64(v.Cap()) * int64(v.Type().Elem().Size())
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return sum
		}
		for i := 0; i < v.Len(); i++ {
			sum += f.referenced(v.Index(i))
		}
	case reflect.Array:
		for i := 0; i < v.Len(); i++ {
			sum += f.referenced(v.Index(i))
		}
	case reflect.Map:
		for each := v.MapRange(); each.Next(); {
			sum += f.total(each.Key()) + f.total(each.Value())
		}
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			sum += f.referenced(v.Field(i))
		}
	}
	return sum
}
