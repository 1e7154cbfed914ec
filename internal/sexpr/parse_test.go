package sexpr

import (
	"errors"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// TestErrorsNamePositionAndExpectation checks that each error has its position, what was found and what was expected.
func TestErrorsNamePositionAndExpectation(t *testing.T) {
	trace := fakes.NewTrace(t)
	for _, source := range []string{
		"",
		"(a",
		"a)",
		`(a "b`,
		"(a \"b\n\")",
		`(a "\q")`,
		"(a \x01)",
		"(a \xff)",
		strings.Repeat("(", MaxDepth+8),
		"x",
		"()",
		"(a (count x))",
		"(a (count 11))",
		"(a (count 1 2))",
		"(a (count))",
		"(a (span 2))",
		"(a (span 3h))",
		"(a (share 2))",
		"(a (word up))",
		"(a (text \"\"))",
		"(a (count 1) (count 2))",
		"(a (else 1))",
		"(a (text b (c)))",
		"(a ((b)))",
		"; only\n  (a (word\n  down)\n  (colour red))",
		`(a (text "ok \"x\" \\ \n"))`,
		`(a "é" (count x))`,
	} {
		nodes, err := Parse("f", []byte(source))
		if err == nil {
			errs := &Errors{File: "f"}
			for _, form := range Forms(nodes, errs) {
				form.Int("count", 1, 10, 0)
				form.Span("span", time.Second, time.Hour, 0)
				form.Share("share", 0, 1, 0)
				form.OneOf("word", "left", "down")
				form.Text("text", "")
				form.Done()
			}
			err = errs.Err()
		}
		trace.Say("%.40q: %v", source, err)
	}
}

// FuzzParse checks that errors have a position within the input, and that formatted nodes are parsed to the same nodes.
func FuzzParse(f *testing.F) {
	for _, source := range []string{"(a b (c \"d\\n\") ; e\n)", "((((", "\"", "(\xff)", "a(b)c\"d\"e;f"} {
		f.Add([]byte(source))
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		nodes, err := Parse("f", src)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Line < 1 || e.Column < 1 || e.Line > strings.Count(string(src), "\n")+1 {
				t.Fatalf("error without a position in the input: %#v", err)
			}
			return
		}
		var formatted strings.Builder
		for _, node := range nodes {
			formatted.WriteString(node.String() + "\n")
		}
		again, err := Parse("f", []byte(formatted.String()))
		if err != nil || len(again) != len(nodes) {
			t.Fatalf("%q became %q: %v", src, formatted.String(), err)
		}
		for i := range again {
			if again[i].String() != nodes[i].String() {
				t.Fatalf("%v became %v", nodes[i], again[i])
			}
		}
	})
}
