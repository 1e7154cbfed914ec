package quorum

import "testing"

// TestLogOrder: logs are compared by the term of their last entry first, and by its index within one term.
func TestLogOrder(t *testing.T) {
	required := Eligibility{RequiredLog: LogPosition{Term: 5, LogTerm: 3, Index: 7}}
	for _, c := range []struct {
		term, index uint64
		want        bool
	}{{2, 100, false}, {3, 6, false}, {3, 7, true}, {3, 8, true}, {4, 1, true}} {
		if got := required.Satisfied(c.term, c.index); got != c.want {
			t.Errorf("a log that ends with entry %d of term %d: %v, want %v", c.index, c.term, got, c.want)
		}
	}
	f := Assess(LogPosition{Term: 5, LogTerm: 3, Index: 6}, []LogPosition{{Term: 5, LogTerm: 3, Index: 7}})
	if !f.Behind {
		t.Error("a log that lacks the last entry of its own term is not found to be behind")
	}
	f = Assess(LogPosition{Term: 5, LogTerm: 4, Index: 2}, []LogPosition{{Term: 5, LogTerm: 3, Index: 7}})
	if f.Behind {
		t.Error("a log of a newer term is found to be behind one that is only longer")
	}
}

// TestAlone: a group of one asks nobody.
func TestAlone(t *testing.T) {
	if !EnoughResponses(1, 0) || EnoughResponses(3, 1) || !EnoughResponses(3, 2) {
		t.Error("wrong number of responses needed")
	}
}

// TestVoteWithoutLog: a member that voted and has no entry yet has been part of a group.
func TestVoteWithoutLog(t *testing.T) {
	if (LogPosition{Term: 1}).Empty() || !(LogPosition{}).Empty() {
		t.Error("a member that has voted counts as new")
	}
}

// TestNobodyWanted: a configuration that names no member does not take a group apart.
func TestNobodyWanted(t *testing.T) {
	if c := NextChange([]string{"a", "b"}, nil, "a"); c != (Change{}) {
		t.Errorf("next change %+v", c)
	}
}
