package fleet

import "milletbarrow/monotime"

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
	for _, in := range m.instances {
		if !in.Spare {
			in.DesiredUp, in.Phase, in.Incarnation = true, PhaseReady, "preview"
		}
	}
	const long = 1 << 60
	c := &Command{ID: "preview", Kind: KindRollingUpdate, Names: names, Deadline: long, Rollout: &w}
	if _, _, err := m.Decide(long/2, CommandReceived{c}); err != nil {
		return nil, err
	}
	var steps []PlanStep
	now := monotime.Micros(long / 2)
	for batch := 1; batch <= 2*len(names)+4*len(m.instanceNames)+4; batch++ {
		c := m.Command("preview")
		if c.State == CommandDone {
			return steps, nil
		}
		tallies := m.groupCounts(now)
		for _, n := range c.Names {
			if in := m.instances[n]; c.InProgress[n] {
				g := tallies[in.Group]
				steps = append(steps, PlanStep{n, in.Group, batch, g.available, c.Rollout.minReady(g.desiredUp)})
			}
		}
		now += 1 << 40
		for _, n := range m.instanceNames { // all that left is gone, and what is wanted up is ready
			in := m.instances[n]
			if in.Incarnation != "" && in.NoticeID != "" {
				m.observe(now, in, PhaseExited)
			}
			if in.Incarnation != "" && in.NoticeID == "" {
				m.observe(now, in, PhaseReady)
			}
		}
		now += 1 << 40
		_, _, _ = m.Decide(now, Tick{}) // a tick gives no error
	}
	return steps, ErrUpdateNeverEnds
}

// observe plays an observation of a phase; it gives no error.
func (m *Machine) observe(now monotime.Micros, in *Instance, p Phase) {
	_, _, _ = m.Decide(now, InstanceObserved{Name: in.Name, Observation: Observation{Incarnation: in.Incarnation, Phase: p}})
}
