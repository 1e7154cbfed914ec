package idempotency

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestTable: whatever comes, in any order, the table stays within its bytes and lets go of all of them, finds what is
// remembered and nothing else, and names each who waits once, for as long as it waits.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type shadow struct {
			key   Key
			until Micros
			ended bool
			waits map[string]bool
		}
		const late = 50
		table := New(10*overhead, overhead)
		all := map[string]*shadow{}
		now, number := Micros(0), 0
		ids := func() []string {
			var list []string
			for n := range number {
				if id := fmt.Sprint(n); all[id] != nil {
					list = append(list, id)
				}
			}
			return list
		}
		named := func(what string, s *shadow, waiting []string) {
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
			now += Micros(rapid.IntRange(0, 20).Draw(t, "later"))
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
				all[id] = &shadow{key: k, until: now + 100, waits: map[string]bool{}}
				table.Remember(id, k, now+100)
			case what == 1 && len(known) > 0:
				id := rapid.SampledFrom(known).Draw(t, "ended")
				s, ok := all[id], rapid.Bool().Draw(t, "ok")
				first := !s.ended
				waiting := table.Complete(id, ok, make([]byte, rapid.IntRange(0, overhead).Draw(t, "bytes")))
				named("ended", s, waiting)
				s.ended, s.waits = true, map[string]bool{}
				if _, has, ran := table.Result(id); first && has != ok || !ran {
					t.Fatalf("a result %t of a run that succeeded %t", has, ok)
				}
			case what == 2 && len(known) > 0:
				id := rapid.SampledFrom(known).Draw(t, "forgotten")
				named("forgotten", all[id], table.Forget(id))
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
			if table.used > 10*overhead || table.used < 0 || table.Len() != len(all) {
				t.Fatalf("%d bytes, %d remembered, wanted %d", table.used, table.Len(), len(all))
			}
		}
		table.EvictExpired(now+1000, 0, 0)
		if table.used != 0 || table.Len() != 0 || len(table.byKey) != 0 {
			t.Fatalf("left over: %d bytes, %d remembered, %d keys", table.used, table.Len(), len(table.byKey))
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
		t.Error("nothing can ask for it")
	}
}
