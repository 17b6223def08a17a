// Package message packs and opens what processes say to each other: msgpack
// values that carry the name of their type.
package message

import (
	"bytes"
	"maps"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrUnknown says that a message is of a type that this version does not have,
// and perhaps a newer one.
var ErrUnknown = errors.New("unknown type")

var types = map[string]reflect.Type{}

// Register makes types known. It is called while packages are initialised.
func Register(values ...any) {
	for _, v := range values {
		t := reflect.TypeOf(v)
		types[t.String()] = t
	}
}

// Types returns every registered type by its outer name.
func Types() map[string]reflect.Type { return maps.Clone(types) }

// Pack encodes a value of a registered type. A type that is not registered is a
// fault of the program, never of a member.
func Pack(value any) []byte {
	t := reflect.TypeOf(value)
	if types[t.String()] == nil {
		panic("message of an unregistered type: " + t.String())
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	if err := encoder.EncodeString(t.String()); err != nil {
		panic(err)
	}
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Open decodes what Pack made. The library may panic on nonsense; that is one
// more way in which a message can be bad.
func Open(raw []byte) (body any, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			body, err = nil, errors.Newf("nonsense: %v", fault)
		}
	}()
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	name, err := decoder.DecodeString()
	if err != nil {
		return nil, errors.Wrap(err, "no type name")
	}
	t, ok := types[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "%q", name)
	}
	value := reflect.New(t)
	if err := decoder.DecodeValue(value); err != nil {
		return nil, errors.Wrapf(err, "bad %s", name)
	}
	return value.Elem().Interface(), nil
}

// Marshal encodes a plain value.
func Marshal(value any) []byte {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}

// Unmarshal decodes a plain value.
func Unmarshal(raw []byte, target any) error { return msgpack.Unmarshal(raw, target) }
