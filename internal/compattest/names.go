package compattest

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/sexpr"
)

// Decode decodes a file into a value that encodes to JSON, and returns the warnings about former names.
type Decode func(src []byte) (value any, warnings []sexpr.Warning, err error)

// FormerNames checks for each former name that source with this name instead of the current one decodes to the same
// value, with one warning for each use that has both names. source uses every current name that has a former one.
func FormerNames(t *testing.T, names sexpr.FormerNames, source string, decode Decode) {
	t.Helper()
	want, warnings, err := decode([]byte(source))
	if err != nil || len(warnings) > 0 {
		t.Fatalf("current names: warnings %v, error %v", warnings, err)
	}
	for enclosing, pairs := range names {
		for former, name := range pairs {
			t.Run(enclosing+"/"+former, func(t *testing.T) {
				text, count := withFormerName(t, source, enclosing, name, former)
				got, warnings, err := decode([]byte(text))
				if err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(encode(t, want), encode(t, got)); diff != "" {
					t.Errorf("%s: value differs from that with %q (-current +former):\n%s", text, name, diff)
				}
				unexpected := func(w sexpr.Warning) bool { return w.Former != former || w.Name != name || w.Line == 0 }
				if len(warnings) != count || slices.ContainsFunc(warnings, unexpected) {
					t.Errorf("warnings %v, want %d about %q", warnings, count, former)
				}
			})
		}
	}
}

// withFormerName returns the source with a current name replaced by its former one, and the number of replacements.
func withFormerName(t *testing.T, source, enclosing, name, former string) (text string, count int) {
	t.Helper()
	nodes, err := sexpr.Parse("source.sx", []byte(source))
	if err != nil {
		t.Fatal(err)
	}
	count = replaceWithFormer(nodes, "", enclosing, name, former)
	if count == 0 {
		t.Fatalf("the source has no form %q in %q", name, enclosing)
	}
	for _, node := range nodes {
		text += node.String() + "\n"
	}
	return text, count
}

// replaceWithFormer replaces the current name by the former one in all forms directly inside an enclosing form, and
// returns the number of replacements.
func replaceWithFormer(nodes []sexpr.Node, parent, enclosing, name, former string) (count int) {
	for _, node := range nodes {
		if node.Kind != sexpr.List || len(node.Items) == 0 {
			continue
		}
		head := node.Items[0].Value
		if parent == enclosing && head == name {
			node.Items[0].Value = former
			count++
		}
		count += replaceWithFormer(node.Items[1:], head, enclosing, name, former)
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
