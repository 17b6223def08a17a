package message

import (
	"bytes"
	"errors"
	"testing"
	"time"
)

type sample struct {
	Name    string
	Count   uint64
	Signed  int64
	Share   float64
	Flag    bool
	Raw     []byte
	Wait    time.Duration
	Inner   *inner
	Listed  []inner
	ByName  map[string]inner
	ByIndex map[int]uint64
}

type inner struct {
	ID    string
	Parts []string
}

func init() {
	Register(map[string]any{
		"message.sample": sample{},
		"message.inner":  inner{},
	})
}

func filledSample() sample {
	one := inner{ID: "one", Parts: []string{"a", ""}}
	return sample{Name: "n", Count: 1 << 63, Signed: -5, Share: 0.25, Flag: true, Raw: []byte{0, 255}, Wait: time.Second, Inner: &one,
		Listed: []inner{one, {}}, ByName: map[string]inner{"k": one}, ByIndex: map[int]uint64{3: 4}}
}

func TestPackOpenRoundTrip(t *testing.T) {
	for _, value := range []any{sample{}, filledSample(), inner{ID: "x"}} {
		raw := Pack(value)
		opened, err := Open(raw)
		if err != nil {
			t.Fatal(err)
		}
		if again := Pack(opened); !bytes.Equal(Marshal(value), Marshal(opened)) || len(again) != len(raw) {
			t.Errorf("%+v was decoded as %+v", value, opened)
		}
	}
}

func TestTruncatedMessagesAreRefused(t *testing.T) {
	raw := Pack(filledSample())
	for cut := range len(raw) {
		if body, err := Open(raw[:cut]); err == nil {
			t.Errorf("the first %d bytes of %d were decoded as %+v", cut, len(raw), body)
		}
	}
}

func TestUnknownTypeIsReported(t *testing.T) {
	name := Marshal("message.newer")
	if _, err := Open(append(name, Marshal(inner{})...)); !errors.Is(err, ErrUnknownType) {
		t.Errorf("unregistered type: %v", err)
	}
	if _, err := Open(Marshal(7)); err == nil || errors.Is(err, ErrUnknownType) {
		t.Errorf("message without a type name: %v", err)
	}
}

// Guards against panics on malformed input, and messages that change when encoded again.
func FuzzOpen(f *testing.F) {
	f.Add(Pack(filledSample()))
	f.Add(Pack(sample{}))
	f.Add(Pack(inner{ID: "x", Parts: []string{"y"}}))
	f.Add(append(Marshal("message.sample"), 0xdf, 0xff, 0xff, 0xff, 0xff))
	f.Add(append(Marshal("message.inner"), 0xdd, 0x7f, 0xff, 0xff, 0xff))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		body, err := Open(raw)
		if err != nil {
			return
		}
		again, err := Open(Pack(body))
		if err != nil {
			t.Fatalf("the encoding of %+v cannot be decoded: %v", body, err)
		}
		first, second := len(Marshal(body)), len(Marshal(again))
		if first != second {
			t.Fatalf("%+v became %+v", body, again)
		}
	})
}

func TestRegisterRefusesDuplicates(t *testing.T) {
	for _, values := range []map[string]any{{"message.sample": struct{ Other int }{}}, {"message.other": sample{}}} {
		func() {
			defer func() {
				if recover() == nil {
					t.Errorf("%v was registered", values)
				}
			}()
			Register(values)
		}()
	}
}
