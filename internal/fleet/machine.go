package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Machine decides for all instances of one agent. It is not for use by several goroutines at once.
type Machine struct {
	config            Config
	random            *rand.Rand
	instanceNames     []string // in the file's order
	instances         map[string]*Instance
	groups            map[string]*GroupSpec
	commands          map[string]*Command
	openCommands      []*Command // by Number
	finishedCommands  []string   // ids of the ended, oldest first
	lastSequence      int
	rejections        rejectionRate
	quotaSilentSince  Micros // since when asks for units have no answer; 0: the latest had one
	lastUnitRequestAt Micros // the latest such ask

	actions          []Action
	history          []HistoryEvent
	changedInstances map[string]bool // instances and commands to be written down
	changedCommands  map[string]bool
}

// New makes a machine for a host's instances; window tells what each has after the notice.
func New(s *Spec, host string, terms Config, window func(*InstanceSpec) ShutdownWindow) *Machine {
	m := &Machine{
		config: terms, random: rand.New(rand.NewPCG(terms.JitterSeed, 0)), instances: map[string]*Instance{},
		groups: map[string]*GroupSpec{}, commands: map[string]*Command{}, changedInstances: map[string]bool{},
		changedCommands: map[string]bool{},
	}
	for i, spec := range s.InstancesOn(host) {
		g := s.Group(spec.Group)
		m.groups[g.Name] = g
		m.instanceNames = append(m.instanceNames, spec.Name)
		m.instances[spec.Name] = &Instance{
			Name: spec.Name, Group: g.Name, Spare: spec.Spare, Phase: PhaseAbsent, group: g, shutdown: window(spec), fileOrder: i,
		}
	}
	return m
}

func (m *Machine) markInstanceChanged(in *Instance) { m.changedInstances[in.Name] = true }
func (m *Machine) markCommandChanged(c *Command)    { m.changedCommands[c.ID] = true }

// Names lists the instances in the file's order.
func (m *Machine) Names() []string { return slices.Clone(m.instanceNames) }

// Idle tells whether nothing is to be expected soon: no command is open, and no instance waits for a time limit,
// a step or another launch.
func (m *Machine) Idle(now Micros) bool {
	if len(m.openCommands) > 0 {
		return false
	}
	for _, name := range m.instanceNames {
		if in := m.instances[name]; in.ActionPending || in.PhaseDeadline != 0 || in.Unit.RequestID != "" || in.DesiredUp && !in.LaunchesExhausted && in.Phase.Down() {
			return false
		}
	}
	return true
}

// Instance is a copy of what is known of one.
func (m *Machine) Instance(name string) (Instance, bool) {
	in := m.instances[name]
	if in == nil {
		return Instance{}, false
	}
	return *in, true
}

// Command is a copy of one, nil if it is not known (any more).
func (m *Machine) Command(id string) *Command {
	if c := m.commands[id]; c != nil {
		return c.clone()
	}
	return nil
}

// Commands lists copies of all that are known, newest first.
func (m *Machine) Commands() (all []*Command) {
	for _, c := range m.commands {
		all = append(all, c.clone())
	}
	slices.SortFunc(all, func(a, b *Command) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return all
}

// Decide takes in what happened and returns the steps to take, in order, and the lines for the history. Both are
// valid until the next call. An error means that nothing was changed.
func (m *Machine) Decide(now Micros, ev Event) (steps []Action, notes []HistoryEvent, err error) {
	m.actions, m.history = m.actions[:0], m.history[:0]
	switch e := ev.(type) {
	case CommandReceived:
		if err = m.acceptCommand(now, e.Command); err == nil {
			m.advanceAll(now)
		}
	case CommandControl:
		if err = m.controlCommand(now, e); err == nil {
			m.advanceAll(now)
		}
	case InstanceObserved:
		if in := m.instances[e.Name]; in != nil {
			m.handleObservation(now, in, e.Observation)
			m.advance(now, in)
		}
	case ActionFailed:
		if in := m.instances[e.Name]; in != nil && in.ActionID == e.ActionID && in.ActionPending {
			m.handleActionFailed(now, in, e)
			m.advance(now, in)
		}
	case UnitAcquired:
		if in := m.instances[e.Name]; in != nil {
			m.handleUnitAcquired(now, in, e)
		}
	case UnitReleased:
		m.quotaSilentSince = 0
		if in := m.instances[e.Name]; in != nil && in.Unit.RequestID == e.RequestID {
			in.Unit = Unit{}
			m.recordEvent(now, in, "unit given back", "")
			m.markInstanceChanged(in)
		}
	case UnitsListed:
		m.quotaSilentSince = 0
		m.handleUnitsListed(now, e)
	case Tick:
		m.advanceAll(now)
	}
	for _, c := range m.openCommands {
		switch c.Kind {
		case KindRollingUpdate:
			m.advanceRollingUpdate(now, c)
		case KindColdStart:
			m.advanceColdStart(now, c)
		}
	}
	m.closeFinishedCommands(now)
	return m.actions, m.history, err
}

func (m *Machine) advanceAll(now Micros) {
	for _, c := range slices.Clone(m.openCommands) {
		if now >= c.Deadline {
			m.expireCommand(now, c)
		}
	}
	for _, name := range m.instanceNames {
		m.advance(now, m.instances[name])
	}
}

// advance brings one instance forward, and the command that waits for it.
func (m *Machine) advance(now Micros, in *Instance) {
	m.resolveCommand(now, in)
	m.reconcile(now, in)
	m.resolveCommand(now, in)
	m.returnUnit(now, in)
}

// refused: a step could not be taken.
func (m *Machine) handleActionFailed(now Micros, in *Instance, e ActionFailed) {
	m.recordEvent(now, in, string(in.LastAction)+" not taken", e.Cause)
	if in.LastAction == ActionLaunch && in.Incarnation == in.ActionID { // no process came of it
		in.Incarnation, in.ActionPending, in.PhaseDeadline = "", false, 0
		in.setPhase(now, PhaseFailed, e.Cause)
		m.delayRelaunch(now, in)
		if e.Final {
			in.LaunchesExhausted = true
		}
		in.RestartPending = false
		m.markInstanceChanged(in)
	}
}

func (m *Machine) recordEvent(now Micros, in *Instance, event, cause string) {
	m.history = append(m.history, HistoryEvent{At: now, Name: in.Name, CommandID: in.CommandID, Event: event, Cause: cause})
}
