// Package idempotency is the cache of results by idempotency key: it holds the invocations that are remembered and how
// they ended, so that a repeat can be answered with the first result. It decides nothing and has no clock and no
// lock: whoever owns a Table calls it from one goroutine at a time.
package idempotency

import (
	"slices"

	"milletbarrow/monotime"
)

// Key identifies the attempts of one operation. The tenant is part of it: no tenant may be answered with another's result,
// whatever token it sends.
type Key struct {
	Operation, Tenant int
	Token             string
}

// entryBytes is about what an entry takes besides its result: two places in maps, its strings, and its waiting repeats.
const entryBytes = 1 << 10

// Table is a cache of bounded size. Remember may be called only while HasCapacity is true.
type Table struct {
	maxBytes, maxResult int
	usedBytes           int
	byKey               map[Key]*entry
	byID                map[string]*entry
	lastEviction        monotime.Micros
}

// entry is a remembered invocation. Until its run has ended the bytes of the longest result are reserved for it.
type entry struct {
	id        string
	key       Key
	expiresAt monotime.Micros // a repeat that reaches the host later is a new invocation
	completed bool
	succeeded bool
	result    []byte
	waiters   []string // IDs of repeats that are to have its result
}

// New makes a table of at most maxBytes, for results of at most maxResult bytes. IDs given to its methods are those of
// invocations; an ID must not be remembered twice.
func New(maxBytes, maxResult int) *Table {
	return &Table{maxBytes: maxBytes, maxResult: maxResult, byKey: map[Key]*entry{}, byID: map[string]*entry{}}
}

// HasCapacity reports whether one more invocation can be remembered.
func (t *Table) HasCapacity() bool { return t.usedBytes+entryBytes+t.maxResult <= t.maxBytes }

// Contains reports whether the invocation with that ID is remembered.
func (t *Table) Contains(id string) bool { return t.byID[id] != nil }

// Len is the number of remembered invocations.
func (t *Table) Len() int { return len(t.byID) }

// Find returns the ID of the remembered invocation that one with this key repeats, if that reached the host at the time
// given; "" if there is none.
func (t *Table) Find(k Key, arrived monotime.Micros) string {
	if e := t.byKey[k]; e != nil && arrived <= e.expiresAt {
		return e.id
	}
	return ""
}

// Remember adds an invocation. It replaces one with the same key that has expired.
func (t *Table) Remember(id string, k Key, expiresAt monotime.Micros) {
	if old := t.byKey[k]; old != nil {
		t.remove(old)
	}
	e := &entry{id: id, key: k, expiresAt: expiresAt}
	t.byKey[k], t.byID[id] = e, e
	t.usedBytes += entryBytes + t.maxResult
}

// Forget removes an invocation that never ran, and returns the repeats that waited for it.
func (t *Table) Forget(id string) (waiters []string) {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	t.remove(e)
	return e.waiters
}

// remove deletes an entry. It is the one under its key: Remember removes the entry that was there before.
func (t *Table) remove(e *entry) {
	delete(t.byID, e.id)
	delete(t.byKey, e.key)
	t.usedBytes -= entryBytes + len(e.result)
	if !e.completed {
		t.usedBytes -= t.maxResult
	}
}

// Complete stores how the run of an invocation ended and returns the repeats that waited for it. The result is not
// copied; that of a run that failed is dropped.
func (t *Table) Complete(id string, succeeded bool, result []byte) (waiters []string) {
	e := t.byID[id]
	if e == nil || e.completed {
		return nil
	}
	e.completed, e.succeeded = true, succeeded
	t.usedBytes -= t.maxResult
	if succeeded {
		e.result = result
		t.usedBytes += len(result)
	}
	waiters, e.waiters = e.waiters, nil
	return waiters
}

// AddWaiter has a repeat wait for the end of the invocation that it repeats; completed is true if there is nothing to
// wait for.
func (t *Table) AddWaiter(id, repeat string) (completed bool) {
	e := t.byID[id]
	if e == nil || e.completed {
		return true
	}
	e.waiters = append(e.waiters, repeat)
	return false
}

// RemoveWaiter removes a repeat that has been answered otherwise.
func (t *Table) RemoveWaiter(id, repeat string) {
	if e := t.byID[id]; e != nil {
		e.waiters = slices.DeleteFunc(e.waiters, func(r string) bool { return r == repeat })
	}
}

// Result returns what a repeat is to be answered with. ok is false if there is no result, remembered if there is no such
// invocation either.
func (t *Table) Result(id string) (result []byte, ok, remembered bool) {
	e := t.byID[id]
	if e == nil {
		return nil, false, false
	}
	return e.result, e.succeeded, true
}

// EvictExpired removes what no repeat can refer to any more: one that is read now reached the host at most maxQueueTime
// ago. An invocation whose run has not ended goes too. Calls that follow another within interval do nothing.
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
