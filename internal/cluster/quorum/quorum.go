// Package quorum decides what a member of the quota store's group may do after its process has restarted, when its
// directory may be an older copy that lacks votes and log entries. It also decides in which order the members of a
// group are changed. It does no I/O and reads no clock. The consensus library does the replication itself.
//
// What one member lost, others still have: a quorum of the group commits each entry and elects each leader. A member
// that hears from enough others, so that one of them was in each quorum that it took part in, learns of a term and a
// log that cover what it may have lost. Until its own log reaches that far it does not stand for election, and votes
// only for candidates whose log does. In that term it votes for nobody, as it may have voted already.
//
// Invariants:
//   - A member that lost a committed entry is behind, and never bootstraps a group that has committed entries
//     (TestLostEntriesAreDetected).
//   - A member that lost its vote adopts a term in which its vote is used up (TestLostEntriesAreDetected).
//   - A group changes by one member at a time and is never smaller in between than before and after
//     (TestAdditionsComeFirstAndTheLeaderIsRemovedLast).
package quorum

// LogPosition is a member's stored term and the end of its log. The zero value is that of a new member.
type LogPosition struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`    // of the last log entry; 0: the log is empty
	LogTerm uint64 `json:"log_term"` // of the last log entry; 0: the log is empty
}

// Empty reports whether the member has never been part of a group.
func (p LogPosition) Empty() bool { return p.Term == 0 && p.Index == 0 }

// isBehind reports whether a log that ends with the given entry lacks an entry that another log has.
func isBehind(term, index uint64, other LogPosition) bool {
	return term < other.LogTerm || term == other.LogTerm && index < other.Index
}

// EnoughResponses reports whether a member has heard from enough others of its group to assess its own log: at least
// half of the group, so that one of them was in each quorum that the member was in itself.
func EnoughResponses(groupSize, responses int) bool {
	silent := groupSize - responses // with the member itself
	return groupSize == 1 || responses >= silent
}

// Eligibility is what a member may do after a restart.
type Eligibility struct {
	Bootstrap   bool        // no member has a log: the group begins
	AdoptTerm   uint64      // term to adopt with its vote used up; 0: the member keeps its own
	RequiredLog LogPosition // the member's log has to reach this before it takes part in elections
	Behind      bool        // the member's log does not reach RequiredLog yet
}

// Assess returns what a member may do, from its own log position and those of enough others.
func Assess(own LogPosition, others []LogPosition) Eligibility {
	eligibility := Eligibility{Bootstrap: own.Empty()}
	for _, other := range others {
		if !other.Empty() {
			eligibility.Bootstrap = false
		}
		if other.Term > own.Term {
			eligibility.AdoptTerm = max(eligibility.AdoptTerm, other.Term)
		}
		if isBehind(eligibility.RequiredLog.LogTerm, eligibility.RequiredLog.Index, other) {
			eligibility.RequiredLog = other
		}
	}
	eligibility.Behind = !eligibility.Satisfied(own.LogTerm, own.Index)
	return eligibility
}

// Satisfied reports whether a log that ends with the given entry reaches RequiredLog.
func (e Eligibility) Satisfied(term, index uint64) bool { return !isBehind(term, index, e.RequiredLog) }
