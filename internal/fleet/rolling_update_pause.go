package fleet

import (
	"fmt"

	"milletbarrow/monotime"
)

// pauseIfNeeded pauses an update that exceeds one of its bounds, and reports whether it did.
func (m *Machine) pauseIfNeeded(now monotime.Micros, command *Command) bool {
	if command.State != CommandOpen {
		return false
	}
	share, known := m.rejections.share(now)
	command.updateRejectingSince(now, known && share > command.Rollout.MaxRejectedShare)
	reason := m.pauseReason(now, command, share)
	if reason == "" {
		return false
	}
	command.setState(CommandPaused, reason)
	m.markCommandChanged(command)
	m.recordCommandEvent(now, command, eventPaused, reason)
	return true
}

// updateRejectingSince records since when the rejected share exceeds its bound, and clears the time once it does not.
func (c *Command) updateRejectingSince(now monotime.Micros, rejecting bool) {
	switch {
	case !rejecting:
		c.RejectingSince = 0
	case c.RejectingSince == 0:
		c.RejectingSince = now
	}
}

// pauseReason returns why an update has to pause; empty: it continues. share is the current share of rejections.
func (m *Machine) pauseReason(now monotime.Micros, command *Command, share float64) string {
	config := command.Rollout
	if command.Failures > config.MaxFailures {
		return fmt.Sprintf("%d failed, at most %d may: %s", command.Failures, config.MaxFailures, command.lastFailure())
	}
	rejectingFor := now - command.RejectingSince
	if command.RejectingSince != 0 && rejectingFor >= config.RejectionTolerance {
		const percent = 100
		return fmt.Sprintf("service falls: %.0f%% are turned away, for %d ms",
			percent*share, rejectingFor/monotime.Millisecond)
	}
	if command.BlockedSince != 0 && now-command.BlockedSince >= config.StallTimeout {
		return m.blockedReason(now, command)
	}
	return ""
}

// lastFailure returns the instance that failed last and the cause of its failure.
func (c *Command) lastFailure() string {
	last := ""
	lastAt := monotime.Micros(-1)
	for _, name := range c.instanceNames() {
		result, ok := c.Results[name]
		if ok && result.Outcome == OutcomeFailed && result.At > lastAt {
			last = name
			lastAt = result.At
		}
	}
	return last + " " + c.Results[last].Cause
}

// blockedReason returns which instance or group blocks the update.
func (m *Machine) blockedReason(now monotime.Micros, command *Command) string {
	for _, name := range command.Names {
		inst := m.instances[name]
		if command.hasResult(name) || inst == nil {
			continue
		}
		if inst.Phase == PhaseUnknown {
			return fmt.Sprintf("can't go on: %s can't be seen (%s)", name, inst.Cause)
		}
		count := m.groupCounts(now)[inst.Group]
		return fmt.Sprintf("can't go on: group %s has %d ready of %d, and %d must stay ready; next would be %s",
			inst.Group, count.available, count.desiredUp, command.Rollout.minReady(count.desiredUp), name)
	}
	return "can't go on"
}
