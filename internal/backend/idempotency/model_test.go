package idempotency

import (
	"fmt"

	"pgregory.net/rapid"

	"milletbarrow/monotime"
)

const (
	modelBytes     = 10 * entryBytes
	modelWindow    = 100 // time from an invocation to its expiry, in microseconds
	modelQueueTime = 50  // longest time that a request may be unread, in microseconds
)

// model is a table together with its expected contents.
type model struct {
	*rapid.T

	table   *Table
	entries map[string]*modelEntry // by ID
	now     monotime.Micros
	nextID  int // IDs are consecutive numbers
}

// modelEntry is an invocation that the table is expected to contain.
type modelEntry struct {
	key       Key
	expiresAt monotime.Micros
	completed bool
	waiters   map[string]bool // by ID of the repeat
}

// newModel returns an empty table with its model.
func newModel(t *rapid.T) *model {
	return &model{T: t, table: New(modelBytes, entryBytes), entries: map[string]*modelEntry{}}
}

// step calls a randomly drawn method of the table and checks its result.
func (m *model) step() {
	known := m.ids()
	switch call := rapid.IntRange(0, 5).Draw(m.T, "call"); {
	case call == 0 && m.table.HasCapacity():
		m.findOrRemember()
	case call == 1 && len(known) > 0:
		m.complete(rapid.SampledFrom(known).Draw(m.T, "completed"))
	case call == 2 && len(known) > 0:
		id := rapid.SampledFrom(known).Draw(m.T, "forgotten")
		m.checkWaiters("Forget", m.entries[id], m.table.Forget(id))
		delete(m.entries, id)
	case call == 3 && len(known) > 0:
		m.addWaiter(rapid.SampledFrom(known).Draw(m.T, "repeated"))
	case call == 4 && len(known) > 0:
		m.removeWaiter(rapid.SampledFrom(known).Draw(m.T, "original"))
	case call == 5:
		m.table.EvictExpired(m.now, modelQueueTime, 0)
		for id, e := range m.entries {
			if m.now > e.expiresAt+modelQueueTime {
				delete(m.entries, id)
			}
		}
	}
}

// ids returns the IDs of the expected entries in ascending order.
func (m *model) ids() []string {
	var ids []string
	for n := range m.nextID {
		if id := fmt.Sprint(n); m.entries[id] != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// newID returns an unused ID.
func (m *model) newID() string {
	id := fmt.Sprint(m.nextID)
	m.nextID++
	return id
}

// findOrRemember looks up the original of a request that arrives now, and adds the request if there is none.
func (m *model) findOrRemember() {
	key := Key{
		Operation: rapid.IntRange(0, 1).Draw(m.T, "operation"),
		Tenant:    rapid.IntRange(0, 1).Draw(m.T, "tenant"),
		Token:     "x",
	}
	if found := m.table.Find(key, m.now); found != "" {
		if e := m.entries[found]; e == nil || e.key != key || m.now > e.expiresAt {
			m.Fatalf("Find(%v) = %q, which is expired, not cached or of another key", key, found)
		}
		return
	}
	for id, e := range m.entries {
		if e.key != key {
			continue
		}
		if m.now <= e.expiresAt {
			m.Fatalf("%s is cached and not expired, but was not found", id)
		}
		delete(m.entries, id) // Remember replaces it
	}
	id := m.newID()
	expiresAt := m.now + modelWindow
	m.entries[id] = &modelEntry{key: key, expiresAt: expiresAt, waiters: map[string]bool{}}
	m.table.Remember(id, key, expiresAt)
}

// complete ends the run of an invocation, possibly for the second time.
func (m *model) complete(id string) {
	e := m.entries[id]
	succeeded := rapid.Bool().Draw(m.T, "succeeded")
	first := !e.completed
	waiters := m.table.Complete(id, succeeded, make([]byte, rapid.IntRange(0, entryBytes).Draw(m.T, "bytes")))
	m.checkWaiters("Complete", e, waiters)
	e.completed = true
	e.waiters = map[string]bool{}
	if _, ok, cached := m.table.Result(id); first && ok != succeeded || !cached {
		m.Fatalf("Result: succeeded %t, cached %t; want %t, true", ok, cached, succeeded)
	}
}

// addWaiter adds a new repeat of an invocation.
func (m *model) addWaiter(id string) {
	e := m.entries[id]
	repeat := "r" + m.newID()
	completed := m.table.AddWaiter(id, repeat)
	if completed != e.completed {
		m.Fatalf("AddWaiter: completed %t, want %t", completed, e.completed)
	}
	if !completed {
		e.waiters[repeat] = true
	}
}

// removeWaiter removes one waiter of an invocation, if it has any.
func (m *model) removeWaiter(id string) {
	for waiter := range m.entries[id].waiters {
		m.table.RemoveWaiter(id, waiter)
		delete(m.entries[id].waiters, waiter)
		break
	}
}

// checkWaiters checks that a method returned exactly the expected waiters of an entry.
func (m *model) checkWaiters(method string, e *modelEntry, waiters []string) {
	if len(waiters) != len(e.waiters) {
		m.Fatalf("%s returned the waiters %v, want %v", method, waiters, e.waiters)
	}
	for _, waiter := range waiters {
		if !e.waiters[waiter] {
			m.Fatalf("%s returned the waiter %s, want %v", method, waiter, e.waiters)
		}
	}
}

// checkTable checks the invariants of the table.
func (m *model) checkTable() {
	table := m.table
	if table.usedBytes > modelBytes || table.usedBytes < 0 || table.Len() != len(m.entries) {
		m.Fatalf("%d of %d bytes used by %d entries, want %d entries",
			table.usedBytes, modelBytes, table.Len(), len(m.entries))
	}
	if len(table.byKey) != len(table.byID) {
		m.Fatalf("%d keys, but %d IDs", len(table.byKey), len(table.byID))
	}
	for id, e := range table.byID {
		if table.byKey[e.key] != e {
			m.Fatalf("entry %s is not the one under its key %v", id, e.key)
		}
	}
}
