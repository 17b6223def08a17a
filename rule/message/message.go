// Package message encodes messages between processes and stored values as msgpack.
//
// A message is the outer name of its type, given to Register, followed by its value. Outer names of
// fields are their tags. Outer names never change: they occur in stored data and in the messages of
// other builds during a rolling upgrade. Package schematest tests this. Start reading at Register,
// Pack and Open.
package message

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrUnknownType is returned for a type that this build does not know. Another build may send one
// during a rolling upgrade.
var ErrUnknownType = errors.New("unknown type")

var (
	types = map[string]reflect.Type{}
	names = map[reflect.Type]string{}
)

// Register registers the types of the given values under their outer names. It must be called during
// package initialisation only, and panics if a name or a type is registered twice.
func Register(values map[string]any) {
	for name, value := range values {
		t := reflect.TypeOf(value)
		if types[name] != nil {
			panic("message: two types are registered as " + name)
		}
		if other, registered := names[t]; registered {
			panic("message: " + t.String() + " is registered as " + name + " and as " + other)
		}
		types[name], names[t] = t, name
	}
}

// Types returns every registered type by its outer name.
func Types() map[string]reflect.Type { return maps.Clone(types) }

// NameOf returns the outer name of a value's type, or "" if the type is not registered.
func NameOf(value any) string { return names[reflect.TypeOf(value)] }

// Pack encodes the outer name of a value's type and the value. It panics if the type is not
// registered.
func Pack(value any) []byte {
	name, ok := names[reflect.TypeOf(value)]
	if !ok {
		panic(fmt.Sprintf("message: type %T is not registered", value))
	}
	var buffer bytes.Buffer
	encoder := msgpack.NewEncoder(&buffer)
	if err := encoder.EncodeString(name); err != nil {
		panic(err)
	}
	if err := encoder.Encode(value); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

// Open decodes what Pack encoded. It returns ErrUnknownType for an unregistered name, and an error
// where the msgpack library panics on malformed input.
func Open(raw []byte) (body any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			body, err = nil, errors.Newf("malformed message: %v", cause)
		}
	}()
	decoder := msgpack.NewDecoder(bytes.NewReader(raw))
	name, err := decoder.DecodeString()
	if err != nil {
		return nil, errors.Wrap(err, "message has no type name")
	}
	t, ok := types[name]
	if !ok {
		return nil, errors.Wrapf(ErrUnknownType, "%q", name)
	}
	value := reflect.New(t)
	if err := decoder.DecodeValue(value); err != nil {
		return nil, errors.Wrapf(err, "malformed message of type %s", name)
	}
	return value.Elem().Interface(), nil
}

// Marshal encodes a value without a type name. It panics if the value cannot be encoded.
func Marshal(value any) []byte {
	raw, err := msgpack.Marshal(value)
	if err != nil {
		panic(err)
	}
	return raw
}

// Encode writes a value without a type name, as Marshal encodes it.
func Encode(w io.Writer, value any) error {
	return errors.Wrap(msgpack.NewEncoder(w).Encode(value), "encoding a value")
}

// Decode decodes what Encode or Marshal wrote into the target, which must be a pointer.
func Decode(r io.Reader, target any) error {
	return errors.Wrap(msgpack.NewDecoder(r).Decode(target), "decoding a value")
}

// Unmarshal decodes what Marshal encoded into the target, which must be a pointer.
func Unmarshal(raw []byte, target any) error { return msgpack.Unmarshal(raw, target) }
