package coldstart

import (
	"cmp"
	"slices"
)

// GroupStatus holds the number of members of one group in each state.
type GroupStatus struct {
	Group    GroupName `json:"group"`
	Ready    int       `json:"warm"`
	Starting int       `json:"under_way"`
	Failed   int       `json:"failed"`
	Waiting  int       `json:"waiting"`
}

// Groups returns the status of all groups, ordered by name.
func (s *State) Groups() []GroupStatus {
	byGroup := map[GroupName]*GroupStatus{}
	for _, member := range s.Members {
		group := byGroup[member.Group]
		if group == nil {
			group = &GroupStatus{Group: member.Group}
			byGroup[member.Group] = group
		}
		_, starting := s.Starting[member.Name]
		_, failed := s.Failed[member.Name]
		switch {
		case s.Ready[member.Name]:
			group.Ready++
		case starting:
			group.Starting++
		case failed:
			group.Failed++
		default:
			group.Waiting++
		}
	}
	groups := make([]GroupStatus, 0, len(byGroup))
	for _, group := range byGroup {
		groups = append(groups, *group)
	}
	slices.SortFunc(groups, func(a, b GroupStatus) int { return cmp.Compare(a.Group, b.Group) })
	return groups
}
