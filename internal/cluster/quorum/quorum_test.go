package quorum

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestForgotten plays a group's log: entries are committed by halves, then one member is set back and judges. Whatever
// it forgot, it must know that it is behind.
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
			half := rapid.Permutation(seq(n)).Draw(t, "half")[:n/2+1]
			for _, m := range half {
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
		var told []LogPosition
		for _, m := range others[:heard] {
			told = append(told, logs[m])
		}
		f := Assess(logs[me], told)
		if isBehind(copied.LogTerm, copied.Index, committed) && !f.Behind {
			t.Fatalf("has %+v, %+v was committed, and thinks itself fit: %+v", copied, committed, f)
		}
		if f.Bootstrap && committed.Index > 0 {
			t.Fatal("begins a group anew that has committed")
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

func TestNext(t *testing.T) {
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
		t.Fatal("groups are judged wrongly")
	}
}
