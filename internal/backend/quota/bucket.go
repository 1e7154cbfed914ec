package quota

import "milletbarrow/monotime"

// Bounds of the token buckets.
const (
	burstMicros   = 300_000   // a bucket holds what its rate yields in so long,
	minBurstUnits = 4         // and so many units at least: requests arrive at random, see docs/budget-design.md
	microUnits    = 1_000_000 // in a unit
)

// allotment is a holder's part of one budget: a token bucket that is filled at the rate of the grant. Extra is above 0
// only while filledAt lies before leaseEnd.
type allotment struct {
	Grant
	leaseEnd monotime.Micros
	tokens   int64 // micro-units
	filledAt monotime.Micros
	drawn    int64 // units acquired, without those refunded
	denied   int64 // units
	refunded int64 // units that no later acquisition has used up yet
}

// refill adds tokens up to now: at floor and extra during the lease, at the floor alone after it. What the extra left
// unused expires with it, as a bucket holds no more than its present rate allows.
func (b *allotment) refill(now monotime.Micros) {
	if now <= b.filledAt {
		return
	}
	if b.Extra > 0 && now >= b.leaseEnd {
		b.refillAt(b.leaseEnd, b.Floor+b.Extra)
		b.Extra = 0
	}
	b.refillAt(now, b.Floor+b.Extra)
}

// applyGrant replaces the grant. What the old one has yielded up to now stays, as far as the new bucket holds it.
func (b *allotment) applyGrant(now monotime.Micros, grant Grant, leaseEnd monotime.Micros) {
	b.refill(now)
	if b.leaseEnd = leaseEnd; leaseEnd <= now {
		grant.Extra = 0 // the lease expired before the response came
	}
	b.Grant = grant
	b.filledAt = now
	b.tokens = min(b.tokens, bucketSize(grant.Floor+grant.Extra))
}

// refillAt adds tokens at a rate up to a time. A full bucket takes no more, so nothing overflows.
func (b *allotment) refillAt(to monotime.Micros, rate int64) {
	full := bucketSize(rate)
	if span := int64(to - b.filledAt); rate == 0 || span > full/rate {
		b.tokens = full
	} else {
		b.tokens = min(full, b.tokens+span*rate)
	}
	b.filledAt = to
}

// bucketSize is how many micro-units a bucket of that rate holds. Without a rate it holds nothing.
func bucketSize(rate int64) int64 {
	if rate == 0 {
		return 0
	}
	return max(minBurstUnits*microUnits, rate*burstMicros)
}

// BurstUnits is how many units a holder of that rate may acquire above what the rate yields in any span: a full bucket.
func BurstUnits(rate int64) int64 { return (bucketSize(rate) + microUnits - 1) / microUnits }
