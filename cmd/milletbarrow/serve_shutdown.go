package main

import (
	"log/slog"
	"sync"
	"time"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/backend/dispatch"
	backendserver "milletbarrow/internal/backend/server"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// shutdown is when this process ends. The notice may come more than once, by signal and on the admin socket; a later
// one can only bring the times forward.
type shutdown struct {
	grace, stop time.Duration // from the notice on
	notified    chan struct{} // gets one at the first notice

	mu             sync.Mutex // guards the fields below
	draining       bool
	graceEndsAt    time.Time
	stopAt         time.Time
	graceEndsClock monotime.Micros // the same on the machine's clock, microseconds since its start
	stopClock      monotime.Micros
}

func newShutdown(b *config.Backend) *shutdown {
	return &shutdown{
		stop: time.Duration(b.StopMs * float64(time.Millisecond)), notified: make(chan struct{}, 1),
		grace: time.Duration(b.Settings.Admission.DrainGrace) * time.Microsecond,
	}
}

// notify takes a notice that was first given a time ago, and has the dispatcher drain. by names its source, for the
// log.
func (s *shutdown) notify(dispatcher *dispatch.Dispatcher, ago time.Duration, by string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, clock := time.Now(), process.Now()
	stopAt, graceEndsAt := now.Add(s.stop-ago), now.Add(s.grace-ago)
	if s.draining && !stopAt.Before(s.stopAt.Add(-noticeResolution)) {
		return
	}
	s.graceEndsAt, s.stopAt = graceEndsAt, stopAt
	s.graceEndsClock, s.stopClock = clock+monotime.FromDuration(s.grace-ago), clock+monotime.FromDuration(s.stop-ago)
	stopMillis := float64((s.stop - ago).Microseconds()) / microsPerMillisecond
	slog.Info("drain", "stop_ms", stopMillis, "by", by, "ago_ms", ago.Milliseconds())
	dispatcher.Drain(monotime.FromDuration(s.stop-ago), monotime.FromDuration(s.grace-ago))
	if !s.draining {
		s.draining = true
		s.notified <- struct{}{}
	}
}

// noticeResolution is by how much a later notice has to bring the stop forward, to be another one and not the same
// twice.
const noticeResolution = 5 * time.Millisecond

// describe adds the shutdown, where it has begun, to the state that the admin socket serves.
func (s *shutdown) describe(state *admin.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		state.Ready = false
		state.Draining = true
		state.GraceEnds = s.graceEndsClock
		state.StopBy = s.stopClock
	}
}

// times are those in force now.
func (s *shutdown) times() (grace, stop time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graceEndsAt, s.stopAt
}

// drain serves until the grace is over, then accepts nothing more, and returns once all is answered and the callers
// have closed their connections, or shortly before the stop.
func drain(server *backendserver.Server, s *shutdown, bounds limits.Bounds) {
	awaitGrace(s, bounds)
	server.StopAccepting()
	closing := func() time.Time { _, stop := s.times(); return stop.Add(-bounds.ExitMargin) }
	last := func() time.Time { _, stop := s.times(); return stop.Add(-bounds.ExitMarginUnwritten) }
	idleChecks := 0 // in a row
	for now := time.Now(); now.Before(closing()) ||
		now.Before(last()) && (!server.AllClosed() || !server.AllAnswered()); now = time.Now() {
		if !now.Before(closing()) { // callers still connected by now learn that nothing more comes
			server.CloseAnswered()
		}
		connections, _ := server.Counts()
		if connections == 0 && server.Idle() {
			idleChecks++
		} else {
			idleChecks = 0
		}
		if idleChecks > maxIdleChecks {
			return
		}
		time.Sleep(bounds.ExitMarginUnwritten)
	}
}

// maxIdleChecks is how often in a row a server without connections is looked at before the process ends.
const maxIdleChecks = 3

// awaitGrace returns when the grace is over, and early enough before the stop.
func awaitGrace(s *shutdown, bounds limits.Bounds) {
	for { // looked at again and again, as a later notice may bring it forward
		grace, stop := s.times()
		if latest := stop.Add(-bounds.ExitMargin - bounds.RejectBeforeStop); latest.Before(grace) {
			grace = latest
		}
		left := time.Until(grace)
		if left <= 0 {
			return
		}
		time.Sleep(min(left, bounds.BindRetry))
	}
}
