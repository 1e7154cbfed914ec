package sexpr

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Form decodes a list whose first word is its name: (name argument... (field ...)...). Decoding a
// missing field returns the default. Decoding a field that is malformed or out of range adds an error to the form's
// Errors and returns the default.
type Form struct {
	Place
	// Name is the first word of the list.
	Name string
	// path is the form's name, preceded by the names of the enclosing forms, such as fleet.group.
	path string
	// args are the words and texts after the name.
	args []Node
	// fields are the lists after the name.
	fields []Node
	// known holds the names of the fields that callers have decoded, whether the form has them or not.
	known map[string]bool
	errs  *Errors
}

// Forms returns the nodes of a file as forms. It adds an error for each node that is not a list with a name.
func Forms(nodes []Node, errs *Errors) (forms []*Form) {
	for _, node := range nodes {
		if form := newForm(node, "", errs); form != nil {
			forms = append(forms, form)
		}
	}
	return forms
}

// newForm returns a node as a form. If the node is not a list with a name, newForm adds an error and returns nil.
func newForm(node Node, path string, errs *Errors) *Form {
	if !node.hasName() {
		errs.Add(node.Place, path, "found %v, wanted a list that begins with a word", node.Kind)
		return nil
	}
	name := node.Items[0].Value
	f := &Form{
		Place: node.Place,
		Name:  name,
		path:  strings.TrimPrefix(path+"."+name, "."),
		known: map[string]bool{},
		errs:  errs,
	}
	for _, item := range node.Items[1:] {
		if item.Kind == List {
			f.fields = append(f.fields, item)
		} else {
			f.args = append(f.args, item)
		}
	}
	return f
}

// Fail adds an error about one of the form's fields, or about the form itself if field is empty.
func (f *Form) Fail(field, format string, args ...any) {
	at, path := f.Place, f.path
	if field != "" {
		path += "." + field
		for _, node := range f.fields {
			if len(node.Items) > 0 && node.Items[0].Value == field {
				at = node.Place
			}
		}
	}
	f.errs.Add(at, path, format, args...)
}

// Args returns the form's words and texts. It adds an error if their number is not from minimum to maximum.
func (f *Form) Args(minimum, maximum int) []string {
	if n := len(f.args); n < minimum || n > maximum {
		wanted := strconv.Itoa(minimum)
		if maximum == math.MaxInt {
			wanted += " or more"
		} else if maximum > minimum {
			wanted += " to " + strconv.Itoa(maximum)
		}
		f.errs.Add(f.Place, f.path, "found %d words, wanted %s", n, wanted)
	}
	args := make([]string, len(f.args))
	for i, node := range f.args {
		args[i] = node.Value
	}
	return args
}

// Arg returns the form's only word or text. It adds an error if there is not exactly one or if it is empty.
func (f *Form) Arg() string {
	args := f.Args(1, 1)
	if len(args) == 0 {
		return ""
	}
	if args[0] == "" {
		f.errs.Add(f.Place, f.path, "found an empty text, wanted a word or text")
	}
	return args[0]
}

// All returns the fields of that name, in the order of the file.
func (f *Form) All(name string) (forms []*Form) {
	f.known[name] = true
	for _, node := range f.fields {
		if node.hasName() && node.Items[0].Value == name {
			forms = append(forms, newForm(node, f.path, f.errs))
		}
	}
	return forms
}

// Field returns the first field of that name, or nil if there is none. It adds an error if there is a second one.
func (f *Form) Field(name string) *Form {
	fields := f.All(name)
	if len(fields) == 0 {
		return nil
	}
	first := fields[0]
	if len(fields) > 1 {
		second := fields[1]
		f.errs.Add(second.Place, second.path, "duplicate field, first at %d:%d", first.Line, first.Column)
	}
	return first
}

// fieldWithoutFields returns the field of that name, or nil if there is none. It adds an error for each field that
// the field has itself.
func (f *Form) fieldWithoutFields(name string) *Form {
	sub := f.Field(name)
	if sub != nil {
		sub.Done()
	}
	return sub
}

// Text decodes a field that holds one word or text.
func (f *Form) Text(name, fallback string) string {
	if sub := f.fieldWithoutFields(name); sub != nil {
		return sub.Arg()
	}
	return fallback
}

// Words decodes a field that holds one or more words or texts. It returns nil if there is no such field.
func (f *Form) Words(name string) []string {
	if sub := f.fieldWithoutFields(name); sub != nil {
		return sub.Args(1, math.MaxInt)
	}
	return nil
}

// OneOf decodes a field that holds one of these words. The first word is the default.
func (f *Form) OneOf(name string, words ...string) string {
	sub := f.fieldWithoutFields(name)
	if sub == nil {
		return words[0]
	}
	if word := sub.Arg(); slices.Contains(words, word) {
		return word
	}
	found := strings.Join(sub.Args(0, math.MaxInt), " ")
	sub.errs.Add(sub.Place, sub.path, "found %q, wanted one of %s", found, strings.Join(words, ", "))
	return words[0]
}

// Int decodes a field that holds an integer from minimum to maximum.
func (f *Form) Int(name string, minimum, maximum, fallback int) int {
	sub := f.fieldWithoutFields(name)
	if sub == nil {
		return fallback
	}
	word := sub.Arg()
	n, err := strconv.Atoi(word)
	if err != nil || n < minimum || n > maximum {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a whole number from %d to %d", word, minimum, maximum)
		return fallback
	}
	return n
}

// Share decodes a field that holds a number from minimum to maximum.
func (f *Form) Share(name string, minimum, maximum, fallback float64) float64 {
	sub := f.fieldWithoutFields(name)
	if sub == nil {
		return fallback
	}
	word := sub.Arg()
	x, err := strconv.ParseFloat(word, 64)
	if err != nil || !(x >= minimum && x <= maximum) {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a number from %v to %v", word, minimum, maximum)
		return fallback
	}
	return x
}

// Span decodes a field that holds a duration such as 250ms or 1m30s, from minimum to maximum.
func (f *Form) Span(name string, minimum, maximum, fallback time.Duration) time.Duration {
	sub := f.fieldWithoutFields(name)
	if sub == nil {
		return fallback
	}
	word := sub.Arg()
	d, err := time.ParseDuration(word)
	if err != nil || d < minimum || d > maximum {
		sub.errs.Add(sub.Place, sub.path,
			"found %q, wanted a time from %v to %v, such as 250ms or 1m30s", word, minimum, maximum)
		return fallback
	}
	return d
}

// Done adds an error for each field that was not decoded. Callers call it after decoding the fields that they know.
func (f *Form) Done() {
	for _, node := range f.fields {
		sub := newForm(node, f.path, f.errs)
		switch {
		case sub == nil || f.known[sub.Name]:
		case len(f.known) == 0:
			f.errs.Add(sub.Place, sub.path, "fields are not allowed here")
		default:
			names := slices.Sorted(maps.Keys(f.known))
			f.errs.Add(sub.Place, sub.path, "no such field; there are %s", strings.Join(names, ", "))
		}
	}
}
