package supervisor

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// exitMargin is how long before its exit timeout the fake instance exits by itself.
const exitMargin = 30 * millisecond

// fakeInstance simulates an instance with the faults that a monitor must handle.
type fakeInstance struct {
	ignoresSignal bool
	ignoresSocket bool
	neverExits    bool                       // does not exit by itself
	signalsAtOnce bool                       // handles a signal when it arrives rather than at the next health check
	stopped       func(monotime.Micros) bool // reports whether the process is suspended at a time
	readyAt       monotime.Micros

	signalPending bool
	graceEnds     monotime.Micros // 0: it was not notified
	exited        bool
	exitedAt      monotime.Micros
	socketNotices []monotime.Micros
}

// drain starts the grace period of a notice that was sent sinceNotice ago. Of several notices the earliest end counts.
func (f *fakeInstance) drain(now, sinceNotice monotime.Micros) {
	if end := now - sinceNotice + testWindow.Grace; f.graceEnds == 0 || end < f.graceEnds {
		f.graceEnds = end
	}
}

// exit ends the process.
func (f *fakeInstance) exit(now monotime.Micros) {
	f.exited = true
	f.exitedAt = now
}

// perform performs an action of the monitor on the instance.
func (f *fakeInstance) perform(now monotime.Micros, m *Monitor, a Action) {
	switch a {
	case SignalShutdown:
		f.signalPending = true
		if f.signalsAtOnce {
			f.handleSignal(now)
		}
	case NotifySocket:
		f.socketNotices = append(f.socketNotices, now)
		if !f.ignoresSocket && !f.stopped(now) {
			f.drain(now, now-m.NotifiedAt)
		}
	case KillGroup:
		f.exit(now)
	}
}

// handleSignal handles a pending signal, unless the instance ignores it or is suspended.
func (f *fakeInstance) handleSignal(now monotime.Micros) {
	if f.signalPending && !f.ignoresSignal && !f.stopped(now) {
		f.signalPending = false
		f.drain(now, 0)
	}
}

// check returns the outcome of a health check.
func (f *fakeInstance) check(now monotime.Micros) Observation {
	f.handleSignal(now)
	if f.stopped(now) {
		return Observation{RequestedAt: now}
	}
	if f.graceEnds != 0 && !f.neverExits && now >= f.graceEnds-testWindow.Grace+testWindow.ExitTimeout-exitMargin {
		f.exit(now)
	}
	s := admin.State{Ready: now >= f.readyAt && f.graceEnds == 0}
	if f.graceEnds != 0 {
		s.Draining = true
		s.GraceEnds = f.graceEnds
	}
	return Observation{RequestedAt: now, State: &s}
}

// admits reports whether the instance would admit a request that arrives now.
func (f *fakeInstance) admits(now monotime.Micros) bool {
	return !f.exited && !f.stopped(now) && (f.graceEnds == 0 || now < f.graceEnds)
}

func never(monotime.Micros) bool { return false }

// TestMonitorTraceForEachInstanceFault compares the phases and the end of an instance with each kind of fault with a
// golden trace.
func TestMonitorTraceForEachInstanceFault(t *testing.T) {
	const notifiedAt = 10 * second
	trace := fakes.NewTrace(t)
	for _, test := range []struct {
		name     string // a line of the trace
		instance fakeInstance
	}{
		{"acknowledges the signal", fakeInstance{stopped: never}},
		{"ignores the signal, acknowledges on its socket", fakeInstance{ignoresSignal: true, stopped: never}},
		{"ignores the signal and its socket", fakeInstance{ignoresSignal: true, ignoresSocket: true, stopped: never}},
		{"is suspended for good", fakeInstance{
			stopped: func(now monotime.Micros) bool { return now > 9*second },
		}},
		{"is suspended for a second", fakeInstance{
			stopped: func(now monotime.Micros) bool { return now > notifiedAt-1 && now < notifiedAt+second },
		}},
		{"acknowledges, and does not exit by itself", fakeInstance{neverExits: true, stopped: never}},
	} {
		f := test.instance
		m := &Monitor{Window: testWindow}
		trace.Say("%s", test.name)
		last := fleet.Phase("")
		for now := monotime.Micros(0); now < 20*second && !f.exited; now += 25 * millisecond {
			if now == notifiedAt {
				recorded, recordedAgain := m.RecordNotice(now, "s1"), m.RecordNotice(now, "s2")
				trace.Say("  first notice recorded: %t, second: %t", recorded, recordedAgain)
			}
			m.Observe(now, f.check(now))
			if f.exited {
				break
			}
			for _, a := range m.NextActions(now) {
				f.perform(now, m, a)
			}
			if phase, cause := m.Phase(now); phase != last {
				trace.Say("  %7.3f s %s %s", (now - notifiedAt).Seconds(), phase, cause)
				last = phase
			}
		}
		trace.Say("  exited: %t after %.3f s, notices on the socket: %d, killed: %q",
			f.exited, (f.exitedAt - notifiedAt).Seconds(), len(f.socketNotices), m.KillCause)
	}
}

// TestShutdownWindowIsKept checks that, whatever an instance does, it admits no request later than
// lateNoticeAllowance after its grace period, has exited shortly after its exit timeout, and is killed only if it did
// not obey the notice.
func TestShutdownWindowIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stoppedFrom := monotime.Micros(rapid.IntRange(0, 40).Draw(t, "stopped from")) * 100 * millisecond
		stoppedUntil := stoppedFrom + monotime.Micros(rapid.IntRange(0, 50).Draw(t, "stopped for"))*100*millisecond
		f := fakeInstance{
			ignoresSignal: rapid.Bool().Draw(t, "ignores signal"),
			ignoresSocket: rapid.Bool().Draw(t, "ignores socket"),
			neverExits:    rapid.Bool().Draw(t, "never exits"),
			signalsAtOnce: rapid.Bool().Draw(t, "handles signals at once"),
			stopped:       func(now monotime.Micros) bool { return now >= stoppedFrom && now < stoppedUntil },
		}
		m := &Monitor{Window: testWindow}
		notifiedAt := monotime.Micros(rapid.IntRange(1, 40).Draw(t, "notified at")) * 100 * millisecond
		nextStep := func() monotime.Micros { return monotime.Micros(rapid.IntRange(1000, 40_000).Draw(t, "step")) }
		for now := monotime.Micros(0); now < 12*second && !f.exited; now += nextStep() {
			if now >= notifiedAt {
				m.RecordNotice(now, "s")
			}
			m.Observe(now, f.check(now))
			if !f.exited {
				for _, a := range m.NextActions(now) {
					f.perform(now, m, a)
				}
			}
			if m.NoticeID != "" && now > m.NotifiedAt+testWindow.Grace+lateNoticeAllowance && f.admits(now) {
				t.Fatalf("admits requests %d us after the notice: %+v, %+v", now-m.NotifiedAt, f, m)
			}
		}
		if !f.exited || f.exitedAt > m.NotifiedAt+testWindow.ExitTimeout+50*millisecond {
			t.Fatalf("not exited in time: %+v, %+v", f, m)
		}
		// The instance counts its exit timeout from when it handled the notice. If it handled it later than exitMargin,
		// it would exit after the exit timeout of the monitor.
		notifiedInTime := f.graceEnds != 0 && f.graceEnds-testWindow.Grace-m.NotifiedAt < exitMargin
		neverStopped := stoppedUntil <= stoppedFrom
		obeys := !f.neverExits && neverStopped && !f.ignoresSignal && (f.signalsAtOnce || notifiedInTime)
		if obeys && m.KillCause != "" {
			t.Fatalf("killed although it obeyed the notice: %s", m.KillCause)
		}
	})
}
