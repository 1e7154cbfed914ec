package coldstart

import (
	"fmt"
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

const (
	percent = 100 // in 1

	decreaseDivisor int64 = 2 // of the concurrency limit

	pauseAfterFailures int64   = 2 // consecutive ones
	minPause                   = 2 * time.Second
	maxPause                   = time.Minute
	pauseMultiplier    float64 = 2
	maxPauseSteps      int64   = 1000 // the pause has reached maxPause long before
)

// Outcome is how the start of a member ended.
type Outcome struct {
	Ready bool            `json:"warm"`
	Took  monotime.Micros `json:"took_us,omitempty"` // until it was ready; 0: unknown

	// Rejected is the fraction of calls to dependencies and to the registry that the member's host saw rejected
	// meanwhile.
	Rejected float64 `json:"refused,omitempty"`

	Cause string `json:"cause,omitempty"` // of a failure
}

// Report records the outcome of a start. A bad outcome halves the limit, once for all starts from before. A good one
// raises it by one, and after the first decrease by one for each round of starts. change tells how the limit changed,
// or is empty.
func (s *State) Report(name MemberName, outcome Outcome) (change string) {
	start, starting := s.Starting[name]
	if !starting {
		if s.Pending(name) && outcome.Ready { // it started without a request, as its host could not reach the leader
			s.markReady(name)
		}
		return ""
	}
	delete(s.Starting, name)
	before := s.Limit()
	s.adjustLimit(name, start, outcome)
	group := s.groupOf(name)
	if fastest := s.Fastest[group]; outcome.Ready && outcome.Took > 0 && (fastest == 0 || outcome.Took < fastest) {
		s.Fastest[group] = outcome.Took
	}
	if now := s.Limit(); now != before {
		return fmt.Sprintf("%d may be under way, from %d: %s", now, before, s.Reason)
	}
	return ""
}

func (s *State) groupOf(name MemberName) GroupName { return s.Members[s.position[name]].Group }

// adjustLimit raises or lowers the concurrency limit by the outcome of a start.
func (s *State) adjustLimit(name MemberName, start RunningStart, outcome Outcome) {
	group := s.groupOf(name)
	fastest := s.Fastest[group]
	switch {
	case !outcome.Ready:
		s.recordFailure(name, start, outcome.Cause)
	case outcome.Rejected > s.Config.MaxRejected:
		s.markReady(name)
		rejectedPercent := percent * outcome.Rejected
		s.decrease(start, fmt.Sprintf("%.0f%% of the calls below were refused as %s came up", rejectedPercent, name))
	case fastest > 0 && float64(outcome.Took) > s.Config.SlowFactor*float64(fastest):
		s.markReady(name)
		s.decrease(start, fmt.Sprintf("%s took %d ms, the quickest of %s %d ms",
			name, outcome.Took/monotime.Millisecond, group, fastest/monotime.Millisecond))
	default:
		s.markReady(name)
		s.increase()
	}
}

// markReady counts a member as ready, which ends a row of failures.
func (s *State) markReady(name MemberName) {
	s.Ready[name] = true
	delete(s.Failed, name)
	s.clearFailures()
}

// recordFailure counts a failed start, unless it failed together with others. Consecutive failures pause the cold start
// and finally halt it.
func (s *State) recordFailure(name MemberName, start RunningStart, cause string) {
	s.Failed[name] = cause
	if !s.decrease(start, fmt.Sprintf("%s did not come up: %s", name, cause)) {
		return
	}
	s.ConsecutiveFailures++
	switch {
	case s.ConsecutiveFailures >= s.Config.MaxFailures && s.HaltReason == "":
		s.HaltReason = fmt.Sprintf("starts came to nothing %d times in a row, the last: %s: %s",
			s.ConsecutiveFailures, name, cause)
	case s.ConsecutiveFailures >= pauseAfterFailures:
		s.beginPause(pauseDuration(s.ConsecutiveFailures - pauseAfterFailures))
	}
}

// increase raises the limit after a good start, up to the configured one.
func (s *State) increase() {
	most := s.Config.MaxConcurrent * limitScale
	if s.ScaledLimit >= most {
		return
	}
	step := limitScale
	if s.SlowIncrease {
		step = max(1, limitScale*limitScale/s.ScaledLimit)
	}
	s.ScaledLimit = min(most, s.ScaledLimit+step)
	s.Reason = "starts come up well"
}

// decrease halves the limit, and reports whether it did. It does not for starts from before the latest decrease.
func (s *State) decrease(start RunningStart, cause string) bool {
	if start.Number <= s.DecreasedAt {
		return false
	}
	s.DecreasedAt = s.Starts
	s.SlowIncrease = true
	s.ScaledLimit = max(limitScale, s.ScaledLimit/decreaseDivisor)
	s.Reason = cause
	return true
}

// pauseDuration returns the duration of the pause after so many failures beyond pauseAfterFailures. A dependency may
// recover only without any load: one start at a time could keep it overloaded for ever.
func pauseDuration(failures int64) monotime.Micros {
	growth := backoff.Exponential{Initial: minPause, Max: maxPause, Multiplier: pauseMultiplier}
	return monotime.FromDuration(growth.Interval(int(min(failures, maxPauseSteps)) + 1))
}

func (s *State) beginPause(duration monotime.Micros) {
	s.Pause = duration
	s.PauseNumber++
}

// EndPause ends the pause of that number, once the leader has timed it by its own clock.
func (s *State) EndPause(number uint64) {
	if number == s.PauseNumber {
		s.Pause = 0
	}
}
