// Package quorum decides what a member of the ledger's group may do after its process was started, when its directory may
// be an older copy that has forgotten votes and entries; and how a group is changed, one member at a time. It does no I/O
// and holds no clock. The agreement itself is the consensus library's.
//
// What a member forgot, others know: an entry is committed, and a leader elected, by more than half of the group. So whoever
// hears from enough of the others that no half can have escaped knows of a term and a log that are at least those that it
// may have forgotten. Until its own log reaches that far it does not stand for election, and votes only for candidates
// whose log does; in the term itself it votes for nobody, since it may have voted already.
package quorum

import (
	"fmt"
	"slices"
)

// LogPosition is what a member has written down: its term, and the end of its log.
type LogPosition struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`    // of the last entry of its log
	LogTerm uint64 `json:"log_term"` // of that entry
}

// Empty tells whether it was never part of a group.
func (s LogPosition) Empty() bool { return s.Term == 0 && s.Index == 0 }

// isBehind tells whether a log lacks something that another has.
func isBehind(term, index uint64, of LogPosition) bool {
	return term < of.LogTerm || term == of.LogTerm && index < of.Index
}

// requiredResponses is how many of the others in a group of n a member has to hear from: one of them was in every half that it was in itself.
func requiredResponses(n int) int { return (n + 1) / 2 }

// EnoughResponses tells whether a member of a group of n has heard from enough others to assess its own log.
func EnoughResponses(n, others int) bool { return n == 1 || others >= requiredResponses(n) }

// Eligibility is what a member may do after a restart.
type Eligibility struct {
	Bootstrap   bool   // nobody has a log: this is the beginning
	AdoptTerm   uint64 // to be taken for its own, with its vote used up; 0: its own will do
	RequiredLog LogPosition
	Behind      bool // its log does not reach Log yet
}

// Assess says what a member may do, from what it has itself and what enough others told.
func Assess(own LogPosition, others []LogPosition) (f Eligibility) {
	f.Bootstrap = own.Empty()
	for _, o := range others {
		f.Bootstrap = f.Bootstrap && o.Empty()
		if o.Term > own.Term {
			f.AdoptTerm = max(f.AdoptTerm, o.Term)
		}
		if isBehind(f.RequiredLog.LogTerm, f.RequiredLog.Index, o) {
			f.RequiredLog = o
		}
	}
	f.Behind = isBehind(own.LogTerm, own.Index, f.RequiredLog)
	return f
}

// Satisfied tells whether a log is as far as it has to be.
func (f Eligibility) Satisfied(term, index uint64) bool { return !isBehind(term, index, f.RequiredLog) }

// ValidateMembers tells whether a group's members can be used: one, or three and more. Of two, each alone could do nothing, and
// both together no more than one.
func ValidateMembers(members []string) error {
	if len(members) == 2 {
		return fmt.Errorf("a group of two stands still when either is gone: name one, or three")
	}
	for i, m := range members {
		if slices.Contains(members[:i], m) {
			return fmt.Errorf("%q stands twice", m)
		}
	}
	return nil
}

// Change is one step from a group to another: Add or Remove is set, or neither where nothing is left to do.
type Change struct{ Add, Remove string }

// NextChange is the next step from the members that a group has to those wanted, one at a time: first what is new, so that the
// group is not smaller in between than it was, and the leader itself last.
func NextChange(has, wanted []string, leader string) Change {
	if len(wanted) == 0 {
		return Change{}
	}
	for _, w := range wanted {
		if !slices.Contains(has, w) {
			return Change{Add: w}
		}
	}
	last := Change{}
	for _, h := range has {
		if slices.Contains(wanted, h) {
			continue
		}
		if h != leader {
			return Change{Remove: h}
		}
		last.Remove = h
	}
	return last
}
