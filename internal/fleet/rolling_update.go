package fleet

import (
	"fmt"
	"slices"

	"milletbarrow/monotime"
)

// groupCount counts the instances of a group, for the minimum of a rolling update.
type groupCount struct {
	desiredUp int // spares apart
	available int // spares too
}

// groupCounts counts the instances of each group.
func (m *Machine) groupCounts(now monotime.Micros) map[string]*groupCount {
	all := make(map[string]*groupCount, len(m.groups))
	for name := range m.groups {
		all[name] = &groupCount{}
	}
	for _, name := range m.instanceNames {
		in := m.instances[name]
		g := all[in.Group]
		if in.DesiredUp && !in.Spare {
			g.desiredUp++
		}
		if in.available(now) {
			g.available++
		}
	}
	return all
}

// planRollingUpdate prepares a rolling update, or says why none is possible by its configuration.
func (m *Machine) planRollingUpdate(now monotime.Micros, c *Command) error {
	for _, o := range m.openCommands {
		if o.Kind == KindRollingUpdate && o.State != CommandDone {
			return fmt.Errorf("%w: %s", ErrUpdateInProgress, o.ID)
		}
	}
	c.Names = rolloutOrder(c.Rollout.Order, c.Names,
		func(n string) int { return m.instances[n].fileOrder }, func(n string) string { return m.instances[n].Group })
	groups := map[string]bool{}
	for _, n := range c.Names {
		groups[m.instances[n].Group] = true
	}
	tallies := m.groupCounts(now)
	for _, name := range sortedKeys(groups) {
		spares := 0
		for _, n := range m.groups[name].Instances {
			if in := m.instances[n]; in != nil && in.Spare && !in.DesiredUp && spares < c.Rollout.Surge {
				c.Spares = append(c.Spares, n)
				spares++
			}
		}
		if spares < c.Rollout.Surge {
			return &CommandError{Group: name, Err: fieldErrorf("surge",
				"group %q has %d spares that are down, %d are wanted", name, spares, c.Rollout.Surge)}
		}
		up := tallies[name].desiredUp
		if least := c.Rollout.minReady(up); up > 0 && up+spares-1 < least {
			return &CommandError{Group: name, Err: fieldErrorf("least",
				"with %d of group %q up and %d spares, none can leave while %d must stay ready", up, name, spares, least)}
		}
	}
	c.Stage = StageRolling
	if len(c.Spares) > 0 {
		c.Stage = StageStartSpares
	}
	return nil
}

// advanceRollingUpdate brings an update forward: spares start, instances are released as they may, spares stop.
func (m *Machine) advanceRollingUpdate(now monotime.Micros, c *Command) {
	if c.Stage == StageStartSpares && !m.startSpares(now, c) {
		return
	}
	if c.Stage == StageRolling {
		m.releaseInstances(now, c)
		if len(c.InProgress) > 0 || slices.ContainsFunc(c.Names, func(n string) bool { _, over := c.Results[n]; return !over }) {
			return
		}
		c.Stage = StageStopSpares
		m.markCommandChanged(c)
	}
	if c.Stage == StageStopSpares {
		for _, n := range c.Spares {
			in := m.instances[n]
			if in == nil {
				m.recordResult(now, c, n, OutcomeFailed, notInSpec)
				continue
			}
			m.stopSpare(in)
			m.advance(now, in)
		}
	}
}

// startSpares starts the spares and reports whether the update may go on: all are settled, or it was cancelled.
func (m *Machine) startSpares(now monotime.Micros, c *Command) bool {
	ready := true
	for _, n := range c.Spares {
		in := m.instances[n]
		if _, over := c.Results[n]; over || in == nil {
			continue
		}
		if c.State == CommandCancelled {
			continue
		}
		if !in.DesiredUp && in.CommandID != c.ID {
			in.CommandID = c.ID
			m.restartInstance(now, in)
			in.DesiredUp = true
			m.advance(now, in)
		}
		ready = ready && in.Settled(now)
	}
	if m.pauseIfNeeded(now, c) || c.State == CommandPaused {
		return false
	}
	if !ready {
		return false
	}
	if c.Stage = StageRolling; c.State == CommandCancelled {
		c.Stage = StageStopSpares
	}
	m.markCommandChanged(c)
	return true
}

// pauseIfNeeded pauses an update that should not go on, and reports whether it did.
func (m *Machine) pauseIfNeeded(now monotime.Micros, c *Command) bool {
	if c.State != CommandOpen {
		return false
	}
	why := ""
	if c.Failures > c.Rollout.MaxFailures {
		why = fmt.Sprintf("%d failed, at most %d may: %s", c.Failures, c.Rollout.MaxFailures, lastFailure(c))
	}
	share, known := m.rejections.share(now)
	switch bad := known && share > c.Rollout.MaxRejectedShare; {
	case !bad:
		c.RejectingSince = 0
	case c.RejectingSince == 0:
		c.RejectingSince = now
	}
	if c.RejectingSince != 0 && now-c.RejectingSince >= c.Rollout.RejectionTolerance && why == "" {
		why = fmt.Sprintf("service falls: %.0f%% are turned away, for %d ms", 100*share, (now-c.RejectingSince)/1000)
	}
	if why == "" && c.BlockedSince != 0 && now-c.BlockedSince >= c.Rollout.StallTimeout {
		why = m.blockedReason(now, c)
	}
	if why == "" {
		return false
	}
	m.pause(now, c, why)
	return true
}

// pause pauses an update and records why.
func (m *Machine) pause(now monotime.Micros, c *Command, why string) {
	c.State, c.Cause = CommandPaused, why
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "pause", Cause: why})
}

// lastFailure names the instance that failed last, with the cause.
func lastFailure(c *Command) string {
	name, at := "", monotime.Micros(-1)
	for _, n := range c.instanceNames() {
		if r, over := c.Results[n]; over && r.Outcome == OutcomeFailed && r.At > at {
			name, at = n, r.At
		}
	}
	return name + " " + c.Results[name].Cause
}

// releaseInstances restarts as many instances as width, group minimum and quota allow.
func (m *Machine) releaseInstances(now monotime.Micros, c *Command) {
	for _, n := range c.Names {
		if in := m.instances[n]; c.InProgress[n] && in != nil {
			m.resolveCommand(now, in)
		}
	}
	if m.pauseIfNeeded(now, c) || c.State != CommandOpen {
		return
	}
	blocked, requested := false, 0
	var counts map[string]*groupCount // counted once it is needed
	for _, n := range c.Names {
		if len(c.InProgress)+requested >= c.Rollout.MaxInProgress {
			blocked = false
			break
		}
		if _, over := c.Results[n]; over || c.InProgress[n] {
			continue
		}
		in := m.instances[n]
		if in == nil || !in.DesiredUp {
			m.recordResult(now, c, n, OutcomeSkipped, "it is not wanted up")
			continue
		}
		if counts == nil {
			counts = m.groupCounts(now)
		}
		switch m.tryRelease(now, c, in, counts[in.Group]) {
		case releaseBlocked:
			blocked = true
		case releaseAwaitsUnit:
			requested++
		}
	}
	c.noteBlocked(now, blocked && len(c.InProgress)+requested == 0)
}

// noteBlocked keeps since when the update is blocked.
func (c *Command) noteBlocked(now monotime.Micros, blocked bool) {
	switch {
	case !blocked:
		c.BlockedSince = 0
	case c.BlockedSince == 0:
		c.BlockedSince = now
	}
}

// releaseDecision is what tryRelease came to.
type releaseDecision int

const (
	released          releaseDecision = iota
	releaseBlocked                    // by the group's minimum, or because the instance can't be observed
	releaseAwaitsUnit                 // a unit of the quota is requested; others of the fleet may hold them all
)

// tryRelease restarts an instance if its group's minimum and the quota allow it. g counts it out already while its
// unit is awaited.
func (m *Machine) tryRelease(now monotime.Micros, c *Command, in *Instance, g *groupCount) releaseDecision {
	cost := 0
	if in.available(now) {
		cost = 1
	}
	if g.available-cost < c.Rollout.minReady(g.desiredUp) {
		return releaseBlocked
	}
	if in.Phase == PhaseUnknown { // it may be ready all the same: its restart would take out one that is not counted
		return releaseBlocked
	}
	g.available -= cost
	if !m.holdsUnit(now, c, in) {
		return releaseAwaitsUnit
	}
	c.InProgress[in.Name] = true
	m.restartInstance(now, in)
	m.markCommandChanged(c)
	m.advance(now, in)
	return released
}

// blockedReason says which instance or group blocks the update.
func (m *Machine) blockedReason(now monotime.Micros, c *Command) string {
	tallies := m.groupCounts(now)
	for _, n := range c.Names {
		in := m.instances[n]
		if _, over := c.Results[n]; over || in == nil {
			continue
		}
		if in.Phase == PhaseUnknown {
			return fmt.Sprintf("can't go on: %s can't be seen (%s)", n, in.Cause)
		}
		g := tallies[in.Group]
		return fmt.Sprintf("can't go on: group %s has %d ready of %d, and %d must stay ready; next would be %s",
			in.Group, g.available, g.desiredUp, c.Rollout.minReady(g.desiredUp), n)
	}
	return "can't go on"
}
