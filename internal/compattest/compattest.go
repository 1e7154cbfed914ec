// Package compattest checks compatibility with data that an earlier release wrote: the data must still decode, and must
// encode with the same keys, types and values. The data is in testdata/68176ef of the package that reads it; the
// directory is named after the commit whose program wrote the files. These files are never regenerated.
package compattest

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Release is the commit whose program wrote the test data.
const Release = "68176ef"

// File is the path of a file of the earlier release, below the calling package's testdata.
func File(name string) string { return filepath.Join("testdata", Release, name) }

// Read returns the content of a file of the earlier release.
func Read(tb testing.TB, name string) []byte {
	tb.Helper()
	content, err := os.ReadFile(File(name))
	if err != nil {
		tb.Fatal(err)
	}
	return content
}

// RoundTrip decodes the JSON of the earlier release into a T, encodes it again, and fails the test if the two differ in
// a key, a type or a value. A field whose tag changed, or whose name changed without a tag, is lost in the round trip.
func RoundTrip[T any](tb testing.TB, name string) T {
	tb.Helper()
	content := Read(tb, name)
	var value T
	if err := json.Unmarshal(content, &value); err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	SameJSON(tb, name, content, value)
	return value
}

// SameJSON fails the test unless the encoded value has the keys, types and values of the JSON in want.
func SameJSON(tb testing.TB, name string, want []byte, value any) {
	tb.Helper()
	got, err := json.Marshal(value)
	if err != nil {
		tb.Fatalf("%s: %v", name, err)
	}
	if diff := cmp.Diff(decode(tb, want), decode(tb, got)); diff != "" {
		tb.Errorf("%s: JSON differs from the earlier release (-earlier +current):\n%s", name, diff)
	}
}

// decode decodes JSON and keeps numbers as text, so that large ones compare exactly.
func decode(tb testing.TB, text []byte) (value any) {
	tb.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		tb.Fatal(err)
	}
	return value
}
