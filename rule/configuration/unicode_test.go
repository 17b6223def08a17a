package configuration

import (
	"encoding/json"
	"strings"
	"testing"
)

func TestInvalidUnicodeIsRefusedWithItsPath(t *testing.T) {
	for text, path := range map[string]string{
		"{\"a\":{\"b\":[1,\"x\xff\"]}}":    "a.b[1]",
		"{\"a\":[{},{\"n\xef\xef\":3}]}":   "a[1].n\ufffd\ufffd",
		`{"a":1,"b":{"c":"\ud800"}}`:       "b.c",
		`{"a":["\udc00\ud800"]}`:           "a[0]",
		`{"a":"\ud800\n"}`:                 "a",
		`{"\ud83d":1}`:                     "\ufffd",
		"\xff":                             "$",
		"{\"a\":1} \xff":                   "$",
		"[\"ok\",\xc3\x28]":                "[0]",
		"{\"a\":\"\xed\xa0\x80\",\"b\":2}": "a",
	} {
		if faults := CheckUnicode([]byte(text)); len(faults) != 1 || faults[0].Path != path {
			t.Errorf("%q: %v, want the path %s", text, faults, path)
		}
	}
}

func TestValidUnicodeIsTaken(t *testing.T) {
	for _, text := range []string{
		``, `{}`, `{"a":"\ud83d\ude00 é \\ud800 \" \/ \u0000"}`, "{\"é\":\"\u2028\U0001f600\ufffd\"}", `{"a":"\`, `{"a":"\u12`, `no JSON`,
	} {
		if faults := CheckUnicode([]byte(text)); faults != nil {
			t.Errorf("%q: %v", text, faults)
		}
	}
}

// FuzzCheckUnicode checks that decoding an accepted text puts no replacement character into a string
// that has none in the text.
func FuzzCheckUnicode(f *testing.F) {
	for _, seed := range []string{`{"a":"\ud800"}`, `{"\ud83d\ude00":["\\","\u2028"]}`, "{\"a\xff\":1}", `"\\ud800"`, `["\ud800\ud800\udc00"]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var value any
		if CheckUnicode(text) != nil || json.Unmarshal(text, &value) != nil {
			return
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		hasReplacement := strings.Contains(string(encoded), "\ufffd")
		if hasReplacement && !strings.Contains(string(text), "\ufffd") && !strings.Contains(strings.ToLower(string(text)), `\ufffd`) {
			t.Fatalf("%q is encoded as %q", text, encoded)
		}
	})
}
