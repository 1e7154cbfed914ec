// Package coldstart schedules the starts of instances when many backends on many hosts start at once. Members that
// their groups need to serve start first. A concurrency limit increases additively and decreases multiplicatively,
// according to the reported outcomes.
//
// The package does no I/O and reads no clock. A cold start is part of the replicated state, so that it survives the
// failure of any agent. The same calls in the same order result in the same state on every replica.
package coldstart

import (
	"errors"
	"fmt"

	"milletbarrow/monotime"
)

const (
	// MaxMembers is the largest number of members of a cold start.
	MaxMembers = 20_000

	// limitScale is the ratio of ScaledLimit to the concurrency limit.
	limitScale int64 = 1000
)

// State is a cold start. Its exported fields exist for encoding; only its methods change them. It is not safe for
// concurrent use.
//
// Invariants:
//   - No start is granted while as many members are starting as the concurrency limit allows, and the limit stays
//     between 1 and MaxConcurrent; once faults end, every member that keeps requesting becomes ready
//     (TestLimitHoldsAndAllMembersBecomeReady).
//   - No other member starts while an essential one that requests is waiting (TestEssentialMembersStartFirst).
//   - Bad outcomes of starts granted before a decrease do not lower the limit again (TestLimitFollowsOutcomes).
//   - Nothing starts during a pause or after a halt (TestNothingStartsDuringAPause, TestLimitFollowsOutcomes).
//   - A waiting member that has stopped requesting delays others for a bounded number of requests
//     (TestSilentMemberIsOvertaken).
type State struct {
	ID     string `json:"id"`
	Config Config `json:"terms"`

	// Members are in their order of starting. Their groups need the first Essential of them to serve.
	Members   []Member `json:"order"`
	Essential int      `json:"first"`

	// Starting holds the starts whose outcome has not been reported yet.
	Starting map[MemberName]RunningStart `json:"under"`

	Ready map[MemberName]bool `json:"warm"`

	// Failed holds the cause of the latest failure of each member that has not requested another start since.
	Failed map[MemberName]string `json:"failed"`

	// LastRequest holds the value of Requests at the latest request of each waiting member.
	LastRequest map[MemberName]uint64 `json:"asked"`

	Requests uint64 `json:"asks"`   // total number of requests to start
	Starts   uint64 `json:"starts"` // total number of starts granted

	// ScaledLimit is the concurrency limit, in thousandths of a member.
	ScaledLimit int64 `json:"pace"`

	// DecreasedAt is the value of Starts at the latest decrease of the limit; 0: none. Outcomes of starts granted
	// before do not lower the limit again.
	DecreasedAt uint64 `json:"cut"`

	// SlowIncrease is set by the first decrease. From then on a whole round of good starts raises the limit by one.
	SlowIncrease bool `json:"grown"`

	// ConsecutiveFailures counts the failures since the latest successful start.
	ConsecutiveFailures int64 `json:"row"`

	// Pause is the duration for which no member may start; 0: no pause. The leader times it and ends it by its number.
	Pause       monotime.Micros `json:"rest_us,omitempty"`
	PauseNumber uint64          `json:"rest_no,omitempty"`

	// Fastest holds the shortest duration of a successful start in each group.
	Fastest map[GroupName]monotime.Micros `json:"best"`

	// HaltReason is the reason why no more members may start; empty: not halted.
	HaltReason string `json:"halted,omitempty"`

	// Reason is the reason for the present concurrency limit.
	Reason string `json:"cause"`

	// position maps names to indices in Members. RebuildIndex derives it.
	position map[MemberName]int
}

// RunningStart is a start whose outcome has not been reported yet.
type RunningStart struct {
	// Number numbers the starts of a cold start from 1; 0: the member was starting before the cold start began.
	Number uint64 `json:"number"`
}

// ErrDuplicateMember is wrapped by an error of New if two members have the same name.
var ErrDuplicateMember = errors.New("cold start: duplicate member")

// MemberCountError is returned by New if there are no members or more than MaxMembers.
type MemberCountError struct{ Count int }

func (e *MemberCountError) Error() string {
	return fmt.Sprintf("cold start: %d members, expected 1 to %d", e.Count, MaxMembers)
}

// New returns a cold start of the given members, none of which is ready. Its error is a *MemberCountError, or wraps a
// *ConfigError or ErrDuplicateMember.
func New(id string, config Config, members []Member) (*State, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("cold start: %w", err)
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

// RebuildIndex rebuilds what is not encoded. It must be called on a decoded state before any other method.
func (s *State) RebuildIndex() {
	s.position = make(map[MemberName]int, len(s.Members))
	for i, member := range s.Members {
		s.position[member.Name] = i
	}
}

// Pending reports whether name is a member that is not ready yet.
func (s *State) Pending(name MemberName) bool {
	_, isMember := s.position[name]
	return isMember && !s.Ready[name]
}

// Done reports whether the cold start is over: each member is ready or has failed, and none is starting.
func (s *State) Done() bool {
	return len(s.Starting) == 0 && len(s.Ready)+len(s.Failed) >= len(s.Members)
}

// Limit returns the present concurrency limit, in members.
func (s *State) Limit() int64 { return s.ScaledLimit / limitScale }

// AddStarting counts a member that was starting before the cold start began.
func (s *State) AddStarting(name MemberName) {
	if _, isMember := s.position[name]; isMember {
		s.Starting[name] = RunningStart{}
	}
}

// Resume ends a halt on behalf of an operator and resets the concurrency limit to InitialConcurrent.
func (s *State) Resume() {
	s.HaltReason = ""
	s.clearFailures()
	s.ScaledLimit = s.Config.InitialConcurrent * limitScale
	s.DecreasedAt = s.Starts
	s.Reason = "an operator had it go on"
}

// clearFailures resets the count of consecutive failures and ends the pause that they caused.
func (s *State) clearFailures() {
	s.ConsecutiveFailures = 0
	s.Pause = 0
}

// WriteOff counts a start as failed if its outcome will never be reported, such as when its host is lost.
func (s *State) WriteOff(name MemberName) {
	if _, starting := s.Starting[name]; starting {
		delete(s.Starting, name)
		s.Failed[name] = "written off"
	}
}
