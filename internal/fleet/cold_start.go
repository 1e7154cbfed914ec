package fleet

import (
	"fmt"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

// Per-host bounds of a cold start.
const (
	maxPendingUnitRequests = 2 // instances that request a unit at once
	// standaloneAfter is the time without an answer from the quota store after which a host starts instances with the
	// one unit that is reserved for it.
	standaloneAfter = 5 * monotime.Second
)

// coldStartStep is the next step of one instance in a cold start.
type coldStartStep int

const (
	coldStartSkip            coldStartStep = iota // nothing: it is not down, or the command begins nothing new
	coldStartAwaitUnit                            // its request for a unit is pending
	coldStartBegin                                // it holds a unit
	coldStartBeginStandalone                      // the quota store does not answer; the host's reserved unit is used
)

// advanceColdStart starts the instances of this host that are down: each requests a unit, starts once it holds one, and
// keeps it until it has settled or its launches are exhausted. The quota store decides which hosts get units first.
func (m *Machine) advanceColdStart(now monotime.Micros, command *Command) {
	pending := 0
	standalone := m.standaloneStartInProgress(now)
	for _, name := range command.Names {
		if command.hasResult(name) {
			continue
		}
		inst := m.instances[name]
		if inst == nil {
			m.recordResult(now, command, name, OutcomeFailed, causeNotInSpec)
			continue
		}
		if command.InProgress[name] || inst.DesiredUp { // in progress, by this command or by another
			m.resolveCommand(now, inst)
			continue
		}
		switch m.nextColdStartStep(now, command, inst, standalone) {
		case coldStartSkip:
		case coldStartAwaitUnit:
			pending++
			if pending >= maxPendingUnitRequests {
				return
			}
		case coldStartBeginStandalone:
			standalone = true
			inst.Unit.Standalone = true
			m.recordEvent(now, inst, eventStandaloneStart,
				fmt.Sprintf("it has not answered for %d ms", (now-m.quotaSilentSince)/monotime.Millisecond))
			m.beginColdStart(now, command, inst)
		case coldStartBegin:
			m.beginColdStart(now, command, inst)
		}
	}
}

// standaloneStartInProgress reports whether the unit reserved for this host is in use.
func (m *Machine) standaloneStartInProgress(now monotime.Micros) bool {
	for _, name := range m.instanceNames {
		inst := m.instances[name]
		if inst.Unit.Standalone && !inst.backInService(now) && !inst.LaunchesExhausted {
			return true
		}
	}
	return false
}

// nextColdStartStep decides the next step of an instance that is not in progress, and requests a unit for it if it may
// start and holds none. standalone reports whether the unit reserved for this host is in use.
func (m *Machine) nextColdStartStep(
	now monotime.Micros, command *Command, inst *Instance, standalone bool,
) coldStartStep {
	if command.State != CommandOpen || !inst.Phase.Down() {
		return coldStartSkip
	}
	if m.ensureUnit(now, command, inst) || failpoint.Enabled(failpoint.IgnoreStartPermit) {
		return coldStartBegin
	}
	quotaSilent := m.quotaSilentSince != 0 && now-m.quotaSilentSince >= standaloneAfter
	if quotaSilent && !standalone {
		return coldStartBeginStandalone
	}
	return coldStartAwaitUnit
}

// beginColdStart starts an instance that holds a unit, or uses the host's reserved one.
func (m *Machine) beginColdStart(now monotime.Micros, command *Command, inst *Instance) {
	command.InProgress[inst.Name] = true
	m.restartInstance(now, inst)
	inst.Unit.StartedAt = now
	m.markCommandChanged(command)
	m.advance(now, inst)
}

// startResult returns the outcome of a start that held a unit.
func (inst *Instance) startResult(now monotime.Micros) coldstart.Outcome {
	outcome := coldstart.Outcome{Ready: inst.available(now), Cause: inst.Cause}
	if outcome.Ready && inst.Unit.StartedAt > 0 {
		outcome.Took = max(0, inst.ReadySince-inst.Unit.StartedAt)
	}
	return outcome
}

// reportAlreadyRunning reports to the quota store an instance that serves without ever having requested a unit. The
// report is the release of a unit, which the instance is therefore marked as holding.
func (inst *Instance) reportAlreadyRunning(command *Command) {
	if command.Kind != KindColdStart || inst.Unit.RequestID != "" {
		return
	}
	inst.Unit = Unit{
		Quota:     command.Quota,
		RequestID: command.ID + "." + inst.Name + ".0",
		CommandID: command.ID,
		Held:      true,
	}
}
