package fleet

import (
	"slices"
)

// Selection names instances: those that match any of the lists. All stands for all but spares.
type Selection struct {
	All    bool     `json:"all,omitempty"`
	Names  []string `json:"names,omitempty"`
	Groups []string `json:"groups,omitempty"`
	Labels []string `json:"labels,omitempty"`
	Hosts  []string `json:"hosts,omitempty"`
}

// Empty reports whether it asks for nothing.
func (q Selection) Empty() bool {
	return !q.All && len(q.Names)+len(q.Groups)+len(q.Labels)+len(q.Hosts) == 0
}

// Select lists what the selection names, in the file's order, each once. Errors are ErrEmptySelection
// and, for a word that matches nothing, *SelectionError: a misspelt name must not pass for done.
func (s *Spec) Select(q Selection) ([]*InstanceSpec, error) {
	if q.Empty() {
		return nil, ErrEmptySelection
	}
	met := map[string]bool{}
	var found []*InstanceSpec
	for _, inst := range s.InstancesOn("") {
		match := q.All && !inst.Spare
		hit := func(kind string, wanted []string, has ...string) {
			for _, h := range has {
				if slices.Contains(wanted, h) {
					met[kind+" "+h] = true
					match = match || !inst.Spare || kind == "instance"
				}
			}
		}
		hit("instance", q.Names, inst.Name)
		hit("group", q.Groups, inst.Group)
		hit("label", q.Labels, inst.Labels...)
		hit("host", q.Hosts, inst.Host)
		if match {
			found = append(found, inst)
		}
	}
	for kind, words := range map[string][]string{"instance": q.Names, "group": q.Groups, "label": q.Labels, "host": q.Hosts} {
		for _, w := range words {
			if !met[kind+" "+w] {
				return nil, &SelectionError{Kind: kind, Word: w, Fleet: s.Name}
			}
		}
	}
	return found, nil
}
