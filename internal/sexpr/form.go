package sexpr

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Form decodes a list whose first word names it: (name argument... (field ...)...). A field that is missing has its default. One
// that is malformed or out of range adds an error to the form's Errors, and decoding goes on with the default.
type Form struct {
	Place
	Name   string
	path   string
	args   []Node
	fields []Node
	known  map[string]bool // names that were decoded, found or not
	errs   *Errors
}

// Forms returns the nodes of a file as forms. A node that is not a list with a name is an error.
func Forms(nodes []Node, errs *Errors) (forms []*Form) {
	for _, n := range nodes {
		if f := open(n, "", errs); f != nil {
			forms = append(forms, f)
		}
	}
	return forms
}

// open returns a node as a form; nil, and an error, if it is not a list with a name.
func open(n Node, path string, errs *Errors) *Form {
	if n.Kind != List || len(n.Items) == 0 || n.Items[0].Kind != Word {
		errs.Add(n.Place, path, "found %v, wanted a list that begins with a word", n.Kind)
		return nil
	}
	f := &Form{Place: n.Place, Name: n.Items[0].Value, errs: errs, known: map[string]bool{}}
	f.path = strings.TrimPrefix(path+"."+f.Name, ".")
	for _, item := range n.Items[1:] {
		if item.Kind == List {
			f.fields = append(f.fields, item)
		} else {
			f.args = append(f.args, item)
		}
	}
	return f
}

// Fail adds an error about the form, or about one of its fields.
func (f *Form) Fail(field, format string, args ...any) {
	at, path := f.Place, f.path
	if field != "" {
		path += "." + field
		for _, n := range f.fields {
			if len(n.Items) > 0 && n.Items[0].Value == field {
				at = n.Place
			}
		}
	}
	f.errs.Add(at, path, format, args...)
}

// Args returns the form's words and texts; a number of them outside minimum and maximum is an error.
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
	all := make([]string, len(f.args))
	for i, n := range f.args {
		all[i] = n.Value
	}
	return all
}

// Arg returns the form's only word or text; an empty one is an error.
func (f *Form) Arg() string {
	all := f.Args(1, 1)
	if len(all) == 0 {
		return ""
	}
	if all[0] == "" {
		f.errs.Add(f.Place, f.path, "empty")
	}
	return all[0]
}

// All returns each field of that name.
func (f *Form) All(name string) (forms []*Form) {
	f.known[name] = true
	for _, n := range f.fields {
		if len(n.Items) > 0 && n.Items[0].Kind == Word && n.Items[0].Value == name {
			if sub := open(n, f.path, f.errs); sub != nil {
				forms = append(forms, sub)
			}
		}
	}
	return forms
}

// Field returns the field of that name, nil if there is none. A second one is an error.
func (f *Form) Field(name string) *Form {
	all := f.All(name)
	if len(all) == 0 {
		return nil
	}
	if len(all) > 1 {
		f.errs.Add(all[1].Place, all[1].path, "stands twice, first at %d:%d", all[0].Line, all[0].Column)
	}
	return all[0]
}

// leaf returns a field that has no fields itself.
func (f *Form) leaf(name string) *Form {
	sub := f.Field(name)
	if sub != nil {
		sub.Done()
	}
	return sub
}

// Text decodes a field of one word or text.
func (f *Form) Text(name, fallback string) string {
	if sub := f.leaf(name); sub != nil {
		return sub.Arg()
	}
	return fallback
}

// Words decodes a field of one or more words; nil if there is none.
func (f *Form) Words(name string) []string {
	if sub := f.leaf(name); sub != nil {
		return sub.Args(1, math.MaxInt)
	}
	return nil
}

// OneOf decodes a field that holds one of these words; the first is the default.
func (f *Form) OneOf(name string, words ...string) string {
	sub := f.leaf(name)
	if sub == nil {
		return words[0]
	}
	if word := sub.Arg(); slices.Contains(words, word) {
		return word
	}
	sub.errs.Add(sub.Place, sub.path, "found %q, wanted one of %s", strings.Join(sub.Args(0, math.MaxInt), " "), strings.Join(words, ", "))
	return words[0]
}

// Int decodes a field of an integer from minimum to maximum.
func (f *Form) Int(name string, minimum, maximum, fallback int) int {
	sub := f.leaf(name)
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

// Share decodes a field of a number from minimum to maximum.
func (f *Form) Share(name string, minimum, maximum, fallback float64) float64 {
	sub := f.leaf(name)
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

// Span decodes a field of a duration such as 250ms or 1m30s, from minimum to maximum.
func (f *Form) Span(name string, minimum, maximum, fallback time.Duration) time.Duration {
	sub := f.leaf(name)
	if sub == nil {
		return fallback
	}
	word := sub.Arg()
	d, err := time.ParseDuration(word)
	if err != nil || d < minimum || d > maximum {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a time from %v to %v, such as 250ms or 1m30s", word, minimum, maximum)
		return fallback
	}
	return d
}

// Done adds an error for each field that was not decoded before: fields that nobody knows.
func (f *Form) Done() {
	for _, n := range f.fields {
		if sub := open(n, f.path, f.errs); sub != nil && !f.known[sub.Name] {
			known := make([]string, 0, len(f.known))
			for name := range f.known {
				known = append(known, name)
			}
			slices.Sort(known)
			if len(known) == 0 {
				f.errs.Add(sub.Place, sub.path, "no field can stand here")
				continue
			}
			f.errs.Add(sub.Place, sub.path, "no such field; there are %s", strings.Join(known, ", "))
		}
	}
}
