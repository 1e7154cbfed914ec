package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"milletbarrow/monotime"
)

// Machine decides for all instances of one host. It is not for use by several goroutines at once.
type Machine struct {
	config            Config
	random            *rand.Rand
	instanceNames     []string // in the file's order
	instances         map[string]*Instance
	groups            map[string]*GroupSpec
	commands          map[string]*Command
	openCommands      []*Command // by Sequence
	finishedCommands  []string   // IDs, oldest first
	lastSequence      int
	rejections        rejectionRate
	quotaSilentSince  monotime.Micros // since when unit requests have no answer; 0: the latest had one
	lastUnitRequestAt monotime.Micros // the latest unit request

	actions          []Action // of the present call of Decide
	history          []HistoryEvent
	changedInstances map[string]bool // to be stored
	changedCommands  map[string]bool
}

// New makes a machine for the instances of a host; window gives the shutdown window of each.
func New(s *Spec, host string, config Config, window func(*InstanceSpec) ShutdownWindow) *Machine {
	m := &Machine{
		config:           config,
		random:           rand.New(rand.NewPCG(config.JitterSeed, 0)),
		instances:        map[string]*Instance{},
		groups:           map[string]*GroupSpec{},
		commands:         map[string]*Command{},
		changedInstances: map[string]bool{},
		changedCommands:  map[string]bool{},
	}
	for i, spec := range s.InstancesOn(host) {
		group := s.Group(spec.Group)
		m.groups[group.Name] = group
		m.instanceNames = append(m.instanceNames, spec.Name)
		m.instances[spec.Name] = &Instance{
			Name:      spec.Name,
			Group:     group.Name,
			Spare:     spec.Spare,
			Phase:     PhaseAbsent,
			group:     group,
			shutdown:  window(spec),
			fileOrder: i,
		}
	}
	return m
}

func (m *Machine) markInstanceChanged(inst *Instance) { m.changedInstances[inst.Name] = true }

func (m *Machine) markCommandChanged(command *Command) { m.changedCommands[command.ID] = true }

// Names lists the instances in the file's order.
func (m *Machine) Names() []string { return slices.Clone(m.instanceNames) }

// Idle reports whether nothing is to be expected soon: no command is open, and no instance waits for a deadline, an
// action or another launch. It does not depend on the time.
func (m *Machine) Idle(_ monotime.Micros) bool {
	if len(m.openCommands) > 0 {
		return false
	}
	for _, name := range m.instanceNames {
		if !m.instances[name].idle() {
			return false
		}
	}
	return true
}

// idle reports whether the instance waits for no deadline, action, unit or launch.
func (inst *Instance) idle() bool {
	awaitsLaunch := inst.DesiredUp && !inst.LaunchesExhausted && inst.Phase.Down()
	return !inst.ActionPending && inst.PhaseDeadline == 0 && inst.Unit.RequestID == "" && !awaitsLaunch
}

// Instance is a copy of the state of an instance; ok is false if the host has none of that name.
func (m *Machine) Instance(name string) (inst Instance, ok bool) {
	known := m.instances[name]
	if known == nil {
		return Instance{}, false
	}
	return *known, true
}

// Command is a copy of a command, nil if it is not known (any more).
func (m *Machine) Command(id string) *Command {
	if command := m.commands[id]; command != nil {
		return command.clone()
	}
	return nil
}

// Commands lists copies of all known commands, newest first.
func (m *Machine) Commands() (all []*Command) {
	for _, command := range m.commands {
		all = append(all, command.clone())
	}
	slices.SortFunc(all, func(a, b *Command) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return all
}

// Decide takes in an event and returns the actions to carry out, in order, and the entries for the history. Both are
// valid until the next call. An error, always a *CommandError, means that the event changed nothing.
func (m *Machine) Decide(now monotime.Micros, ev Event) (actions []Action, history []HistoryEvent, err error) {
	m.actions = m.actions[:0]
	m.history = m.history[:0]
	err = m.handleEvent(now, ev)
	for _, command := range m.openCommands {
		switch command.Kind {
		case KindRollingUpdate:
			m.advanceRollingUpdate(now, command)
		case KindColdStart:
			m.advanceColdStart(now, command)
		case KindStart, KindDrain, KindStop, KindRestart: // reconcile does all that they ask for
		}
	}
	m.closeFinishedCommands(now)
	return m.actions, m.history, err
}

// handleEvent changes the state of what the event is about.
func (m *Machine) handleEvent(now monotime.Micros, ev Event) error {
	switch e := ev.(type) {
	case CommandReceived:
		if err := m.acceptCommand(now, e.Command); err != nil {
			return commandError(OperationAccept, e.Command.ID, err)
		}
		m.advanceAll(now)
	case CommandControl:
		if err := m.controlCommand(now, e); err != nil {
			return commandError(string(e.Verb), e.CommandID, err)
		}
		m.advanceAll(now)
	case UnitsListed:
		m.quotaSilentSince = 0
		m.handleUnitsListed(now, e)
	case Tick:
		m.advanceAll(now)
	case InstanceObserved:
		if inst := m.instances[e.Name]; inst != nil && (!e.Unrecorded || !inst.launchPending()) {
			m.handleObservation(now, inst, e.Observation)
			m.advance(now, inst)
		}
	case ActionFailed:
		if inst := m.instances[e.Name]; inst != nil && inst.ActionID == e.ActionID && inst.ActionPending {
			m.handleActionFailed(now, inst, e)
			m.advance(now, inst)
		}
	case UnitAcquired:
		if inst := m.instances[e.Name]; inst != nil {
			m.handleUnitAcquired(now, inst, e)
		}
	case UnitReleased:
		m.handleUnitReleased(now, e)
	}
	return nil
}

// advanceAll ends the commands whose deadline has passed and brings all instances forward.
func (m *Machine) advanceAll(now monotime.Micros) {
	for _, command := range slices.Clone(m.openCommands) {
		if now >= command.Deadline {
			m.expireCommand(now, command)
		}
	}
	for _, name := range m.instanceNames {
		m.advance(now, m.instances[name])
	}
}

// advance brings one instance forward, and the command that waits for it.
func (m *Machine) advance(now monotime.Micros, inst *Instance) {
	m.resolveCommand(now, inst)
	m.reconcile(now, inst)
	m.resolveCommand(now, inst)
	m.returnUnit(now, inst)
}

// handleActionFailed takes in that the pending action could not be carried out.
func (m *Machine) handleActionFailed(now monotime.Micros, inst *Instance, e ActionFailed) {
	m.recordEvent(now, inst, string(inst.LastAction)+eventNotCarriedSuffix, e.Cause)
	if inst.LastAction != ActionLaunch || inst.Incarnation != inst.ActionID {
		return
	}
	inst.abandonLaunch()
	inst.setPhase(now, PhaseFailed, e.Cause)
	m.delayRelaunch(now, inst)
	if e.Final {
		inst.LaunchesExhausted = true
	}
	inst.RestartPending = false
	m.markInstanceChanged(inst)
}
