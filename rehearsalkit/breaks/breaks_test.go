package breaks

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The text that a break replaces must occur exactly once in its file.
func TestEveryBreakFitsTheCode(t *testing.T) {
	for _, b := range Simulator {
		text, err := os.ReadFile(filepath.Join("..", "..", b.File))
		if err != nil {
			t.Errorf("%s: %v", b.What, err)
			continue
		}
		if n := strings.Count(string(text), b.From); n != 1 {
			t.Errorf("%s: %s contains the text to replace %d times, want 1", b.What, b.File, n)
		}
	}
}
