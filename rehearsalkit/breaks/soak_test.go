package breaks

import "testing"

// The text that a break replaces must occur exactly once in its file.
func TestSoakBreaksFitTheCode(t *testing.T) {
	for _, b := range Soak {
		if _, _, err := b.locate(workspace); err != nil {
			t.Errorf("%s: %v", b.What, err)
		}
	}
}
