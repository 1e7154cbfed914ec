package checker

import (
	"cmp"
	"slices"
)

// step is a change of a count at a time.
type step struct {
	at     int64 // microseconds
	change int   // 1 or -1
}

// peak returns the highest count that the steps add up to. Of the steps of one time, decrements apply first.
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

// MaxUnavailable returns the highest number of backends that had no process at the same time. A backend is unavailable
// from the last entry of a process to the first entry of its successor; only outages that begin between the two times
// count.
func MaxUnavailable(all []*Process, from, to int64) int {
	byName := map[string][]*Process{}
	for _, process := range all {
		byName[process.Name] = append(byName[process.Name], process)
	}
	var steps []step
	for _, incarnations := range byName {
		slices.SortFunc(incarnations, func(a, b *Process) int { return cmp.Compare(a.First, b.First) })
		for i := 1; i < len(incarnations); i++ {
			ended := incarnations[i-1].Last
			restarted := incarnations[i].First
			if restarted > ended && ended >= from && ended <= to {
				steps = append(steps, step{at: ended, change: 1}, step{at: restarted, change: -1})
			}
		}
	}
	return peak(steps)
}

// MaxConcurrentStarts returns the highest number of processes that were starting at the same time. A process counts as
// starting for the given duration (microseconds) after its first entry, or until its last entry if that is earlier.
func MaxConcurrentStarts(all []*Process, duration int64) int {
	const stepsPerStart int = 2 // begin and end
	steps := make([]step, 0, stepsPerStart*len(all))
	for _, process := range all {
		end := min(process.First+duration, process.Last)
		steps = append(steps, step{at: process.First, change: 1}, step{at: end, change: -1})
	}
	return peak(steps)
}
