package quota

import "milletbarrow/monotime"

// Sizes of token buckets. A rate in units per second times a duration in microseconds yields an amount in micro-units.
const (
	microUnits    = 1_000_000                  // micro-units per unit
	burst         = 300 * monotime.Millisecond // a bucket holds what its rate yields in this time
	minBurstUnits = 4                          // minimum size, which absorbs random arrivals at low rates
)

// tokenBucket limits acquisitions of one budget to the holder's grant. It is refilled at the rate of the grant.
//
// Invariants:
//   - Extra is above 0 only while refilledAt is before leaseEnd (TestExtraEndsWithLease,
//     TestExtraIsDroppedIfLeaseEndedBeforeResponse, TestExtraEndsWithLeaseAfterClockBack).
//   - tokens is between 0 and the bucket's size (TestBucketNeverOverfull).
type tokenBucket struct {
	Grant
	leaseEnd   monotime.Micros
	tokens     int64           // micro-units
	refilledAt monotime.Micros // time up to which tokens has been refilled
	drawn      int64           // units acquired, without those refunded
	denied     int64           // units
	refunded   int64           // units that were returned and not yet acquired again
}

// tryAcquire takes one unit and returns true, or returns false if the bucket holds less than one.
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

// refund puts back one acquired unit, up to the size of the bucket.
func (b *tokenBucket) refund(now monotime.Micros) {
	b.refill(now)
	if b.refunded < b.drawn {
		b.refunded++
		b.tokens = min(b.tokens+microUnits, bucketSize(b.Floor+b.Extra))
	}
}

// refill adds the tokens due at now, at the rate of floor and extra during the lease and of the floor alone after it.
// The bucket shrinks when the lease ends, so that tokens in excess of the floor's bucket expire with the extra.
func (b *tokenBucket) refill(now monotime.Micros) {
	if now <= b.refilledAt {
		return
	}
	if b.Extra > 0 && now >= b.leaseEnd {
		b.refillAt(b.leaseEnd, b.Floor+b.Extra)
		b.Extra = 0
	}
	b.refillAt(now, b.Floor+b.Extra)
}

// refillAt adds the tokens that a rate yields up to a time. If that would fill the bucket, they are not computed, so
// that a long pause cannot overflow.
func (b *tokenBucket) refillAt(to monotime.Micros, rate int64) {
	size := bucketSize(rate)
	if elapsed := int64(to - b.refilledAt); rate == 0 || elapsed > size/rate {
		b.tokens = size
	} else {
		b.tokens = min(size, b.tokens+elapsed*rate)
	}
	b.refilledAt = to
}

// applyGrant replaces the grant. Tokens that the previous grant has yielded are kept, up to the size of the new bucket.
func (b *tokenBucket) applyGrant(now monotime.Micros, grant Grant, leaseEnd monotime.Micros) {
	b.refill(now)
	if leaseEnd <= now {
		grant.Extra = 0 // the lease expired before the response arrived
	}
	b.Grant = grant
	b.leaseEnd = leaseEnd
	b.refilledAt = now
	b.tokens = min(b.tokens, bucketSize(grant.Floor+grant.Extra))
}

// release ends the grant, so that nothing can be acquired.
func (b *tokenBucket) release(now monotime.Micros) {
	b.Floor = 0
	b.Extra = 0
	b.tokens = 0
	b.leaseEnd = now
}

// status returns the state of the budget at now.
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

// bucketSize returns the size in micro-units of a bucket with that rate, 0 if the rate is 0.
func bucketSize(rate int64) int64 {
	if rate == 0 {
		return 0
	}
	return max(minBurstUnits*microUnits, rate*int64(burst))
}

// BurstUnits returns how many units a holder may acquire, during any time, in excess of what its rate yields in that
// time: the size of its bucket, rounded up.
func BurstUnits(rate int64) int64 { return (bucketSize(rate) + microUnits - 1) / microUnits }
