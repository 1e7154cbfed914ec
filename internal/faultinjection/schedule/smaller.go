package schedule

import "slices"

// Smaller lists schedules with fewer faults, largest cuts first: halves, quarters, and so on to each fault alone
// taken out.
func (s *Schedule) Smaller() (all []*Schedule) {
	n := len(s.Faults)
	for part := max(1, n/2); ; part /= 2 {
		for from := 0; from < n; from += part {
			smaller := *s
			smaller.Faults = slices.Concat(s.Faults[:from], s.Faults[min(n, from+part):])
			all = append(all, &smaller)
		}
		if part <= 1 {
			return all
		}
	}
}
