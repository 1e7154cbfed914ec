package experiment

import (
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"

	"milletbarrow/internal/simulation"
)

// resultKey returns a hash of all inputs that determine the result of a run. It is the name of the file that stores the
// result, and must not change when a Go field is renamed.
func resultKey(c *Cell) string {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%d ", simulation.Version) // a hash never returns an error
	printStable(h, reflect.ValueOf(c.Scenario))
	_, _ = fmt.Fprintf(h, "|%s|%d|%v", c.Policy.Name+"|"+c.Policy.Description, c.Seed, c.SweptValue)
	if p := c.Policy; p.Degradation != nil {
		_, _ = io.WriteString(h, "|")
		printStable(h, reflect.ValueOf(*p.Degradation))
	}
	if p := c.Policy; p.Balance != nil {
		_, _ = fmt.Fprintf(h, "|%v", *p.Balance)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// printStable prints a value like the verb %+v, except that a field with a JSON tag is printed under the name in its
// tag. A field that is renamed gets its former name as a tag, which keeps the printed form.
func printStable(w io.Writer, v reflect.Value) {
	if v.CanInterface() {
		switch v.Interface().(type) {
		case fmt.Stringer, error:
			_, _ = fmt.Fprintf(w, "%+v", v)
			return
		}
	}
	switch v.Kind() {
	case reflect.Struct:
		printStruct(w, v)
	case reflect.Slice, reflect.Array:
		printList(w, v)
	default:
		_, _ = fmt.Fprintf(w, "%+v", v)
	}
}

// printStruct prints a struct with the names of its fields.
func printStruct(w io.Writer, v reflect.Value) {
	separator := "{"
	for i := range v.NumField() {
		_, _ = io.WriteString(w, separator+printedName(v.Type().Field(i))+":")
		printStable(w, v.Field(i))
		separator = " "
	}
	_, _ = io.WriteString(w, "}")
}

// printList prints a slice or an array.
func printList(w io.Writer, v reflect.Value) {
	_, _ = io.WriteString(w, "[")
	for i := range v.Len() {
		if i > 0 {
			_, _ = io.WriteString(w, " ")
		}
		printStable(w, v.Index(i))
	}
	_, _ = io.WriteString(w, "]")
}

// printedName returns the name of a field in its JSON tag, or its Go name without one.
func printedName(f reflect.StructField) string {
	if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
		return name
	}
	return f.Name
}
