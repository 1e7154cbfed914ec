package supervisor

import (
	"log/slog"
	"time"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// recordExit writes down how the instance ended.
func (s *supervisor) recordExit(end fleet.Exit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := process.Now()
	if end.KillReason = s.monitor.KillCause; end.KillReason != "" {
		end.Code, end.Unobserved = -1, false
	}
	end.Uptime = now - s.record.StartedAt
	if s.record.NoticeID != "" {
		end.DrainTime = now - s.record.NotifiedAt
	}
	s.record.Ended, s.record.End = true, end
	_ = s.writeRecord() // logged there; whoever asks in time gets it from the socket
	slog.Info("ended", "name", s.options.Name, "run", s.options.Incarnation, "how", end.String(), "after_ms", end.DrainTime/1000)
	s.publish()
}

// awaitExitFetched stays a moment, so that an agent that waits learns of the exit at once; later the file tells it.
func (s *supervisor) awaitExitFetched() {
	const (
		timeout  = 500 * time.Millisecond
		interval = time.Millisecond
	)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		s.mu.Lock()
		fetched := s.exitFetched
		s.mu.Unlock()
		if fetched {
			time.Sleep(s.options.Bounds.PollInterval) // the answer goes out
			return
		}
	}
}
