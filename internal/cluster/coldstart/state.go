// Package coldstart decides which instance starts when, while many backends on many hosts come up together. Members
// that their groups need to serve start first. A concurrency limit rises slowly and falls at once, according to the
// reported outcomes.
//
// It does no I/O and reads no clock. A cold start is part of the replicated state, so that it outlives any agent. Equal
// calls in equal order make equal states on every replica.
package coldstart

import (
	"errors"
	"fmt"

	"milletbarrow/monotime"
)

const (
	// MaxMembers is the largest number of members of a cold start.
	MaxMembers = 20_000

	// limitScale is the factor by which ScaledLimit is greater than the concurrency limit.
	limitScale int64 = 1000
)

// State is a cold start. Its exported fields exist for encoding; only its methods change them. It is not safe for
// concurrent use.
//
// Invariants:
//   - No more members are starting than the concurrency limit allows, and the limit stays within its configured bounds;
//     once faults end, every member that goes on requesting becomes ready (TestLimitHoldsAndAllMembersBecomeReady).
//   - No other member starts while an essential one that requests is waiting (TestEssentialMembersStartFirst).
//   - All failures of starts from before a decrease lower the limit once (TestLimitFollowsOutcomes).
//   - Nothing starts during a pause or after a halt (TestNothingStartsDuringAPause, TestLimitFollowsOutcomes).
//   - A waiting member that has stopped requesting delays others for a bounded number of requests
//     (TestSilentMemberIsOvertaken).
type State struct {
	ID     string `json:"id"`
	Config Config `json:"terms"`

	// Members are in the order in which they should start. The first Essential of them are those that their groups need
	// to serve.
	Members   []Member `json:"order"`
	Essential int      `json:"first"`

	// Starting has the starts whose outcome was not reported yet.
	Starting map[MemberName]RunningStart `json:"under"`

	Ready map[MemberName]bool `json:"warm"`

	// Failed has the cause of the latest failure of each member that has not requested another start since.
	Failed map[MemberName]string `json:"failed"`

	// LastRequest has the value of Requests at the latest request of each waiting member.
	LastRequest map[MemberName]uint64 `json:"asked"`

	Requests uint64 `json:"asks"`   // requests to start up to now
	Starts   uint64 `json:"starts"` // starts granted up to now

	// ScaledLimit is the concurrency limit, in thousandths of a member.
	ScaledLimit int64 `json:"pace"`

	// DecreasedAt is the value of Starts at the latest decrease of the limit; 0: none. Outcomes of earlier starts are
	// no reason for another one.
	DecreasedAt uint64 `json:"cut"`

	// SlowIncrease is set by the first decrease.
	SlowIncrease bool `json:"grown"`

	// ConsecutiveFailures counts the failures since the latest successful start.
	ConsecutiveFailures int64 `json:"row"`

	// Pause is how long nothing starts; 0: no pause. The leader times it and ends it by its number.
	Pause       monotime.Micros `json:"rest_us,omitempty"`
	PauseNumber uint64          `json:"rest_no,omitempty"`

	// Fastest has the shortest duration of a successful start in each group.
	Fastest map[GroupName]monotime.Micros `json:"best"`

	// HaltReason is why nothing more is started; empty: not halted.
	HaltReason string `json:"halted,omitempty"`

	// Reason is the reason for the present concurrency limit.
	Reason string `json:"cause"`

	// position has the index in Members by name. RebuildIndex derives it.
	position map[MemberName]int
}

// RunningStart is a start whose outcome was not reported yet.
type RunningStart struct {
	// Number counts the starts of a cold start from 1; 0: the member was starting before the cold start began.
	Number uint64 `json:"number"`
}

// ErrDuplicateMember is wrapped by errors of New for members of which two have the same name.
var ErrDuplicateMember = errors.New("rise: duplicate member")

// MemberCountError is returned by New for no members or more than MaxMembers.
type MemberCountError struct{ Count int }

func (e *MemberCountError) Error() string {
	return fmt.Sprintf("rise: %d members, expected 1 to %d", e.Count, MaxMembers)
}

// New plans a cold start of members, none of which is ready. Its error is a *MemberCountError, or wraps a *ConfigError
// or ErrDuplicateMember.
func New(id string, config Config, members []Member) (*State, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("rise: %w", err)
	}
	if len(members) == 0 || len(members) > MaxMembers {
		return nil, &MemberCountError{Count: len(members)}
	}
	order, essential := orderMembers(config.MinServing, members)
	s := &State{
		ID:          id,
		Config:      config,
		Members:     order,
		Essential:   essential,
		Starting:    map[MemberName]RunningStart{},
		Ready:       map[MemberName]bool{},
		Failed:      map[MemberName]string{},
		LastRequest: map[MemberName]uint64{},
		ScaledLimit: config.InitialConcurrent * limitScale,
		Fastest:     map[GroupName]monotime.Micros{},
		Reason:      "the beginning",
	}
	s.RebuildIndex()
	for i, member := range s.Members {
		if s.position[member.Name] != i {
			return nil, fmt.Errorf("%w %q", ErrDuplicateMember, member.Name)
		}
	}
	return s, nil
}

// RebuildIndex must be called on a decoded state before any other method.
func (s *State) RebuildIndex() {
	s.position = make(map[MemberName]int, len(s.Members))
	for i, member := range s.Members {
		s.position[member.Name] = i
	}
}

// Pending reports whether a name is that of a member that is not ready yet.
func (s *State) Pending(name MemberName) bool {
	_, isMember := s.position[name]
	return isMember && !s.Ready[name]
}

// Done reports whether the cold start is over: each member is ready or has failed, and none is starting.
func (s *State) Done() bool {
	return len(s.Starting) == 0 && len(s.Ready)+len(s.Failed) >= len(s.Members)
}

// Limit returns how many members may be starting at once now.
func (s *State) Limit() int64 { return s.ScaledLimit / limitScale }

// AddStarting counts a member that was starting before the cold start began.
func (s *State) AddStarting(name MemberName) {
	if _, isMember := s.position[name]; isMember {
		s.Starting[name] = RunningStart{}
	}
}

// Resume ends a halt at the request of an operator, and starts again from the initial concurrency limit.
func (s *State) Resume() {
	s.HaltReason = ""
	s.clearFailures()
	s.ScaledLimit = s.Config.InitialConcurrent * limitScale
	s.DecreasedAt = s.Starts
	s.Reason = "an operator had it go on"
}

// clearFailures ends a row of failures, and the pause that they caused.
func (s *State) clearFailures() {
	s.ConsecutiveFailures = 0
	s.Pause = 0
}

// WriteOff counts a start as failed whose outcome nobody will report.
func (s *State) WriteOff(name MemberName) {
	if _, starting := s.Starting[name]; starting {
		delete(s.Starting, name)
		s.Failed[name] = "written off"
	}
}
