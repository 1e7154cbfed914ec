package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// RolloutCoordinator decides in which order the agents of many hosts begin their rolling updates. Each agent enforces
// the minimum of its own groups, the coordinator that of the fleet. It needs no storage: commands have the same ID at
// every agent, so a restarted coordinator learns the progress from the agents.
type RolloutCoordinator struct {
	Hosts              []string // in the file's order
	Config             RollingUpdateConfig
	MaxConcurrentHosts int             // hosts that update at once; below 1 counts as 1
	blockedSince       monotime.Micros // the fleet's minimum has let no host begin since; 0: a host can
}

// HostProgress is the known progress of a host in a rollout.
type HostProgress struct {
	Reachable      bool
	State          CommandState // of the host's command; empty: it has none yet
	Failed         bool         // some instance is not in the state that the command requested
	Cause          string       // of State or Failed; empty: none
	Ready          int          // instances ready now
	DesiredUp      int          // instances desired up
	MaxUnavailable int          // instances that the host's update takes out of service at once at most
}

// RolloutStep is the next step of a rollout.
type RolloutStep struct {
	Begin      []string // hosts whose updates begin now
	Finished   bool     // there is nothing left to begin or to wait for
	StopReason string   // why the rollout stops before all hosts are done; empty: it continues
}

// rolloutTally sums up the progress of all hosts.
type rolloutTally struct {
	waiting   []string // hosts without a command, in the file's order
	updating  int      // hosts whose update is in progress
	ready     int      // instances, less those that updates in progress may still take out of service
	desiredUp int      // instances
}

// Next decides which updates begin. A host that is unreachable, or whose update is paused or failed, stops the rollout,
// so that a faulty release does not spread to further hosts. If the fleet's minimum lets no host begin for
// Config.StallTimeout, the rollout stops too; until then instances that have just become ready may settle.
func (r *RolloutCoordinator) Next(now monotime.Micros, progress map[string]HostProgress) RolloutStep {
	for _, name := range r.Hosts {
		if host := progress[name]; host.stopsRollout() {
			return RolloutStep{
				Finished:   host.State == CommandDone,
				StopReason: fmt.Sprintf("host %s: %s %s", name, host.State, host.Cause),
			}
		}
	}
	tally := r.tally(progress)
	step := RolloutStep{Finished: tally.updating == 0 && len(tally.waiting) == 0}
	for _, name := range tally.waiting {
		host := progress[name]
		if tally.updating >= max(1, r.MaxConcurrentHosts) {
			return step
		}
		if !host.Reachable {
			if tally.updating == 0 {
				step.Finished = true
				step.StopReason = fmt.Sprintf("host %s is unreachable", name)
			}
			return step
		}
		if tally.ready-host.MaxUnavailable < r.Config.minReady(tally.desiredUp) {
			if tally.updating == 0 {
				step.StopReason = r.blockedReason(now, name, host, tally)
			}
			return step
		}
		r.blockedSince = 0
		step.Begin = append(step.Begin, name)
		tally.ready -= host.MaxUnavailable
		tally.updating++
	}
	return step
}

// stopsRollout reports whether the host's update failed, was cancelled, or waits for an operator.
func (p HostProgress) stopsRollout() bool {
	return p.State == CommandDone && p.Failed || p.State == CommandPaused || p.State == CommandCancelled
}

// tally sums up the progress of all hosts.
func (r *RolloutCoordinator) tally(progress map[string]HostProgress) rolloutTally {
	var tally rolloutTally
	for _, name := range r.Hosts {
		host := progress[name]
		tally.ready += host.Ready
		tally.desiredUp += host.DesiredUp
		switch host.State {
		case "":
			tally.waiting = append(tally.waiting, name)
		case CommandDone:
		default: // instances that the update may still take out of service count as unavailable
			unavailable := host.DesiredUp - host.Ready
			tally.ready -= max(0, host.MaxUnavailable-unavailable)
			tally.updating++
		}
	}
	return tally
}

// blockedReason returns why the rollout stops if no host could begin for Config.StallTimeout; empty: it continues.
func (r *RolloutCoordinator) blockedReason(
	now monotime.Micros, name string, host HostProgress, tally rolloutTally,
) string {
	if r.blockedSince == 0 {
		r.blockedSince = now
	}
	if now-r.blockedSince < r.Config.StallTimeout {
		return ""
	}
	return fmt.Sprintf("host %s would take %d out of service: %d of %d in the fleet are ready, and %d must stay ready",
		name, host.MaxUnavailable, tally.ready, tally.desiredUp, r.Config.minReady(tally.desiredUp))
}
