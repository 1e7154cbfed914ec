package sexpr

import (
	"fmt"
)

// FormerNames maps the former name of a form to its name of today, by the name of the form around it; the name around a
// form of the file itself is empty. A name that stands for itself in another form is no former name there.
type FormerNames map[string]map[string]string

// Warning says that a file uses a former name, which is still read.
type Warning struct {
	File string
	Place
	Former string
	Name   string // of today
}

func (w Warning) String() string {
	return fmt.Sprintf("%s:%d:%d: %q is a former name: write %q", w.File, w.Line, w.Column, w.Former, w.Name)
}

// Update replaces former names in the nodes of a file by those of today, and returns a warning for each in the order of
// the file.
func (names FormerNames) Update(file string, nodes []Node) []Warning {
	return names.update(file, "", nodes, nil)
}

func (names FormerNames) update(file, around string, nodes []Node, warnings []Warning) []Warning {
	for _, node := range nodes {
		if node.Kind != List || len(node.Items) == 0 || node.Items[0].Kind != Word {
			continue
		}
		head := &node.Items[0]
		if name, found := names[around][head.Value]; found {
			warnings = append(warnings, Warning{File: file, Place: head.Place, Former: head.Value, Name: name})
			head.Value = name
		}
		warnings = names.update(file, head.Value, node.Items[1:], warnings)
	}
	return warnings
}
