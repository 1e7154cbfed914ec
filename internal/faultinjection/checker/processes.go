package checker

import (
	"cmp"
	"slices"
)

// step is a time at which a count changes.
type step struct {
	at     int64
	change int
}

// peak is the highest count that the steps come to; at one time what is taken off goes first.
func peak(steps []step) (highest int) {
	slices.SortFunc(
		steps,
		func(a, b step) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.change, b.change)) },
	)
	count := 0
	for _, s := range steps {
		count += s.change
		highest = max(highest, count)
	}
	return highest
}

// MaxUnavailable is how many backends had no process at once, at the most: from a process's last entry, where that lies
// between two times, to the first one of its successor.
func MaxUnavailable(all []*Process, from, to int64) int {
	byName := map[string][]*Process{}
	for _, p := range all {
		byName[p.Name] = append(byName[p.Name], p)
	}
	var steps []step
	for _, incarnations := range byName {
		slices.SortFunc(incarnations, func(a, b *Process) int { return cmp.Compare(a.First, b.First) })
		for i := 1; i < len(incarnations); i++ {
			ended, back := incarnations[i-1].Last, incarnations[i].First
			if back > ended && ended >= from && ended <= to {
				steps = append(steps, step{ended, 1}, step{back, -1})
			}
		}
	}
	return peak(steps)
}

// MaxConcurrentStarts is how many processes at most had begun within a span of this length (microseconds): each is
// known to have been starting for as long. One that ended before the span's end counts until then.
func MaxConcurrentStarts(all []*Process, span int64) int {
	steps := make([]step, 0, 2*len(all))
	for _, p := range all {
		end := p.First + span
		if p.Last < end { // it died on the way, or wrote nothing since: no longer than it is known to have run
			end = p.Last
		}
		steps = append(steps, step{p.First, 1}, step{end, -1})
	}
	return peak(steps)
}
