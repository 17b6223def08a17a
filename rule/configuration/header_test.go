package configuration

import "testing"

func TestHeaderValuesThatWouldChangeAreRefused(t *testing.T) {
	for _, text := range []string{"a\r\nX-Tenant: b", "a\n", "\x00", "a\tb", " a", "a ", "a\u00a0", "\x7f", "\xff", "\u0085"} {
		if ValidHeaderValue(text) {
			t.Errorf("%q is taken", text)
		}
	}
	for _, text := range []string{"", "a", "t-1", "Ñandú y cía", "a b:c;d,e"} {
		if !ValidHeaderValue(text) {
			t.Errorf("%q is refused", text)
		}
	}
}
