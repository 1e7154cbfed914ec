package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// Unit is one unit of a concurrency quota of the whole fleet. An instance holds it while it is in progress in a rolling
// update or a cold start, and releases it once it is back in service, not when the command has a result for it: an
// instance that does not come back counts against the quota until an operator releases its unit.
type Unit struct {
	Quota         string          `json:"budget,omitempty"`
	RequestID     string          `json:"turn,omitempty"` // empty: no unit is requested or held
	CommandID     string          `json:"for,omitempty"`  // the command that needs it
	Held          bool            `json:"held,omitempty"` // false: it is only requested
	NextRequestAt monotime.Micros `json:"next,omitempty"` // earliest next call to the quota store
	DenialCause   string          `json:"why,omitempty"`  // of the latest denial; empty: none since the last grant

	Standalone bool            `json:"alone,omitempty"` // this host's reserved unit, as the quota store is silent
	StartedAt  monotime.Micros `json:"began,omitempty"` // KindColdStart: when the start using it began; 0: not begun
}

// HeldUnit is a unit that the quota store records as held by an instance.
type HeldUnit struct {
	Name      string `json:"name"` // of the instance
	Quota     string `json:"budget"`
	RequestID string `json:"turn"`
}

const (
	// unitRetryDelay is the minimum time between two calls about one unit. When all units of a quota are held, the next
	// one is released within seconds.
	unitRetryDelay = 300 * monotime.Millisecond
	// maxUnitRetryJitter bounds the jitter added to unitRetryDelay, which keeps hosts from calling in step.
	maxUnitRetryJitter = unitRetryDelay / 2
	// maxRequestGap is the longest pause between two requests that still counts as one silence of the quota store.
	// While nothing is requested, the lack of answers is no evidence that the store is unreachable.
	maxRequestGap = 10 * unitRetryDelay
)

// ensureUnit reports whether an instance holds the unit that a command needs, or the command needs none. If the
// instance holds none, it requests one.
func (m *Machine) ensureUnit(now monotime.Micros, command *Command, inst *Instance) bool {
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

// newUnitRequest creates a request for a unit with a new ID. requestUnit sends it.
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
	// A time without requests does not count as silence of the quota store.
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

// releaseUnneededUnit releases the unit of an instance once its command no longer needs it and the instance is back in
// service, or its cold start has failed.
func (m *Machine) releaseUnneededUnit(now monotime.Micros, inst *Instance) {
	unit := &inst.Unit
	if unit.RequestID == "" || m.unitNeeded(inst) {
		return
	}
	if !unit.Held && !unit.Standalone { // if it is granted nevertheless, handleUnitsListed releases it
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
			m.releaseAbandonedUnit(now, inst, answer.HeldUnit)
		}
	case unit.Standalone: // the start began before the answer arrived
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

// deny drops a request. The next attempt uses a new ID, because a repeated call with this ID may still arrive at the
// quota store.
func (u *Unit) deny(cause string) {
	*u = Unit{NextRequestAt: u.NextRequestAt, DenialCause: cause}
}

// releaseAbandonedUnit releases a unit that is held for a request the instance has dropped, if the instance is back in
// service.
func (m *Machine) releaseAbandonedUnit(now monotime.Micros, inst *Instance, abandoned HeldUnit) {
	if inst.backInService(now) {
		m.releaseUnit(now, inst, Unit{Quota: abandoned.Quota, RequestID: abandoned.RequestID, Held: true})
	}
}

// handleUnitReleased clears a unit that the quota store has released, unless the instance has begun another request
// meanwhile.
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

// handleUnitsListed releases the units that the quota store lists and that belong to no current request.
func (m *Machine) handleUnitsListed(now monotime.Micros, listed UnitsListed) {
	for _, held := range listed.Units {
		inst := m.instances[held.Name]
		if inst != nil && inst.Unit.RequestID != held.RequestID {
			m.releaseAbandonedUnit(now, inst, held)
		}
	}
}
