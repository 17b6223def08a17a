// Package sizes measures Go files, functions and structs. Its test checks this repository against
// upper bounds.
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

// Kind is the kind of a measured item.
type Kind string

// Kinds of measured items.
const (
	File     Kind = "file"
	Function Kind = "function"
	Struct   Kind = "struct"
)

// Size is a measurement in lines, or in fields for a struct. Place is the file relative to the root
// and, except for files, the name.
type Size struct {
	Kind  Kind
	Place string
	Size  int
}

// Measure measures all Go files below a folder except tests and hidden folders.
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
		fileSizes, err := measureFile(path, name)
		sizes = append(sizes, fileSizes...)
		return err
	})
	return sizes, errors.Wrapf(err, "measure the sources below %s", root)
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

// receiver returns the receiver's type and a dot, or "" without a receiver.
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
