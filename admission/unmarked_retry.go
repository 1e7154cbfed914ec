package admission

import (
	"math"

	"milletbarrow/monotime"
)

// deadlineGroup is a time left until the deadline, as a part of the client timeout, and how many have had it.
type deadlineGroup struct {
	part  float64
	count decayingSum
}

// unusualDeadline stands in for the retry mark where callers set none: each first attempt has the same time
// left until its deadline, and a retry what remains of it.
func (b *Backend) unusualDeadline(now monotime.Micros, a *Arrived, op *Operation) bool {
	groups := &b.arrivals.timesLeft
	part, group := float64(a.QueueTime+a.TimeLeft)/float64(op.ClientTimeout), &groups[0]
	for n := range groups {
		g := &groups[n]
		g.count.read(now)
		if math.Abs(g.part-part) < math.Abs(group.part-part) {
			group = g
		}
	}
	if math.Abs(group.part-part) >= sameDeadline {
		for n := range groups {
			if g := &groups[n]; g.count.sum < group.count.sum {
				group = g
			}
		}
		*group = deadlineGroup{part, over(learningTime)}
	}
	group.count.add(now, 1)
	return a.TimeLeft > 0 && group.count.sum < usualDeadline*b.arrivals.usual.read(now)
}
