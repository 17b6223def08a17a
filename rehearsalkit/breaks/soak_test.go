package breaks

import "testing"

// Each break must still have exactly one place in the code. The soak runs over them by
// the command.
func TestSoakBreaksFitTheCode(t *testing.T) {
	for _, b := range Soak {
		if _, _, err := b.locate(workspace); err != nil {
			t.Errorf("%s: %v", b.What, err)
		}
	}
}
