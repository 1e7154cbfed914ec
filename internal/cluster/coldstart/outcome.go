package coldstart

import (
	"fmt"
	"time"

	"milletbarrow/internal/backoff"
	"milletbarrow/monotime"
)

const (
	percent = 100 // in 1

	decreaseDivisor int64 = 2 // a decrease divides the concurrency limit by it

	pauseAfterFailures int64   = 2 // consecutive failures that begin a pause
	minPause                   = 2 * time.Second
	maxPause                   = time.Minute
	pauseMultiplier    float64 = 2
	maxPauseSteps      int64   = 1000 // the pause reaches maxPause after far fewer failures
)

// Outcome is the result of a member's start.
type Outcome struct {
	Ready bool            `json:"warm"`
	Took  monotime.Micros `json:"took_us,omitempty"` // until it was ready; 0: unknown

	// Rejected is the fraction of calls to dependencies and to the registry that were rejected on the member's host
	// during the start.
	Rejected float64 `json:"refused,omitempty"`

	Cause string `json:"cause,omitempty"` // of a failure
}

// Report records the outcome of a start. A bad outcome halves the concurrency limit, once for all starts granted before
// the decrease. A good one raises it by one; after the first decrease, a whole round of good starts raises it by one.
// change describes the change of the limit; it is empty if there is none.
func (s *State) Report(name MemberName, outcome Outcome) (change string) {
	start, starting := s.Starting[name]
	if !starting {
		if s.Pending(name) && outcome.Ready { // started without permission: its host could not reach the leader
			s.markReady(name)
		}
		return ""
	}
	delete(s.Starting, name)
	limitBefore := s.Limit()
	s.adjustLimit(name, start, outcome)
	group := s.groupOf(name)
	if fastest := s.Fastest[group]; outcome.Ready && outcome.Took > 0 && (fastest == 0 || outcome.Took < fastest) {
		s.Fastest[group] = outcome.Took
	}
	if limitAfter := s.Limit(); limitAfter != limitBefore {
		return fmt.Sprintf("%d may be under way, from %d: %s", limitAfter, limitBefore, s.Reason)
	}
	return ""
}

func (s *State) groupOf(name MemberName) GroupName { return s.Members[s.position[name]].Group }

// adjustLimit raises or lowers the concurrency limit according to the outcome of a start.
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

// markReady counts a member as ready, which resets the count of consecutive failures.
func (s *State) markReady(name MemberName) {
	s.Ready[name] = true
	delete(s.Failed, name)
	s.clearFailures()
}

// recordFailure records a failed start. It counts as another consecutive failure only if it lowers the limit: starts
// that fail together count once. Consecutive failures pause the cold start and finally halt it.
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

// increase raises the limit after a good start, up to MaxConcurrent.
func (s *State) increase() {
	maxScaledLimit := s.Config.MaxConcurrent * limitScale
	if s.ScaledLimit >= maxScaledLimit {
		return
	}
	step := limitScale
	if s.SlowIncrease {
		step = max(1, limitScale*limitScale/s.ScaledLimit)
	}
	s.ScaledLimit = min(maxScaledLimit, s.ScaledLimit+step)
	s.Reason = "starts come up well"
}

// decrease halves the limit and reports whether it did. Starts granted before the latest decrease do not lower the
// limit again, as they were granted under the higher one.
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

// pauseDuration returns the duration of a pause after the given number of failures beyond pauseAfterFailures. Lowering
// the limit to one start at a time is not enough: an overloaded dependency may recover only without any load.
func pauseDuration(failures int64) monotime.Micros {
	schedule := backoff.Exponential{Initial: minPause, Max: maxPause, Multiplier: pauseMultiplier}
	return monotime.FromDuration(schedule.Interval(int(min(failures, maxPauseSteps)) + 1))
}

func (s *State) beginPause(duration monotime.Micros) {
	s.Pause = duration
	s.PauseNumber++
}

// EndPause ends the pause with the given number, unless another one has begun since. The leader calls it when the
// duration has passed by its clock.
func (s *State) EndPause(number uint64) {
	if number == s.PauseNumber {
		s.Pause = 0
	}
}
