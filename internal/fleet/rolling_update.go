package fleet

import (
	"fmt"
	"slices"
)

// tally is what a group has, for the budget of a wave.
type groupCount struct {
	desiredUp int // wanted up, spares apart
	available int // that may be counted on, spares too
}

func (m *Machine) groupCounts(now Micros) map[string]*groupCount {
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

// plan prepares a wave, or says why none can go on by these terms.
func (m *Machine) planRollingUpdate(now Micros, c *Command) error {
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
			return fmt.Errorf("surge: group %q has %d spares that are down, %d are wanted", name, spares, c.Rollout.Surge)
		}
		up := tallies[name].desiredUp
		if least := c.Rollout.minReady(up); up > 0 && up+spares-1 < least {
			return fmt.Errorf("least: with %d of group %q up and %d spares, none can leave while %d must stay ready",
				up, name, spares, least)
		}
	}
	c.Stage = StageRolling
	if len(c.Spares) > 0 {
		c.Stage = StageStartSpares
	}
	return nil
}

// roll brings a wave forward: it releases what may leave now, and stops where it can't go on within its budget.
func (m *Machine) advanceRollingUpdate(now Micros, c *Command) {
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

// raise brings the spares up and tells whether the wave may roll: all are ready and settled, or it was cancelled.
func (m *Machine) startSpares(now Micros, c *Command) bool {
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

// hold pauses a wave that should not go on, and tells whether it did.
func (m *Machine) pauseIfNeeded(now Micros, c *Command) bool {
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

func (m *Machine) pause(now Micros, c *Command, why string) {
	c.State, c.Cause = CommandPaused, why
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "pause", Cause: why})
}

func lastFailure(c *Command) string {
	name, at := "", Micros(-1)
	for _, n := range c.instanceNames() {
		if r, over := c.Results[n]; over && r.Outcome == OutcomeFailed && r.At > at {
			name, at = n, r.At
		}
	}
	return name + " " + c.Results[name].Cause
}

// release lets as many leave as width and budget allow.
func (m *Machine) releaseInstances(now Micros, c *Command) {
	for _, n := range c.Names {
		if in := m.instances[n]; c.InProgress[n] && in != nil {
			m.resolveCommand(now, in)
		}
	}
	if m.pauseIfNeeded(now, c) || c.State != CommandOpen {
		return
	}
	var tallies map[string]*groupCount
	blocked, asked := false, 0
	for _, n := range c.Names {
		if len(c.InProgress)+asked >= c.Rollout.MaxInProgress {
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
		if tallies == nil {
			tallies = m.groupCounts(now)
		}
		g := tallies[in.Group]
		cost := 0
		if in.available(now) {
			cost = 1
		}
		if g.available-cost < c.Rollout.minReady(g.desiredUp) {
			blocked = true
			continue
		}
		if in.Phase == PhaseUnknown { // what can't be seen may be ready: taking it out costs one that can't be counted
			blocked = true
			continue
		}
		if !m.holdsUnit(now, c, in) { // others of the fleet may have them all
			g.available -= cost
			asked++
			continue
		}
		g.available -= cost
		c.InProgress[n] = true
		m.restartInstance(now, in)
		m.markCommandChanged(c)
		m.advance(now, in)
	}
	switch {
	case !blocked || len(c.InProgress)+asked > 0:
		if c.BlockedSince != 0 {
			c.BlockedSince = 0
		}
	case c.BlockedSince == 0:
		c.BlockedSince = now
	}
}

// stuckAt says which group holds the wave up.
func (m *Machine) blockedReason(now Micros, c *Command) string {
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

// Plan is what a wave would do, for --dry-run: the order in which instances would leave if all went well, with
// how many of their group are ready meanwhile, and why it could not be taken.
type PlanStep struct {
	Name     string `json:"name"`
	Group    string `json:"group"`
	Batch    int    `json:"batch"`
	Ready    int    `json:"ready"` // of its group, with this batch out
	MinReady int    `json:"least"`
}

// Preview plays a wave on facts alone: every instance of the names taken to be up and ready, and each batch to
// come back whole.
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
	now := Micros(long / 2)
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
				m.Decide(now, InstanceObserved{n, Observation{Incarnation: in.Incarnation, Phase: PhaseExited}})
			}
			if in.Incarnation != "" && in.NoticeID == "" {
				m.Decide(now, InstanceObserved{n, Observation{Incarnation: in.Incarnation, Phase: PhaseReady}})
			}
		}
		now += 1 << 40
		m.Decide(now, Tick{})
	}
	return steps, fmt.Errorf("the wave does not come to its end by these terms")
}
