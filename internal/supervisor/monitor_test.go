package supervisor

import (
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

const second monotime.Micros = 1_000_000

// endLead is how long before its stop the fake instance ends by itself.
const endLead monotime.Micros = 30_000

var usual = fleet.ShutdownWindow{Grace: 2 * second, ExitTimeout: 3200_000}

// fake is an instance as a monitor may meet it: it may be deaf to the signal, to its socket, or to both, may be
// stopped for a while, and may stay beyond its stop.
type fake struct {
	ignoresSignal, ignoresSocket, stays bool
	hearsAtOnce                         bool // the signal; else at its next check
	stopped                             func(monotime.Micros) bool
	signal                              bool // stands before it
	ready                               monotime.Micros
	graceEnds                           monotime.Micros // 0: it has heard nothing
	exited                              bool
	end                                 monotime.Micros
	notices                             []monotime.Micros
}

func (f *fake) leave(now, ago monotime.Micros) {
	if end := now - ago + usual.Grace; f.graceEnds == 0 || end < f.graceEnds {
		f.graceEnds = end
	}
}

func (f *fake) act(now monotime.Micros, m *Monitor, a Action) {
	switch a {
	case SignalShutdown:
		f.signal = true
		if f.hearsAtOnce {
			f.hear(now)
		}
	case NotifySocket:
		f.notices = append(f.notices, now)
		if !f.ignoresSocket && !f.stopped(now) {
			f.leave(now, now-m.NotifiedAt)
		}
	case KillGroup:
		f.exited, f.end = true, now
	}
}

// hear takes a signal that stands before it, unless it is deaf or stopped.
func (f *fake) hear(now monotime.Micros) {
	if f.signal && !f.ignoresSignal && !f.stopped(now) {
		f.signal = false
		f.leave(now, 0)
	}
}

func (f *fake) check(now monotime.Micros) Observation {
	f.hear(now)
	if f.stopped(now) {
		return Observation{}
	}
	if f.graceEnds != 0 && !f.stays && now >= f.graceEnds-usual.Grace+usual.ExitTimeout-endLead {
		f.exited, f.end = true, now
	}
	s := admin.State{Ready: now >= f.ready && f.graceEnds == 0}
	if f.graceEnds != 0 {
		s.Draining, s.GraceEnds = true, f.graceEnds
	}
	return Observation{&s}
}

// takesIn reports whether it would let work run that arrives now.
func (f *fake) takesIn(now monotime.Micros) bool {
	return !f.exited && !f.stopped(now) && (f.graceEnds == 0 || now < f.graceEnds)
}

func never(monotime.Micros) bool { return false }

// TestMonitor: what becomes of an instance in each kind of fault.
func TestMonitor(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, c := range []struct {
		what string
		f    fake
	}{
		{"hears the signal", fake{stopped: never}},
		{"is deaf to the signal, hears its socket", fake{ignoresSignal: true, stopped: never}},
		{"is deaf to both", fake{ignoresSignal: true, ignoresSocket: true, stopped: never}},
		{"is stopped for good", fake{stopped: func(now monotime.Micros) bool { return now > 9*second }}},
		{"is stopped for a second", fake{stopped: func(now monotime.Micros) bool { return now > 10*second-1 && now < 11*second }}},
		{"hears, and stays beyond its stop", fake{stays: true, stopped: never}},
	} {
		f := c.f
		m := &Monitor{Window: usual}
		tr.Say("%s", c.what)
		was := fleet.Phase("")
		for now := monotime.Micros(0); now < 20*second && !f.exited; now += 25_000 {
			if now == 10*second {
				tr.Say("  told: %t, again: %t", m.RecordNotice(now, "s1"), m.RecordNotice(now, "s2"))
			}
			m.Observe(now, f.check(now))
			if f.exited {
				break
			}
			for _, a := range m.NextActions(now) {
				f.act(now, m, a)
			}
			if p, cause := m.Phase(now); p != was {
				tr.Say("  %7.3f s %s %s", float64(now-10*second)/1e6, p, cause)
				was = p
			}
		}
		tr.Say("  gone %t after %.3f s, said %d times, killed %q", f.exited, float64(f.end-10*second)/1e6, len(f.notices), m.KillCause)
	}
}

// TestMonitorAlways: whatever an instance does, it takes in nothing that arrives after its grace (but for the little
// by which it may hear late), is gone shortly after its stop, and is killed only where it left no choice.
func TestMonitorAlways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from := monotime.Micros(rapid.IntRange(0, 40).Draw(t, "stopped from")) * 100_000
		till := from + monotime.Micros(rapid.IntRange(0, 50).Draw(t, "for"))*100_000
		f := fake{
			ignoresSignal: rapid.Bool().Draw(t, "deaf to the signal"), ignoresSocket: rapid.Bool().Draw(t, "to its socket"),
			stays: rapid.Bool().Draw(t, "stays"), hearsAtOnce: rapid.Bool().Draw(t, "hears at once"), stopped: func(now monotime.Micros) bool { return now >= from && now < till },
		}
		m := &Monitor{Window: usual}
		notifiedAt := monotime.Micros(rapid.IntRange(1, 40).Draw(t, "told")) * 100_000
		for now := monotime.Micros(0); now < 12*second && !f.exited; now += monotime.Micros(rapid.IntRange(1000, 40_000).Draw(t, "step")) {
			if now >= notifiedAt {
				m.RecordNotice(now, "s")
			}
			m.Observe(now, f.check(now))
			if !f.exited {
				for _, a := range m.NextActions(now) {
					f.act(now, m, a)
				}
			}
			if m.NoticeID != "" && now > m.NotifiedAt+usual.Grace+lateNoticeAllowance && f.takesIn(now) {
				t.Fatalf("takes work in %d us after the notice: %+v, %+v", now-m.NotifiedAt, f, m)
			}
		}
		if !f.exited || f.end > m.NotifiedAt+usual.ExitTimeout+stopMargin+50_000 {
			t.Fatalf("not gone in time: %+v, %+v", f, m)
		}
		// It counts its stop from when it heard: one that hears later than it ends early is past its stop by then.
		heardInTime := f.graceEnds != 0 && f.graceEnds-usual.Grace-m.NotifiedAt < endLead
		meek := !f.stays && till <= from && !f.ignoresSignal && (f.hearsAtOnce || heardInTime)
		if meek && m.KillCause != "" {
			t.Fatalf("killed without need: %s", m.KillCause)
		}
	})
}
