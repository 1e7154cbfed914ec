package checker

import (
	"cmp"
	"slices"
)

const (
	// neighbourDivisor sets which draws count as neighbours: those that begin within length/neighbourDivisor of the
	// draw before.
	neighbourDivisor int64 = 50
	// sampleEvery limits the number of checked spans. Only every sampleEvery-th neighbour begins a span, as the spans
	// of neighbours contain nearly the same draws.
	sampleEvery int = 8
)

// CheckDraws adds a breach for each span of the given lengths (microseconds) in which more units were drawn than the
// total allows plus the burst (units). A draw counts for the spans that contain it completely.
func (r *Report) CheckDraws(all []*Process, limits Limits, burst int64, lengths ...int64) {
	var draws []draw
	for _, process := range all {
		for _, d := range process.draws[r.Quota] {
			draws = append(draws, d)
			r.Drawn += d.units
		}
	}
	slices.SortFunc(draws, func(a, b draw) int { return cmp.Compare(a.from, b.from) })
	for _, length := range lengths {
		for i := range draws {
			isNeighbour := i > 0 && draws[i].from-draws[i-1].from < length/neighbourDivisor
			if isNeighbour && i%sampleEvery != 0 {
				continue
			}
			r.checkSpan(draws[i:], limits, burst, length)
		}
	}
}

// checkSpan checks the span that begins with the first of the draws, which are sorted by their start.
func (r *Report) checkSpan(draws []draw, limits Limits, burst, length int64) {
	begin := draws[0].from
	end := begin + length
	units := int64(0)
	for _, d := range draws {
		if d.from >= end {
			break
		}
		if d.to <= end {
			units += d.units
		}
	}
	allowed := divideUp(limits.highest(r.Quota, begin, end)*length, microsecondsPerSecond)
	r.Excess = max(r.Excess, units-allowed)
	if units > allowed+burst {
		r.add(
			Breach{
				Quota:    r.Quota,
				Rule:     RuleUnitsDrawn,
				At:       begin,
				Duration: length,
				Found:    units,
				Limit:    allowed + burst,
			},
		)
	}
}

// divideUp returns the quotient of a non-negative dividend and a positive divisor, rounded up.
func divideUp(dividend, divisor int64) int64 { return (dividend + divisor - 1) / divisor }

// UnitsDrawn returns the units of a quota that were drawn between two times. A draw that lies partly in that span
// counts in proportion.
func UnitsDrawn(all []*Process, quota string, from, to int64) (units float64) {
	for _, process := range all {
		for _, d := range process.draws[quota] {
			if overlap := min(to, d.to) - max(from, d.from); overlap > 0 {
				units += float64(d.units) * float64(overlap) / float64(d.to-d.from)
			}
		}
	}
	return units
}
