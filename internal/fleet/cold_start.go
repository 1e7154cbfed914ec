package fleet

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/failpoint"
)

// Bounds of a host's part in a rise.
const (
	maxPendingUnitRequests = 2         // instances that ask for a unit at once
	standaloneAfter        = 5_000_000 // microseconds without an answer until a host goes on by the one unit that is set aside for it
)

// lift brings a rise forward on this host: what is down asks for a unit, starts once it holds one, and keeps it until it is
// warm or given up. Whose turn it is over all hosts the ledger decides.
func (m *Machine) advanceColdStart(now Micros, c *Command) {
	asked, alone := 0, false
	for _, n := range m.instanceNames {
		in := m.instances[n]
		alone = alone || in.Unit.Standalone && !in.backInService(now) && !in.LaunchesExhausted // warm it needs none, whoever has yet to hear of it
	}
	for _, n := range c.Names {
		if _, over := c.Results[n]; over {
			continue
		}
		in := m.instances[n]
		switch {
		case in == nil:
			m.recordResult(now, c, n, OutcomeFailed, "the fleet's file no longer names it")
			continue
		case c.InProgress[n] || in.DesiredUp: // under way, by this or by somebody else's word
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

// risen is how a start came out that held a unit.
func (in *Instance) startResult(now Micros) coldstart.Outcome {
	e := coldstart.Outcome{Ready: in.available(now), Cause: in.Cause}
	if e.Ready && in.Unit.StartedAt > 0 {
		e.Took = coldstart.Micros(max(0, in.ReadySince-in.Unit.StartedAt))
	}
	return e
}

// tellRise has the ledger hear that one is up that never asked for a unit: as if it gave one back.
func (in *Instance) reportAlreadyRunning(c *Command) {
	if c.Kind == KindColdStart && in.Unit.RequestID == "" {
		in.Unit = Unit{Quota: c.Quota, RequestID: c.ID + "." + in.Name + ".0", CommandID: c.ID, Held: true}
	}
}
