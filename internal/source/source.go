// Package source parses the project's own Go files, for tests that compare tables with
// what the code uses.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

// Selectors returns every X that occurs as pkg.X in the Go files below root, except in
// tests.
func Selectors(root, pkg string) (map[string]bool, error) {
	used := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return errors.Wrap(err, "source")
		}
		ast.Inspect(f, func(n ast.Node) bool {
			s, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if x, ok := s.X.(*ast.Ident); ok && x.Name == pkg {
				used[s.Sel.Name] = true
			}
			return true
		})
		return nil
	})
	return used, err
}

// Constants returns the names of the constants and variables in a Go file that are declared
// with the type written out; constants that repeat the type of the line above are left out.
func Constants(path, typ string) ([]string, error) {
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		return nil, errors.Wrap(err, "source")
	}
	var names []string
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if t, ok := v.Type.(*ast.Ident); ok && t.Name == typ {
			for _, name := range v.Names {
				names = append(names, name.Name)
			}
		}
		return false
	})
	return names, nil
}
