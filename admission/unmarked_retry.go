package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// deadlineGroups is the number of different deadlines that are told apart.
	deadlineGroups = 6
	// sameDeadline is the difference, in client timeouts, below which two deadlines are the same.
	sameDeadline = 0.01
	// usualDeadlineShare is the share of arrivals from which a deadline is taken for that of first attempts.
	usualDeadlineShare = 0.15
)

// deadlineGroup counts the requests with one deadline.
type deadlineGroup struct {
	deadline float64     // from arrival, in client timeouts
	count    decayingSum // over learningWindow
}

// hasUnusualDeadline stands in for the retry mark where callers set none: first attempts all have the same time left
// until their deadline, and a retry has what remains of it.
func (b *Backend) hasUnusualDeadline(now monotime.Micros, arrived *Arrived, op *Operation) bool {
	groups := &b.arrivals.deadlines
	for i := range groups {
		groups[i].count.read(now)
	}
	deadline := float64(arrived.QueueTime+arrived.TimeLeft) / float64(op.ClientTimeout)
	group := nearestGroup(groups, deadline)
	if math.Abs(group.deadline-deadline) >= sameDeadline {
		group = smallestGroup(groups, group)
		*group = deadlineGroup{deadline: deadline, count: newDecayingSum(learningWindow)}
	}
	group.count.add(now, 1)
	return arrived.TimeLeft > 0 && group.count.sum < usualDeadlineShare*b.arrivals.usual.read(now)
}

// nearestGroup returns the group whose deadline is nearest; of equals, the first.
func nearestGroup(groups *[deadlineGroups]deadlineGroup, deadline float64) *deadlineGroup {
	nearest := &groups[0]
	for i := range groups {
		if math.Abs(groups[i].deadline-deadline) < math.Abs(nearest.deadline-deadline) {
			nearest = &groups[i]
		}
	}
	return nearest
}

// smallestGroup returns the group with the lowest count; of equals, preferred or else the first.
func smallestGroup(groups *[deadlineGroups]deadlineGroup, preferred *deadlineGroup) *deadlineGroup {
	smallest := preferred
	for i := range groups {
		if groups[i].count.sum < smallest.count.sum {
			smallest = &groups[i]
		}
	}
	return smallest
}
