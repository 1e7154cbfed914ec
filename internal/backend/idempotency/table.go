// Package idempotency is the cache of results by idempotency key. It stores invocations and how their runs ended, so
// that a repeat is answered with the result of its original. It decides nothing and has no clock.
//
// Invariants, which TestTableMatchesModel holds for any order of calls unless another test is named:
//   - usedBytes is the sum over all entries, and at most maxBytes; see also TestCapacityIsInBytes.
//   - Each entry stands in byKey and byID.
//   - An entry whose run has ended has no waiters, and each waiter is returned once.
//   - An expired entry is not found, and is stored until no repeat that arrived in time can be unread:
//     TestRepeatArrivedInTimeIsFoundUntilEviction.
package idempotency

import (
	"slices"

	"milletbarrow/monotime"
)

// Key identifies the attempts of one operation. It contains the tenant, so that no tenant is answered with another's
// result.
type Key struct {
	Operation int    // index into the settings' operations
	Tenant    int    // index into the settings' tenants
	Token     string // the idempotency key that the caller sent
}

// entryBytes estimates the memory of an entry without its result: two places in maps, its strings, and its waiters.
const entryBytes = 1 << 10

// Table is a cache of bounded size. Remember may be called only while HasCapacity returns true. A Table is not safe for
// concurrent use.
type Table struct {
	maxBytes     int
	maxResult    int // bytes of the longest result
	usedBytes    int // what entries occupy or, until their runs have ended, reserve
	byKey        map[Key]*entry
	byID         map[string]*entry // by ID of the invocation
	lastEviction monotime.Micros   // 0: never
}

// entry is a cached invocation. Until its run has ended, the longest result's bytes are reserved for it.
type entry struct {
	id        string
	key       Key
	expiresAt monotime.Micros // a request with the same key that arrives later is no repeat
	completed bool            // its run has ended
	succeeded bool
	result    []byte   // nil unless it succeeded
	waiters   []string // IDs of repeats that wait for its run to end
}

// New returns a table of at most maxBytes, for results of at most maxResult bytes. The IDs passed to its methods are
// those of invocations; an ID must not be added twice.
func New(maxBytes, maxResult int) *Table {
	return &Table{
		maxBytes:  maxBytes,
		maxResult: maxResult,
		byKey:     map[Key]*entry{},
		byID:      map[string]*entry{},
	}
}

// HasCapacity reports whether one more invocation can be added.
func (t *Table) HasCapacity() bool { return t.usedBytes+entryBytes+t.maxResult <= t.maxBytes }

// Contains reports whether the invocation with that ID is cached.
func (t *Table) Contains(id string) bool { return t.byID[id] != nil }

// Len returns the number of cached invocations.
func (t *Table) Len() int { return len(t.byID) }

// Find returns the ID of the original of a request with this key that reached the host at arrivedAt; "" if there is
// none.
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

// Forget removes an invocation that never ran, and returns the IDs of the repeats that waited for it.
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

// Complete stores how the run of an invocation ended and returns the IDs of the repeats that waited for it. The
// result is not copied; the result of a run that failed is dropped.
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

// AddWaiter adds a repeat to those that wait for the run of their original to end. completed reports that the run has
// ended, or the original is not cached: the repeat was not added.
func (t *Table) AddWaiter(id, repeat string) (completed bool) {
	e := t.byID[id]
	if e == nil || e.completed {
		return true
	}
	e.waiters = append(e.waiters, repeat)
	return false
}

// RemoveWaiter removes a repeat that has been answered before its original's run ended.
func (t *Table) RemoveWaiter(id, repeat string) {
	if e := t.byID[id]; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(r string) bool { return r == repeat })
	}
}

// Result returns the result of an invocation. ok reports whether its run succeeded, remembered whether the invocation
// is cached at all.
func (t *Table) Result(id string) (result []byte, ok, remembered bool) {
	e := t.byID[id]
	if e == nil {
		return nil, false, false
	}
	return e.result, e.succeeded, true
}

// EvictExpired removes invocations that no request read from now on can repeat: a request read now reached the host
// at most maxQueueTime ago. It removes those whose run has not ended too. A call within interval of the last eviction
// does nothing.
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
