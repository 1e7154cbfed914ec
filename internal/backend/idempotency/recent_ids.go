package idempotency

import "milletbarrow/monotime"

// RecentIDs is a bounded set of IDs of invocations that ran. Each ID is kept for at least the retention time and at
// most twice as long. It is not safe for concurrent use.
//
// The IDs are in two generations. The older one is dropped as a whole, so that no ID has to be expired by itself.
type RecentIDs struct {
	capacity  int
	retention monotime.Micros
	newer     map[string]struct{}
	older     map[string]struct{}
	newerFrom monotime.Micros // when newer became the newer generation
}

// NewRecentIDs returns an empty set of at most capacity IDs.
func NewRecentIDs(capacity int, retention monotime.Micros) *RecentIDs {
	return &RecentIDs{capacity: capacity, retention: retention, newer: map[string]struct{}{}}
}

// HasCapacity reports whether one more ID can be added after pending others.
func (r *RecentIDs) HasCapacity(now monotime.Micros, pending int) bool {
	r.expire(now)
	return len(r.newer)+len(r.older)+pending < r.capacity
}

// Add adds an ID. It may be called only if HasCapacity has allowed for the ID.
func (r *RecentIDs) Add(now monotime.Micros, id string) {
	r.expire(now)
	r.newer[id] = struct{}{}
}

// Contains reports whether an ID was added within the retention time.
func (r *RecentIDs) Contains(now monotime.Micros, id string) bool {
	r.expire(now)
	if _, ok := r.newer[id]; ok {
		return true
	}
	_, ok := r.older[id]
	return ok
}

// expire drops the generations whose IDs were all added longer ago than the retention time.
func (r *RecentIDs) expire(now monotime.Micros) {
	if now < r.newerFrom+r.retention {
		return
	}
	r.older = r.newer
	r.newer = map[string]struct{}{}
	r.newerFrom += r.retention
	if now >= r.newerFrom+r.retention { // the generation that has become the older one has ended long enough ago, too
		r.older = nil
		r.newerFrom = now
	}
}
