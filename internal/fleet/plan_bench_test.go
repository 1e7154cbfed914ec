package fleet

import (
	"fmt"
	"testing"

	"milletbarrow/internal/limits"
)

// BenchmarkPlan is one planning step of a rolling update over all instances of a host, with nothing else to do.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{60, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bounds := limits.ForControl()
			bounds.Instances = n
			s, err := ReadSpec("f", []byte(groupsOf(4, n/4, 0, "(width 8) (least-share 0.5)")), bounds)
			if err != nil {
				b.Fatal(err)
			}
			m := New(s, "h1", testTerms(), window)
			for _, inst := range m.instances {
				inst.DesiredUp, inst.Phase, inst.Incarnation, inst.ReadySince = true, PhaseReady, "r", 1
			}
			c := &Command{ID: "w", Kind: KindRollingUpdate, Names: m.Names(), Deadline: 1 << 60, Rollout: &s.RollingUpdate}
			if _, _, err := m.Decide(1<<40, CommandReceived{c}); err != nil {
				b.Fatal(err)
			}
			c = m.openCommands[0]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				name := c.Names[i%len(c.Names)] // as if it were back, so that the next may leave
				clear(c.InProgress)
				inst := m.instances[name]
				inst.RestartPending, inst.NoticeID, inst.Phase, inst.ReadySince = false, "", PhaseReady, 1
				delete(c.Results, name)
				m.advanceRollingUpdate(1<<41, c)
				m.actions, m.history = m.actions[:0], m.history[:0]
			}
		})
	}
}
