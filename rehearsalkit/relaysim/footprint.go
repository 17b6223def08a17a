package relaysim

import "reflect"

// footprint is about how many bytes a value takes with all that it points to,
// but for functions and what they hold.
func footprint(value any) int64 {
	f := footprinter{seen: map[uintptr]bool{}}
	return f.of(reflect.ValueOf(value))
}

type footprinter struct{ seen map[uintptr]bool }

// of counts what a value points to, and its own size where it is in no other.
func (f *footprinter) of(v reflect.Value) int64 {
	if !v.IsValid() {
		return 0
	}
	return int64(v.Type().Size()) + f.below(v)
}

// first reports whether something is met for the first time.
func (f *footprinter) first(at uintptr) bool {
	met := f.seen[at]
	f.seen[at] = true
	return !met
}

// below counts what a value points to.
func (f *footprinter) below(v reflect.Value) (sum int64) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() && f.first(v.Pointer()) {
			return f.of(v.Elem())
		}
	case reflect.Interface:
		if !v.IsNil() {
			return f.of(v.Elem())
		}
	case reflect.String:
		return int64(v.Len())
	case reflect.Slice:
		if v.IsNil() || !f.first(v.Pointer()) {
			return 0
		}
		sum = int64(v.Cap()) * int64(v.Type().Elem().Size())
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return sum
		}
		for i := 0; i < v.Len(); i++ {
			sum += f.below(v.Index(i))
		}
	case reflect.Array:
		for i := 0; i < v.Len(); i++ {
			sum += f.below(v.Index(i))
		}
	case reflect.Map:
		for each := v.MapRange(); each.Next(); {
			sum += f.of(each.Key()) + f.of(each.Value())
		}
	case reflect.Struct:
		for i := 0; i < v.NumField(); i++ {
			sum += f.below(v.Field(i))
		}
	}
	return sum
}
