package quorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestForgotten simulates a group's log: entries are committed by majorities, then one member is set back to an older copy.
// Whatever it lost, it must find out that it is behind.
func TestForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(t, "members")
		logs := make([]LogPosition, n)
		me, copied := 0, LogPosition{}
		committed := LogPosition{}
		term := uint64(1)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "election") == 0 {
				term++
			}
			entry := LogPosition{term, uint64(step + 1), term}
			majority := rapid.Permutation(seq(n)).Draw(t, "majority")[:n/2+1]
			for _, m := range majority {
				logs[m] = entry
			}
			committed = entry
			if rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
				copied = logs[me]
			}
		}
		logs[me] = copied
		others := rapid.Permutation(seq(n)[1:]).Draw(t, "heard")
		heard := rapid.IntRange(0, n-1).Draw(t, "answers")
		if !EnoughResponses(n, heard) {
			return
		}
		var positions []LogPosition
		for _, m := range others[:heard] {
			positions = append(positions, logs[m])
		}
		f := Assess(logs[me], positions)
		if isBehind(copied.LogTerm, copied.Index, committed) && !f.Behind {
			t.Fatalf("has %+v, %+v was committed, and it counts as complete: %+v", copied, committed, f)
		}
		if f.Bootstrap && committed.Index > 0 {
			t.Fatal("bootstraps a group that has committed entries")
		}
		if f.AdoptTerm < committed.Term && copied.Term < committed.Term {
			t.Fatalf("term %d was reached, may vote in %d", committed.Term, f.AdoptTerm)
		}
	})
}

func seq(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// TestNextChange: additions come first, the leader is removed last.
func TestNextChange(t *testing.T) {
	has, wanted := []string{"a", "b", "c"}, []string{"c", "d", "e"}
	var steps []Change
	for range 9 {
		c := NextChange(has, wanted, "a")
		if c == (Change{}) {
			break
		}
		steps = append(steps, c)
		if c.Add != "" {
			has = append(has, c.Add)
		}
		has = slices.DeleteFunc(has, func(m string) bool { return m == c.Remove })
	}
	want := []Change{{Add: "d"}, {Add: "e"}, {Remove: "b"}, {Remove: "a"}}
	if !slices.Equal(steps, want) {
		t.Fatalf("steps %v, wanted %v", steps, want)
	}
	if ValidateMembers([]string{"a", "b"}) == nil || ValidateMembers([]string{"a", "b", "a"}) == nil || ValidateMembers([]string{"a"}) != nil {
		t.Fatal("groups are validated wrongly")
	}
}
