// Package idempotency has the invocations of tokened operations that are remembered, by the token that names their repeats, and
// what became of them, so that a repeat can be answered with it. It decides nothing and has no clock and no lock.
package idempotency

import (
	"slices"

	"milletbarrow/admission"
)

// Micros is a point or a span of time, by the clock of whoever calls.
type Micros = admission.Micros

// Key is what two tries of one piece of work have in common. The tenant is part of it: no tenant may be answered with
// another's result, whatever token it sends.
type Key struct {
	Operation, Tenant int
	Token             string
}

// overhead is about what an entry takes besides its result: two places in maps, its texts, and those of who waits.
const overhead = 1 << 10

// Table holds at most so many bytes; whoever would go beyond them has to ask HasCapacity first.
type Table struct {
	room, result int // bytes in all, and of the longest result
	used         int
	byKey        map[Key]*entry
	byID         map[string]*entry
	swept        Micros
}

// entry is one that is remembered. Until its run has ended it has the room of the longest result set aside.
type entry struct {
	id      string
	key     Key
	until   Micros // a repeat that reaches the machine later is new work
	ended   bool
	ok      bool
	result  []byte
	waiting []string // repeats that are to have what it brings
}

// New makes a table of so many bytes, for results of at most so many. Ids are those of invocations: of two that bear one
// id, the second must not come here.
func New(room, result int) *Table {
	return &Table{room: room, result: result, byKey: map[Key]*entry{}, byID: map[string]*entry{}}
}

// HasCapacity tells whether one more can be remembered.
func (t *Table) HasCapacity() bool { return t.used+overhead+t.result <= t.room }

// Contains tells whether the invocation of that id is remembered.
func (t *Table) Contains(id string) bool { return t.byID[id] != nil }

// Len is how many are remembered.
func (t *Table) Len() int { return len(t.byID) }

// Find names the remembered invocation that one of this key repeats which reached the machine at that time; "" if there
// is none.
func (t *Table) Find(k Key, at Micros) string {
	if e := t.byKey[k]; e != nil && at <= e.until {
		return e.id
	}
	return ""
}

// Remember keeps an invocation. It takes the place of one of the same key whose time was over.
func (t *Table) Remember(id string, k Key, until Micros) {
	if old := t.byKey[k]; old != nil {
		t.remove(old)
	}
	e := &entry{id: id, key: k, until: until}
	t.byKey[k], t.byID[id] = e, e
	t.used += overhead + t.result
}

// Forget lets go of one that never ran, and returns who waited for it.
func (t *Table) Forget(id string) (waiting []string) {
	e := t.byID[id]
	if e == nil {
		return nil
	}
	t.remove(e)
	return e.waiting
}

func (t *Table) remove(e *entry) {
	delete(t.byID, e.id)
	if t.byKey[e.key] == e {
		delete(t.byKey, e.key)
	}
	t.used -= overhead + len(e.result)
	if !e.ended {
		t.used -= t.result
	}
}

// Complete notes how the run ended and returns who waited for it. The result is kept as it is, not copied.
func (t *Table) Complete(id string, ok bool, result []byte) (waiting []string) {
	e := t.byID[id]
	if e == nil || e.ended {
		return nil
	}
	e.ended, e.ok = true, ok
	t.used -= t.result
	if ok {
		e.result = result
		t.used += len(result)
	}
	waiting, e.waiting = e.waiting, nil
	return waiting
}

// AddWaiter has a repeat wait for the end of the one that it repeats; ended is true if there is nothing to wait for.
func (t *Table) AddWaiter(id, repeat string) (ended bool) {
	e := t.byID[id]
	if e == nil || e.ended {
		return true
	}
	e.waiting = append(e.waiting, repeat)
	return false
}

// RemoveWaiter: that repeat has had its answer.
func (t *Table) RemoveWaiter(id, repeat string) {
	if e := t.byID[id]; e != nil {
		e.waiting = slices.DeleteFunc(e.waiting, func(r string) bool { return r == repeat })
	}
}

// Result is what a repeat is to be answered with; ok is false where there is none to be had, and ran where nothing ran.
func (t *Table) Result(id string) (result []byte, ok, ran bool) {
	e := t.byID[id]
	if e == nil {
		return nil, false, false
	}
	return e.result, e.ended && e.ok, true
}

// EvictExpired forgets what no repeat can ask for any more: one that is read now reached the machine at most so long ago. One
// whose run has not ended goes too, its time is over all the same. It looks at most every so often.
func (t *Table) EvictExpired(now, late, every Micros) {
	if now < t.swept+every {
		return
	}
	t.swept = now
	for _, e := range t.byID {
		if now > e.until+late {
			t.remove(e)
		}
	}
}
