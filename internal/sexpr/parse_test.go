package sexpr

import (
	"errors"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// TestErrors: each error says where it is, what was found and what was wanted.
func TestErrors(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, src := range []string{
		"", "(a", "a)", `(a "b`, "(a \"b\n\")", `(a "\q")`, "(a \x01)", "(a \xff)", strings.Repeat("(", 40), "x", "()",
		"(a (count x))", "(a (count 11))", "(a (count 1 2))", "(a (count))", "(a (span 2))", "(a (span 3h))", "(a (share 2))",
		"(a (word up))", "(a (text \"\"))", "(a (count 1) (count 2))", "(a (else 1))", "(a (text b (c)))", "(a ((b)))",
		"; only\n  (a (word\n  down)\n  (colour red))", `(a (text "ok \"x\" \\ \n"))`, `(a "é" (count x))`,
	} {
		nodes, err := Parse("f", []byte(src))
		if err == nil {
			errs := &Errors{File: "f"}
			for _, f := range Forms(nodes, errs) {
				f.Int("count", 1, 10, 0)
				f.Span("span", time.Second, time.Hour, 0)
				f.Share("share", 0, 1, 0)
				f.OneOf("word", "left", "down")
				f.Text("text", "")
				f.Done()
			}
			err = errs.Err()
		}
		tr.Say("%.40q: %v", src, err)
	}
}

// FuzzParse: no input makes Parse panic, errors have a position within the input, and formatted nodes are parsed to the same
// nodes.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"(a b (c \"d\\n\") ; e\n)", "((((", "\"", "(\xff)", "a(b)c\"d\"e;f"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		nodes, err := Parse("f", src)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Line < 1 || e.Column < 1 || e.Line > strings.Count(string(src), "\n")+1 {
				t.Fatalf("%#v", err)
			}
			return
		}
		var b strings.Builder
		for _, n := range nodes {
			b.WriteString(n.String() + "\n")
		}
		again, err := Parse("f", []byte(b.String()))
		if err != nil || len(again) != len(nodes) {
			t.Fatalf("%q became %q: %v", src, b.String(), err)
		}
		for i := range again {
			if again[i].String() != nodes[i].String() {
				t.Fatalf("%v became %v", nodes[i], again[i])
			}
		}
	})
}
