package fleet

import (
	"milletbarrow/monotime"
)

// PlanStep is one instance of a plan: in which batch it would be restarted, and how many of its group would be ready
// meanwhile.
type PlanStep struct {
	Name     string `json:"name"`
	Group    string `json:"group"`
	Batch    int    `json:"batch"`
	Ready    int    `json:"ready"` // of its group, with this batch out
	MinReady int    `json:"least"`
}

// Preview plays a rolling update through without any process: every instance counts as up and ready, and each batch
// comes back complete. Errors are *CommandError where the update would
// not be accepted, and ErrUpdateNeverEnds.
func Preview(s *Spec, host string, names []string, w RollingUpdateConfig) ([]PlanStep, error) {
	m := New(s, host, Config{MaxOpenCommands: 1, MaxFinishedCommands: 1}, func(*InstanceSpec) ShutdownWindow { return ShutdownWindow{1, 1} })
	for _, inst := range m.instances {
		if !inst.Spare {
			inst.DesiredUp, inst.Phase, inst.Incarnation = true, PhaseReady, "preview"
		}
	}
	const long = 1 << 60
	command := &Command{ID: "preview", Kind: KindRollingUpdate, Names: names, Deadline: long, Rollout: &w}
	if _, _, err := m.Decide(long/2, CommandReceived{command}); err != nil {
		return nil, err
	}
	var steps []PlanStep
	now := monotime.Micros(long / 2)
	for batch := 1; batch <= 2*len(names)+4*len(m.instanceNames)+4; batch++ {
		command := m.Command("preview")
		if command.State == CommandDone {
			return steps, nil
		}
		tallies := m.groupCounts(now)
		for _, name := range command.Names {
			if inst := m.instances[name]; command.InProgress[name] {
				g := tallies[inst.Group]
				steps = append(steps, PlanStep{name, inst.Group, batch, g.available, command.Rollout.minReady(g.desiredUp)})
			}
		}
		now += 1 << 40
		for _, name := range m.instanceNames { // all that left is gone, and what is wanted up is ready
			inst := m.instances[name]
			if inst.Incarnation != "" && inst.NoticeID != "" {
				m.observe(now, inst, PhaseExited)
			}
			if inst.Incarnation != "" && inst.NoticeID == "" {
				m.observe(now, inst, PhaseReady)
			}
		}
		now += 1 << 40
		_, _, _ = m.Decide(now, Tick{}) // a tick gives no error
	}
	return steps, ErrUpdateNeverEnds
}

// observe plays an observation of a phase; it gives no error.
func (m *Machine) observe(now monotime.Micros, inst *Instance, p Phase) {
	_, _, _ = m.Decide(now, InstanceObserved{Name: inst.Name, Observation: Observation{Incarnation: inst.Incarnation, Phase: p}})
}
