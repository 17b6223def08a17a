package breaks

import "testing"

const workspace = "../.."

// The text that a break replaces must occur exactly once in the checked package.
func TestCheckerBreaksFitTheCode(t *testing.T) {
	for _, b := range Checker {
		if _, _, err := b.locate(workspace); err != nil {
			t.Errorf("%s: %v", b.What, err)
		}
	}
}

// No other test finds this fault.
func TestCheckerFindsFormerGroupBreak(t *testing.T) {
	found, err := Checker[0].Run(workspace)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(found)
}
