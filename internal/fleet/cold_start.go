package fleet

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

// Bounds of a host's part in a cold start.
const (
	maxPendingUnitRequests = 2         // instances that request a unit at once
	standaloneAfter        = 5_000_000 // microseconds without an answer until a host goes on with the one unit that is reserved for it
)

// advanceColdStart starts what is down on this host: each instance requests a unit, starts once it holds one, and keeps it
// until it is settled or given up. The quota store decides which hosts get units first.
func (m *Machine) advanceColdStart(now monotime.Micros, c *Command) {
	asked, alone := 0, false
	for _, n := range m.instanceNames {
		in := m.instances[n]
		alone = alone || in.Unit.Standalone && !in.backInService(now) && !in.LaunchesExhausted
	}
	for _, n := range c.Names {
		if _, over := c.Results[n]; over {
			continue
		}
		in := m.instances[n]
		switch {
		case in == nil:
			m.recordResult(now, c, n, OutcomeFailed, notInSpec)
			continue
		case c.InProgress[n] || in.DesiredUp: // in progress, by this command or by another
			m.resolveCommand(now, in)
			continue
		case c.State != CommandOpen || !in.Phase.Down():
			continue
		case m.holdsUnit(now, c, in), failpoint.Enabled(failpoint.IgnoreStartPermit):
		case !alone && m.quotaSilentSince != 0 && now-m.quotaSilentSince >= standaloneAfter:
			alone, in.Unit.Standalone = true, true
			m.recordEvent(now, in, "starts without the ledger", fmt.Sprintf("it has not answered for %d ms", (now-m.quotaSilentSince)/1000))
		default:
			if asked++; asked >= maxPendingUnitRequests {
				return
			}
			continue
		}
		c.InProgress[n] = true
		m.restartInstance(now, in)
		in.Unit.StartedAt = now
		m.markCommandChanged(c)
		m.advance(now, in)
	}
}

// startResult is how a start that held a unit came out.
func (in *Instance) startResult(now monotime.Micros) coldstart.Outcome {
	e := coldstart.Outcome{Ready: in.available(now), Cause: in.Cause}
	if e.Ready && in.Unit.StartedAt > 0 {
		e.Took = max(0, in.ReadySince-in.Unit.StartedAt)
	}
	return e
}

// reportAlreadyRunning has the quota store learn of an instance that serves and never requested a unit, as if it
// released one.
func (in *Instance) reportAlreadyRunning(c *Command) {
	if c.Kind == KindColdStart && in.Unit.RequestID == "" {
		in.Unit = Unit{Quota: c.Quota, RequestID: c.ID + "." + in.Name + ".0", CommandID: c.ID, Held: true}
	}
}
