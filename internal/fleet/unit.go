package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// Unit is one unit of a concurrency quota that the whole fleet shares, held by an instance while a rolling update or a
// cold start has it in progress. It is released once the instance is observed ready, not when the command has a result
// for it: what does not come back counts until an operator writes it off.
type Unit struct {
	Quota         string          `json:"budget,omitempty"`
	RequestID     string          `json:"turn,omitempty"` // empty: none is requested
	CommandID     string          `json:"for,omitempty"`  // the command that it is for
	Held          bool            `json:"held,omitempty"` // else it is requested
	NextRequestAt monotime.Micros `json:"next,omitempty"` // no call to the quota store before
	DenialCause   string          `json:"why,omitempty"`  // why the latest request was denied

	Standalone bool            `json:"alone,omitempty"` // the unit reserved for this host is used, as the quota store does not answer
	StartedAt  monotime.Micros `json:"began,omitempty"` // KindColdStart: when the start began that holds it
}

// HeldUnit is a unit that an instance holds.
type HeldUnit struct {
	Name      string `json:"name"`
	Quota     string `json:"budget"`
	RequestID string `json:"turn"`
}

// unitRetryDelay is the time between two calls about one unit, in microseconds: where all units of a quota are held the
// next is released within seconds.
const unitRetryDelay = 300_000

// maxRequestGap is how far two unit requests may be apart for the silence after the first to count with the second.
const maxRequestGap = 10 * unitRetryDelay

// holdsUnit reports whether an instance holds a unit for a command; else one is requested.
func (m *Machine) holdsUnit(now monotime.Micros, command *Command, inst *Instance) bool {
	if command.Quota == "" || inst.Unit.Held && inst.Unit.CommandID == command.ID {
		return true
	}
	if inst.Unit.RequestID == "" {
		inst.UnitRequests++
		inst.Unit = Unit{Quota: command.Quota, RequestID: fmt.Sprintf("%s.%s.%d", command.ID, inst.Name, inst.UnitRequests), CommandID: command.ID, DenialCause: inst.Unit.DenialCause}
		m.markInstanceChanged(inst)
	}
	if !inst.Unit.Held && inst.Unit.CommandID == command.ID && now >= inst.Unit.NextRequestAt {
		inst.Unit.NextRequestAt = now + unitRetryDelay + monotime.Micros(m.random.Int64N(unitRetryDelay/2))
		if m.quotaSilentSince == 0 || now-m.lastUnitRequestAt > maxRequestGap { // a silence while nothing was requested says nothing
			m.quotaSilentSince = now
		}
		m.lastUnitRequestAt = now
		m.actions = append(m.actions, Action{Name: inst.Name, ID: inst.Unit.RequestID, Kind: ActionAcquireUnit, Unit: inst.Unit})
	}
	return false
}

// unitNeeded reports whether the command still has use for the unit of the instance.
func (m *Machine) unitNeeded(inst *Instance) bool {
	command := m.commands[inst.Unit.CommandID]
	if command == nil || command.Kind != KindRollingUpdate && command.Kind != KindColdStart || !slices.Contains(command.Names, inst.Name) {
		return false
	}
	_, over := command.Results[inst.Name]
	return !over && (command.State == CommandOpen || command.InProgress[inst.Name])
}

// backInService reports whether an instance serves again, or is down as desired.
func (inst *Instance) backInService(now monotime.Micros) bool {
	return inst.available(now) || !inst.DesiredUp && inst.Phase.Down()
}

// returnUnit releases a unit that is of no more use.
func (m *Machine) returnUnit(now monotime.Micros, inst *Instance) {
	u := &inst.Unit
	switch {
	case u.RequestID == "" || m.unitNeeded(inst):
	case !u.Held && !u.Standalone: // if it is granted all the same, the store's list shows it
		*u = Unit{}
		m.markInstanceChanged(inst)
	case (inst.backInService(now) || u.StartedAt > 0 && inst.LaunchesExhausted) && now >= u.NextRequestAt:
		u.NextRequestAt = now + unitRetryDelay
		m.actions = append(m.actions, Action{Name: inst.Name, ID: u.RequestID, Kind: ActionReleaseUnit, Unit: *u, StartResult: inst.startResult(now)})
	}
}

// handleUnitAcquired takes in the answer to a unit request.
func (m *Machine) handleUnitAcquired(now monotime.Micros, inst *Instance, e UnitAcquired) {
	u := &inst.Unit
	m.quotaSilentSince = 0
	switch {
	case u.RequestID != e.RequestID:
		if e.Granted {
			m.returnStrayUnit(now, inst, e.HeldUnit)
		}
	case u.Standalone: // the start began meanwhile
		u.Held = e.Granted
	case e.Granted:
		u.Held, u.NextRequestAt, u.DenialCause = true, now, ""
		m.recordEvent(now, inst, "unit taken", u.Quota)
	default: // the next attempt gets an ID of its own: this one may be in a call that has yet to arrive
		if u.DenialCause != e.Cause {
			m.recordEvent(now, inst, "waits for a unit", u.Quota+": "+e.Cause)
		}
		*u = Unit{NextRequestAt: u.NextRequestAt, DenialCause: e.Cause}
	}
	m.markInstanceChanged(inst)
}

// returnStrayUnit releases a unit held for a request that nobody remembers, once the instance is back in service.
func (m *Machine) returnStrayUnit(now monotime.Micros, inst *Instance, h HeldUnit) {
	if inst.backInService(now) {
		m.actions = append(m.actions, Action{Name: inst.Name, ID: h.RequestID, Kind: ActionReleaseUnit, Unit: Unit{Quota: h.Quota, RequestID: h.RequestID, Held: true}, StartResult: inst.startResult(now)})
	}
}

// handleUnitReleased takes in that a unit is back at the quota store. Another request may have begun meanwhile.
func (m *Machine) handleUnitReleased(now monotime.Micros, e UnitReleased) {
	m.quotaSilentSince = 0
	if inst := m.instances[e.Name]; inst != nil && inst.Unit.RequestID == e.RequestID {
		inst.Unit = Unit{}
		m.recordEvent(now, inst, "unit given back", "")
		m.markInstanceChanged(inst)
	}
}

// handleUnitsListed releases the units that the quota store lists and no instance remembers.
func (m *Machine) handleUnitsListed(now monotime.Micros, e UnitsListed) {
	for _, h := range e.Units {
		if inst := m.instances[h.Name]; inst != nil && inst.Unit.RequestID != h.RequestID {
			m.returnStrayUnit(now, inst, h)
		}
	}
}
