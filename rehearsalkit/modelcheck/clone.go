package modelcheck

import (
	"reflect"
	"sync"
	"unsafe"

	"saffronfall/rule/partition"
)

// cloneMachine copies a machine with all unexported state. Functions and interface values are
// shared, since a machine never changes them in place.
func cloneMachine(m *partition.Machine) *partition.Machine {
	return deepCopy(reflect.ValueOf(m)).Interface().(*partition.Machine)
}

// deepCopy must not get a value obtained through an unexported field; see copyShared.
func deepCopy(v reflect.Value) reflect.Value {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return v
		}
		fresh := reflect.New(v.Type().Elem())
		fresh.Elem().Set(v.Elem())
		if needsDeepCopy(v.Type().Elem()) {
			copyShared(fresh.Elem())
		}
		return fresh
	case reflect.Slice:
		if v.IsNil() {
			return v
		}
		fresh := reflect.MakeSlice(v.Type(), v.Len(), v.Len())
		reflect.Copy(fresh, v)
		if needsDeepCopy(v.Type().Elem()) {
			for i := range fresh.Len() {
				copyShared(fresh.Index(i))
			}
		}
		return fresh
	case reflect.Map:
		return deepCopyMap(v)
	case reflect.Struct:
		fresh := reflect.New(v.Type()).Elem()
		fresh.Set(v)
		if needsDeepCopy(v.Type()) {
			copyShared(fresh)
		}
		return fresh
	}
	return v
}

func deepCopyMap(v reflect.Value) reflect.Value {
	if v.IsNil() {
		return v
	}
	fresh := reflect.MakeMapWithSize(v.Type(), v.Len())
	deep := needsDeepCopy(v.Type().Elem())
	for iter := v.MapRange(); iter.Next(); {
		value := iter.Value()
		if deep {
			value = deepCopy(value)
		}
		fresh.SetMapIndex(iter.Key(), value)
	}
	return fresh
}

// copyShared gives an addressable shallow copy its own maps, slices and pointers.
func copyShared(v reflect.Value) {
	if v.Kind() != reflect.Struct {
		v.Set(deepCopy(v))
		return
	}
	for _, i := range deepFields(v.Type()) {
		field := v.Field(i)
		copyShared(reflect.NewAt(field.Type(), unsafe.Pointer(field.UnsafeAddr())).Elem())
	}
}

var deepFieldsByType sync.Map

// deepFields returns the indexes of the struct fields that assignment would share.
func deepFields(t reflect.Type) []int {
	if known, ok := deepFieldsByType.Load(t); ok {
		return known.([]int)
	}
	var fields []int
	for i := range t.NumField() {
		if needsDeepCopy(t.Field(i).Type) {
			fields = append(fields, i)
		}
	}
	deepFieldsByType.Store(t, fields)
	return fields
}

// needsDeepCopy reports whether assignment shares state that a machine may change.
func needsDeepCopy(t reflect.Type) bool {
	switch t.Kind() {
	case reflect.Pointer, reflect.Map:
		return true
	case reflect.Slice:
		// Byte slices are never changed in place.
		return t.Elem().Kind() != reflect.Uint8
	case reflect.Struct:
		return len(deepFields(t)) > 0
	}
	return false
}
