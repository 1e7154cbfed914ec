package coldstart

import (
	"cmp"
	"math"
	"slices"
)

// Member is one that is to come up.
type Member struct {
	Name  MemberName `json:"name"`
	Group GroupName  `json:"group"`
	Host  string     `json:"host"`
}

// candidate is a member with what decides its place in the order.
type candidate struct {
	Member
	hostIndex int // among the members of its group on its host
	index     int // in its group, turn by turn over hosts
	groupSize int
	essential bool
}

// compareProgress orders by how far a group would be with the candidate: (index+1)/groupSize.
func (c *candidate) compareProgress(other *candidate) int {
	return cmp.Compare((c.index+1)*other.groupSize, (other.index+1)*c.groupSize)
}

// orderMembers orders members: first those that every group needs to serve, then the others, each part turn by turn over
// groups, and within a group over hosts, so that no host and no group is far ahead. It returns how many are essential.
func orderMembers(minServing float64, members []Member) (order []Member, essential int) {
	candidates := spreadOverHosts(members)
	for i := range candidates {
		c := &candidates[i]
		if c.essential = float64(c.index) < math.Ceil(minServing*float64(c.groupSize)); c.essential {
			essential++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(compareBool(b.essential, a.essential), a.compareProgress(&b), cmp.Compare(a.Group, b.Group))
	})
	for i := range candidates {
		order = append(order, candidates[i].Member)
	}
	return order, essential
}

// spreadOverHosts orders members by group, and within each group turn by turn over hosts.
func spreadOverHosts(members []Member) []candidate {
	byName := slices.Clone(members)
	slices.SortStableFunc(byName, func(a, b Member) int { return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name)) })
	type groupHost struct {
		group GroupName
		host  string
	}
	onHost, groupSizes := map[groupHost]int{}, map[GroupName]int{}
	candidates := make([]candidate, len(byName))
	for i, m := range byName {
		key := groupHost{m.Group, m.Host}
		candidates[i] = candidate{Member: m, hostIndex: onHost[key]}
		onHost[key]++
		groupSizes[m.Group]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.hostIndex, b.hostIndex), cmp.Compare(a.Host, b.Host))
	})
	inGroup := map[GroupName]int{}
	for i := range candidates {
		c := &candidates[i]
		c.index, c.groupSize = inGroup[c.Group], groupSizes[c.Group]
		inGroup[c.Group]++
	}
	return candidates
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
