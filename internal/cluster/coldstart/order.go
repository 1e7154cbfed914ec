package coldstart

import (
	"cmp"
	"math"
	"slices"
)

// Member is an instance that a cold start starts.
type Member struct {
	Name  MemberName `json:"name"`
	Group GroupName  `json:"group"`
	Host  string     `json:"host"`
}

// candidate is a member with the values that determine its place in the order.
type candidate struct {
	Member
	hostIndex int  // among the members of its group on its host
	index     int  // in its group, whose members are taken from each host in turn
	groupSize int  // members
	essential bool // its group needs it to serve
}

// compareProgress orders candidates by the fraction of their group that is ready once they are: (index+1)/groupSize.
func (c *candidate) compareProgress(other *candidate) int {
	return cmp.Compare((c.index+1)*other.groupSize, (other.index+1)*c.groupSize)
}

// orderMembers returns the members in their order of starting, and how many of them are essential. Essential members
// come first. Essential and other members alike are taken from each group in turn, and within a group from each host,
// so that the progress of groups and of hosts stays even.
func orderMembers(minServing float64, members []Member) (order []Member, essential int) {
	candidates := spreadOverHosts(members)
	for i := range candidates {
		c := &candidates[i]
		c.essential = float64(c.index) < math.Ceil(minServing*float64(c.groupSize))
		if c.essential {
			essential++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			compareBool(b.essential, a.essential),
			a.compareProgress(&b),
			cmp.Compare(a.Group, b.Group),
		)
	})
	for i := range candidates {
		order = append(order, candidates[i].Member)
	}
	return order, essential
}

// spreadOverHosts returns the members ordered by group, and within a group taken from each host in turn.
func spreadOverHosts(members []Member) []candidate {
	type groupOnHost struct {
		group GroupName
		host  string
	}
	ordered := slices.Clone(members)
	slices.SortStableFunc(ordered, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(a.Name, b.Name))
	})
	onHost := map[groupOnHost]int{}
	groupSizes := map[GroupName]int{}
	candidates := make([]candidate, len(ordered))
	for i, member := range ordered {
		key := groupOnHost{group: member.Group, host: member.Host}
		candidates[i] = candidate{Member: member, hostIndex: onHost[key]}
		onHost[key]++
		groupSizes[member.Group]++
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.Group, b.Group),
			cmp.Compare(a.hostIndex, b.hostIndex),
			cmp.Compare(a.Host, b.Host),
		)
	})
	inGroup := map[GroupName]int{}
	for i := range candidates {
		c := &candidates[i]
		c.index = inGroup[c.Group]
		c.groupSize = groupSizes[c.Group]
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
