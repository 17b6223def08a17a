// Package schematest tests that the outer format of encoded types is unchanged: messages between
// processes, stored values, and JSON exchanged with requesters.
//
// A test lists types with Registered, Msgpack and JSON. Check compares their outer fields and two
// encoded values of each with a golden file. A golden file changes only if the format does, which
// breaks compatibility with stored data and with processes of other builds.
package schematest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"saffronfall/rule/message"
)

var update = flag.Bool("update-schema", false, "write the golden files of schema tests")

// Encoding names the encoder of a type.
type Encoding string

// Supported encodings.
const (
	MessagePack Encoding = "msgpack"
	JSONText    Encoding = "json"
)

// Entry is one encoded type with its name in the golden file.
type Entry struct {
	Name     string
	Type     reflect.Type
	Encoding Encoding
	encode   func(value any) ([]byte, error)
	decode   func(raw []byte) (any, error)
}

// Msgpack returns an entry for a type that is encoded by message.Marshal.
func Msgpack[T any](name string) Entry {
	return Entry{Name: name, Type: reflect.TypeFor[T](), Encoding: MessagePack,
		encode: func(value any) ([]byte, error) { return message.Marshal(value), nil },
		decode: func(raw []byte) (any, error) {
			var value T
			err := message.Unmarshal(raw, &value)
			return value, err
		}}
}

// JSON returns an entry for a type that is encoded by encoding/json.
func JSON[T any](name string) Entry {
	return Entry{Name: name, Type: reflect.TypeFor[T](), Encoding: JSONText, encode: json.Marshal,
		decode: func(raw []byte) (any, error) {
			var value T
			err := json.Unmarshal(raw, &value)
			return value, err
		}}
}

// Registered returns an entry for every type registered with message.Register, by outer name.
func Registered() []Entry {
	var entries []Entry
	for name, t := range message.Types() {
		entries = append(entries, Entry{Name: name, Type: t, Encoding: MessagePack,
			encode: func(value any) ([]byte, error) { return message.Pack(value), nil },
			decode: message.Open})
	}
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	return entries
}

// Check compares entries with testdata/NAME.golden, or writes that file if the flag -update-schema
// is set. It fails for a changed, missing or additional entry, an encoded field without a tag, or a
// decoded value that encodes differently.
func Check(t *testing.T, name string, entries []Entry) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	var text strings.Builder
	got := map[string]string{}
	for _, entry := range entries {
		title := fmt.Sprintf("%s (%s)", entry.Name, entry.Encoding)
		if _, twice := got[title]; twice {
			t.Fatalf("two entries have the name %s", title)
		}
		got[title] = entry.section(t)
		for _, name := range Untagged(entry.Type, entry.Encoding) {
			t.Errorf("%s: field %s has no %s tag with its outer name", title, name, entry.Encoding)
		}
		text.WriteString("== " + title + "\n" + got[title])
	}
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := sections(string(raw))
	for title, section := range got {
		switch old, ok := want[title]; {
		case !ok:
			t.Errorf("%s is not in %s", title, path)
		case old != section:
			t.Errorf("the format of %s changed:\n%s\nwant:\n%s", title, section, old)
		}
	}
	for title := range want {
		if _, ok := got[title]; !ok {
			t.Errorf("%s is in %s but is no longer listed by the test", title, path)
		}
	}
	if !t.Failed() && text.String() != string(raw) {
		t.Errorf("%s lists the entries in another order", path)
	}
}

func sections(text string) map[string]string {
	list := map[string]string{}
	for _, section := range strings.Split("\n"+text, "\n== ")[1:] {
		title, body, _ := strings.Cut(section, "\n")
		list[title] = strings.TrimSuffix(body, "\n") + "\n"
	}
	return list
}

func (e Entry) section(t *testing.T) string {
	t.Helper()
	full, zero := Fill(e.Type), reflect.Zero(e.Type)
	return Describe(e.Type, e.Encoding) + "\nfilled: " + e.encoded(t, full) + "\nzero: " + e.encoded(t, zero) + "\n"
}

// Encodings longer than maxHexBytes are written as their digests.
const maxHexBytes = 300

func (e Entry) encoded(t *testing.T, value reflect.Value) string {
	t.Helper()
	raw, err := e.encode(value.Interface())
	if err != nil {
		t.Fatalf("%s: %v", e.Name, err)
	}
	back, err := e.decode(raw)
	if err != nil {
		t.Fatalf("%s: cannot decode the encoded value: %v", e.Name, err)
	}
	if again, err := e.encode(back); err != nil || !bytes.Equal(raw, again) {
		t.Errorf("%s: the decoded value is encoded as %q, %v; want %q", e.Name, again, err, raw)
	}
	switch {
	case e.Encoding == JSONText:
		return string(raw)
	case len(raw) <= maxHexBytes:
		return hex.EncodeToString(raw)
	default:
		sum := sha256.Sum256(raw)
		return fmt.Sprintf("%d bytes, sha256 %s", len(raw), hex.EncodeToString(sum[:]))
	}
}
