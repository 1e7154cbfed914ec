package compattest

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/sexpr"
)

// Decode reads a file into a value that encodes to JSON, and returns the warnings about former names.
type Decode func(src []byte) (value any, warnings []sexpr.Warning, err error)

// FormerNames shows for each former name that a file with it decodes to the same value as source, with one warning that
// names both. source uses every name of today that has a former one.
func FormerNames(t *testing.T, names sexpr.FormerNames, source string, decode Decode) {
	t.Helper()
	want, warnings, err := decode([]byte(source))
	if err != nil || len(warnings) > 0 {
		t.Fatalf("names of today: warnings %v, %v", warnings, err)
	}
	for around, pairs := range names {
		for former, name := range pairs {
			t.Run(around+"/"+former, func(t *testing.T) {
				text, count := withFormerName(t, source, around, name, former)
				got, warnings, err := decode([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(encode(t, want), encode(t, got)); diff != "" {
					t.Errorf("%s: differs from %q:\n%s", text, name, diff)
				}
				other := func(w sexpr.Warning) bool { return w.Former != former || w.Name != name || w.Line == 0 }
				if len(warnings) != count || slices.ContainsFunc(warnings, other) {
					t.Errorf("warnings %v, want %d of %q", warnings, count, former)
				}
			})
		}
	}
}

// withFormerName returns the source with a name of today replaced by its former one, and how often it was.
func withFormerName(t *testing.T, source, around, name, former string) (text string, count int) {
	t.Helper()
	nodes, err := sexpr.Parse("source.sx", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	count = restore(nodes, "", around, name, former)
	if count == 0 {
		t.Fatalf("the source has no %q in %q", name, around)
	}
	for _, node := range nodes {
		text += node.String() + "\n"
	}
	return text, count
}

// restore replaces a name of today by its former one in the forms that stand in another, and returns how often.
func restore(nodes []sexpr.Node, parent, around, name, former string) (count int) {
	for _, node := range nodes {
		if node.Kind != sexpr.List || len(node.Items) == 0 {
			continue
		}
		head := node.Items[0].Value
		if parent == around && head == name {
			node.Items[0].Value = former
			count++
		}
		count += restore(node.Items[1:], head, around, name, former)
	}
	return count
}

func encode(t *testing.T, value any) any {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return decode(t, text)
}
