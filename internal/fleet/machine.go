package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"milletbarrow/monotime"
)

// Machine is the state machine of all instances of one host. It is not safe for concurrent use.
type Machine struct {
	config Config
	random *rand.Rand

	instanceNames    []string              // in the order of the fleet's file
	instances        map[string]*Instance  // by instance name
	groups           map[string]*GroupSpec // by group name
	commands         map[string]*Command   // by command ID
	openCommands     []*Command            // by Sequence
	finishedCommands []string              // IDs, oldest first
	lastSequence     int                   // of the latest command; 0: there is none yet

	rejections        rejectionRate
	quotaSilentSince  monotime.Micros // unit requests have had no answer since; 0: the latest has one
	lastUnitRequestAt monotime.Micros

	actions []Action       // of the current call of Decide
	history []HistoryEvent // of the current call of Decide

	changedInstances map[string]bool // by instance name; returned by Changes
	changedCommands  map[string]bool // by command ID, also of forgotten commands; returned by Changes
}

// New returns a machine for the instances of a host; window returns the shutdown window of an instance.
func New(spec *Spec, host string, config Config, window func(*InstanceSpec) ShutdownWindow) *Machine {
	m := &Machine{
		config:           config,
		random:           rand.New(rand.NewPCG(config.JitterSeed, 0)),
		instances:        map[string]*Instance{},
		groups:           map[string]*GroupSpec{},
		commands:         map[string]*Command{},
		changedInstances: map[string]bool{},
		changedCommands:  map[string]bool{},
	}
	for i, instanceSpec := range spec.InstancesOn(host) {
		group := spec.Group(instanceSpec.Group)
		m.groups[group.Name] = group
		m.instanceNames = append(m.instanceNames, instanceSpec.Name)
		m.instances[instanceSpec.Name] = &Instance{
			Name:         instanceSpec.Name,
			Group:        group.Name,
			Spare:        instanceSpec.Spare,
			Phase:        PhaseAbsent,
			group:        group,
			configWindow: window(instanceSpec),
			fileOrder:    i,
		}
	}
	return m
}

func (m *Machine) markInstanceChanged(inst *Instance) { m.changedInstances[inst.Name] = true }

func (m *Machine) markCommandChanged(command *Command) { m.changedCommands[command.ID] = true }

// Names lists the names of the instances in the order of the fleet's file.
func (m *Machine) Names() []string { return slices.Clone(m.instanceNames) }

// Idle reports whether no command is open and no instance waits for a deadline, an action, a unit or a launch.
func (m *Machine) Idle() bool {
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

// Instance returns a copy of the state of an instance; ok is false if the host has none of that name.
func (m *Machine) Instance(name string) (inst Instance, ok bool) {
	known := m.instances[name]
	if known == nil {
		return Instance{}, false
	}
	return *known, true
}

// Command returns a copy of a command, or nil if it is unknown or was forgotten.
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

// Decide applies an event and returns the actions to carry out, in order, and the new entries of the history. Both are
// valid until the next call. The error is a *CommandError; the rejected event has changed nothing.
func (m *Machine) Decide(now monotime.Micros, event Event) (actions []Action, history []HistoryEvent, err error) {
	m.actions = m.actions[:0]
	m.history = m.history[:0]
	err = m.handleEvent(now, event)
	for _, command := range m.openCommands {
		switch command.Kind {
		case KindRollingUpdate:
			m.advanceRollingUpdate(now, command)
		case KindColdStart:
			m.advanceColdStart(now, command)
		case KindStart, KindDrain, KindStop, KindRestart: // advance handles them
		}
	}
	m.closeFinishedCommands(now)
	return m.actions, m.history, err
}

// handleEvent applies an event to the commands and instances that it affects.
func (m *Machine) handleEvent(now monotime.Micros, event Event) error {
	switch e := event.(type) {
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

// advanceAll expires the commands whose deadline has passed and advances all instances.
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

// advance takes the next step of one instance and of the command that it is assigned to.
func (m *Machine) advance(now monotime.Micros, inst *Instance) {
	m.resolveCommand(now, inst)
	m.reconcile(now, inst)
	m.resolveCommand(now, inst)
	m.releaseUnneededUnit(now, inst)
}

// handleActionFailed records that the pending action could not be carried out. A failed launch ends its incarnation.
func (m *Machine) handleActionFailed(now monotime.Micros, inst *Instance, failed ActionFailed) {
	m.recordEvent(now, inst, string(inst.LastAction)+eventActionFailedSuffix, failed.Cause)
	if inst.LastAction != ActionLaunch || inst.Incarnation != inst.ActionID {
		return
	}
	inst.abandonLaunch()
	inst.setPhase(now, PhaseFailed, failed.Cause)
	m.delayRelaunch(now, inst)
	if failed.Final {
		inst.LaunchesExhausted = true
	}
	inst.RestartPending = false
	m.markInstanceChanged(inst)
}
