package quorum

import (
	"errors"
	"fmt"
	"slices"
)

// minReplicatedMembers is the smallest group that tolerates the failure of a member.
const minReplicatedMembers = 3

// ErrTwoMembers is returned by ValidateMembers for a group of two. Neither member can commit alone, so that a group of
// two tolerates no more failures than a group of one.
var ErrTwoMembers = errors.New("a group of two tolerates no failure: name one member, or at least three")

// DuplicateMemberError is returned by ValidateMembers for a member that is listed more than once.
type DuplicateMemberError struct{ Host string }

func (e *DuplicateMemberError) Error() string { return fmt.Sprintf("duplicate member %q", e.Host) }

// ValidateMembers checks the members of a group. A group has one member, or at least three.
func ValidateMembers(members []string) error {
	if len(members) > 1 && len(members) < minReplicatedMembers {
		return ErrTwoMembers
	}
	for i, member := range members {
		if slices.Contains(members[:i], member) {
			return &DuplicateMemberError{Host: member}
		}
	}
	return nil
}

// Change adds or removes one member of a group: either Add or Remove is set. The zero value is no change.
type Change struct {
	Add    string
	Remove string
}

// NextChange returns the next change from the present members of a group to the wanted ones, or the zero value. Members
// are added before others are removed, so that the group is never smaller than before or after; the leader is removed
// last. Nothing is changed if no members are wanted.
func NextChange(present, wanted []string, leader string) Change {
	if len(wanted) == 0 {
		return Change{}
	}
	for _, member := range wanted {
		if !slices.Contains(present, member) {
			return Change{Add: member}
		}
	}
	last := Change{}
	for _, member := range present {
		if slices.Contains(wanted, member) {
			continue
		}
		if member != leader {
			return Change{Remove: member}
		}
		last.Remove = member
	}
	return last
}
