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
		logs := make([]Standing, n)
		me, copied := 0, Standing{}
		committed := Standing{}
		term := uint64(1)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "election") == 0 {
				term++
			}
			entry := Standing{term, uint64(step + 1), term}
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
		if !Heard(n, heard) {
			return
		}
		var told []Standing
		for _, m := range others[:heard] {
			told = append(told, logs[m])
		}
		f := Judge(logs[me], told)
		if behind(copied.LogTerm, copied.Index, committed) && !f.Behind {
			t.Fatalf("has %+v, %+v was committed, and thinks itself fit: %+v", copied, committed, f)
		}
		if f.Bootstrap && committed.Index > 0 {
			t.Fatal("begins a group anew that has committed")
		}
		if f.Term < committed.Term && copied.Term < committed.Term {
			t.Fatalf("term %d was reached, may vote in %d", committed.Term, f.Term)
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
		c := Next(has, wanted, "a")
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
	if Set([]string{"a", "b"}) == nil || Set([]string{"a", "b", "a"}) == nil || Set([]string{"a"}) != nil {
		t.Fatal("groups are judged wrongly")
	}
}
