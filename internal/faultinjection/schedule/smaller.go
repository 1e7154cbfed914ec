package schedule

import "slices"

// Smaller returns copies of the schedule that each lack one run of faults. Those that lack half of the faults come
// first, then a quarter, and so on to those that lack a single fault.
func (s *Schedule) Smaller() []*Schedule {
	const divisor int = 2
	var all []*Schedule
	count := len(s.Faults)
	for removed := max(1, count/divisor); ; removed /= divisor {
		for from := 0; from < count; from += removed {
			smaller := *s
			smaller.Faults = slices.Concat(s.Faults[:from], s.Faults[min(count, from+removed):])
			all = append(all, &smaller)
		}
		if removed <= 1 {
			return all
		}
	}
}
