package clock

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestOnlyClock guards against decisions by a clock that may be set or may stop.
func TestOnlyClock(t *testing.T) {
	reads := map[string]bool{"Now": true, "Since": true, "Until": true, "ClockGettime": true, "Gettimeofday": true}
	files := 0
	for _, module := range []string{"../../rule", "../../peer", "../../saffronfall"} {
		err := filepath.WalkDir(module, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, "peer/clock/clock.go") {
				return err
			}
			files++
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(n ast.Node) bool {
				if s, ok := n.(*ast.SelectorExpr); ok && reads[s.Sel.Name] {
					if from, ok := s.X.(*ast.Ident); ok && (from.Name == "time" || from.Name == "unix" || from.Name == "syscall") {
						t.Errorf("%s reads %s.%s", path, from.Name, s.Sel.Name)
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if files < 30 {
		t.Errorf("only %d files were read", files)
	}
	if a, b := Now(), Now(); a <= 0 || b < a {
		t.Errorf("%v, then %v", a, b)
	}
}
