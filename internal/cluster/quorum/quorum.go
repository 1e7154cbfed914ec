// Package quorum decides what a member of the quota store's consensus group may do after its process has restarted,
// when its data directory may be an older copy that lacks votes and log entries. It also determines the order of
// membership changes. It does no I/O and reads no clock. Replication itself is left to the consensus library.
//
// What one member has lost, others still have, as each entry is committed and each leader elected by a quorum. A member
// that receives answers from enough others learns of a term and a log that cover what it may have lost: at least one of
// them was in each quorum that the member took part in. Until its own log reaches that log, it does not stand for
// election, and votes only for candidates whose log does. In that term it does not vote, as it may have voted already.
//
// Invariants:
//   - A member that lost a committed entry is behind, and never bootstraps a group that has committed entries
//     (TestLostEntriesAreDetected).
//   - A member that lost its vote adopts a term in which its vote is used up (TestLostEntriesAreDetected).
//   - A group changes by one member at a time and is never smaller during a change than before or after it
//     (TestAdditionsComeFirstAndTheLeaderIsRemovedLast).
package quorum

// LogPosition is a member's stored term and the end of its log. The zero value is that of a new member.
type LogPosition struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`    // of the last log entry; 0: the log is empty
	LogTerm uint64 `json:"log_term"` // of the last log entry; 0: the log is empty
}

// Empty reports whether the member is new: it has neither a term nor a log entry.
func (p LogPosition) Empty() bool { return p.Term == 0 && p.Index == 0 }

// isBehind reports whether a log that ends with the given entry lacks an entry that another log has.
func isBehind(term, index uint64, other LogPosition) bool {
	return term < other.LogTerm || term == other.LogTerm && index < other.Index
}

// EnoughResponses reports whether a member has heard from enough others of its group to assess its own log: at least
// half of the group, so that at least one of them was in each quorum that the member itself was in.
func EnoughResponses(groupSize, responses int) bool {
	silent := groupSize - responses // including the member itself
	return groupSize == 1 || responses >= silent
}

// Eligibility is what a member may do after its process has restarted.
type Eligibility struct {
	Bootstrap   bool        // neither it nor any member that responded has a term or a log: it may start the group
	AdoptTerm   uint64      // term to adopt as one in which it has voted; 0: the member keeps its own term
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
