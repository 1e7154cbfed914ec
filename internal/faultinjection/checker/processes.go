package checker

import (
	"cmp"
	"slices"
)

// countChange is a change of a count at a time.
type countChange struct {
	at    int64 // microseconds
	delta int   // 1 or -1
}

// peak returns the highest count that the changes add up to. Of the changes of one time, decrements apply first.
func peak(changes []countChange) (highest int) {
	slices.SortFunc(
		changes,
		func(a, b countChange) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta)) },
	)
	count := 0
	for _, c := range changes {
		count += c.delta
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
	var changes []countChange
	for _, incarnations := range byName {
		slices.SortFunc(incarnations, func(a, b *Process) int { return cmp.Compare(a.First, b.First) })
		for i := 1; i < len(incarnations); i++ {
			ended := incarnations[i-1].Last
			restarted := incarnations[i].First
			if restarted > ended && ended >= from && ended <= to {
				changes = append(changes, countChange{at: ended, delta: 1}, countChange{at: restarted, delta: -1})
			}
		}
	}
	return peak(changes)
}

// MaxConcurrentStarts returns the highest number of processes that were starting at the same time. A process counts as
// starting for the given duration (microseconds) after its first entry, or until its last entry if that is earlier.
func MaxConcurrentStarts(all []*Process, duration int64) int {
	const changesPerStart int = 2 // begin and end
	changes := make([]countChange, 0, changesPerStart*len(all))
	for _, process := range all {
		end := min(process.First+duration, process.Last)
		changes = append(changes, countChange{at: process.First, delta: 1}, countChange{at: end, delta: -1})
	}
	return peak(changes)
}
