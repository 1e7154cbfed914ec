package quota

import (
	"cmp"
	"slices"
)

// Claim is what one backend would have above its floor.
type Claim struct {
	Demand  int64 // units; below 0: as much as there is
	Weight  int64 // 1 or more
	Current int64 // what it was last given
}

// MaxMinFair divides a pool among claims in whole steps, max-min fair by weight: nobody gets more than it wants while another
// lacks, and what nobody wants is spread by weight too, so that a burst finds something. The parts never add up to more
// than the pool. It sorts once: n log n.
func MaxMinFair(pool, step int64, claims []Claim) []int64 {
	parts := make([]int64, len(claims))
	left := max(0, pool) / step // in steps from here on
	if left == 0 || len(claims) == 0 {
		return parts
	}
	order := make([]int, len(claims))
	weights := int64(0)
	for i := range claims {
		order[i] = i
		weights += claims[i].Weight
	}
	wants := func(i int) int64 { // steps
		if w := claims[i].Demand; w >= 0 && w < pool {
			return (w + step - 1) / step
		}
		return pool/step + 1
	}
	slices.SortStableFunc(order, func(a, b int) int { // by want for each unit of weight
		return cmp.Or(cmp.Compare(wants(a)*claims[b].Weight, wants(b)*claims[a].Weight), cmp.Compare(a, b))
	})
	rest, at := weights, 0
	for ; at < len(order); at++ { // who wants no more than its part of what is left has all it wants
		i := order[at]
		if w := wants(i); w <= left*claims[i].Weight/rest {
			parts[i] = w
			left -= w
			rest -= claims[i].Weight
			continue
		}
		break
	}
	level := order[at:] // the others share what is left by weight
	if at == len(order) {
		level, rest = order, weights // there is more than is wanted
	}
	spread(left, rest, level, claims, parts)
	for i := range parts {
		parts[i] *= step
	}
	return parts
}

// spread adds so many steps to some parts by weight; what rounding leaves over goes to those that it cut most.
func spread(steps, weights int64, to []int, claims []Claim, parts []int64) {
	left := steps
	cut := make([]int64, len(claims))
	for _, i := range to {
		exact := steps * claims[i].Weight
		parts[i] += exact / weights
		left -= exact / weights
		cut[i] = exact % weights
	}
	if left == 0 {
		return
	}
	most := slices.Clone(to)
	slices.SortStableFunc(most, func(a, b int) int { return cmp.Compare(cut[b], cut[a]) })
	for _, i := range most[:left] { // fewer than there are parts
		parts[i]++
	}
}

// Stabilize keeps the parts that would hardly move, so that a division does not swing with every count of demand; where
// that would add up to more than the pool, all move.
func Stabilize(pool, step int64, claims []Claim, parts []int64) []int64 {
	kept := slices.Clone(parts)
	sum := int64(0)
	for i, p := range parts {
		if held := claims[i].Current; held > 0 && max(p-held, held-p) <= max(step, held/16) {
			kept[i] = held
		}
		sum += kept[i]
	}
	left := max(0, pool) - sum
	if left < 0 {
		return parts
	}
	for i, p := range parts { // who was to grow a little grows, as far as others' staying leaves room
		if more := min(left, p-kept[i]); more > 0 {
			kept[i] += more
			left -= more
		}
	}
	return kept
}

// estimateDemand is a claim after a span in which so much was drawn and denied: it moves by half of the way. What is claimed grows
// at the most by twice the share and an eighth of the whole from one ask to the next, whatever a holder says.
func estimateDemand(want, share, whole, drawn, denied int64, span Micros) int64 {
	if span <= 0 || drawn < 0 || denied < 0 {
		return want
	}
	const most = 1 << 40 // a second's; more is nobody's demand
	rate := min(drawn, most)*1_000_000/int64(span) + min(min(denied, most)*1_000_000/int64(span), 2*share+whole/8+1)
	rate = min(rate, most)
	if rate >= want {
		return want + (rate-want+1)/2
	}
	return want - (want-rate+1)/2 // rounded up: what nobody asks for must not stay claimed by its last units
}
