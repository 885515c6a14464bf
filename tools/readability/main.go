// Command readability measures what makes Go code hard to read: long files and functions, large
// types, a large root package, errors without a type. It prints a table for a module's folder.
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
	listed           = 6 // entries of each kind that are named
)

// item is something that is counted, with its size.
type item struct {
	name string
	size int
}

// measures are what is found in a module.
type measures struct {
	lines, testLines, rootLines, rootFiles int
	functions, files, types                []item
	sentinels, untyped, wrapped            int
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

// measure reads every Go file below a folder, but for folders that begin with a dot, and tools.
func measure(dir string) (*measures, error) {
	m := &measures{}
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
			return fmt.Errorf("path of %s: %w", path, err)
		}
		return m.file(path, rel)
	})
	return m, err
}

// file measures one file.
func (m *measures) file(path, name string) error {
	source, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	lines := strings.Count(string(source), "\n")
	files := token.NewFileSet()
	parsed, err := parser.ParseFile(files, path, source, parser.SkipObjectResolution)
	if err != nil {
		return fmt.Errorf("parse: %w", err)
	}
	if strings.HasSuffix(name, "_test.go") {
		m.testLines += lines
		m.testFile(parsed)
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
		m.node(files, pkg, node)
		return true
	})
	return nil
}

// node measures one node of a file that is no test.
func (m *measures) node(files *token.FileSet, pkg string, node ast.Node) {
	switch n := node.(type) {
	case *ast.FuncDecl:
		if n.Body != nil {
			size := files.Position(n.Body.Rbrace).Line - files.Position(n.Body.Lbrace).Line - 1
			m.functions = append(m.functions, item{pkg + "." + n.Name.Name, size})
		}
	case *ast.TypeSpec:
		if s, ok := n.Type.(*ast.StructType); ok {
			m.types = append(m.types, item{pkg + "." + n.Name.Name, fieldCount(s)})
		}
	case *ast.CallExpr:
		m.call(n)
	}
}

// fieldCount counts a struct's fields; an embedded type is one.
func fieldCount(s *ast.StructType) (n int) {
	for _, field := range s.Fields.List {
		n += max(1, len(field.Names))
	}
	return n
}

// call counts calls that make errors.
func (m *measures) call(call *ast.CallExpr) {
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
			m.untyped++
		}
	}
}

// testFile counts tests and the assertions in a test file.
func (m *measures) testFile(parsed *ast.File) {
	failing := map[string]bool{"Error": true, "Errorf": true, "Fatal": true, "Fatalf": true}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.FuncDecl:
			if n.Recv == nil && strings.HasPrefix(n.Name.Name, "Test") {
				m.tests++
			}
		case *ast.SelectorExpr:
			if failing[n.Sel.Name] {
				m.assertions++
			}
		}
		return true
	})
}

// over lists the items above a limit, the largest first.
func over(items []item, limit int) []item {
	large := slices.DeleteFunc(slices.Clone(items), func(i item) bool { return i.size <= limit })
	slices.SortFunc(large, func(a, b item) int { return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.name, b.name)) })
	return large
}

func names(items []item) string {
	var out []string
	for _, i := range items[:min(len(items), listed)] {
		out = append(out, fmt.Sprintf("%s %d", i.name, i.size))
	}
	return strings.Join(out, ", ")
}

func (m *measures) print() {
	types := over(m.types, 0)
	fmt.Printf("lines of code                     %d in %d files (tests: %d)\n", m.lines, len(m.files), m.testLines)
	fmt.Printf("lines in the root package         %d in %d files\n", m.rootLines, m.rootFiles)
	fmt.Printf("largest types, by fields          %s\n", names(types))
	fmt.Printf("types above %d fields             %d\n", maxFields, len(over(m.types, maxFields)))
	functions, files := over(m.functions, maxFunctionLines), over(m.files, maxFileLines)
	fmt.Printf("functions longer than %d lines    %d: %s\n", maxFunctionLines, len(functions), names(functions))
	fmt.Printf("files longer than %d lines       %d: %s\n", maxFileLines, len(files), names(files))
	fmt.Printf("errors.New, wrapped, not wrapped  %d, %d, %d\n", m.sentinels, m.wrapped, m.untyped)
	fmt.Printf("test functions, assertions        %d, %d\n", m.tests, m.assertions)
}
