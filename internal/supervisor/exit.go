package supervisor

import (
	"log/slog"
	"time"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// exitFetchTimeout is how long a supervisor keeps running after the exit of its instance, so that a waiting agent gets
// the report of the exit at once. After that, the agent reads the exit from the state file.
const exitFetchTimeout = 500 * time.Millisecond

// killedExitCode is the exit code of an instance that was killed.
const killedExitCode = -1

// recordExit records in the state file how the instance ended, and publishes the report.
func (s *supervisor) recordExit(exit fleet.Exit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := process.Now()
	exit.KillReason = s.monitor.KillCause
	if exit.KillReason != "" {
		exit.Code = killedExitCode
		exit.Unobserved = false
	}
	exit.Uptime = now - s.record.StartedAt
	if s.record.NoticeID != "" {
		exit.DrainTime = now - s.record.NotifiedAt
	}
	s.record.Ended = true
	s.record.End = exit
	_ = s.writeRecord() // the error is logged; the report has the exit all the same
	slog.Info("ended", "name", s.options.Name, "run", s.options.Incarnation, "how", exit.String(),
		"after_ms", exit.DrainTime/monotime.Millisecond)
	s.publish()
}

// markExitFetched records that an agent has fetched the report of the exit.
func (s *supervisor) markExitFetched() {
	s.exitFetchedOnce.Do(func() { close(s.exitFetched) })
}

// awaitExitFetched waits until an agent has fetched the report of the exit, for at most exitFetchTimeout.
func (s *supervisor) awaitExitFetched() {
	select {
	case <-s.exitFetched:
		time.Sleep(s.options.Bounds.PollInterval) // until the response has been sent
	case <-time.After(exitFetchTimeout):
	}
}
