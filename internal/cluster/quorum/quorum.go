// Package quorum decides what a member of the quota store's group may do after its process was started, when its directory
// may be an older copy that lacks votes and entries; and how a group is changed, one member at a time. It does no I/O and
// holds no clock. The agreement itself is the consensus library's.
//
// What a member lost, others have: an entry is committed, and a leader elected, by a quorum of the group. A member that hears
// from so many others that each quorum it took part in has one of them knows of a term and a log that are at least those
// that it may have lost. Until its own log reaches that far it does not stand for election, and votes only for candidates
// whose log does; in the term itself it votes for nobody, since it may have voted already.
package quorum

import (
	"errors"
	"fmt"
	"slices"
)

// LogPosition is a member's stored term and the end of its log.
type LogPosition struct {
	Term    uint64 `json:"term"`
	Index   uint64 `json:"index"`    // of the last entry of its log
	LogTerm uint64 `json:"log_term"` // of that entry
}

// Empty reports whether the member was never part of a group.
func (p LogPosition) Empty() bool { return p.Term == 0 && p.Index == 0 }

// isBehind reports whether a log that ends with the given entry lacks something that another has.
func isBehind(term, index uint64, of LogPosition) bool {
	return term < of.LogTerm || term == of.LogTerm && index < of.Index
}

// requiredResponses is how many of the others in a group of n a member has to hear from: one of them was in each quorum that it was in itself.
func requiredResponses(n int) int { return (n + 1) / 2 }

// EnoughResponses reports whether a member of a group of n has heard from enough others to assess its own log.
func EnoughResponses(n, others int) bool { return n == 1 || others >= requiredResponses(n) }

// Eligibility is what a member may do after a restart.
type Eligibility struct {
	Bootstrap   bool        // nobody has a log: the group begins
	AdoptTerm   uint64      // to take over, with its vote used up; 0: its own term will do
	RequiredLog LogPosition // its log has to reach this before it takes part in elections
	Behind      bool        // it does not yet
}

// Assess says what a member may do, from its own log position and those of enough others.
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

// Satisfied reports whether a log that ends with the given entry reaches as far as it has to.
func (f Eligibility) Satisfied(term, index uint64) bool { return !isBehind(term, index, f.RequiredLog) }

// ErrTwoMembers is returned by ValidateMembers for a group of two: neither could do anything alone, so that they tolerate
// no more than one would.
var ErrTwoMembers = errors.New("a group of two stands still when either is gone: name one, or three")

// DuplicateMemberError is returned by ValidateMembers for a member that is named twice.
type DuplicateMemberError struct{ Host string }

func (e *DuplicateMemberError) Error() string { return fmt.Sprintf("%q stands twice", e.Host) }

// ValidateMembers checks the members of a group: there can be one, or three and more.
func ValidateMembers(members []string) error {
	if len(members) == 2 {
		return ErrTwoMembers
	}
	for i, m := range members {
		if slices.Contains(members[:i], m) {
			return &DuplicateMemberError{m}
		}
	}
	return nil
}

// Change is one step from a group to another: Add or Remove is set, or neither where nothing is left to do.
type Change struct{ Add, Remove string }

// NextChange is the next step from the members that a group has to those wanted, one at a time: first additions, so that the
// group is not smaller in between than it was, then removals, the leader itself last.
func NextChange(present, wanted []string, leader string) Change {
	if len(wanted) == 0 {
		return Change{}
	}
	for _, w := range wanted {
		if !slices.Contains(present, w) {
			return Change{Add: w}
		}
	}
	last := Change{}
	for _, h := range present {
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
