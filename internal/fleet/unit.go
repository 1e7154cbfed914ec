package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// Unit is one unit of a concurrency quota of the whole fleet. An instance holds it while a rolling update or a cold
// start has the instance in progress, and releases it once it is observed ready, not when the command has a result for
// it: an instance that does not come back counts until an operator releases its unit.
type Unit struct {
	Quota         string          `json:"budget,omitempty"`
	RequestID     string          `json:"turn,omitempty"` // empty: none is requested
	CommandID     string          `json:"for,omitempty"`  // the command that needs it
	Held          bool            `json:"held,omitempty"` // false: it is requested
	NextRequestAt monotime.Micros `json:"next,omitempty"` // no call to the quota store before
	DenialCause   string          `json:"why,omitempty"`  // of the latest denial; empty: none since the last grant

	Standalone bool            `json:"alone,omitempty"` // the unit reserved for this host: the quota store is silent
	StartedAt  monotime.Micros `json:"began,omitempty"` // KindColdStart: start of the launch that uses it; 0: not begun
}

// HeldUnit is a unit that, for the quota store, an instance holds.
type HeldUnit struct {
	Name      string `json:"name"` // of the instance
	Quota     string `json:"budget"`
	RequestID string `json:"turn"`
}

const (
	// unitRetryDelay is the time between two calls about one unit. When all units of a quota are held, the next is
	// released within seconds.
	unitRetryDelay = 300 * monotime.Millisecond
	// maxUnitRetryJitter bounds the random addition to unitRetryDelay, so that hosts do not call together.
	maxUnitRetryJitter = unitRetryDelay / 2
	// maxRequestGap bounds the pause between two requests over which a silence of the quota store continues: a longer
	// time without requests shows nothing.
	maxRequestGap = 10 * unitRetryDelay
)

// holdsUnit reports whether an instance holds a unit for a command, if the command needs one. If it holds none, one is
// requested.
func (m *Machine) holdsUnit(now monotime.Micros, command *Command, inst *Instance) bool {
	if command.Quota == "" || inst.Unit.Held && inst.Unit.CommandID == command.ID {
		return true
	}
	if inst.Unit.RequestID == "" {
		m.newUnitRequest(command, inst)
	}
	if !inst.Unit.Held && inst.Unit.CommandID == command.ID && now >= inst.Unit.NextRequestAt {
		m.requestUnit(now, inst)
	}
	return false
}

// newUnitRequest gives an instance a request for a unit with an ID of its own.
func (m *Machine) newUnitRequest(command *Command, inst *Instance) {
	inst.UnitRequests++
	inst.Unit = Unit{
		Quota:       command.Quota,
		RequestID:   fmt.Sprintf("%s.%s.%d", command.ID, inst.Name, inst.UnitRequests),
		CommandID:   command.ID,
		DenialCause: inst.Unit.DenialCause,
	}
	m.markInstanceChanged(inst)
}

// requestUnit sends the request of an instance to the quota store, for the first time or again.
func (m *Machine) requestUnit(now monotime.Micros, inst *Instance) {
	jitter := monotime.Micros(m.random.Int64N(int64(maxUnitRetryJitter)))
	inst.Unit.NextRequestAt = now + unitRetryDelay + jitter
	// A silence during which nothing was requested shows nothing about the quota store.
	if m.quotaSilentSince == 0 || now-m.lastUnitRequestAt > maxRequestGap {
		m.quotaSilentSince = now
	}
	m.lastUnitRequestAt = now
	m.actions = append(m.actions, Action{
		Kind: ActionAcquireUnit,
		ID:   inst.Unit.RequestID,
		Name: inst.Name,
		Unit: inst.Unit,
	})
}

// unitNeeded reports whether the command still needs the unit of the instance.
func (m *Machine) unitNeeded(inst *Instance) bool {
	command := m.commands[inst.Unit.CommandID]
	if command == nil || !command.usesUnits() || !slices.Contains(command.Names, inst.Name) {
		return false
	}
	return !command.hasResult(inst.Name) && (command.State == CommandOpen || command.InProgress[inst.Name])
}

// usesUnits reports whether the instances of the command may hold units of a quota.
func (c *Command) usesUnits() bool { return c.Kind == KindRollingUpdate || c.Kind == KindColdStart }

// returnUnit releases a unit that is no longer needed.
func (m *Machine) returnUnit(now monotime.Micros, inst *Instance) {
	unit := &inst.Unit
	if unit.RequestID == "" || m.unitNeeded(inst) {
		return
	}
	if !unit.Held && !unit.Standalone { // if it is granted after all, the quota store's list shows it
		*unit = Unit{}
		m.markInstanceChanged(inst)
		return
	}
	startFailed := unit.StartedAt > 0 && inst.LaunchesExhausted
	if (inst.backInService(now) || startFailed) && now >= unit.NextRequestAt {
		unit.NextRequestAt = now + unitRetryDelay
		m.releaseUnit(now, inst, *unit)
	}
}

// releaseUnit sends the release of a unit to the quota store.
func (m *Machine) releaseUnit(now monotime.Micros, inst *Instance, unit Unit) {
	m.actions = append(m.actions, Action{
		Kind:        ActionReleaseUnit,
		ID:          unit.RequestID,
		Name:        inst.Name,
		Unit:        unit,
		StartResult: inst.startResult(now),
	})
}

// handleUnitAcquired applies the answer to a unit request.
func (m *Machine) handleUnitAcquired(now monotime.Micros, inst *Instance, answer UnitAcquired) {
	unit := &inst.Unit
	m.quotaSilentSince = 0
	switch {
	case unit.RequestID != answer.RequestID:
		if answer.Granted {
			m.returnStrayUnit(now, inst, answer.HeldUnit)
		}
	case unit.Standalone: // the start began meanwhile
		unit.Held = answer.Granted
	case answer.Granted:
		unit.grant(now)
		m.recordEvent(now, inst, eventUnitAcquired, unit.Quota)
	default:
		if unit.DenialCause != answer.Cause {
			m.recordEvent(now, inst, eventUnitDenied, unit.Quota+": "+answer.Cause)
		}
		unit.deny(answer.Cause)
	}
	m.markInstanceChanged(inst)
}

// grant marks a requested unit as held.
func (u *Unit) grant(now monotime.Micros) {
	u.Held = true
	u.NextRequestAt = now
	u.DenialCause = ""
}

// deny forgets a request. The next attempt gets an ID of its own, as another call with this ID may yet arrive.
func (u *Unit) deny(cause string) {
	*u = Unit{NextRequestAt: u.NextRequestAt, DenialCause: cause}
}

// returnStrayUnit releases a unit held for a request that nobody remembers, once the instance is back in service.
func (m *Machine) returnStrayUnit(now monotime.Micros, inst *Instance, stray HeldUnit) {
	if inst.backInService(now) {
		m.releaseUnit(now, inst, Unit{Quota: stray.Quota, RequestID: stray.RequestID, Held: true})
	}
}

// handleUnitReleased forgets a unit that the quota store took back. Another request may have begun meanwhile.
func (m *Machine) handleUnitReleased(now monotime.Micros, released UnitReleased) {
	m.quotaSilentSince = 0
	inst := m.instances[released.Name]
	if inst == nil || inst.Unit.RequestID != released.RequestID {
		return
	}
	inst.Unit = Unit{}
	m.recordEvent(now, inst, eventUnitReleased, "")
	m.markInstanceChanged(inst)
}

// handleUnitsListed releases the units that the quota store lists and no instance remembers.
func (m *Machine) handleUnitsListed(now monotime.Micros, listed UnitsListed) {
	for _, held := range listed.Units {
		inst := m.instances[held.Name]
		if inst != nil && inst.Unit.RequestID != held.RequestID {
			m.returnStrayUnit(now, inst, held)
		}
	}
}
