package fleet

import (
	"fmt"
	"testing"

	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// BenchmarkPlan measures one step of a rolling update over all instances of a host that is otherwise idle.
func BenchmarkPlan(b *testing.B) {
	const (
		start    monotime.Micros = 1 << 40
		planned  monotime.Micros = 1 << 41
		deadline monotime.Micros = 1 << 60
	)
	for _, instances := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(instances), func(b *testing.B) {
			m := newReadyMachine(b, instances)
			rollout := DefaultRollingUpdate()
			rollout.MaxInProgress = 8
			rollout.MinReadyShare = 0.5
			command := &Command{
				ID: "w", Kind: KindRollingUpdate, Names: m.Names(), Deadline: deadline, Rollout: &rollout,
			}
			if _, _, err := m.Decide(start, CommandReceived{command}); err != nil {
				b.Fatal(err)
			}
			command = m.openCommands[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				clear(command.InProgress)
				restored := m.instances[command.Names[i%len(command.Names)]] // as if its restart were complete
				restored.RestartPending = false
				restored.NoticeID = ""
				restored.Phase = PhaseReady
				restored.ReadySince = 1
				delete(command.Results, restored.Name)
				m.advanceRollingUpdate(planned, command)
				m.actions = m.actions[:0]
				m.history = m.history[:0]
			}
		})
	}
}

// newReadyMachine returns a machine with four groups of ready instances.
func newReadyMachine(b *testing.B, instances int) *Machine {
	b.Helper()
	const groups = 4
	bounds := limits.ForControl()
	bounds.Instances = instances
	spec, err := ReadSpec("f", []byte(groupsOf(groups, instances/groups, 0, "")), bounds)
	if err != nil {
		b.Fatal(err)
	}
	m := New(spec, "h1", testConfig(), testWindow)
	for _, inst := range m.instances {
		inst.DesiredUp = true
		inst.Phase = PhaseReady
		inst.Incarnation = "r"
		inst.ReadySince = 1
	}
	return m
}
