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
	eventsPage     = "docs/log-events.md"
	eventsHeading  = "### Log events"
)

// levels maps the functions and methods of slog that write an event to their level.
var levels = map[string]string{"Debug": "debug", "Info": "info", "Warn": "warn", "Error": "error"}

// logEvent identifies one row of the table: an event has a row for each of its levels.
type logEvent struct {
	name  string
	level string
}

// String returns the event's name and level for error messages.
func (e logEvent) String() string { return e.name + " at " + e.level }

// eventFields has the fields that lines of an event can have.
type eventFields struct {
	names map[string]bool
	place string // file and line where the event is written or documented, for messages
}

// events has the fields of each event.
type events map[logEvent]*eventFields

// add adds fields to those of an event.
func (all events) add(event logEvent, place string, fields []string) {
	if all[event] == nil {
		all[event] = &eventFields{names: map[string]bool{}, place: place}
	}
	for _, field := range fields {
		all[event].names[field] = true
	}
}

// TestEventsTable checks that the table of log events in docs/log-events.md names each event that the program writes,
// with its level and all its fields, and none that it does not write.
func TestEventsTable(t *testing.T) {
	allWritten := eventsOfSource(t)
	allDocumented := eventsOfPage(t)
	for event, written := range allWritten {
		if documented := allDocumented[event]; documented != nil {
			compareFields(t, event, written, documented)
			continue
		}
		t.Errorf("%s: no row in the table %q for %s, written at %s: add | `%s` | %s | %s | meaning | what to do |",
			eventsPage, eventsHeading, event, written.place, event.name, event.level, fieldList(written.names))
	}
	for event, documented := range allDocumented {
		if allWritten[event] == nil {
			t.Errorf("%s: row for %s, which no code writes: rename or remove the row", documented.place, event)
		}
	}
}

// compareFields checks that the row of an event names the fields that the program writes.
func compareFields(t *testing.T, event logEvent, written, documented *eventFields) {
	t.Helper()
	for field := range written.names {
		if !documented.names[field] {
			t.Errorf("%s: the row of %s lacks the field `%s`, written at %s",
				documented.place, event, field, written.place)
		}
	}
	for field := range documented.names {
		if !written.names[field] {
			t.Errorf("%s: the row of %s has the field `%s`, which no line has (%s)",
				documented.place, event, field, written.place)
		}
	}
}

// fieldList formats the names as a cell of the table.
func fieldList(names map[string]bool) string {
	quoted := make([]string, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		quoted = append(quoted, "`"+name+"`")
	}
	return strings.Join(quoted, ", ")
}

// Columns of the table, whose rows begin and end with a separator.
const (
	nameColumn   = 1
	levelColumn  = 2
	fieldsColumn = 3
	columns      = 6 // at least, with the empty ones at both ends
)

// eventsOfPage reads the rows of the table.
func eventsOfPage(t *testing.T) events {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repositoryRoot, eventsPage))
	if err != nil {
		t.Fatal(err)
	}
	all := events{}
	inTable := false
	for i, line := range strings.Split(string(content), "\n") {
		if strings.HasPrefix(line, "#") {
			inTable = line == eventsHeading
		}
		cells := strings.Split(line, "|")
		if !inTable || len(cells) < columns || !strings.HasPrefix(strings.TrimSpace(cells[nameColumn]), "`") {
			continue
		}
		place := fmt.Sprintf("%s:%d", eventsPage, i+1)
		event := logEvent{name: strings.Trim(cells[nameColumn], " `"), level: strings.TrimSpace(cells[levelColumn])}
		if all[event] != nil {
			t.Errorf("%s: duplicate row for %s", place, event)
		}
		var fields []string
		for field := range strings.SplitSeq(cells[fieldsColumn], ",") {
			if field = strings.Trim(field, " `"); field != "" && field != "-" {
				fields = append(fields, field)
			}
		}
		all.add(event, place, fields)
	}
	if len(all) == 0 {
		t.Fatalf("%s has no rows below %q", eventsPage, eventsHeading)
	}
	return all
}

// eventsOfSource returns the events that the Go files other than tests write.
func eventsOfSource(t *testing.T) events {
	t.Helper()
	all := events{}
	for _, dir := range []string{"admission", "cmd", "internal"} {
		visit := func(path string, entry fs.DirEntry, err error) error {
			if err == nil && entry.IsDir() && entry.Name() != "testdata" {
				addPackage(t, path, all)
			}
			return err
		}
		if err := filepath.WalkDir(filepath.Join(repositoryRoot, dir), visit); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// sourcePackage is the parsed Go files of one directory, without tests.
type sourcePackage struct {
	positions *token.FileSet
	files     []*ast.File
}

// parsePackage parses the Go files of one directory, without tests.
func parsePackage(t *testing.T, dir string) sourcePackage {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	source := sourcePackage{positions: token.NewFileSet()}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(source.positions, path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		source.files = append(source.files, file)
	}
	return source
}

// addPackage adds the events that the files of one directory write.
func addPackage(t *testing.T, dir string, all events) {
	t.Helper()
	source := parsePackage(t, dir)
	for _, file := range source.files {
		for _, decl := range file.Decls {
			function, ok := decl.(*ast.FuncDecl)
			if !ok {
				continue
			}
			ast.Inspect(function, func(n ast.Node) bool {
				if call, ok := n.(*ast.CallExpr); ok {
					source.addCall(t, function, call, all)
				}
				return true
			})
		}
	}
}

// addCall adds the event that a call within a function writes, if it is a call to slog.
func (p sourcePackage) addCall(t *testing.T, function *ast.FuncDecl, call *ast.CallExpr, all events) {
	t.Helper()
	level := slogLevel(call)
	if level == "" {
		return
	}
	position := p.positions.Position(call.Pos())
	place := fmt.Sprintf("%s:%d", strings.TrimPrefix(position.Filename, repositoryRoot+"/"), position.Line)
	var fields []string
	for i := 1; i < len(call.Args); i += 2 {
		field, ok := stringLiteral(call.Args[i])
		if !ok || call.Ellipsis.IsValid() {
			t.Errorf("%s: field names of a log line are not string literals, wanted for the table in %s",
				place, eventsPage)
			return
		}
		fields = append(fields, field)
	}
	names := p.argumentsOf(function, call.Args[0])
	if name, ok := stringLiteral(call.Args[0]); ok {
		names = []string{name}
	}
	if len(names) == 0 {
		t.Errorf("%s: name of a log event: wanted a string literal, or a parameter with a literal at each caller",
			place)
	}
	for _, name := range names {
		all.add(logEvent{name: name, level: level}, place, fields)
	}
}

// slogLevel returns the level of a call to slog, or to a logger that the same expression creates, and "" for any other
// call.
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

// stringLiteral returns the value of an expression that is a string literal.
func stringLiteral(expression ast.Expr) (value string, ok bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	return value, err == nil
}

// argumentsOf returns the literals that calls within the package pass for a parameter of a function.
func (p sourcePackage) argumentsOf(function *ast.FuncDecl, argument ast.Expr) (literals []string) {
	parameter, ok := argument.(*ast.Ident)
	if !ok {
		return nil
	}
	index := parameterIndex(function, parameter.Name)
	for _, file := range p.files {
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

// parameterIndex returns the index of a function's parameter, or -1 if it has none of that name.
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

// calledName returns the name of the function that is called, without its package or receiver.
func calledName(call *ast.CallExpr) string {
	switch called := call.Fun.(type) {
	case *ast.Ident:
		return called.Name
	case *ast.SelectorExpr:
		return called.Sel.Name
	}
	return ""
}
