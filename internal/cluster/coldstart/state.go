// Package coldstart decides which instance starts when, as many backends of many hosts come up together: first what each
// group needs to serve, then the rest, under a concurrency limit that is raised slowly and lowered at once by what is
// reported back.
//
// It does no I/O and holds no clock. A cold start is part of the replicated state, so that it outlives any agent: the same
// calls in the same order make the same state on every replica.
package coldstart

import (
	"errors"
	"fmt"
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

// Bounds of a cold start.
const (
	MaxMembers    = 20_000
	requestWindow = 64 // requests after which a waiting member counts no more: its agent may be dead
	limitScale    = 1000

	pauseAfterFailures = 2 // in a row
	maxPause           = time.Minute
	minPause           = 2 * time.Second
	maxPauseSteps      = 1000 // beyond them the pause has long been the longest
)

// Outcome is how a start ended, or what became of an instance that was started.
type Outcome struct {
	Ready    bool            `json:"warm"`
	Took     monotime.Micros `json:"took_us,omitempty"`
	Rejected float64         `json:"refused,omitempty"` // share of the calls to dependencies and to the registry that its host saw rejected meanwhile
	Cause    string          `json:"cause,omitempty"`
}

// RunningStart is a start whose outcome was not reported yet.
type RunningStart struct {
	Number uint64 `json:"number"` // of starts, in their order
}

// State is a cold start. Its exported fields are there to be encoded; only its methods change them. It is not safe for
// concurrent use.
type State struct {
	ID                  string                        `json:"id"`
	Config              Config                        `json:"terms"`
	Members             []Member                      `json:"order"` // in the order in which they are to start
	Essential           int                           `json:"first"` // so many of them come first: their groups need them to serve
	Starting            map[MemberName]RunningStart   `json:"under"`
	Ready               map[MemberName]bool           `json:"warm"`
	Failed              map[MemberName]string         `json:"failed"` // the cause by name; a further request tries again
	LastRequest         map[MemberName]uint64         `json:"asked"`  // by waiting member: the value of Requests at its latest
	Requests            uint64                        `json:"asks"`
	Starts              uint64                        `json:"starts"`
	ScaledLimit         int64                         `json:"pace"` // how many may be starting now, in thousandths
	DecreasedAt         uint64                        `json:"cut"`  // value of Starts at the latest decrease; earlier starts say nothing about the limit of now
	SlowIncrease        bool                          `json:"grown"`
	ConsecutiveFailures int64                         `json:"row"`               // since the latest success
	Pause               monotime.Micros               `json:"rest_us,omitempty"` // nothing starts until the leader has timed as long
	PauseNumber         uint64                        `json:"rest_no,omitempty"`
	Fastest             map[GroupName]monotime.Micros `json:"best"`
	HaltReason          string                        `json:"halted,omitempty"` // why nothing more is started
	Reason              string                        `json:"cause"`            // of the present limit

	position map[MemberName]int
}

// ErrDuplicateMember is returned by New for members of which two have one name.
var ErrDuplicateMember = errors.New("rise: a name stands twice")

// MemberCountError is returned by New for no members or more than MaxMembers.
type MemberCountError struct{ Count int }

func (e *MemberCountError) Error() string {
	return fmt.Sprintf("rise: %d members, there can be 1 to %d", e.Count, MaxMembers)
}

// New plans a cold start of members, none of which is up. Its errors wrap a *ConfigError or are a *MemberCountError or
// ErrDuplicateMember.
func New(id string, config Config, members []Member) (*State, error) {
	if err := config.Validate(); err != nil {
		return nil, fmt.Errorf("rise: %w", err)
	}
	if len(members) == 0 || len(members) > MaxMembers {
		return nil, &MemberCountError{len(members)}
	}
	s := &State{
		ID: id, Config: config, Starting: map[MemberName]RunningStart{}, Ready: map[MemberName]bool{}, Failed: map[MemberName]string{}, LastRequest: map[MemberName]uint64{},
		Fastest: map[GroupName]monotime.Micros{}, ScaledLimit: config.InitialConcurrent * limitScale, Reason: "the beginning",
	}
	s.Members, s.Essential = orderMembers(config.MinServing, members)
	s.RebuildIndex()
	if len(s.position) < len(members) {
		return nil, ErrDuplicateMember
	}
	return s, nil
}

// RebuildIndex has to be called on a state that was decoded, before anything else.
func (s *State) RebuildIndex() {
	s.position = make(map[MemberName]int, len(s.Members))
	for i, m := range s.Members {
		s.position[m.Name] = i
	}
}

// Pending reports whether a name is a member and not up yet.
func (s *State) Pending(name MemberName) bool {
	_, in := s.position[name]
	return in && !s.Ready[name]
}

// Done reports whether the cold start is over: each member is up or has failed, and none is starting.
func (s *State) Done() bool {
	return len(s.Starting) == 0 && len(s.Ready)+len(s.Failed) >= len(s.Members)
}

// RequestStart says whether a member may start now, and counts it as starting if so; else reason tells what it waits for.
// Of the members that asked of late those that stand first go first; one that has stopped asking delays nobody for long.
func (s *State) RequestStart(name MemberName) (ok bool, reason string) {
	position, member := s.position[name]
	switch {
	case !member:
		return false, "it is no part of rise " + s.ID
	case s.Ready[name]:
		return true, "" // it ended since, and is started again by its agent
	case s.HaltReason != "":
		return false, "the rise has stopped: " + s.HaltReason
	}
	if _, starting := s.Starting[name]; starting {
		return true, ""
	}
	s.Requests++
	s.LastRequest[name] = s.Requests
	delete(s.Failed, name)
	if s.Pause > 0 {
		return false, fmt.Sprintf("nothing starts for %d ms, so that what failed can get well: %s", s.Pause/1000, s.Reason)
	}
	capacity := s.Limit() - int64(len(s.Starting))
	if capacity < 1 {
		return false, fmt.Sprintf("%d are under way, %d may be: %s", len(s.Starting), s.Limit(), s.Reason)
	}
	if ahead, first := s.waitingAhead(position); ahead >= capacity {
		return false, fmt.Sprintf("%s comes first, of %s", first, s.Members[s.position[first]].Group)
	}
	delete(s.LastRequest, name)
	s.Starts++
	s.Starting[name] = RunningStart{Number: s.Starts}
	return true, ""
}

// waitingAhead counts the members before a position that asked of late, and names the first of them. It forgets those
// that have stopped asking.
func (s *State) waitingAhead(position int) (ahead int64, first MemberName) {
	for other, request := range s.LastRequest {
		if s.Requests-request > requestWindow {
			delete(s.LastRequest, other)
			continue
		}
		if p := s.position[other]; p < position {
			if ahead++; first == "" || p < s.position[first] {
				first = other
			}
		}
	}
	return ahead, first
}

// Limit is how many may be starting at once now.
func (s *State) Limit() int64 { return s.ScaledLimit / limitScale }

// AddStarting counts a member that was starting before the cold start began.
func (s *State) AddStarting(name MemberName) {
	if _, in := s.position[name]; in {
		s.Starting[name] = RunningStart{}
	}
}

// Report takes in how a start ended. The limit is halved at once, and once for all starts from before; it is raised by one
// for each good start while nothing has gone wrong yet, and after that by one for a round of them. changed says how the
// limit changed, or is empty.
func (s *State) Report(name MemberName, outcome Outcome) (changed string) {
	start, starting := s.Starting[name]
	if !starting {
		if s.Pending(name) && outcome.Ready { // it started without a request: its host could not reach the leader
			s.markReady(name)
		}
		return ""
	}
	delete(s.Starting, name)
	before := s.Limit()
	group := s.Members[s.position[name]].Group
	fastest := s.Fastest[group]
	switch {
	case !outcome.Ready:
		s.reportFailure(name, start, outcome.Cause)
	case outcome.Rejected > s.Config.MaxRejected:
		s.markReady(name)
		s.decrease(start, fmt.Sprintf("%.0f%% of the calls below were refused as %s came up", 100*outcome.Rejected, name))
	case fastest > 0 && float64(outcome.Took) > s.Config.SlowFactor*float64(fastest):
		s.markReady(name)
		s.decrease(start, fmt.Sprintf("%s took %d ms, the quickest of %s %d ms", name, outcome.Took/1000, group, fastest/1000))
	default:
		s.markReady(name)
		s.increase()
	}
	if outcome.Ready && outcome.Took > 0 && (fastest == 0 || outcome.Took < fastest) {
		s.Fastest[group] = outcome.Took
	}
	if now := s.Limit(); now != before {
		return fmt.Sprintf("%d may be under way, from %d: %s", now, before, s.Reason)
	}
	return ""
}

// reportFailure counts a failed start, unless it failed together with others; too many in a row pause or halt the cold
// start.
func (s *State) reportFailure(name MemberName, start RunningStart, cause string) {
	s.Failed[name] = cause
	if !s.decrease(start, fmt.Sprintf("%s did not come up: %s", name, cause)) {
		return
	}
	switch s.ConsecutiveFailures++; {
	case s.ConsecutiveFailures >= s.Config.MaxFailures && s.HaltReason == "":
		s.HaltReason = fmt.Sprintf("starts came to nothing %d times in a row, the last: %s: %s", s.ConsecutiveFailures, name, cause)
	case s.ConsecutiveFailures >= pauseAfterFailures:
		s.Pause, s.PauseNumber = pauseDuration(s.ConsecutiveFailures-pauseAfterFailures), s.PauseNumber+1
	}
}

// increase raises the limit after a good start, up to the configured one.
func (s *State) increase() {
	most := s.Config.MaxConcurrent * limitScale
	if s.ScaledLimit >= most {
		return
	}
	step := int64(limitScale)
	if s.SlowIncrease { // something has gone wrong before
		step = max(1, limitScale*limitScale/s.ScaledLimit)
	}
	s.ScaledLimit = min(most, s.ScaledLimit+step)
	s.Reason = "starts come up well"
}

// markReady counts a member as up, which ends a row of failures.
func (s *State) markReady(name MemberName) {
	s.Ready[name] = true
	delete(s.Failed, name)
	s.ConsecutiveFailures, s.Pause = 0, 0
}

// decrease halves the limit, unless the report is of a start from before the last decrease.
func (s *State) decrease(start RunningStart, cause string) bool {
	if start.Number <= s.DecreasedAt {
		return false
	}
	s.DecreasedAt, s.SlowIncrease = s.Starts, true
	s.ScaledLimit = max(limitScale, s.ScaledLimit/2)
	s.Reason = cause
	return true
}

// pauseDuration is how long nothing starts after so many further failures: a dependency may recover only if it is left
// alone, and one start at a time would keep it overloaded for ever.
func pauseDuration(n int64) monotime.Micros {
	growth := backoff.Exponential{Initial: minPause, Max: maxPause, Multiplier: 2}
	return monotime.Micros(growth.Interval(int(min(n, maxPauseSteps)) + 1).Microseconds())
}

// EndPause ends the pause of that number, once the leader has timed it by its own clock.
func (s *State) EndPause(number uint64) {
	if number == s.PauseNumber {
		s.Pause = 0
	}
}

// Resume ends a halt, for an operator.
func (s *State) Resume() {
	s.HaltReason, s.ConsecutiveFailures, s.Pause = "", 0, 0
	s.ScaledLimit, s.DecreasedAt, s.Reason = s.Config.InitialConcurrent*limitScale, s.Starts, "an operator had it go on"
}

// WriteOff stops counting a start whose outcome nobody will report, as failed.
func (s *State) WriteOff(name MemberName) {
	if _, starting := s.Starting[name]; starting {
		delete(s.Starting, name)
		s.Failed[name] = "written off"
	}
}
