package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// deadlineGroups is the number of distinct deadlines that are counted.
	deadlineGroups = 6
	// sameDeadline is the difference, as a share of the client timeout, below which two deadlines count as equal.
	sameDeadline = 0.01
	// usualDeadlineShare is the share of arrivals at or above which a deadline is attributed to first attempts.
	usualDeadlineShare = 0.15
)

// deadlineGroup counts the requests with the same deadline.
type deadlineGroup struct {
	deadline float64     // counted from arrival, as a share of the client timeout
	count    decayingSum // over baselineWindow
}

// hasUnusualDeadline recognises retries of callers that do not mark them: first attempts share a few common times until
// their deadline, while a retry has only the remainder of one.
func (b *Backend) hasUnusualDeadline(now monotime.Micros, arrived *Arrived, op *Operation) bool {
	groups := &b.arrivals.deadlines
	for i := range groups {
		groups[i].count.read(now)
	}
	deadline := float64(arrived.QueueTime+arrived.TimeLeft) / float64(op.ClientTimeout)
	group := nearestGroup(groups, deadline)
	if math.Abs(group.deadline-deadline) >= sameDeadline {
		group = smallestGroup(groups, group)
		*group = deadlineGroup{deadline: deadline, count: newDecayingSum(baselineWindow)}
	}
	group.count.add(now, 1)
	return arrived.TimeLeft > 0 && group.count.sum < usualDeadlineShare*b.arrivals.baseline.read(now)
}

// nearestGroup returns the group with the nearest deadline; on a tie, the first.
func nearestGroup(groups *[deadlineGroups]deadlineGroup, deadline float64) *deadlineGroup {
	nearest := &groups[0]
	for i := range groups {
		if math.Abs(groups[i].deadline-deadline) < math.Abs(nearest.deadline-deadline) {
			nearest = &groups[i]
		}
	}
	return nearest
}

// smallestGroup returns the group with the lowest count; on a tie, preferred or else the first.
func smallestGroup(groups *[deadlineGroups]deadlineGroup, preferred *deadlineGroup) *deadlineGroup {
	smallest := preferred
	for i := range groups {
		if groups[i].count.sum < smallest.count.sum {
			smallest = &groups[i]
		}
	}
	return smallest
}
