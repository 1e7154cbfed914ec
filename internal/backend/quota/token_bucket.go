package quota

import "milletbarrow/monotime"

// Sizes of token buckets. A rate in units per second times a span in microseconds is an amount in micro-units.
const (
	microUnits    = 1_000_000                  // micro-units per unit
	burst         = 300 * monotime.Millisecond // a bucket holds what its rate yields in this time,
	minBurstUnits = 4                          // but at least this many units, as requests arrive at random
)

// tokenBucket is the part of one budget that a holder may use. It is filled at the rate of its grant.
//
// Invariants:
//   - Extra is above 0 only while filledAt lies before leaseEnd (TestLeaseEnd, TestLeaseEndAtResponse,
//     TestLeaseEndAfterClockBack).
//   - tokens lies between 0 and the bucket's size (TestBucketNeverOverfull).
type tokenBucket struct {
	Grant
	leaseEnd monotime.Micros
	tokens   int64           // micro-units
	filledAt monotime.Micros // time that tokens is of
	drawn    int64           // units acquired, without those refunded
	denied   int64           // units
	refunded int64           // units that no later acquisition has used up yet
}

// tryAcquire takes one unit, or reports false if the bucket does not hold one now.
func (b *tokenBucket) tryAcquire(now monotime.Micros) bool {
	b.refill(now)
	if b.tokens < microUnits {
		b.denied++
		return false
	}
	b.tokens -= microUnits
	if b.refunded > 0 {
		b.refunded--
	} else {
		b.drawn++
	}
	return true
}

// refund puts one unit back that was acquired, as far as the bucket holds it.
func (b *tokenBucket) refund(now monotime.Micros) {
	b.refill(now)
	if b.refunded < b.drawn {
		b.refunded++
		b.tokens = min(b.tokens+microUnits, bucketSize(b.Floor+b.Extra))
	}
}

// refill adds tokens up to now: at floor and extra during the lease, at the floor alone after it. What the extra left
// unused expires with it, as a bucket holds no more than its present rate allows.
func (b *tokenBucket) refill(now monotime.Micros) {
	if now <= b.filledAt {
		return
	}
	if b.Extra > 0 && now >= b.leaseEnd {
		b.refillAt(b.leaseEnd, b.Floor+b.Extra)
		b.Extra = 0
	}
	b.refillAt(now, b.Floor+b.Extra)
}

// refillAt adds tokens at a rate up to a time. A full bucket takes no more, so nothing overflows.
func (b *tokenBucket) refillAt(to monotime.Micros, rate int64) {
	size := bucketSize(rate)
	if span := int64(to - b.filledAt); rate == 0 || span > size/rate {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+span*rate)
	}
	b.filledAt = to
}

// applyGrant replaces the grant. What the former one has yielded up to now stays, as far as the new bucket holds it.
func (b *tokenBucket) applyGrant(now monotime.Micros, grant Grant, leaseEnd monotime.Micros) {
	b.refill(now)
	if leaseEnd <= now {
		grant.Extra = 0 // the lease expired before the response came
	}
	b.Grant = grant
	b.leaseEnd = leaseEnd
	b.filledAt = now
	b.tokens = min(b.tokens, bucketSize(grant.Floor+grant.Extra))
}

// release gives up the grant, so that nothing can be acquired.
func (b *tokenBucket) release(now monotime.Micros) {
	b.Floor = 0
	b.Extra = 0
	b.tokens = 0
	b.leaseEnd = now
}

// status returns the budget as it is now.
func (b *tokenBucket) status(now monotime.Micros) Status {
	b.refill(now)
	return Status{
		Budget: b.Budget,
		Epoch:  b.Epoch,
		Floor:  b.Floor,
		Extra:  b.Extra,
		Until:  b.leaseEnd,
		Drawn:  b.drawn,
		Denied: b.denied,
	}
}

// bucketSize returns how many micro-units a bucket of that rate holds. Without a rate it holds nothing.
func bucketSize(rate int64) int64 {
	if rate == 0 {
		return 0
	}
	return max(minBurstUnits*microUnits, rate*int64(burst))
}

// BurstUnits returns how many units a holder of that rate may acquire above what the rate yields in any span: a full
// bucket.
func BurstUnits(rate int64) int64 { return (bucketSize(rate) + microUnits - 1) / microUnits }
