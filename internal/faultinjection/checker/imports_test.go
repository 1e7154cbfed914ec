package checker

import (
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"
	"testing"
)

// TestCheckerImportsOnlyStandardLibrary verifies that the checker imports only some packages of the standard library. A
// fault in code that it shares with the program under test could go unnoticed.
func TestCheckerImportsOnlyStandardLibrary(t *testing.T) {
	allowed := map[string]bool{
		"bufio":         true,
		"cmp":           true,
		"errors":        true,
		"fmt":           true,
		"io":            true,
		"os":            true,
		"path/filepath": true,
		"slices":        true,
		"strconv":       true,
		"strings":       true,
	}
	files, err := os.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	read := 0
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		read++
		parsed, err := parser.ParseFile(token.NewFileSet(), file.Name(), nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range parsed.Imports {
			if path, err := strconv.Unquote(spec.Path.Value); err != nil || !allowed[path] {
				t.Errorf("%s imports %s, which is not an allowed package", file.Name(), spec.Path.Value)
			}
		}
	}
	if read < 5 {
		t.Errorf("got %d files, want 5 or more", read)
	}
}
