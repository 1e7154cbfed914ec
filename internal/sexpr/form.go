package sexpr

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Form reads a list whose first word names it: (name argument... (field ...)...). What it is asked for and does
// not find, or finds out of bounds, goes to its Errors; the reading goes on with the default.
type Form struct {
	Place
	Name   string
	path   string
	args   []Node
	fields []Node
	asked  map[string]bool
	errs   *Errors
}

// Forms opens each of the nodes of a file as a form.
func Forms(nodes []Node, errs *Errors) (forms []*Form) {
	for _, n := range nodes {
		if f := open(n, "", errs); f != nil {
			forms = append(forms, f)
		}
	}
	return forms
}

func open(n Node, path string, errs *Errors) *Form {
	if n.Kind != List || len(n.Items) == 0 || n.Items[0].Kind != Word {
		errs.Add(n.Place, path, "found %v, wanted a list that begins with a word", n.Kind)
		return nil
	}
	f := &Form{Place: n.Place, Name: n.Items[0].Value, errs: errs, asked: map[string]bool{}}
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

// Fail notes an error about the whole form, or about one of its fields.
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

// Args are the form's words and texts; there must be from least to most of them.
func (f *Form) Args(least, most int) []string {
	if n := len(f.args); n < least || n > most {
		wanted := strconv.Itoa(least)
		if most == math.MaxInt {
			wanted += " or more"
		} else if most > least {
			wanted += " to " + strconv.Itoa(most)
		}
		f.errs.Add(f.Place, f.path, "found %d words, wanted %s", n, wanted)
	}
	all := make([]string, len(f.args))
	for i, n := range f.args {
		all[i] = n.Value
	}
	return all
}

// Arg is the form's only word; an empty one is an error.
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

// All opens each field of that name.
func (f *Form) All(name string) (forms []*Form) {
	f.asked[name] = true
	for _, n := range f.fields {
		if len(n.Items) > 0 && n.Items[0].Kind == Word && n.Items[0].Value == name {
			if sub := open(n, f.path, f.errs); sub != nil {
				forms = append(forms, sub)
			}
		}
	}
	return forms
}

// Field opens the field of that name, which may stand once; nil if it is not there.
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

// only opens a field that holds nothing but words.
func (f *Form) only(name string) *Form {
	sub := f.Field(name)
	if sub != nil {
		sub.Done()
	}
	return sub
}

// Text is a field of one word or text; or as given.
func (f *Form) Text(name, or string) string {
	if sub := f.only(name); sub != nil {
		return sub.Arg()
	}
	return or
}

// Words is a field of words.
func (f *Form) Words(name string) []string {
	if sub := f.only(name); sub != nil {
		return sub.Args(1, math.MaxInt)
	}
	return nil
}

// OneOf is a field that holds one of these words; or the first of them.
func (f *Form) OneOf(name string, words ...string) string {
	sub := f.only(name)
	if sub == nil {
		return words[0]
	}
	if word := sub.Arg(); slices.Contains(words, word) {
		return word
	}
	sub.errs.Add(sub.Place, sub.path, "found %q, wanted one of %s", strings.Join(sub.Args(0, math.MaxInt), " "), strings.Join(words, ", "))
	return words[0]
}

// Int is a field of a whole number from least to most; or as given.
func (f *Form) Int(name string, least, most, or int) int {
	sub := f.only(name)
	if sub == nil {
		return or
	}
	word := sub.Arg()
	n, err := strconv.Atoi(word)
	if err != nil || n < least || n > most {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a whole number from %d to %d", word, least, most)
		return or
	}
	return n
}

// Share is a field of a number from least to most; or as given.
func (f *Form) Share(name string, least, most, or float64) float64 {
	sub := f.only(name)
	if sub == nil {
		return or
	}
	word := sub.Arg()
	x, err := strconv.ParseFloat(word, 64)
	if err != nil || !(x >= least && x <= most) {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a number from %v to %v", word, least, most)
		return or
	}
	return x
}

// Span is a field of a length of time such as 250ms or 1m30s, from least to most; or as given.
func (f *Form) Span(name string, least, most, or time.Duration) time.Duration {
	sub := f.only(name)
	if sub == nil {
		return or
	}
	word := sub.Arg()
	d, err := time.ParseDuration(word)
	if err != nil || d < least || d > most {
		sub.errs.Add(sub.Place, sub.path, "found %q, wanted a time from %v to %v, such as 250ms or 1m30s", word, least, most)
		return or
	}
	return d
}

// Done tells of fields that nothing asked for.
func (f *Form) Done() {
	for _, n := range f.fields {
		if sub := open(n, f.path, f.errs); sub != nil && !f.asked[sub.Name] {
			known := make([]string, 0, len(f.asked))
			for name := range f.asked {
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
