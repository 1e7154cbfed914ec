package fleet

import (
	"fmt"
	"slices"
)

// Unit is one of a count that the whole fleet shares, held by an instance while a wave has it out. It is given back once
// the instance is seen ready, not when the wave has a result for it: what does not come back counts as out until an
// operator writes it off.
type Unit struct {
	Quota         string `json:"budget,omitempty"`
	RequestID     string `json:"turn,omitempty"` // empty: none is asked for
	CommandID     string `json:"for,omitempty"`  // the wave
	Held          bool   `json:"held,omitempty"` // else it is asked for
	NextRequestAt Micros `json:"next,omitempty"` // no call before
	DenialCause   string `json:"why,omitempty"`  // it was not given

	Standalone bool   `json:"alone,omitempty"` // the one that is set aside for this host, as nobody could be asked
	StartedAt  Micros `json:"began,omitempty"` // Rise: the start that holds it
}

// The steps about units. They go to the ledger, not to a keeper, and may be taken twice.
const (
	ActionAcquireUnit ActionKind = "take a unit"
	ActionReleaseUnit ActionKind = "give a unit back"
)

// HeldUnit is one that an instance holds.
type HeldUnit struct {
	Name      string `json:"name"`
	Quota     string `json:"budget"`
	RequestID string `json:"turn"`
}

// unitAgain is between two calls about one unit: of a count that is all held the next is given back in seconds.
const unitRetryDelay = 300_000

// askedOf is how old the latest ask may be for its silence to go on with the next.
const maxRequestGap = 10 * unitRetryDelay

// unitFor tells whether an instance holds a unit for a wave; else one is asked for.
func (m *Machine) holdsUnit(now Micros, c *Command, in *Instance) bool {
	if c.Quota == "" || in.Unit.Held && in.Unit.CommandID == c.ID {
		return true
	}
	if in.Unit.RequestID == "" {
		in.UnitRequests++
		in.Unit = Unit{Quota: c.Quota, RequestID: fmt.Sprintf("%s.%s.%d", c.ID, in.Name, in.UnitRequests), CommandID: c.ID, DenialCause: in.Unit.DenialCause}
		m.markInstanceChanged(in)
	}
	if !in.Unit.Held && in.Unit.CommandID == c.ID && now >= in.Unit.NextRequestAt {
		in.Unit.NextRequestAt = now + unitRetryDelay + Micros(m.random.Int64N(unitRetryDelay/2))
		if m.quotaSilentSince == 0 || now-m.lastUnitRequestAt > maxRequestGap { // a silence of before, when nobody asked, says nothing
			m.quotaSilentSince = now
		}
		m.lastUnitRequestAt = now
		m.actions = append(m.actions, Action{Name: in.Name, ID: in.Unit.RequestID, Kind: ActionAcquireUnit, Unit: in.Unit})
	}
	return false
}

// needs tells whether a wave still has use for the unit that it asked for.
func (m *Machine) unitNeeded(in *Instance) bool {
	c := m.commands[in.Unit.CommandID]
	if c == nil || c.Kind != KindRollingUpdate && c.Kind != KindColdStart || !slices.Contains(c.Names, in.Name) {
		return false
	}
	_, over := c.Results[in.Name]
	return !over && (c.State == CommandOpen || c.InProgress[in.Name])
}

// back tells whether an instance is out no more: it serves, or nobody wants it to.
func (in *Instance) backInService(now Micros) bool {
	return in.available(now) || !in.DesiredUp && in.Phase.Down()
}

// settleUnit gives back a unit that is of no more use.
func (m *Machine) returnUnit(now Micros, in *Instance) {
	u := &in.Unit
	switch {
	case u.RequestID == "" || m.unitNeeded(in):
	case !u.Held && !u.Standalone: // if it is given all the same, the ledger's list tells
		*u = Unit{}
		m.markInstanceChanged(in)
	case (in.backInService(now) || u.StartedAt > 0 && in.LaunchesExhausted) && now >= u.NextRequestAt:
		u.NextRequestAt = now + unitRetryDelay
		m.actions = append(m.actions, Action{Name: in.Name, ID: u.RequestID, Kind: ActionReleaseUnit, Unit: *u, StartResult: in.startResult(now)})
	}
}

func (m *Machine) handleUnitAcquired(now Micros, in *Instance, e UnitAcquired) {
	u := &in.Unit
	m.quotaSilentSince = 0
	switch {
	case u.RequestID != e.RequestID:
		if e.Granted {
			m.returnStrayUnit(now, in, e.HeldUnit)
		}
	case u.Standalone: // it began meanwhile
		u.Held = e.Granted
	case e.Granted:
		u.Held, u.NextRequestAt, u.DenialCause = true, now, ""
		m.recordEvent(now, in, "unit taken", u.Quota)
	default: // another turn for another try: this one may be in a call that is yet to come
		if u.DenialCause != e.Cause {
			m.recordEvent(now, in, "waits for a unit", u.Quota+": "+e.Cause)
		}
		*u = Unit{NextRequestAt: u.NextRequestAt, DenialCause: e.Cause}
	}
	m.markInstanceChanged(in)
}

// strayUnit gives back what is held for a turn that nobody remembers, once the instance is there.
func (m *Machine) returnStrayUnit(now Micros, in *Instance, h HeldUnit) {
	if in.backInService(now) {
		m.actions = append(m.actions, Action{Name: in.Name, ID: h.RequestID, Kind: ActionReleaseUnit, Unit: Unit{Quota: h.Quota, RequestID: h.RequestID, Held: true}, StartResult: in.startResult(now)})
	}
}

func (m *Machine) handleUnitsListed(now Micros, e UnitsListed) {
	for _, h := range e.Units {
		if in := m.instances[h.Name]; in != nil && in.Unit.RequestID != h.RequestID {
			m.returnStrayUnit(now, in, h)
		}
	}
}
