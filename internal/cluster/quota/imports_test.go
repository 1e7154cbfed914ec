package quota

import (
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
)

// TestDecisionsImportNoClockAndNoIO checks the imports of the packages that decide about quotas. If they read a clock,
// setting the wall clock could change a decision.
func TestDecisionsImportNoClockAndNoIO(t *testing.T) {
	for _, dir := range []string{".", "../quorum", "../../backend/quota"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %d files, %v", dir, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ImportsOnly)
			if err != nil {
				t.Fatal(err)
			}
			for _, spec := range parsed.Imports {
				if path := spec.Path.Value; path == `"time"` || path == `"net"` || path == `"os"` {
					t.Errorf("%s imports %s", file, path)
				}
			}
		}
	}
}
