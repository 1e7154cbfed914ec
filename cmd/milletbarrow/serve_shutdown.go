package main

import (
	"log/slog"
	"sync"
	"time"

	"milletbarrow/internal/backend/dispatch"
	backendserver "milletbarrow/internal/backend/server"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// shutdown is when this process ends. The notice may come more than once, by signal and on the admin socket; a later one
// can only bring the times forward.
type shutdown struct {
	grace, stop time.Duration // from the notice on
	notified    chan struct{} // gets one at the first notice

	mu             sync.Mutex // guards what follows
	draining       bool
	graceEndsAt    time.Time
	stopAt         time.Time
	graceEndsClock int64 // the same on the machine's clock, microseconds since its start
	stopClock      int64
}

func newShutdown(b *config.Backend) *shutdown {
	return &shutdown{
		stop: time.Duration(b.StopMs * float64(time.Millisecond)), notified: make(chan struct{}, 1),
		grace: time.Duration(b.Settings.Admission.DrainGrace) * time.Microsecond,
	}
}

// notify takes a notice that was first given so long ago, and has the dispatcher drain.
func (d *shutdown) notify(dispatcher *dispatch.Dispatcher, ago time.Duration, by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, clock := time.Now(), process.Now()
	stopAt, graceEndsAt := now.Add(d.stop-ago), now.Add(d.grace-ago)
	const noticeable = 5 * time.Millisecond
	if d.draining && !stopAt.Before(d.stopAt.Add(-noticeable)) {
		return
	}
	d.graceEndsAt, d.stopAt = graceEndsAt, stopAt
	d.graceEndsClock, d.stopClock = clock+(d.grace-ago).Microseconds(), clock+(d.stop-ago).Microseconds()
	slog.Info("drain", "stop_ms", float64((d.stop-ago).Microseconds())/1000, "by", by, "ago_ms", ago.Milliseconds())
	dispatcher.Drain(dispatch.Micros((d.stop - ago).Microseconds()), dispatch.Micros((d.grace - ago).Microseconds()))
	if !d.draining {
		d.draining = true
		d.notified <- struct{}{}
	}
}

// times are those in force now.
func (d *shutdown) times() (grace, stop time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.graceEndsAt, d.stopAt
}

// drain serves until the grace is over, then accepts nothing more, and returns once all is answered and the callers
// have closed their connections, or shortly before the stop.
func drain(server *backendserver.Server, d *shutdown, bounds limits.Bounds) {
	awaitGrace(d, bounds)
	server.StopAccepting()
	closing := func() time.Time { _, stop := d.times(); return stop.Add(-bounds.ExitMargin) }
	last := func() time.Time { _, stop := d.times(); return stop.Add(-bounds.ExitMarginUnwritten) }
	idleChecks := 0 // in a row
	for now := time.Now(); now.Before(closing()) || now.Before(last()) && (!server.AllClosed() || !server.AllAnswered()); now = time.Now() {
		if !now.Before(closing()) { // whoever has not gone by now is told that nothing more comes
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
func awaitGrace(d *shutdown, bounds limits.Bounds) {
	for { // looked at again and again, as a later notice may bring it forward
		grace, stop := d.times()
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
