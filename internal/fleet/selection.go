package fleet

import "slices"

// Selection selects the instances that match any entry of its lists.
type Selection struct {
	All    bool     `json:"all,omitempty"` // all instances but spares
	Names  []string `json:"names,omitempty"`
	Groups []string `json:"groups,omitempty"`
	Labels []string `json:"labels,omitempty"`
	Hosts  []string `json:"hosts,omitempty"`
}

// Kinds of selectors, as SelectionError names them.
const (
	selectInstance = "instance"
	selectGroup    = "group"
	selectLabel    = "label"
	selectHost     = "host"
)

// selector is one word of a selection.
type selector struct {
	kind string
	word string
}

// matches reports whether an instance has the name, the group, the label or the host.
func (s selector) matches(inst *InstanceSpec) bool {
	switch s.kind {
	case selectInstance:
		return inst.Name == s.word
	case selectGroup:
		return inst.Group == s.word
	case selectLabel:
		return slices.Contains(inst.Labels, s.word)
	default:
		return inst.Host == s.word
	}
}

// Empty reports whether the selection is empty.
func (s Selection) Empty() bool {
	return !s.All && len(s.selectors()) == 0
}

// selectors lists the words of the selection.
func (s Selection) selectors() (all []selector) {
	add := func(kind string, words []string) {
		for _, word := range words {
			all = append(all, selector{kind, word})
		}
	}
	add(selectInstance, s.Names)
	add(selectGroup, s.Groups)
	add(selectLabel, s.Labels)
	add(selectHost, s.Hosts)
	return all
}

// Select lists the selected instances in the order of the fleet's file, each once. A spare is selected only by its own
// name. The error is ErrEmptySelection or, for a word that matches no instance, a *SelectionError, so that a misspelt
// name does not go unnoticed.
func (s *Spec) Select(selection Selection) ([]*InstanceSpec, error) {
	if selection.Empty() {
		return nil, ErrEmptySelection
	}
	selectors := selection.selectors()
	matched := map[selector]bool{}
	var found []*InstanceSpec
	for _, inst := range s.InstancesOn("") {
		selected := selection.All && !inst.Spare
		for _, one := range selectors {
			if one.matches(inst) {
				matched[one] = true
				selected = selected || !inst.Spare || one.kind == selectInstance
			}
		}
		if selected {
			found = append(found, inst)
		}
	}
	for _, one := range selectors {
		if !matched[one] {
			return nil, &SelectionError{Kind: one.kind, Word: one.word, Fleet: s.Name}
		}
	}
	return found, nil
}
