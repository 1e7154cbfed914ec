package sexpr

import "fmt"

// FormerNames maps the former names of forms to their current names, by the current name of the enclosing form. The
// enclosing name of a top-level form is empty.
type FormerNames map[string]map[string]string

// Warning reports a former name in a file, which is still accepted.
type Warning struct {
	File string
	Place
	// Former is the name in the file.
	Former string
	// Name is the current name.
	Name string
}

// String formats the warning on one line, with its position.
func (w Warning) String() string {
	return fmt.Sprintf("%s:%d:%d: %q is a former name: write %q", w.File, w.Line, w.Column, w.Former, w.Name)
}

// Update replaces the former names in the nodes of a file by the current names. It returns a warning for
// each, in the order of the file.
func (names FormerNames) Update(file string, nodes []Node) []Warning {
	return names.update(file, "", nodes, nil)
}

// update is Update for the nodes of one enclosing form. It appends the warnings to those given.
func (names FormerNames) update(file, enclosing string, nodes []Node, warnings []Warning) []Warning {
	for _, node := range nodes {
		if !node.hasName() {
			continue
		}
		head := &node.Items[0]
		if name, found := names[enclosing][head.Value]; found {
			warnings = append(warnings, Warning{File: file, Place: head.Place, Former: head.Value, Name: name})
			head.Value = name
		}
		warnings = names.update(file, head.Value, node.Items[1:], warnings)
	}
	return warnings
}
