package logging

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	repositoryRoot = "../.."
	eventsPage     = "docs/oncall.md"
	eventsHeading  = "### Log events"
)

// levels of the functions and methods of slog that write an event.
var levels = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}

// logEvent is one row of the table: an event may stand there once for each level.
type logEvent struct{ name, level string }

func (e logEvent) String() string { return e.name + " at " + e.level }

// eventFields are the fields that lines of an event can have, and for messages where one is written.
type eventFields struct {
	names map[string]bool
	place string
}

type events map[logEvent]*eventFields

func (all events) add(e logEvent, place string, fields []string) {
	if all[e] == nil {
		all[e] = &eventFields{names: map[string]bool{}, place: place}
	}
	for _, field := range fields {
		all[e].names[field] = true
	}
}

// TestEventsTable: the table of log events in docs/oncall.md names each event that the program writes, with its level
// and all its fields, and none that it does not write.
func TestEventsTable(t *testing.T) {
	written, documented := eventsOfSource(t), eventsOfPage(t)
	for e, w := range written {
		d := documented[e]
		if d == nil {
			t.Errorf("%s: %s is written by %s and has no row in the table %q: add | `%s` | %s | %s | meaning | what to do |",
				eventsPage, e, w.place, eventsHeading, e.name, e.level, fieldList(w.names))
			continue
		}
		for field := range w.names {
			if !d.names[field] {
				t.Errorf("%s: the row of %s lacks the field `%s`, which %s writes", d.place, e, field, w.place)
			}
		}
		for field := range d.names {
			if !w.names[field] {
				t.Errorf("%s: the row of %s has the field `%s`, which no line of it has (%s)", d.place, e, field, w.place)
			}
		}
	}
	for e, d := range documented {
		if written[e] == nil {
			t.Errorf("%s: %s has a row, and no code writes it: rename or remove the row", d.place, e)
		}
	}
}

func fieldList(names map[string]bool) string {
	quoted := make([]string, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		quoted = append(quoted, "`"+name+"`")
	}
	return strings.Join(quoted, ", ")
}

// eventsOfPage reads the rows of the table.
func eventsOfPage(t *testing.T) events {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repositoryRoot, eventsPage))
	if err != nil {
		t.Fatal(err)
	}
	all, inTable := events{}, false
	for i, line := range strings.Split(string(content), "\n") {
		if strings.HasPrefix(line, "#") {
			inTable = line == eventsHeading
		}
		cells := strings.Split(line, "|")
		if !inTable || len(cells) < 6 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		place := fmt.Sprintf("%s:%d", eventsPage, i+1)
		e := logEvent{name: strings.Trim(cells[1], " `"), level: strings.TrimSpace(cells[2])}
		if all[e] != nil {
			t.Errorf("%s: a second row of %s", place, e)
		}
		var fields []string
		for _, field := range strings.Split(cells[3], ",") {
			if field = strings.Trim(field, " `"); field != "" && field != "-" {
				fields = append(fields, field)
			}
		}
		all.add(e, place, fields)
	}
	if len(all) == 0 {
		t.Fatalf("%s has no rows below %q", eventsPage, eventsHeading)
	}
	return all
}

// eventsOfSource parses all Go files that are no tests.
func eventsOfSource(t *testing.T) events {
	t.Helper()
	all := events{}
	for _, dir := range []string{"admission", "cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(path string, entry fs.DirEntry, err error) error {
			if err == nil && entry.IsDir() && entry.Name() != "testdata" {
				eventsOfPackage(t, path, all)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// eventsOfPackage adds what the files of one directory write.
func eventsOfPackage(t *testing.T, dir string, all events) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	positions := token.NewFileSet()
	var files []*ast.File
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(positions, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	for _, file := range files {
		for _, decl := range file.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(function, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					addCall(t, positions, files, function, call, all)
				}
				return true
			})
		}
	}
}

// addCall adds the event of a call to slog, with its fields.
func addCall(t *testing.T, positions *token.FileSet, files []*ast.File, function *ast.FuncDecl, call *ast.CallExpr, all events) {
	t.Helper()
	level := slogLevel(call)
	if level == "" {
		return
	}
	position := positions.Position(call.Pos())
	place := fmt.Sprintf("%s:%d", strings.TrimPrefix(position.Filename, repositoryRoot+"/"), position.Line)
	var fields []string
	for i := 1; i < len(call.Args); i += 2 {
		field, ok := stringLiteral(call.Args[i])
		if !ok || call.Ellipsis.IsValid() {
			t.Errorf("%s: the names of a log line's fields must be string literals, or the table in %s can't be compared with them", place, eventsPage)
			return
		}
		fields = append(fields, field)
	}
	names := []string{}
	if name, ok := stringLiteral(call.Args[0]); ok {
		names = append(names, name)
	} else {
		names = argumentsOf(files, function, call.Args[0])
	}
	if len(names) == 0 {
		t.Errorf("%s: the name of a log event must be a string literal, or a parameter that each caller in the package gives one", place)
	}
	for _, name := range names {
		all.add(logEvent{name: name, level: level}, place, fields)
	}
}

// slogLevel is the level of a call to slog, or to a logger made in place; empty for any other call.
func slogLevel(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || len(call.Args) == 0 {
		return ""
	}
	receiver := selector.X
	if made, ok := receiver.(*ast.CallExpr); ok {
		if inner, ok := made.Fun.(*ast.SelectorExpr); ok {
			receiver = inner.X
		}
	}
	if name, ok := receiver.(*ast.Ident); !ok || name.Name != "slog" {
		return ""
	}
	return levels[selector.Sel.Name]
}

func stringLiteral(e ast.Expr) (string, bool) {
	literal, ok := e.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}

// argumentsOf lists the literals that calls within the package give for a parameter of a function.
func argumentsOf(files []*ast.File, function *ast.FuncDecl, argument ast.Expr) (literals []string) {
	parameter, ok := argument.(*ast.Ident)
	if !ok {
		return nil
	}
	index := parameterIndex(function, parameter.Name)
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if ok && index >= 0 && index < len(call.Args) && calledName(call) == function.Name.Name {
				if text, ok := stringLiteral(call.Args[index]); ok {
					literals = append(literals, text)
				}
			}
			return true
		})
	}
	return literals
}

func parameterIndex(function *ast.FuncDecl, name string) int {
	index := 0
	for _, group := range function.Type.Params.List {
		for _, parameter := range group.Names {
			if parameter.Name == name {
				return index
			}
			index++
		}
	}
	return -1
}

func calledName(call *ast.CallExpr) string {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name
	case *ast.SelectorExpr:
		return f.Sel.Name
	}
	return ""
}
