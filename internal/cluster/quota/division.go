package quota

import (
	"cmp"
	"slices"
)

// unlimitedDemand is the Demand of a claim without an upper bound.
const unlimitedDemand int64 = -1

// hysteresisDivisor sets the hysteresis of Stabilize: a new share replaces the current one only if they differ by more
// than a step and by more than 1/hysteresisDivisor of the current one.
const hysteresisDivisor int64 = 16

// Claim is one backend's demand for quota above its floor, in units per second.
type Claim struct {
	Demand  int64 // below 0: unlimited
	Weight  int64 // 1 or more
	Current int64 // share in the latest division; 0: none
}

// steps returns a claim's demand in steps, rounded up. A demand of the pool or more counts as one step more than the
// pool has.
func (c *Claim) steps(pool, step int64) int64 {
	if c.Demand >= 0 && c.Demand < pool {
		return (c.Demand + step - 1) / step
	}
	return pool/step + 1
}

// MaxMinFair divides a pool among claims in multiples of step, by weighted max-min fairness: no claim gets more than
// its demand while another one's demand is unmet. What exceeds all demand is divided by weight, so that there is room
// for bursts. The shares never add up to more than the pool. MaxMinFair takes O(n log n).
func MaxMinFair(pool, step int64, claims []Claim) []int64 {
	shares := make([]int64, len(claims)) // in steps until the end
	remaining := max(0, pool) / step
	if remaining == 0 || len(claims) == 0 {
		return shares
	}
	order := orderByDemand(pool, step, claims)
	weights := int64(0)
	for i := range claims {
		weights += claims[i].Weight
	}
	unmetWeights := weights
	met := 0
	for ; met < len(order); met++ { // meet the claims that demand no more than their share of what remains
		i := order[met]
		demand := claims[i].steps(pool, step)
		if demand > remaining*claims[i].Weight/unmetWeights {
			break
		}
		shares[i] = demand
		remaining -= demand
		unmetWeights -= claims[i].Weight
	}
	unmet := order[met:]
	if len(unmet) == 0 { // the pool exceeds all demand
		unmet = order
		unmetWeights = weights
	}
	distributeByWeight(remaining, unmetWeights, unmet, claims, shares)
	for i := range shares {
		shares[i] *= step
	}
	return shares
}

// orderByDemand returns the indices of claims, ordered by demand per unit of weight.
func orderByDemand(pool, step int64, claims []Claim) []int {
	order := make([]int, len(claims))
	for i := range claims {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		demandA := claims[a].steps(pool, step) * claims[b].Weight
		demandB := claims[b].steps(pool, step) * claims[a].Weight
		return cmp.Or(cmp.Compare(demandA, demandB), cmp.Compare(a, b))
	})
	return order
}

// distributeByWeight adds steps to the shares at the given indices by weight, with the largest remainder method.
// weights is the sum of their weights.
func distributeByWeight(steps, weights int64, indices []int, claims []Claim, shares []int64) {
	remaining := steps
	remainders := make([]int64, len(claims))
	for _, i := range indices {
		exact := steps * claims[i].Weight
		shares[i] += exact / weights
		remaining -= exact / weights
		remainders[i] = exact % weights
	}
	if remaining == 0 {
		return
	}
	byRemainder := slices.Clone(indices)
	slices.SortStableFunc(byRemainder, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for _, i := range byRemainder[:remaining] { // left is less than len(indices)
		shares[i]++
	}
}

// Stabilize applies hysteresis: it keeps the current share of a claim whose new share differs little, so that shares do
// not oscillate with every report of demand. Small increases are granted as far as the pool allows. If the result would
// exceed the pool, Stabilize returns the new shares unchanged.
func Stabilize(pool, step int64, claims []Claim, shares []int64) []int64 {
	stable := slices.Clone(shares)
	sum := int64(0)
	for i, share := range shares {
		current := claims[i].Current
		change := max(share-current, current-share)
		if current > 0 && change <= max(step, current/hysteresisDivisor) {
			stable[i] = current
		}
		sum += stable[i]
	}
	remaining := max(0, pool) - sum
	if remaining < 0 {
		return shares
	}
	for i, share := range shares { // grant small increases from what is left of the pool
		if more := min(remaining, share-stable[i]); more > 0 {
			stable[i] += more
			remaining -= more
		}
	}
	return stable
}
