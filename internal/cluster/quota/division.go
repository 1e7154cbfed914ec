package quota

import (
	"cmp"
	"slices"
)

// unlimitedDemand is the Demand of a claim to as much as there is.
const unlimitedDemand int64 = -1

// hysteresisDivisor is the part of a claim's current part, one in so many, by which a new part has to differ.
const hysteresisDivisor int64 = 16

// Claim is one backend's demand for quota above its floor, in units per second.
type Claim struct {
	Demand  int64 // below 0: as much as there is
	Weight  int64 // 1 or more
	Current int64 // part in the latest division; 0: none
}

// steps returns a claim's demand in steps, rounded up; more than the whole pool if the demand is unlimited.
func (c *Claim) steps(pool, step int64) int64 {
	if c.Demand >= 0 && c.Demand < pool {
		return (c.Demand + step - 1) / step
	}
	return pool/step + 1
}

// MaxMinFair divides a pool among claims in multiples of step, max-min fair by weight: no claim gets more than its
// demand while another has less than its own. What exceeds all demand is divided by weight, to serve bursts. The parts
// never add up to more than the pool. MaxMinFair takes O(n log n).
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
	for ; met < len(order); met++ { // meet the claims that demand no more than their part of what is left
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

// spread adds steps to the parts at the given indices by weight and rounds up the largest remainders. weights is the
// sum of their weights.
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

// Stabilize replaces the parts that would hardly change by the current ones, so that a division does not oscillate with
// every report of demand. If the result would exceed the pool, it returns the parts unchanged.
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
	for i, share := range shares { // small growth is granted as far as the pool allows
		if more := min(remaining, share-stable[i]); more > 0 {
			stable[i] += more
			remaining -= more
		}
	}
	return stable
}
