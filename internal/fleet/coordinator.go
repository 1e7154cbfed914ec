package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// RolloutCoordinator decides in which order the agents of many hosts begin their rolling updates: each agent keeps the
// minimum of its own groups, the coordinator that of the fleet. It needs no storage: commands have the same ID at every
// agent, so a tool that is started again learns from the agents how far the one before had come.
type RolloutCoordinator struct {
	Hosts              []string // in the file's order
	Config             RollingUpdateConfig
	MaxConcurrentHosts int // hosts that update at once, 1 or more
	blockedSince       monotime.Micros
}

// HostProgress is what is known of a host's part of a rollout.
type HostProgress struct {
	Reachable      bool
	State          CommandState // of its command; empty: it has none yet
	Failed         bool         // some instance is not as the command wanted it
	Cause          string
	Ready          int // instances ready now
	DesiredUp      int // instances desired up
	MaxUnavailable int // that its update takes out at once at the most
}

// RolloutStep is what to do next.
type RolloutStep struct {
	Begin      []string // hosts whose updates begin now
	Finished   bool     // nothing is left to begin or to wait for
	StopReason string   // why it stops though hosts are left; empty: it goes on
}

// Next says which updates begin. A host that is not reachable, or whose update is paused or failed, stops the rollout:
// what fails on one host must not go on to the next. If the fleet's minimum is in the way for longer than
// Config.StallTimeout it stops too; until then what has just come up may settle.
func (r *RolloutCoordinator) Next(now monotime.Micros, facts map[string]HostProgress) RolloutStep {
	rolling, left := 0, []string{}
	ready, up := 0, 0
	for _, h := range r.Hosts {
		f := facts[h]
		ready, up = ready+f.Ready, up+f.DesiredUp
		switch {
		case f.State == "":
			left = append(left, h)
		case f.State == CommandDone && f.Failed, f.State == CommandPaused, f.State == CommandCancelled:
			return RolloutStep{Finished: f.State == CommandDone, StopReason: fmt.Sprintf("host %s: %s %s", h, f.State, f.Cause)}
		case f.State != CommandDone:
			rolling++
			ready -= max(0, f.MaxUnavailable-(f.DesiredUp-f.Ready)) // as if all that it may take out were out already
		}
	}
	step := RolloutStep{Finished: rolling == 0 && len(left) == 0}
	for _, h := range left {
		f := facts[h]
		switch {
		case rolling >= max(1, r.MaxConcurrentHosts):
			return step
		case !f.Reachable:
			if rolling == 0 {
				step.Finished, step.StopReason = true, fmt.Sprintf("host %s can't be reached", h)
			}
			return step
		case ready-f.MaxUnavailable < r.Config.minReady(up):
			if rolling > 0 {
				return step
			}
			if r.blockedSince == 0 {
				r.blockedSince = now
			}
			if now-r.blockedSince >= r.Config.StallTimeout {
				step.StopReason = fmt.Sprintf("host %s would take %d out, with %d ready of %d in the fleet and %d to stay",
					h, f.MaxUnavailable, ready, up, r.Config.minReady(up))
			}
			return step
		}
		r.blockedSince = 0
		step.Begin = append(step.Begin, h)
		ready -= f.MaxUnavailable
		rolling++
	}
	return step
}

// CountOutcomes sums the results of commands over hosts, and the instances that have none yet.
func CountOutcomes(commands ...*Command) (counts map[Outcome]int, open int) {
	counts = map[Outcome]int{}
	for _, c := range commands {
		if c == nil {
			continue
		}
		for _, result := range c.Results {
			counts[result.Outcome]++
		}
		open += len(c.unresolved())
	}
	return counts, open
}

// Unsatisfied lists the instances that are not as the command wanted them, in order.
func (c *Command) Unsatisfied() (names []string) {
	for n, r := range c.Results {
		if !r.Outcome.Satisfied() && r.Outcome != OutcomeSkipped {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
