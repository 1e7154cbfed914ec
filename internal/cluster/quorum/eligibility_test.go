package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func TestLogsAreComparedByTermThenIndex(t *testing.T) {
	required := Eligibility{RequiredLog: LogPosition{Term: 5, LogTerm: 3, Index: 7}}
	for _, test := range []struct {
		term, index uint64
		want        bool
	}{
		{2, 100, false},
		{3, 6, false},
		{3, 7, true},
		{3, 8, true},
		{4, 1, true},
	} {
		t.Run(fmt.Sprintf("entry %d of term %d", test.index, test.term), func(t *testing.T) {
			if got := required.Satisfied(test.term, test.index); got != test.want {
				t.Errorf("satisfied: %v, want %v", got, test.want)
			}
		})
	}
}

func TestMemberIsBehindALongerOrNewerLog(t *testing.T) {
	other := LogPosition{Term: 5, LogTerm: 3, Index: 7}
	for _, test := range []struct {
		name string
		own  LogPosition
		want bool
	}{
		{"lacks the last entry of its own term", LogPosition{Term: 5, LogTerm: 3, Index: 6}, true},
		{"shorter log of a newer term", LogPosition{Term: 5, LogTerm: 4, Index: 2}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Assess(test.own, []LogPosition{other}).Behind; got != test.want {
				t.Errorf("behind: %v, want %v", got, test.want)
			}
		})
	}
}

func TestResponsesFromHalfTheGroupAreEnough(t *testing.T) {
	for _, test := range []struct {
		groupSize, responses int
		want                 bool
	}{
		{1, 0, true},
		{3, 1, false},
		{3, 2, true},
	} {
		t.Run(fmt.Sprintf("%d responses in a group of %d", test.responses, test.groupSize), func(t *testing.T) {
			if got := EnoughResponses(test.groupSize, test.responses); got != test.want {
				t.Errorf("enough: %v, want %v", got, test.want)
			}
		})
	}
}

func TestMemberThatVotedIsNotEmpty(t *testing.T) {
	if (LogPosition{Term: 1}).Empty() {
		t.Error("a member with a term and no log entry is empty")
	}
	if !(LogPosition{}).Empty() {
		t.Error("a new member is not empty")
	}
}

// TestLostEntriesAreDetected simulates the logs of a group: random majorities commit entries, then member 0 restarts
// from an older copy of its data directory.
func TestLostEntriesAreDetected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groupSize := rapid.IntRange(3, 7).Draw(t, "group size")
		logs := make([]LogPosition, groupSize)
		var restored, committed LogPosition // restored is the older copy of member 0's log
		term := uint64(1)
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			if rapid.IntRange(0, 3).Draw(t, "election") == 0 {
				term++
			}
			committed = LogPosition{Term: term, Index: uint64(step + 1), LogTerm: term}
			majority := rapid.Permutation(integers(0, groupSize)).Draw(t, "majority")[:groupSize/2+1]
			for _, member := range majority {
				logs[member] = committed
			}
			if rapid.IntRange(0, 3).Draw(t, "copy") == 0 {
				restored = logs[0]
			}
		}
		others := rapid.Permutation(integers(1, groupSize)).Draw(t, "others")
		responses := rapid.IntRange(0, groupSize-1).Draw(t, "responses")
		if !EnoughResponses(groupSize, responses) {
			return
		}
		var positions []LogPosition
		for _, member := range others[:responses] {
			positions = append(positions, logs[member])
		}
		eligibility := Assess(restored, positions)
		if isBehind(restored.LogTerm, restored.Index, committed) && !eligibility.Behind {
			t.Fatalf("the log ends at %+v although %+v was committed, but is not behind: %+v",
				restored, committed, eligibility)
		}
		if eligibility.Bootstrap && committed.Index > 0 {
			t.Fatal("may bootstrap a group that has committed entries")
		}
		if eligibility.AdoptTerm < committed.Term && restored.Term < committed.Term {
			t.Fatalf("term %d was reached, but the member adopts only term %d", committed.Term, eligibility.AdoptTerm)
		}
	})
}

// integers returns the integers from first to end, excluding end.
func integers(first, end int) []int {
	all := make([]int, 0, end-first)
	for i := first; i < end; i++ {
		all = append(all, i)
	}
	return all
}
