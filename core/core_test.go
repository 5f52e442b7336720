// Package core_test checks properties that all packages of the decision logic must have.
package core_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// allowedImports are the standard and third-party packages that the decision logic may use. Packages for I/O,
// concurrency and locking are not among them.
var allowedImports = map[string]bool{
	"cmp": true, "container/heap": true, "crypto/sha256": true, "encoding/hex": true, "errors": true, "fmt": true,
	"hash/fnv": true, "iter": true, "maps": true, "math": true, "math/bits": true, "math/rand/v2": true,
	"slices": true, "sort": true, "strconv": true, "strings": true, "time": true,
	"github.com/joomcode/errorx": true, "github.com/cespare/xxhash/v2": true,
	"github.com/hashicorp/golang-lru/v2/simplelru": true,
	"encoding/json": true, // only allowedJSONNames
}

// allowedJSONNames are the names of package encoding/json that may be used. The decision logic may hold raw JSON; it is
// encoded and decoded elsewhere.
var allowedJSONNames = map[string]bool{"RawMessage": true}

const coreImportPrefix = "github.com/hyssophoist/hyssophoist/core/"

// clockFunctions are the functions of package time that read or wait for the real clock.
var clockFunctions = map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true,
	"AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true}

// TestDecisionLogicIsPure guards against I/O, goroutines, locks, channels and the real clock in the decision logic, any
// of which would make its decisions depend on more than the seed and the inputs.
func TestDecisionLogicIsPure(t *testing.T) {
	fset := token.NewFileSet()
	checked := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checked++
		file, err := parser.ParseFile(fset, path, nil, parser.SkipObjectResolution)
		if err == nil {
			checkFile(t, fset, file)
		}
		return err
	})
	if err != nil || checked == 0 {
		t.Fatalf("checked %d files: %v", checked, err)
	}
}

func checkFile(t *testing.T, fset *token.FileSet, file *ast.File) {
	for _, spec := range file.Imports {
		path, _ := strconv.Unquote(spec.Path.Value)
		if !allowedImports[path] && !strings.HasPrefix(path, coreImportPrefix) {
			t.Errorf("%s: import of %q is not allowed", fset.Position(spec.Pos()), path)
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.SendStmt, *ast.ChanType:
			t.Errorf("%s: goroutines and channels are not allowed", fset.Position(n.Pos()))
		case *ast.SelectorExpr:
			if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "time" && clockFunctions[n.Sel.Name] {
				t.Errorf("%s: use of time.%s is not allowed", fset.Position(n.Pos()), n.Sel.Name)
			}
			if pkg, ok := n.X.(*ast.Ident); ok && pkg.Name == "json" && !allowedJSONNames[n.Sel.Name] {
				t.Errorf("%s: use of json.%s is not allowed", fset.Position(n.Pos()), n.Sel.Name)
			}
		}
		return true
	})
}
