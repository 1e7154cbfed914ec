// Package supervisor is the small process beside each instance that outlives the agent: it starts the instance, tells
// it to leave, sees to it that it leaves within its window, and remembers what happened. What it decides stands in
// Guard, which does no I/O and holds no clock.
package supervisor

import (
	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
)

// Micros as in fleet.
type Micros = fleet.Micros

// Times of a guard, each once.
const (
	hearBy    Micros = 250_000 // after the notice; an instance that shows no sign by then is told on its socket too,
	sayEvery  Micros = 200_000 // so often
	heardLate Micros = 100_000 // it may hear so late: by that much its module shortens the grace (limit NoticeLate)
	killAhead Micros = 150_000 // a deaf one is killed so long before its grace ends: a kill takes time
	stopSlack Micros = 0       // one that has heard ends by itself before its stop; so long after it is killed
	silentFor Micros = 1_500_000
)

// Act is what the guard wants done.
type Act int

// The acts. Say carries how long ago the notice was first given.
const (
	Term   Act = iota // the notice by signal
	Say               // the notice on the inspection socket
	Finish            // end it and all of its group
)

// Look is one look at the instance; State is nil if it did not answer.
type Look struct{ State *admin.State }

// Guard decides about one life of one instance.
type Guard struct {
	Window fleet.ShutdownWindow
	Began  Micros
	Step   string // the notice taken; empty: none
	ToldAt Micros
	Killed string // why it was killed; empty: it was not

	said     Micros
	termed   bool
	answered bool // it has answered once
	wasReady bool
	last     *admin.State
	lastAt   Micros
	leaving  Micros // it leaves untold, since then; 0: it does not
}

// Tell takes the notice; it tells whether this is news. One notice a life counts.
func (g *Guard) Tell(now Micros, step string) bool {
	if g.Step != "" {
		return false
	}
	g.Step, g.ToldAt = step, now
	return true
}

// Take is a kill that was asked for.
func (g *Guard) Take(cause string) []Act {
	if g.Killed == "" {
		g.Killed = cause
	}
	return []Act{Finish}
}

// Look takes in a look.
func (g *Guard) Look(now Micros, l Look) {
	if l.State == nil {
		return
	}
	g.answered, g.last, g.lastAt = true, l.State, now
	g.wasReady = g.wasReady || l.State.Ready
	if l.State.Draining && g.Step == "" && g.leaving == 0 {
		g.leaving = min(now, Micros(l.State.GraceEnds)-g.Window.Grace)
	}
}

// heard tells whether the instance has said that it leaves in time.
func (g *Guard) heard() bool {
	return g.last != nil && g.last.Draining && Micros(g.last.GraceEnds) <= g.ToldAt+g.Window.Grace+heardLate
}

// Next says what is to be done now. It is asked at every look, and as often as time limits need.
func (g *Guard) Next(now Micros) (acts []Act) {
	if g.Killed != "" {
		return []Act{Finish} // again, until it is gone
	}
	since := g.ToldAt
	if g.Step == "" {
		if since = g.leaving; since == 0 {
			return nil
		}
	}
	after := now - since
	if g.Step != "" && !g.termed {
		g.termed = true
		acts = append(acts, Term)
	}
	heard := g.heard() || g.Step == ""
	switch {
	case !heard && after >= g.Window.Grace-killAhead:
		// It would take work in after its grace. What it holds is lost with it; work that runs when nobody may
		// wait for it any more is worse.
		g.Killed = "deaf to the notice"
		return append(acts, Finish)
	case after >= g.Window.ExitTimeout+stopSlack:
		g.Killed = "not ended by its stop"
		return append(acts, Finish)
	case !heard && after >= hearBy && (g.said == 0 || now-g.said >= sayEvery):
		g.said = now
		acts = append(acts, Say)
	}
	return acts
}

// Phase is where the instance is in its life, with the cause where that is not plain.
func (g *Guard) Phase(now Micros) (fleet.Phase, string) {
	since := g.ToldAt
	if g.Step == "" {
		since = g.leaving
	}
	silent := !g.answered || now-g.lastAt > silentFor
	switch {
	case g.Killed != "":
		return fleet.PhaseUnresponsive, g.Killed
	case g.Step != "" && !g.heard() && now-since >= hearBy:
		return fleet.PhaseUnresponsive, "it shows no sign of having heard the notice"
	case since != 0 && now-since >= g.Window.Grace:
		return fleet.PhaseStopping, ""
	case since != 0:
		return fleet.PhaseDraining, ""
	case !g.wasReady && silent:
		return fleet.PhaseStarting, "its socket does not answer"
	case !g.wasReady:
		return fleet.PhaseStarting, "it is not ready"
	case silent:
		return fleet.PhaseUnready, "its socket does not answer"
	case !g.last.Ready:
		return fleet.PhaseUnready, "health checks are answered with bad"
	}
	return fleet.PhaseReady, ""
}
