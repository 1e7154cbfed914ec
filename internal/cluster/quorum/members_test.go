package quorum

import (
	"errors"
	"slices"
	"testing"
)

func TestAdditionsComeFirstAndTheLeaderIsRemovedLast(t *testing.T) {
	members, wanted := []string{"a", "b", "c"}, []string{"c", "d", "e"}
	var steps []Change
	for range 9 {
		change := NextChange(members, wanted, "a")
		if change == (Change{}) {
			break
		}
		steps = append(steps, change)
		if change.Add != "" {
			members = append(members, change.Add)
		}
		members = slices.DeleteFunc(members, func(member string) bool { return member == change.Remove })
	}
	want := []Change{{Add: "d"}, {Add: "e"}, {Remove: "b"}, {Remove: "a"}}
	if !slices.Equal(steps, want) {
		t.Fatalf("steps %v, want %v", steps, want)
	}
}

func TestGroupWithoutWantedMembersIsKept(t *testing.T) {
	if change := NextChange([]string{"a", "b"}, nil, "a"); change != (Change{}) {
		t.Errorf("next change %+v, want none", change)
	}
}

func TestGroupsOfTwoAndDuplicateMembersAreRejected(t *testing.T) {
	if err := ValidateMembers([]string{"a", "b"}); !errors.Is(err, ErrTwoMembers) {
		t.Errorf("two members: %v, want ErrTwoMembers", err)
	}
	err := ValidateMembers([]string{"a", "b", "a"})
	if duplicate, ok := errors.AsType[*DuplicateMemberError](err); !ok || duplicate.Host != "a" {
		t.Errorf("duplicate a: %v, want a DuplicateMemberError for a", err)
	}
	if err := ValidateMembers([]string{"a"}); err != nil {
		t.Errorf("one member: %v, want none", err)
	}
}
