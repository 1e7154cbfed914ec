package idempotency

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"

	"pgregory.net/rapid"
)

// TestTable: whatever comes, in any order, the table stays within its bytes and releases all of them, finds what is
// remembered and nothing else, has each entry under its key, and returns each waiter once, as long as it waits.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type expected struct {
			key   Key
			until monotime.Micros
			ended bool
			waits map[string]bool
		}
		const late = 50
		table := New(10*entryBytes, entryBytes)
		all := map[string]*expected{}
		now, number := monotime.Micros(0), 0
		ids := func() []string {
			var list []string
			for n := range number {
				if id := fmt.Sprint(n); all[id] != nil {
					list = append(list, id)
				}
			}
			return list
		}
		checkWaiters := func(what string, s *expected, waiting []string) {
			if len(waiting) != len(s.waits) {
				t.Fatalf("%s: %v wait, wanted %v", what, waiting, s.waits)
			}
			for _, w := range waiting {
				if !s.waits[w] {
					t.Fatalf("%s: %s does not wait", what, w)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += monotime.Micros(rapid.IntRange(0, 20).Draw(t, "later"))
			known := ids()
			switch what := rapid.IntRange(0, 5).Draw(t, "what"); {
			case what == 0 && table.HasCapacity():
				k := Key{rapid.IntRange(0, 1).Draw(t, "operation"), rapid.IntRange(0, 1).Draw(t, "tenant"), "x"}
				if found := table.Find(k, now); found != "" {
					if s := all[found]; s == nil || s.key != k || now > s.until {
						t.Fatalf("found %q for %v", found, k)
					}
					continue
				}
				for id, s := range all {
					if s.key == k {
						if now <= s.until {
							t.Fatalf("%s is remembered and not found", id)
						}
						delete(all, id) // another takes its place
					}
				}
				id := fmt.Sprint(number)
				number++
				all[id] = &expected{key: k, until: now + 100, waits: map[string]bool{}}
				table.Remember(id, k, now+100)
			case what == 1 && len(known) > 0:
				id := rapid.SampledFrom(known).Draw(t, "ended")
				s, ok := all[id], rapid.Bool().Draw(t, "ok")
				first := !s.ended
				waiting := table.Complete(id, ok, make([]byte, rapid.IntRange(0, entryBytes).Draw(t, "bytes")))
				checkWaiters("ended", s, waiting)
				s.ended, s.waits = true, map[string]bool{}
				if _, has, ran := table.Result(id); first && has != ok || !ran {
					t.Fatalf("a result %t of a run that succeeded %t", has, ok)
				}
			case what == 2 && len(known) > 0:
				id := rapid.SampledFrom(known).Draw(t, "forgotten")
				checkWaiters("forgotten", all[id], table.Forget(id))
				delete(all, id)
			case what == 3 && len(known) > 0:
				id, repeat := rapid.SampledFrom(known).Draw(t, "repeated"), fmt.Sprint("r", number)
				number++
				if ended := table.AddWaiter(id, repeat); ended != all[id].ended {
					t.Fatalf("waits %t for one that ended %t", !ended, all[id].ended)
				} else if !ended {
					all[id].waits[repeat] = true
				}
			case what == 4 && len(known) > 0:
				id := rapid.SampledFrom(known).Draw(t, "of")
				for w := range all[id].waits {
					table.RemoveWaiter(id, w)
					delete(all[id].waits, w)
					break
				}
			case what == 5:
				table.EvictExpired(now, late, 0)
				for id, s := range all {
					if now > s.until+late {
						delete(all, id)
					}
				}
			}
			if table.usedBytes > 10*entryBytes || table.usedBytes < 0 || table.Len() != len(all) {
				t.Fatalf("%d bytes, %d remembered, wanted %d", table.usedBytes, table.Len(), len(all))
			}
			for id, e := range table.byID {
				if table.byKey[e.key] != e || len(table.byKey) != len(table.byID) {
					t.Fatalf("%s is not the entry under its key; %d keys, %d remembered", id, len(table.byKey), len(table.byID))
				}
			}
		}
		table.EvictExpired(now+1000, 0, 0)
		if table.usedBytes != 0 || table.Len() != 0 || len(table.byKey) != 0 {
			t.Fatalf("left over: %d bytes, %d remembered, %d keys", table.usedBytes, table.Len(), len(table.byKey))
		}
	})
}

// TestLateRepeat: a repeat that reached the machine within the time and is read after it is known all the same, until none
// can be read any more.
func TestLateRepeat(t *testing.T) {
	table, k := New(1<<20, 100), Key{Token: "x"}
	table.Remember("a", k, 100)
	table.EvictExpired(140, 50, 0)
	if table.Find(k, 100) != "a" || table.Find(k, 101) != "" {
		t.Error("the time is counted from the arrival")
	}
	if table.EvictExpired(151, 50, 0); table.Len() != 0 {
		t.Error("it is remembered though no repeat can refer to it")
	}
}

// TestCapacity: an entry needs its own bytes and those of the longest result; an end returns what its result does not take.
func TestCapacity(t *testing.T) {
	const longest = 100
	for _, c := range []struct {
		maxBytes int
		want     int
	}{{2*(entryBytes+longest) - 1, 1}, {2 * (entryBytes + longest), 2}} {
		table, n := New(c.maxBytes, longest), 0
		for ; table.HasCapacity(); n++ {
			table.Remember(fmt.Sprint(n), Key{Token: fmt.Sprint(n)}, 0)
		}
		if n != c.want {
			t.Errorf("%d entries in %d bytes, want %d", n, c.maxBytes, c.want)
		}
	}
	for succeeded, want := range map[bool]int{true: entryBytes + longest/2, false: entryBytes} {
		table := New(1<<20, longest)
		table.Remember("a", Key{}, 0)
		table.Complete("a", succeeded, make([]byte, longest/2))
		result, ok, remembered := table.Result("a")
		if table.usedBytes != want || ok != succeeded || (result != nil) != succeeded || !remembered {
			t.Errorf("succeeded %t: %d bytes, want %d; result %v %t %t", succeeded, table.usedBytes, want, result, ok, remembered)
		}
	}
}

// TestEvictionInterval: entries are looked through at most once an interval.
func TestEvictionInterval(t *testing.T) {
	table := New(1<<20, 100)
	table.EvictExpired(1000, 0, 100)
	table.Remember("a", Key{}, 1000)
	if table.EvictExpired(1099, 0, 100); table.Len() != 1 {
		t.Error("evicted within the interval")
	}
	if table.EvictExpired(1100, 0, 100); table.Len() != 0 {
		t.Error("not evicted after the interval")
	}
}
