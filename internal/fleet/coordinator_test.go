package fleet

import (
	"fmt"
	"testing"

	"milletbarrow/internal/fakes"
)

// TestRolloutCoordinator: what goes wrong on one host does not go on to the next, and the fleet's budget holds over
// all.
func TestRolloutCoordinator(t *testing.T) {
	tr := fakes.NewTrace(t)
	coordinator := &RolloutCoordinator{Hosts: []string{"a", "b", "c"}, Config: RollingUpdateConfig{MinReadyShare: 0.8, StallTimeout: 10}, MaxConcurrentHosts: 2}
	fact := func(s CommandState) HostProgress {
		return HostProgress{Reachable: true, State: s, Ready: 10, DesiredUp: 10, MaxUnavailable: 3}
	}
	for _, f := range []map[string]HostProgress{
		{"a": fact(""), "b": fact(""), "c": fact("")},
		{"a": fact(CommandOpen), "b": fact(CommandOpen), "c": fact("")},
		{"a": fact(CommandDone), "b": fact(CommandOpen), "c": fact("")},
		{"a": fact(CommandDone), "b": fact(CommandDone), "c": fact(CommandDone)},
		{"a": fact(CommandDone), "b": fact(CommandPaused), "c": fact("")},
		{"a": {Reachable: true, State: CommandDone, Failed: true, Cause: "n3"}, "b": fact(""), "c": fact("")},
		{"a": {}, "b": fact(""), "c": fact("")},
		{"a": {Reachable: true, Ready: 6, DesiredUp: 10, MaxUnavailable: 3}, "b": {Reachable: true, Ready: 8, DesiredUp: 10, MaxUnavailable: 3}, "c": fact("")},
	} {
		tr.Say("%s", rolloutText(coordinator.Next(100, f)))
	}
	tr.Say("and after the stall: %s", rolloutText(coordinator.Next(110, map[string]HostProgress{"a": {Reachable: true, Ready: 6, DesiredUp: 10, MaxUnavailable: 3}, "b": fact(""), "c": fact("")})))
}

// rolloutText prints a step of a rollout as the stored trace has it.
func rolloutText(s RolloutStep) string {
	return fmt.Sprintf("{Begin:%v Over:%t Why:%s}", s.Begin, s.Finished, s.StopReason)
}

// TestRunningHostCountsAsUnavailable: what a host's update may still take out counts as out already.
func TestRunningHostCountsAsUnavailable(t *testing.T) {
	c := &RolloutCoordinator{Hosts: []string{"a", "b"}, Config: RollingUpdateConfig{MinReadyShare: 0.8, StallTimeout: 10}, MaxConcurrentHosts: 2}
	progress := func(state CommandState) HostProgress {
		return HostProgress{Reachable: true, State: state, Ready: 10, DesiredUp: 10, MaxUnavailable: 3}
	}
	step := c.Next(100, map[string]HostProgress{"a": progress(CommandOpen), "b": progress("")})
	if len(step.Begin) != 0 {
		t.Errorf("%v begins: 6 of 20 may be out, and 4 may be at most", step.Begin)
	}
}
