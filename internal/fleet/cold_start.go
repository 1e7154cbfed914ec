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
func (m *Machine) advanceColdStart(now monotime.Micros, command *Command) {
	asked, alone := 0, false
	for _, name := range m.instanceNames {
		inst := m.instances[name]
		alone = alone || inst.Unit.Standalone && !inst.backInService(now) && !inst.LaunchesExhausted
	}
	for _, name := range command.Names {
		if _, over := command.Results[name]; over {
			continue
		}
		inst := m.instances[name]
		switch {
		case inst == nil:
			m.recordResult(now, command, name, OutcomeFailed, notInSpec)
			continue
		case command.InProgress[name] || inst.DesiredUp: // in progress, by this command or by another
			m.resolveCommand(now, inst)
			continue
		case command.State != CommandOpen || !inst.Phase.Down():
			continue
		case m.holdsUnit(now, command, inst), failpoint.Enabled(failpoint.IgnoreStartPermit):
		case !alone && m.quotaSilentSince != 0 && now-m.quotaSilentSince >= standaloneAfter:
			alone, inst.Unit.Standalone = true, true
			m.recordEvent(now, inst, "starts without the ledger", fmt.Sprintf("it has not answered for %d ms", (now-m.quotaSilentSince)/1000))
		default:
			if asked++; asked >= maxPendingUnitRequests {
				return
			}
			continue
		}
		command.InProgress[name] = true
		m.restartInstance(now, inst)
		inst.Unit.StartedAt = now
		m.markCommandChanged(command)
		m.advance(now, inst)
	}
}

// startResult is how a start that held a unit came out.
func (inst *Instance) startResult(now monotime.Micros) coldstart.Outcome {
	e := coldstart.Outcome{Ready: inst.available(now), Cause: inst.Cause}
	if e.Ready && inst.Unit.StartedAt > 0 {
		e.Took = max(0, inst.ReadySince-inst.Unit.StartedAt)
	}
	return e
}

// reportAlreadyRunning has the quota store learn of an instance that serves and never requested a unit, as if it
// released one.
func (inst *Instance) reportAlreadyRunning(command *Command) {
	if command.Kind == KindColdStart && inst.Unit.RequestID == "" {
		inst.Unit = Unit{Quota: command.Quota, RequestID: command.ID + "." + inst.Name + ".0", CommandID: command.ID, Held: true}
	}
}
