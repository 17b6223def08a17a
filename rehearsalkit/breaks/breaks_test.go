package breaks

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestEveryBreakFitsTheCode: the line that each break makes wrong stands in its
// file exactly once. Whether it is found is for the command, which takes long.
func TestEveryBreakFitsTheCode(t *testing.T) {
	for _, b := range All {
		text, err := os.ReadFile(filepath.Join("..", "..", b.File))
		if err != nil {
			t.Errorf("%s: %v", b.What, err)
			continue
		}
		if n := strings.Count(string(text), b.From); n != 1 {
			t.Errorf("%s: %s has its line %d times", b.What, b.File, n)
		}
	}
}
