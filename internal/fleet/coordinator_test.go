package fleet

import (
	"fmt"
	"testing"

	"milletbarrow/internal/fakes"
)

// hostInState returns the progress of a host with ten instances, all ready, of which an update takes three out of
// service at once.
func hostInState(state CommandState) HostProgress {
	return HostProgress{Reachable: true, State: state, Ready: 10, DesiredUp: 10, MaxUnavailable: 3}
}

// hostWithReady returns the progress of a host with ten instances that has not begun its update.
func hostWithReady(ready int) HostProgress {
	return HostProgress{Reachable: true, Ready: ready, DesiredUp: 10, MaxUnavailable: 3}
}

// testCoordinator returns a coordinator that updates two hosts at once and keeps 80% of the fleet ready.
func testCoordinator(hosts ...string) *RolloutCoordinator {
	return &RolloutCoordinator{
		Hosts:              hosts,
		Config:             RollingUpdateConfig{MinReadyShare: 0.8, StallTimeout: 10},
		MaxConcurrentHosts: 2,
	}
}

// TestRolloutCoordinator compares the steps of a rollout with the stored trace: a failed, paused or unreachable host
// stops the rollout, and the fleet's minimum holds over all hosts.
func TestRolloutCoordinator(t *testing.T) {
	trace := fakes.NewTrace(t)
	coordinator := testCoordinator("a", "b", "c")
	failed := HostProgress{Reachable: true, State: CommandDone, Failed: true, Cause: "n3"}
	for _, progress := range []map[string]HostProgress{
		{"a": hostInState(""), "b": hostInState(""), "c": hostInState("")},
		{"a": hostInState(CommandOpen), "b": hostInState(CommandOpen), "c": hostInState("")},
		{"a": hostInState(CommandDone), "b": hostInState(CommandOpen), "c": hostInState("")},
		{"a": hostInState(CommandDone), "b": hostInState(CommandDone), "c": hostInState(CommandDone)},
		{"a": hostInState(CommandDone), "b": hostInState(CommandPaused), "c": hostInState("")},
		{"a": failed, "b": hostInState(""), "c": hostInState("")},
		{"a": {}, "b": hostInState(""), "c": hostInState("")},
		{"a": hostWithReady(6), "b": hostWithReady(8), "c": hostInState("")},
	} {
		trace.Say("%s", rolloutText(coordinator.Next(100, progress)))
	}
	blocked := map[string]HostProgress{"a": hostWithReady(6), "b": hostInState(""), "c": hostInState("")}
	trace.Say("and after the stall: %s", rolloutText(coordinator.Next(110, blocked)))
}

// rolloutText prints a step of a rollout as the stored trace has it.
func rolloutText(step RolloutStep) string {
	return fmt.Sprintf("{Begin:%v Over:%t Why:%s}", step.Begin, step.Finished, step.StopReason)
}

// TestRunningHostCountsAsUnavailable checks that instances that a host's update may still take out of service count as
// unavailable.
func TestRunningHostCountsAsUnavailable(t *testing.T) {
	coordinator := testCoordinator("a", "b")
	step := coordinator.Next(100, map[string]HostProgress{"a": hostInState(CommandOpen), "b": hostInState("")})
	if len(step.Begin) != 0 {
		t.Errorf("%v begins: 6 of 20 instances could be unavailable at once, want at most 4", step.Begin)
	}
}
