package fleet

import (
	"fmt"
	"slices"
)

// Unit is one of a count that the whole fleet shares, held by an instance while a wave has it out. It is given back once
// the instance is seen ready, not when the wave has a result for it: what does not come back counts as out until an
// operator writes it off.
type Unit struct {
	Budget string `json:"budget,omitempty"`
	Turn   string `json:"turn,omitempty"` // empty: none is asked for
	For    string `json:"for,omitempty"`  // the wave
	Held   bool   `json:"held,omitempty"` // else it is asked for
	Next   Micros `json:"next,omitempty"` // no call before
	Why    string `json:"why,omitempty"`  // it was not given

	Alone bool   `json:"alone,omitempty"` // the one that is set aside for this host, as nobody could be asked
	Began Micros `json:"began,omitempty"` // Rise: the start that holds it
}

// The steps about units. They go to the ledger, not to a keeper, and may be taken twice.
const (
	TakeUnit What = "take a unit"
	GiveUnit What = "give a unit back"
)

// The events about units.
type (
	// UnitTaken: the ledger gave it, or said why not. A call without an answer brings none.
	UnitTaken struct {
		HeldUnit
		Held bool
		Why  string
	}
	// UnitGiven: the ledger has it back.
	UnitGiven struct{ Name, Turn string }
	// UnitsHeld are all that the ledger has this host's instances hold.
	UnitsHeld struct{ Held []HeldUnit }
)

// HeldUnit is one that an instance holds.
type HeldUnit struct {
	Name   string `json:"name"`
	Budget string `json:"budget"`
	Turn   string `json:"turn"`
}

func (UnitTaken) event() {}
func (UnitGiven) event() {}
func (UnitsHeld) event() {}

// unitAgain is between two calls about one unit: of a count that is all held the next is given back in seconds.
const unitAgain = 300_000

// askedOf is how old the latest ask may be for its silence to go on with the next.
const askedOf = 10 * unitAgain

// unitFor tells whether an instance holds a unit for a wave; else one is asked for.
func (m *Machine) unitFor(now Micros, c *Command, in *Instance) bool {
	if c.Budget == "" || in.Unit.Held && in.Unit.For == c.ID {
		return true
	}
	if in.Unit.Turn == "" {
		in.Turns++
		in.Unit = Unit{Budget: c.Budget, Turn: fmt.Sprintf("%s.%s.%d", c.ID, in.Name, in.Turns), For: c.ID, Why: in.Unit.Why}
		m.touch(in)
	}
	if !in.Unit.Held && in.Unit.For == c.ID && now >= in.Unit.Next {
		in.Unit.Next = now + unitAgain + Micros(m.draw.Int64N(unitAgain/2))
		if m.unheard == 0 || now-m.askedAt > askedOf { // a silence of before, when nobody asked, says nothing
			m.unheard = now
		}
		m.askedAt = now
		m.steps = append(m.steps, Step{Name: in.Name, ID: in.Unit.Turn, What: TakeUnit, Unit: in.Unit})
	}
	return false
}

// needs tells whether a wave still has use for the unit that it asked for.
func (m *Machine) needs(in *Instance) bool {
	c := m.commands[in.Unit.For]
	if c == nil || c.Kind != Wave && c.Kind != Rise || !slices.Contains(c.Names, in.Name) {
		return false
	}
	_, over := c.Results[in.Name]
	return !over && (c.State == Open || c.Out[in.Name])
}

// back tells whether an instance is out no more: it serves, or nobody wants it to.
func (in *Instance) back(now Micros) bool {
	return in.usable(now) || !in.Up && in.Phase.Down()
}

// settleUnit gives back a unit that is of no more use.
func (m *Machine) settleUnit(now Micros, in *Instance) {
	u := &in.Unit
	switch {
	case u.Turn == "" || m.needs(in):
	case !u.Held && !u.Alone: // if it is given all the same, the ledger's list tells
		*u = Unit{}
		m.touch(in)
	case (in.back(now) || u.Began > 0 && in.Spent) && now >= u.Next:
		u.Next = now + unitAgain
		m.steps = append(m.steps, Step{Name: in.Name, ID: u.Turn, What: GiveUnit, Unit: *u, End: in.risen(now)})
	}
}

func (m *Machine) unitTaken(now Micros, in *Instance, e UnitTaken) {
	u := &in.Unit
	m.unheard = 0
	switch {
	case u.Turn != e.Turn:
		if e.Held {
			m.strayUnit(now, in, e.HeldUnit)
		}
	case u.Alone: // it began meanwhile
		u.Held = e.Held
	case e.Held:
		u.Held, u.Next, u.Why = true, now, ""
		m.note(now, in, "unit taken", u.Budget)
	default: // another turn for another try: this one may be in a call that is yet to come
		if u.Why != e.Why {
			m.note(now, in, "waits for a unit", u.Budget+": "+e.Why)
		}
		*u = Unit{Next: u.Next, Why: e.Why}
	}
	m.touch(in)
}

// strayUnit gives back what is held for a turn that nobody remembers, once the instance is there.
func (m *Machine) strayUnit(now Micros, in *Instance, h HeldUnit) {
	if in.back(now) {
		m.steps = append(m.steps, Step{Name: in.Name, ID: h.Turn, What: GiveUnit, Unit: Unit{Budget: h.Budget, Turn: h.Turn, Held: true}, End: in.risen(now)})
	}
}

func (m *Machine) unitsHeld(now Micros, e UnitsHeld) {
	for _, h := range e.Held {
		if in := m.instances[h.Name]; in != nil && in.Unit.Turn != h.Turn {
			m.strayUnit(now, in, h)
		}
	}
}
