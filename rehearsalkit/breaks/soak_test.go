package breaks

import "testing"

// The text that a break replaces must occur exactly once in its file. The breaks command
// runs the soak over each fault.
func TestSoakBreaksFitTheCode(t *testing.T) {
	for _, b := range Soak {
		if _, _, err := b.locate(workspace); err != nil {
			t.Errorf("%s: %v", b.What, err)
		}
	}
}
