package breaks

import (
	"path/filepath"
	"testing"
)

func TestEveryRelayBreakFitsTheCode(t *testing.T) {
	for _, b := range Relay {
		if _, _, err := b.locate(filepath.Join("..", "..")); err != nil {
			t.Errorf("%s: %v", b.What, err)
		}
	}
}
