package coldstart

import (
	"cmp"
	"slices"
)

// GroupStatus counts the members of one group by their state.
type GroupStatus struct {
	Group    GroupName `json:"group"`
	Ready    int       `json:"warm"`
	Starting int       `json:"under_way"`
	Failed   int       `json:"failed"`
	Waiting  int       `json:"waiting"`
}

// Groups counts the members of all groups, ordered by name.
func (s *State) Groups() []GroupStatus {
	all := map[GroupName]*GroupStatus{}
	for _, m := range s.Members {
		g := all[m.Group]
		if g == nil {
			g = &GroupStatus{Group: m.Group}
			all[m.Group] = g
		}
		_, starting := s.Starting[m.Name]
		_, failed := s.Failed[m.Name]
		switch {
		case s.Ready[m.Name]:
			g.Ready++
		case starting:
			g.Starting++
		case failed:
			g.Failed++
		default:
			g.Waiting++
		}
	}
	out := make([]GroupStatus, 0, len(all))
	for _, group := range all {
		out = append(out, *group)
	}
	slices.SortFunc(out, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return out
}
