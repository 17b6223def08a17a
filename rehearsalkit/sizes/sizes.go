// Package sizes measures source code: lines of files and functions, fields of
// structs. Its test holds the repository's own code to the bounds.
package sizes

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kind is what is measured.
type Kind string

// Kinds.
const (
	File     Kind = "file"
	Function Kind = "function"
	Struct   Kind = "struct"
)

// Size is one measurement: lines of a file or a function, fields of a struct.
type Size struct {
	Kind  Kind
	Place string
	Size  int
}

// Measure measures all Go files below a folder, leaving out tests.
func Measure(root string) ([]Size, error) {
	var sizes []Size
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root:
			return filepath.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		some, err := measureFile(path, name)
		sizes = append(sizes, some...)
		return err
	})
	return sizes, errors.Wrap(err, "measuring")
}

func measureFile(path, name string) ([]Size, error) {
	set := token.NewFileSet()
	parsed, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	lines := func(from, to token.Pos) int { return set.Position(to).Line - set.Position(from).Line + 1 }
	sizes := []Size{{Kind: File, Place: name, Size: set.File(parsed.Pos()).LineCount()}}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			sizes = append(sizes, Size{Kind: Function, Place: name + " " + receiver(n) + n.Name.Name, Size: lines(n.Pos(), n.End())})
		case *ast.TypeSpec:
			if s, ok := n.Type.(*ast.StructType); ok {
				sizes = append(sizes, Size{Kind: Struct, Place: name + " " + n.Name.Name, Size: s.Fields.NumFields()})
			}
		}
		return true
	})
	return sizes, nil
}

// receiver is a method's type and a dot, and nothing for a plain function.
func receiver(f *ast.FuncDecl) string {
	if f.Recv == nil || len(f.Recv.List) == 0 {
		return ""
	}
	kind := f.Recv.List[0].Type
	if star, ok := kind.(*ast.StarExpr); ok {
		kind = star.X
	}
	if generic, ok := kind.(*ast.IndexExpr); ok {
		kind = generic.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}
