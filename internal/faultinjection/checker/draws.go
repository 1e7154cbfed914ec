package checker

import (
	"cmp"
	"slices"
)

const (
	// spanSteps and sampledEvery thin out the spans that are judged: of draws that begin within a spanSteps-th of a
	// span of each other every sampledEvery-th begins one, as neighbours begin nearly the same span.
	spanSteps    = 50
	sampledEvery = 8
)

// CheckDraws judges what was drawn: in no span of these lengths (microseconds) more units than the total allows and the
// burst. What was drawn between two entries of a log counts for a span that holds both.
func (r *Report) CheckDraws(all []*Process, limits Limits, burst int64, lengths ...int64) {
	var draws []draw
	for _, p := range all {
		for _, d := range p.draws[r.Quota] {
			draws = append(draws, d)
			r.Drawn += d.units
		}
	}
	slices.SortFunc(draws, func(a, b draw) int { return cmp.Compare(a.from, b.from) })
	for _, length := range lengths {
		for i := range draws {
			if i > 0 && draws[i].from-draws[i-1].from < length/spanSteps && i%sampledEvery != 0 {
				continue
			}
			r.checkSpan(draws[i:], limits, burst, length)
		}
	}
}

// checkSpan judges the span that begins with the first draw.
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
	allowed := divideUp(limits.highest(r.Quota, begin, end)*length, million)
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

// divideUp is a quotient of positive numbers, rounded up.
func divideUp(n, by int64) int64 { return (n + by - 1) / by }

// UnitsDrawn is how many units of a quota were drawn between two times; of what was drawn between two entries of a
// log the part that lies there.
func UnitsDrawn(all []*Process, quota string, from, to int64) (units float64) {
	for _, p := range all {
		for _, d := range p.draws[quota] {
			if in := min(to, d.to) - max(from, d.from); in > 0 {
				units += float64(d.units) * float64(in) / float64(d.to-d.from)
			}
		}
	}
	return units
}
