package quota

import (
	"cmp"
	"slices"

	"milletbarrow/monotime"
)

// Claim is what one backend claims above its floor.
type Claim struct {
	Demand  int64 // units; below 0: as much as there is
	Weight  int64 // 1 or more
	Current int64 // its part in the latest division
}

// MaxMinFair divides a pool among claims in multiples of step, max-min fair by weight: no claim gets more than its demand
// while another has less than its own, and what exceeds all demand is spread by weight too, so that a burst finds
// something. The parts never add up to more than the pool. It takes O(n log n).
func MaxMinFair(pool, step int64, claims []Claim) []int64 {
	parts := make([]int64, len(claims))
	left := max(0, pool) / step // in steps, as all that follows
	if left == 0 || len(claims) == 0 {
		return parts
	}
	order := make([]int, len(claims))
	weights := int64(0)
	for i := range claims {
		order[i] = i
		weights += claims[i].Weight
	}
	demand := func(i int) int64 {
		if d := claims[i].Demand; d >= 0 && d < pool {
			return (d + step - 1) / step
		}
		return pool/step + 1
	}
	slices.SortStableFunc(order, func(a, b int) int { // by demand for each unit of weight
		return cmp.Or(cmp.Compare(demand(a)*claims[b].Weight, demand(b)*claims[a].Weight), cmp.Compare(a, b))
	})
	unmetWeights, met := weights, 0
	for ; met < len(order); met++ { // claims of no more than their part of what is left are met
		i := order[met]
		d := demand(i)
		if d > left*claims[i].Weight/unmetWeights {
			break
		}
		parts[i] = d
		left -= d
		unmetWeights -= claims[i].Weight
	}
	unmet := order[met:] // divide what is left by weight
	if len(unmet) == 0 {
		unmet, unmetWeights = order, weights // there is more than all demand
	}
	spread(left, unmetWeights, unmet, claims, parts)
	for i := range parts {
		parts[i] *= step
	}
	return parts
}

// spread adds steps to some of the parts by weight, the largest remainders rounded up. weights is the sum of their weights.
func spread(steps, weights int64, indices []int, claims []Claim, parts []int64) {
	left := steps
	remainders := make([]int64, len(claims))
	for _, i := range indices {
		exact := steps * claims[i].Weight
		parts[i] += exact / weights
		left -= exact / weights
		remainders[i] = exact % weights
	}
	if left == 0 {
		return
	}
	byRemainder := slices.Clone(indices)
	slices.SortStableFunc(byRemainder, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range byRemainder[:left] { // fewer than there are indices
		parts[i]++
	}
}

// hysteresis is the part of a claim's current part by which a division has to differ to move it.
const hysteresis = 16

// Stabilize leaves the parts unchanged that would hardly move, so that a division does not swing with every report of
// demand; where that would add up to more than the pool, all move.
func Stabilize(pool, step int64, claims []Claim, parts []int64) []int64 {
	stable := slices.Clone(parts)
	sum := int64(0)
	for i, part := range parts {
		if current := claims[i].Current; current > 0 && max(part-current, current-part) <= max(step, current/hysteresis) {
			stable[i] = current
		}
		sum += stable[i]
	}
	left := max(0, pool) - sum
	if left < 0 {
		return parts
	}
	for i, part := range parts { // those that were to grow a little grow, as far as the pool allows
		if more := min(left, part-stable[i]); more > 0 {
			stable[i] += more
			left -= more
		}
	}
	return stable
}

// estimateDemand smooths a demand, in units a second, by what was drawn and denied over a duration: it moves by half of the
// difference. Denied units count for at most twice the client's quota and an eighth of the total, whatever it reports.
func estimateDemand(previous, quota, total, drawn, denied int64, over monotime.Micros) int64 {
	if over <= 0 || drawn < 0 || denied < 0 {
		return previous
	}
	const maxDemand = 1 << 40 // units a second
	perSecond := func(units int64) int64 { return min(units, maxDemand) * 1_000_000 / int64(over) }
	observed := min(maxDemand, perSecond(drawn)+min(perSecond(denied), 2*quota+total/8+1))
	if observed >= previous {
		return previous + (observed-previous+1)/2
	}
	return previous - (previous-observed+1)/2 // rounded up, so that a demand that has ended comes to nothing
}
