// Command readability prints metrics of a Go module that relate to how hard its code is to read: long
// files and functions, large types, a large root package, errors that wrap no other.
//
//	go -C tools run ./readability ..
package main

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	maxFunctionLines = 60
	maxFileLines     = 500
	maxFields        = 20
	maxListed        = 6 // largest items of each kind that are printed by name
)

// item is a file, function or type with its size in lines or fields.
type item struct {
	name string
	size int
}

// moduleMetrics holds the metrics of a module.
type moduleMetrics struct {
	lines, testLines, rootLines, rootFiles int
	functions, files, types                []item
	sentinels, unwrapped, wrapped          int
	tests, assertions                      int
}

func main() {
	dir := "."
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	m, err := measure(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "readability:", err)
		os.Exit(1)
	}
	m.print()
}

// measure measures every Go file below a directory. It skips directories named tools or target and
// those whose name starts with a dot.
func measure(dir string) (*moduleMetrics, error) {
	m := &moduleMetrics{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if name := entry.Name(); entry.IsDir() && path != dir && (strings.HasPrefix(name, ".") || name == "tools" || name == "target") {
			return filepath.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") {
			return nil
		}
		rel, err := filepath.Rel(dir, path)
		if err != nil {
			return fmt.Errorf("relative path of %s: %w", path, err)
		}
		return m.addFile(path, rel)
	})
	return m, err
}

// addFile adds the metrics of one file.
func (m *moduleMetrics) addFile(path, name string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	lines := strings.Count(string(source), "\n")
	fileSet := token.NewFileSet()
	parsed, err := parser.ParseFile(fileSet, path, source, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse: %w", err)
	}
	if strings.HasSuffix(name, "_test.go") {
		m.testLines += lines
		m.addTestFile(parsed)
		return nil
	}
	m.lines += lines
	if !strings.Contains(name, "/") {
		m.rootLines += lines
		m.rootFiles++
	}
	m.files = append(m.files, item{name, lines})
	pkg := filepath.Dir(name)
	ast.Inspect(parsed, func(node ast.Node) bool {
		m.addNode(fileSet, pkg, node)
		return true
	})
	return nil
}

// addNode adds the metrics of one syntax node of a non-test file.
func (m *moduleMetrics) addNode(fileSet *token.FileSet, pkg string, node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		if n.Body != nil {
			size := fileSet.Position(n.Body.Rbrace).Line - fileSet.Position(n.Body.Lbrace).Line - 1
			m.functions = append(m.functions, item{pkg + "." + n.Name.Name, size})
		}
	case *ast.TypeSpec:
		if s, ok := n.Type.(*ast.StructType); ok {
			m.types = append(m.types, item{pkg + "." + n.Name.Name, fieldCount(s)})
		}
	case *ast.CallExpr:
		m.countCall(n)
	}
}

// fieldCount returns the number of fields of a struct; an embedded type counts as one.
func fieldCount(s *ast.StructType) (n int) {
	for _, field := range s.Fields.List {
		n += max(1, len(field.Names))
	}
	return n
}

// countCall counts calls of errors.New and fmt.Errorf.
func (m *moduleMetrics) countCall(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok {
		return
	}
	switch pkg.Name + "." + selector.Sel.Name {
	case "errors.New":
		m.sentinels++
	case "fmt.Errorf":
		if format, ok := call.Args[0].(*ast.BasicLit); ok && strings.Contains(format.Value, "%w") {
			m.wrapped++
		} else {
			m.unwrapped++
		}
	}
}

// addTestFile counts the test functions and the assertions of a test file.
func (m *moduleMetrics) addTestFile(parsed *ast.File) {
	failureMethods := map[string]bool{"Error": true, "Errorf": true, "Fatal": true, "Fatalf": true}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			if n.Recv == nil && strings.HasPrefix(n.Name.Name, "Test") {
				m.tests++
			}
		case *ast.SelectorExpr:
			if failureMethods[n.Sel.Name] {
				m.assertions++
			}
		}
		return true
	})
}

// largerThan returns the items whose size exceeds a limit, largest first.
func largerThan(items []item, limit int) []item {
	large := slices.DeleteFunc(slices.Clone(items), func(i item) bool { return i.size <= limit })
	slices.SortFunc(large, func(a, b item) int { return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.name, b.name)) })
	return large
}

func names(items []item) string {
	var out []string
	for _, i := range items[:min(len(items), maxListed)] {
		out = append(out, fmt.Sprintf("%s %d", i.name, i.size))
	}
	return strings.Join(out, ", ")
}

func (m *moduleMetrics) print() {
	types := largerThan(m.types, 0)
	fmt.Printf("lines of code                     %d in %d files (tests: %d)\n", m.lines, len(m.files), m.testLines)
	fmt.Printf("lines in the root package         %d in %d files\n", m.rootLines, m.rootFiles)
	fmt.Printf("largest types, by fields          %s\n", names(types))
	fmt.Printf("types above %d fields             %d\n", maxFields, len(largerThan(m.types, maxFields)))
	functions, files := largerThan(m.functions, maxFunctionLines), largerThan(m.files, maxFileLines)
	fmt.Printf("functions longer than %d lines    %d: %s\n", maxFunctionLines, len(functions), names(functions))
	fmt.Printf("files longer than %d lines       %d: %s\n", maxFileLines, len(files), names(files))
	fmt.Printf("errors.New, wrapped, not wrapped  %d, %d, %d\n", m.sentinels, m.wrapped, m.unwrapped)
	fmt.Printf("test functions, assertions        %d, %d\n", m.tests, m.assertions)
}
