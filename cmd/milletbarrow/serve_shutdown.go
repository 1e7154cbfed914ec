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

// shutdown holds the deadlines of this process's shutdown. The notice may come more than once, by signal and on the
// admin socket; a repeated notice can only bring the deadlines forward.
type shutdown struct {
	grace, stop time.Duration // counted from the notice
	notified    chan struct{} // receives a value at the first notice

	mu             sync.Mutex // guards the fields below
	draining       bool
	graceEndsAt    time.Time
	stopAt         time.Time
	graceEndsClock monotime.Micros // the same on the host's clock, in microseconds since its boot
	stopClock      monotime.Micros
}

func newShutdown(b *config.Backend) *shutdown {
	return &shutdown{
		stop: time.Duration(b.StopMs * float64(time.Millisecond)), notified: make(chan struct{}, 1),
		grace: time.Duration(b.Settings.Admission.DrainGrace) * time.Microsecond,
	}
}

// notifyBySignal handles the notice of a signal. The signal does not tell when it was sent: after a stall it may have
// been pending since the start of the stall, and the deadlines count from there. Enough time remains to answer all
// requests.
func (s *shutdown) notifyBySignal(dispatcher *dispatch.Dispatcher, bounds limits.Bounds) {
	longest := max(0, s.stop-bounds.RejectBeforeStop-bounds.ExitMargin)
	s.notify(dispatcher, min(dispatcher.MaxSignalDelay(), longest), "signal")
}

// notify handles a notice that was first given the duration ago before now, and starts the drain. by names the source
// of the notice for the log.
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

// noticeResolution is the minimum by which a repeated notice has to bring the stop forward; one that differs less is a
// duplicate of the same notice.
const noticeResolution = 5 * time.Millisecond

// describe adds the shutdown window, and a shutdown in progress, to the state that the admin socket serves.
func (s *shutdown) describe(state *admin.State) {
	state.Grace = monotime.FromDuration(s.grace)
	state.ExitTimeout = monotime.FromDuration(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		state.Ready = false
		state.Draining = true
		state.GraceEnds = s.graceEndsClock
		state.StopBy = s.stopClock
	}
}

// times returns the current deadlines.
func (s *shutdown) times() (grace, stop time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.graceEndsAt, s.stopAt
}

// drain serves until the grace period ends, then stops accepting, and returns once every request is answered and the
// callers have closed their connections, or shortly before the stop deadline.
func drain(server *backendserver.Server, s *shutdown, bounds limits.Bounds) {
	awaitGrace(s, bounds)
	server.StopAccepting()
	closing := func() time.Time { _, stop := s.times(); return stop.Add(-bounds.ExitMargin) }
	last := func() time.Time { _, stop := s.times(); return stop.Add(-bounds.ExitMarginUnwritten) }
	idleChecks := 0 // consecutive
	for now := time.Now(); now.Before(closing()) ||
		now.Before(last()) && (!server.AllClosed() || !server.AllAnswered()); now = time.Now() {
		if !now.Before(closing()) { // tells the callers that are still connected that no more answers follow
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

// The process ends once more than maxIdleChecks consecutive checks found the server idle and without connections.
const maxIdleChecks = 3

// awaitGrace returns at the end of the grace period, or earlier to leave enough time before the stop deadline.
func awaitGrace(s *shutdown, bounds limits.Bounds) {
	for { // polls, as a repeated notice may bring the end forward
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
