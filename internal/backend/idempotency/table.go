// Package idempotency is a cache of results by idempotency key. It stores invocations and the outcomes of their runs,
// so that a repeat can be answered with the result of its original. It makes no admission decisions and reads no clock.
//
// Invariants, checked for any order of calls by TestTableMatchesModel unless another test is named:
//   - usedBytes is the sum over all entries, and at most maxBytes; see also TestCapacityIsInBytes.
//   - Each entry is indexed by both byKey and byID.
//   - An entry whose run has ended has no waiters, and each waiter is returned once.
//   - A request that arrives after the expiry of an entry does not find it. The entry stays cached until no request
//     that arrived before the expiry can still be unread: TestRepeatArrivedInTimeIsFoundUntilEviction.
package idempotency

import (
	"slices"

	"milletbarrow/monotime"
)

// Key identifies all attempts of one request. It includes the tenant, so that no tenant is answered with the result of
// another.
type Key struct {
	Operation int    // index into the settings' operations
	Tenant    int    // index into the settings' tenants
	Token     string // the idempotency key that the caller sent
}

// entryBytes is an estimate of the memory of an entry without its result: two map slots, its strings and its waiters.
const entryBytes = 1 << 10

// Table is a cache of bounded size. Remember may be called only while HasCapacity returns true. It is not safe for
// concurrent use.
type Table struct {
	maxBytes     int
	maxResult    int // largest size of a result in bytes
	usedBytes    int // occupied by entries, including what they reserve until their runs have ended
	byKey        map[Key]*entry
	byID         map[string]*entry // by ID of the invocation
	lastEviction monotime.Micros   // time of the last eviction; 0: none
}

// entry is a cached invocation. Until its run has ended, it reserves maxResult bytes for the result.
type entry struct {
	id        string
	key       Key
	expiresAt monotime.Micros // a request with the same key that arrives later is not a repeat
	completed bool            // the run has ended
	succeeded bool
	result    []byte   // nil unless the run succeeded
	waiters   []string // IDs of repeats that wait for the run to end
}

// New returns a table of at most maxBytes, for results of at most maxResult bytes. The IDs passed to its methods are
// IDs of invocations; an ID must not be added twice.
func New(maxBytes, maxResult int) *Table {
	return &Table{
		maxBytes:  maxBytes,
		maxResult: maxResult,
		byKey:     map[Key]*entry{},
		byID:      map[string]*entry{},
	}
}

// HasCapacity reports whether one more invocation, with a result of the largest size, can be added.
func (t *Table) HasCapacity() bool { return t.usedBytes+entryBytes+t.maxResult <= t.maxBytes }

// Contains reports whether the invocation with an ID is cached.
func (t *Table) Contains(id string) bool { return t.byID[id] != nil }

// Len returns the number of cached invocations.
func (t *Table) Len() int { return len(t.byID) }

// Find returns the ID of the original of a request with key that reached the host at arrivedAt, or "" if there is none.
func (t *Table) Find(key Key, arrivedAt monotime.Micros) string {
	if e := t.byKey[key]; e != nil && arrivedAt <= e.expiresAt {
		return e.id
	}
	return ""
}

// Remember adds an invocation. It replaces an expired one with the same key.
func (t *Table) Remember(id string, key Key, expiresAt monotime.Micros) {
	if old := t.byKey[key]; old != nil {
		t.remove(old)
	}
	e := &entry{id: id, key: key, expiresAt: expiresAt}
	t.byKey[key] = e
	t.byID[id] = e
	t.usedBytes += entryBytes + t.maxResult
}

// Forget removes an invocation that never ran and returns the IDs of the repeats that waited for it.
func (t *Table) Forget(id string) (waiters []string) {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	t.remove(e)
	return e.waiters
}

// remove deletes an entry and releases its bytes.
func (t *Table) remove(e *entry) {
	delete(t.byID, e.id)
	delete(t.byKey, e.key)
	t.usedBytes -= entryBytes + len(e.result)
	if !e.completed {
		t.usedBytes -= t.maxResult
	}
}

// Complete stores the outcome of the run of an invocation and returns the IDs of the repeats that waited for it. It
// does not copy the result, and drops that of a failed run.
func (t *Table) Complete(id string, succeeded bool, result []byte) (waiters []string) {
	e := t.byID[id]
	if e == nil || e.completed {
		return nil
	}
	e.completed = true
	e.succeeded = succeeded
	t.usedBytes -= t.maxResult
	if succeeded {
		e.result = result
		t.usedBytes += len(result)
	}
	waiters = e.waiters
	e.waiters = nil
	return waiters
}

// AddWaiter adds a repeat to the waiters of its original, the invocation with that ID. If completed is true, the repeat
// was not added, because the run has ended or the original is not cached.
func (t *Table) AddWaiter(id, repeat string) (completed bool) {
	e := t.byID[id]
	if e == nil || e.completed {
		return true
	}
	e.waiters = append(e.waiters, repeat)
	return false
}

// RemoveWaiter removes a repeat that was answered before the run of its original ended.
func (t *Table) RemoveWaiter(id, repeat string) {
	if e := t.byID[id]; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(r string) bool { return r == repeat })
	}
}

// Result returns the result of an invocation. succeeded reports whether its run succeeded, and cached whether the
// invocation is cached at all.
func (t *Table) Result(id string) (result []byte, succeeded, cached bool) {
	e := t.byID[id]
	if e == nil {
		return nil, false, false
	}
	return e.result, e.succeeded, true
}

// EvictExpired removes the invocations that no request read from now on can repeat, given that such a request reached
// the host at most maxQueueTime ago. It also removes those whose runs have not ended. A call within interval of the
// previous eviction does nothing.
func (t *Table) EvictExpired(now, maxQueueTime, interval monotime.Micros) {
	if now < t.lastEviction+interval {
		return
	}
	t.lastEviction = now
	for _, e := range t.byID {
		if now > e.expiresAt+maxQueueTime {
			t.remove(e)
		}
	}
}
