package fleet

import (
	"fmt"
	"slices"
)

// Tour decides in which order the agents of many hosts roll their waves: each agent keeps the budget of its own
// instances, the tour that of the fleet. It forgets nothing by dying: commands have the same id at every agent,
// so a tool that asks again finds out how far the one before had come.
type RolloutCoordinator struct {
	Hosts              []string // in the file's order
	Config             RollingUpdateConfig
	MaxConcurrentHosts int // hosts that roll at once, 1 or more
	blockedSince       Micros
}

// HostFact is what is known of a host's part of a tour.
type HostProgress struct {
	Reachable      bool
	State          CommandState // of its command; empty: it has none yet
	Failed         bool         // some instance came out other than asked for
	Cause          string
	Ready          int // instances ready now
	DesiredUp      int // instances wanted up
	MaxUnavailable int // that its wave takes out at once at the most
}

// TourStep is what to do next.
type RolloutStep struct {
	Begin      []string // hosts whose waves begin now
	Finished   bool     // nothing is left to begin or to wait for
	StopReason string   // it stops here though hosts are left
}

// Next says which waves begin. A host that is not reached, or whose wave is paused or went wrong, stops the
// tour: what goes wrong on one host must not go on to the next. Where the fleet's budget stands in the way for
// longer than the terms' stall it stops too; until then what has just come up may settle.
func (t *RolloutCoordinator) Next(now Micros, facts map[string]HostProgress) RolloutStep {
	rolling, left := 0, []string{}
	ready, up := 0, 0
	for _, h := range t.Hosts {
		f := facts[h]
		ready, up = ready+f.Ready, up+f.DesiredUp
		switch {
		case f.State == "":
			left = append(left, h)
		case f.State == CommandDone && f.Failed, f.State == CommandPaused, f.State == CommandCancelled:
			return RolloutStep{Finished: f.State == CommandDone, StopReason: fmt.Sprintf("host %s: %s %s", h, f.State, f.Cause)}
		case f.State != CommandDone:
			rolling++
			ready -= max(0, f.MaxUnavailable-(f.DesiredUp-f.Ready)) // as if all that it may take were out already
		}
	}
	step := RolloutStep{Finished: rolling == 0 && len(left) == 0}
	for _, h := range left {
		f := facts[h]
		switch {
		case rolling >= max(1, t.MaxConcurrentHosts):
			return step
		case !f.Reachable:
			if rolling == 0 {
				step.Finished, step.StopReason = true, fmt.Sprintf("host %s can't be reached", h)
			}
			return step
		case ready-f.MaxUnavailable < t.Config.minReady(up):
			if rolling > 0 {
				return step
			}
			if t.blockedSince == 0 {
				t.blockedSince = now
			}
			if now-t.blockedSince >= t.Config.StallTimeout {
				step.StopReason = fmt.Sprintf("host %s would take %d out, with %d ready of %d in the fleet and %d to stay",
					h, f.MaxUnavailable, ready, up, t.Config.minReady(up))
			}
			return step
		}
		t.blockedSince = 0
		step.Begin = append(step.Begin, h)
		ready -= f.MaxUnavailable
		rolling++
	}
	return step
}

// Tally sums a command's results over hosts: how many instances came out how.
func CountOutcomes(commands ...*Command) (counts map[Outcome]int, open int) {
	counts = map[Outcome]int{}
	for _, c := range commands {
		if c == nil {
			continue
		}
		for _, r := range c.Results {
			counts[r.Outcome]++
		}
		open += len(c.unresolved())
	}
	return counts, open
}

// Bad lists the instances that are not as asked, in order.
func (c *Command) Unsatisfied() (names []string) {
	for n, r := range c.Results {
		if !r.Outcome.Satisfied() && r.Outcome != OutcomeSkipped {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
