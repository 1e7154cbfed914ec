package fleet

import "milletbarrow/monotime"

// PlanStep is one instance of a plan: the batch in which it would be restarted, and how many instances of its group
// would be ready meanwhile.
type PlanStep struct {
	Name     string `json:"name"`
	Group    string `json:"group"`
	Batch    int    `json:"batch"` // counted from 1
	Ready    int    `json:"ready"` // of its group, without this batch
	MinReady int    `json:"least"` // that the update keeps ready in its group
}

// The simulated times of a preview. Only their order matters: a round is longer than any settle time, and all rounds
// end before the deadline.
const (
	previewCommandID                   = "preview"
	previewIncarnation                 = "preview"
	previewDeadline    monotime.Micros = 1 << 60
	previewStart       monotime.Micros = previewDeadline / 2
	previewRound       monotime.Micros = 1 << 40
)

// Preview simulates a rolling update without any process: at first every instance is up and ready, and each batch that
// is restarted becomes ready again. The error is a *CommandError if the update would be rejected, or
// ErrUpdateNeverEnds.
func Preview(spec *Spec, host string, names []string, config RollingUpdateConfig) ([]PlanStep, error) {
	m := newPreviewMachine(spec, host)
	command := &Command{
		ID:       previewCommandID,
		Kind:     KindRollingUpdate,
		Names:    names,
		Deadline: previewDeadline,
		Rollout:  &config,
	}
	now := previewStart
	if _, _, err := m.Decide(now, CommandReceived{command}); err != nil {
		return nil, err
	}
	var steps []PlanStep
	for batch := 1; batch <= m.maxPreviewBatches(names); batch++ {
		command := m.Command(previewCommandID)
		if command.State == CommandDone {
			return steps, nil
		}
		steps = append(steps, m.planSteps(now, command, batch)...)
		now += previewRound
		m.completeBatch(now)
		now += previewRound
		_, _, _ = m.Decide(now, Tick{}) // Decide returns no error for a tick
	}
	return steps, ErrUpdateNeverEnds
}

// newPreviewMachine returns a machine whose instances, but for the spares, are up and ready.
func newPreviewMachine(spec *Spec, host string) *Machine {
	config := Config{MaxOpenCommands: 1, MaxFinishedCommands: 1}
	window := func(*InstanceSpec) ShutdownWindow { return ShutdownWindow{Grace: 1, ExitTimeout: 1} }
	m := New(spec, host, config, window)
	for _, inst := range m.instances {
		if !inst.Spare {
			inst.DesiredUp = true
			inst.Phase = PhaseReady
			inst.Incarnation = previewIncarnation
		}
	}
	return m
}

// maxPreviewBatches bounds the batches of an update that ends: each instance exits and is launched again, and spares
// start and stop.
func (m *Machine) maxPreviewBatches(names []string) int {
	const (
		batchesPerName     = 2
		batchesPerInstance = 4
		extraBatches       = 4
	)
	return batchesPerName*len(names) + batchesPerInstance*len(m.instanceNames) + extraBatches
}

// planSteps lists the instances of the batch that is in progress.
func (m *Machine) planSteps(now monotime.Micros, command *Command, batch int) (steps []PlanStep) {
	counts := m.groupCounts(now)
	for _, name := range command.Names {
		if !command.InProgress[name] {
			continue
		}
		group := m.instances[name].Group
		steps = append(steps, PlanStep{
			Name:     name,
			Group:    group,
			Batch:    batch,
			Ready:    counts[group].available,
			MinReady: command.Rollout.minReady(counts[group].desiredUp),
		})
	}
	return steps
}

// completeBatch simulates the exit of all notified instances, and all others becoming ready.
func (m *Machine) completeBatch(now monotime.Micros) {
	for _, name := range m.instanceNames {
		inst := m.instances[name]
		if inst.Incarnation != "" && inst.NoticeID != "" {
			m.observe(now, inst, PhaseExited)
		}
		if inst.Incarnation != "" && inst.NoticeID == "" { // the exit may have launched the next incarnation
			m.observe(now, inst, PhaseReady)
		}
	}
}

// observe reports a phase of an instance to the machine. Decide returns no error for an observation.
func (m *Machine) observe(now monotime.Micros, inst *Instance, phase Phase) {
	observed := Observation{Incarnation: inst.Incarnation, Phase: phase}
	_, _, _ = m.Decide(now, InstanceObserved{Name: inst.Name, Observation: observed})
}
