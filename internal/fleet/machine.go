package fleet

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"milletbarrow/internal/limits"
)

// Terms are the machine's own times and pauses.
type Config struct {
	KillDelay           Micros  // beyond an instance's stop before the agent itself kills it; also between two such kills
	ResendBackoff       Backoff // of a step that was not taken
	RelaunchBackoff     Backoff // after a life that ended by itself
	MaxFinishedCommands int     // ended ones that are kept
	MaxOpenCommands     int     // that may be open
	JitterSeed          uint64  // of the jitter
}

// DefaultTerms are the terms of an agent.
func DefaultConfig(b limits.Control, seed uint64) Config {
	return Config{
		KillDelay: micros(500_000_000), MaxFinishedCommands: b.Commands, MaxOpenCommands: b.Open, JitterSeed: seed,
		ResendBackoff:   Backoff{micros(b.Again), micros(b.AgainMax)},
		RelaunchBackoff: Backoff{micros(2 * b.Again), micros(10 * b.AgainMax)},
	}
}

// Machine decides for all instances of one agent. It is not for use by several goroutines at once.
type Machine struct {
	config            Config
	random            *rand.Rand
	instanceNames     []string // in the file's order
	instances         map[string]*Instance
	groups            map[string]*GroupSpec
	commands          map[string]*Command
	openCommands      []*Command // by Number
	finishedCommands  []string   // ids of the ended, oldest first
	lastSequence      int
	rejections        rejectionRate
	quotaSilentSince  Micros // since when asks for units have no answer; 0: the latest had one
	lastUnitRequestAt Micros // the latest such ask

	actions          []Action
	history          []HistoryEvent
	changedInstances map[string]bool // instances and commands to be written down
	changedCommands  map[string]bool
}

// New makes a machine for a host's instances; window tells what each has after the notice.
func New(s *Spec, host string, terms Config, window func(*InstanceSpec) ShutdownWindow) *Machine {
	m := &Machine{
		config: terms, random: rand.New(rand.NewPCG(terms.JitterSeed, 0)), instances: map[string]*Instance{},
		groups: map[string]*GroupSpec{}, commands: map[string]*Command{}, changedInstances: map[string]bool{},
		changedCommands: map[string]bool{},
	}
	for i, spec := range s.InstancesOn(host) {
		g := s.Group(spec.Group)
		m.groups[g.Name] = g
		m.instanceNames = append(m.instanceNames, spec.Name)
		m.instances[spec.Name] = &Instance{
			Name: spec.Name, Group: g.Name, Spare: spec.Spare, Phase: PhaseAbsent, group: g, shutdown: window(spec), fileOrder: i,
		}
	}
	return m
}

// Record is what the machine must be told again after a restart.
type Snapshot struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore takes back what was written down. fresh: the machine was started anew since, so that no process of
// then is left. Instances that the file no longer names are kept out of it: forgotten lists those that may still
// run.
func (m *Machine) Restore(now Micros, r Snapshot, fresh bool) (forgotten []Instance) {
	for _, was := range r.Instances {
		in := m.instances[was.Name]
		if in == nil {
			if was.Incarnation != "" && !fresh {
				forgotten = append(forgotten, was)
			}
			continue
		}
		keep := *in
		*in = was
		in.Group, in.Spare, in.group, in.shutdown, in.fileOrder = keep.Group, keep.Spare, keep.group, keep.shutdown, keep.fileOrder
		in.ReadySince, in.Detail, in.Invocations = 0, nil, unknownInvocations
		switch {
		case fresh:
			in.Incarnation, in.NoticeID, in.NotifiedAt, in.PhaseDeadline, in.ActionPending, in.KillAttempts, in.GiveUpReason = "", "", 0, 0, false, 0, ""
			in.RestartPending, in.LaunchesExhausted, in.LaunchRequested, in.NextAttemptAt, in.Attempts, in.LaunchBudget = false, false, true, 0, 0, LaunchBudget{}
			in.setPhase(now, PhaseAbsent, "the machine was started anew")
		case in.Incarnation != "":
			in.Phase, in.PhaseSince, in.Cause = PhaseUnknown, now, "the agent was started"
			in.NextAttemptAt = now                                                                  // what is pending goes out again at once
			if in.ActionPending && in.LastAction == ActionLaunch && in.Incarnation == in.ActionID { // it may not have begun
				in.PhaseDeadline = now + m.readinessTimeout(in)
				m.markInstanceChanged(in)
			}
			if in.ActionPending && in.LastAction == ActionNotify { // its window runs from when it hears
				in.NotifiedAt, in.PhaseDeadline = now, now+in.shutdown.ExitTimeout+m.config.KillDelay
				m.markInstanceChanged(in)
			}
		}
	}
	slices.SortFunc(r.Commands, func(a, b *Command) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, c := range r.Commands {
		if c = c.clone(); c.Results == nil {
			c.Results = map[string]Result{}
		}
		m.commands[c.ID] = c
		m.lastSequence = max(m.lastSequence, c.Sequence)
		if c.State == CommandDone {
			m.finishedCommands = append(m.finishedCommands, c.ID)
			continue
		}
		m.openCommands = append(m.openCommands, c)
		for _, n := range c.unresolved() {
			switch {
			case m.instances[n] == nil:
				m.recordResult(now, c, n, OutcomeFailed, "the fleet's file no longer names it")
			case fresh:
				m.recordResult(now, c, n, OutcomeFailed, "the machine was started anew")
			}
		}
	}
	m.closeFinishedCommands(now)
	return forgotten
}

// Changes are the instances and commands to be written down before the steps are taken, as they are now. Asking
// again gives what changed since.
func (m *Machine) Changes() (r Snapshot, dropped []string) {
	for _, name := range sortedKeys(m.changedInstances) {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, id := range sortedKeys(m.changedCommands) {
		if c := m.commands[id]; c != nil {
			r.Commands = append(r.Commands, c.clone())
		} else {
			dropped = append(dropped, id)
		}
	}
	clear(m.changedInstances)
	clear(m.changedCommands)
	return r, dropped
}

func (m *Machine) markInstanceChanged(in *Instance) { m.changedInstances[in.Name] = true }
func (m *Machine) markCommandChanged(c *Command)    { m.changedCommands[c.ID] = true }

// Names lists the instances in the file's order.
func (m *Machine) Names() []string { return slices.Clone(m.instanceNames) }

// All is everything that Restore takes, as it is now.
func (m *Machine) Snapshot() (r Snapshot) {
	for _, name := range m.instanceNames {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, c := range m.commands {
		r.Commands = append(r.Commands, c.clone())
	}
	return r
}

// Idle tells whether nothing is to be expected soon: no command is open, and no instance waits for a time limit,
// a step or another launch.
func (m *Machine) Idle(now Micros) bool {
	if len(m.openCommands) > 0 {
		return false
	}
	for _, name := range m.instanceNames {
		if in := m.instances[name]; in.ActionPending || in.PhaseDeadline != 0 || in.Unit.RequestID != "" || in.DesiredUp && !in.LaunchesExhausted && in.Phase.Down() {
			return false
		}
	}
	return true
}

// Instance is a copy of what is known of one.
func (m *Machine) Instance(name string) (Instance, bool) {
	in := m.instances[name]
	if in == nil {
		return Instance{}, false
	}
	return *in, true
}

// Command is a copy of one, nil if it is not known (any more).
func (m *Machine) Command(id string) *Command {
	if c := m.commands[id]; c != nil {
		return c.clone()
	}
	return nil
}

// Commands lists copies of all that are known, newest first.
func (m *Machine) Commands() (all []*Command) {
	for _, c := range m.commands {
		all = append(all, c.clone())
	}
	slices.SortFunc(all, func(a, b *Command) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return all
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Ordered brings a command; a command with a known id and the same content changes nothing.
	CommandReceived struct{ Command *Command }
	// Sighted brings what was seen of one.
	InstanceObserved struct {
		Name        string
		Observation Observation
	}
	// StepFailed: the step can't be taken, now or ever.
	ActionFailed struct {
		Name, ActionID, Cause string
		Final                 bool // trying again would not help
	}
	// Steer pauses, resumes or cancels a command.
	CommandControl struct{ CommandID, Verb, RequestedBy string }
	// Tick: time has passed.
	Tick struct{}
)

func (CommandReceived) event()  {}
func (InstanceObserved) event() {}
func (ActionFailed) event()     {}
func (CommandControl) event()   {}
func (Tick) event()             {}

// Decide takes in what happened and returns the steps to take, in order, and the lines for the history. Both are
// valid until the next call. An error means that nothing was changed.
func (m *Machine) Decide(now Micros, ev Event) (steps []Action, notes []HistoryEvent, err error) {
	m.actions, m.history = m.actions[:0], m.history[:0]
	switch e := ev.(type) {
	case CommandReceived:
		if err = m.acceptCommand(now, e.Command); err == nil {
			m.advanceAll(now)
		}
	case CommandControl:
		if err = m.controlCommand(now, e); err == nil {
			m.advanceAll(now)
		}
	case InstanceObserved:
		if in := m.instances[e.Name]; in != nil {
			m.handleObservation(now, in, e.Observation)
			m.advance(now, in)
		}
	case ActionFailed:
		if in := m.instances[e.Name]; in != nil && in.ActionID == e.ActionID && in.ActionPending {
			m.handleActionFailed(now, in, e)
			m.advance(now, in)
		}
	case UnitAcquired:
		if in := m.instances[e.Name]; in != nil {
			m.handleUnitAcquired(now, in, e)
		}
	case UnitReleased:
		m.quotaSilentSince = 0
		if in := m.instances[e.Name]; in != nil && in.Unit.RequestID == e.RequestID {
			in.Unit = Unit{}
			m.recordEvent(now, in, "unit given back", "")
			m.markInstanceChanged(in)
		}
	case UnitsListed:
		m.quotaSilentSince = 0
		m.handleUnitsListed(now, e)
	case Tick:
		m.advanceAll(now)
	}
	for _, c := range m.openCommands {
		switch c.Kind {
		case KindRollingUpdate:
			m.advanceRollingUpdate(now, c)
		case KindColdStart:
			m.advanceColdStart(now, c)
		}
	}
	m.closeFinishedCommands(now)
	return m.actions, m.history, err
}

func (m *Machine) advanceAll(now Micros) {
	for _, c := range slices.Clone(m.openCommands) {
		if now >= c.Deadline {
			m.expireCommand(now, c)
		}
	}
	for _, name := range m.instanceNames {
		m.advance(now, m.instances[name])
	}
}

// advance brings one instance forward, and the command that waits for it.
func (m *Machine) advance(now Micros, in *Instance) {
	m.resolveCommand(now, in)
	m.reconcile(now, in)
	m.resolveCommand(now, in)
	m.returnUnit(now, in)
}

// refused: a step could not be taken.
func (m *Machine) handleActionFailed(now Micros, in *Instance, e ActionFailed) {
	m.recordEvent(now, in, string(in.LastAction)+" not taken", e.Cause)
	if in.LastAction == ActionLaunch && in.Incarnation == in.ActionID { // no process came of it
		in.Incarnation, in.ActionPending, in.PhaseDeadline = "", false, 0
		in.setPhase(now, PhaseFailed, e.Cause)
		in.Attempts++
		in.NextAttemptAt = now + m.config.RelaunchBackoff.Pause(in.Attempts+1, m.random)
		if e.Final {
			in.LaunchesExhausted = true
		}
		in.RestartPending = false
		m.markInstanceChanged(in)
	}
}

// take accepts a command.
func (m *Machine) acceptCommand(now Micros, c *Command) error {
	if err := c.validate(); err != nil {
		return err
	}
	if was := m.commands[c.ID]; was != nil {
		if !was.equivalent(c) {
			return ErrIDConflict
		}
		return nil
	}
	seen := map[string]bool{}
	for _, n := range c.Names {
		switch in := m.instances[n]; {
		case in == nil:
			return fmt.Errorf("names: %q is no instance of this agent", n)
		case seen[n]:
			return fmt.Errorf("names: %q stands twice", n)
		case c.Kind == KindRollingUpdate && in.Spare:
			return fmt.Errorf("names: %q is a spare; a wave takes those by surge", n)
		}
		seen[n] = true
	}
	if c.Deadline <= now {
		return fmt.Errorf("due: it has passed")
	}
	if len(m.openCommands) >= m.config.MaxOpenCommands {
		return ErrTooManyCommands
	}
	c = c.clone()
	c.State, c.Cause, c.StartedAt, c.FinishedAt = CommandOpen, "", now, 0
	c.Results, c.InProgress, c.Failures, c.BlockedSince, c.RejectingSince, c.Spares, c.Stage = map[string]Result{}, map[string]bool{}, 0, 0, 0, nil, ""
	if c.Kind == KindRollingUpdate {
		if err := m.planRollingUpdate(now, c); err != nil {
			return err
		}
	}
	m.lastSequence++
	c.Sequence = m.lastSequence
	m.commands[c.ID] = c
	m.openCommands = append(m.openCommands, c)
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "taken", Cause: fmt.Sprintf("%s of %d, asked by %s", c.Kind, len(c.Names), c.RequestedBy)})
	for _, n := range c.Names {
		m.assignInstance(now, c, m.instances[n])
	}
	return nil
}

// assign makes a command the one that waits for the instance. The rule for two that ask for the same instance:
// the one that came later holds, and the earlier one ends there as superseded. What was told to leave leaves all
// the same; if it is wanted up it comes up again after.
func (m *Machine) assignInstance(now Micros, c *Command, in *Instance) {
	if c.Kind == KindRollingUpdate && !in.DesiredUp {
		m.recordResult(now, c, in.Name, OutcomeSkipped, "it is not wanted up")
		return
	}
	if old := m.commands[in.CommandID]; old != nil && old != c {
		delete(old.InProgress, in.Name)
		m.recordResult(now, old, in.Name, OutcomeSuperseded, "by "+c.ID)
	}
	in.CommandID = c.ID
	m.markInstanceChanged(in)
	switch c.Kind {
	case KindStart:
		if in.DesiredUp && in.Phase == PhaseReady && !in.RestartPending && in.NoticeID == "" {
			m.recordResult(now, c, in.Name, OutcomeUnchanged, "")
			return
		}
		in.DesiredUp, in.LaunchesExhausted, in.LaunchRequested, in.Attempts, in.LaunchBudget = true, false, true, 0, LaunchBudget{}
		if in.Phase.Down() {
			in.NextAttemptAt = now
		}
	case KindDrain, KindStop:
		if in.Phase.Down() {
			in.DesiredUp, in.RestartPending = false, false
			m.recordResult(now, c, in.Name, OutcomeUnchanged, in.Cause)
			return
		}
		in.DesiredUp, in.RestartPending = false, false
		if c.Immediate && in.KillAttempts == 0 {
			m.issueAction(now, in, ActionKill, "asked for")
			if in.NoticeID == "" {
				in.NoticeID, in.NotifiedAt = in.ActionID, now
			}
		}
	case KindRestart:
		m.restartInstance(now, in)
	case KindColdStart:
		if in.DesiredUp && in.Phase == PhaseReady && !in.RestartPending && in.NoticeID == "" {
			m.recordResult(now, c, in.Name, OutcomeUnchanged, "")
			in.reportAlreadyRunning(c)
		}
	}
}

// recycle has an instance leave and come up again.
func (m *Machine) restartInstance(now Micros, in *Instance) {
	in.DesiredUp, in.LaunchesExhausted, in.LaunchRequested, in.Attempts, in.LaunchBudget = true, false, true, 0, LaunchBudget{}
	if in.Phase.Down() {
		in.NextAttemptAt = now
	} else {
		in.RestartPending = true
	}
	in.LastExit = Exit{}
	m.markInstanceChanged(in)
}

// settle gives the command that waits for an instance its result, once there is one.
func (m *Machine) resolveCommand(now Micros, in *Instance) {
	c := m.commands[in.CommandID]
	if c == nil {
		return
	}
	if _, over := c.Results[in.Name]; over {
		in.CommandID = ""
		m.markInstanceChanged(in)
		return
	}
	lost := in.Phase == PhaseFailed && in.LaunchesExhausted
	switch c.Kind {
	case KindStart, KindColdStart:
		switch {
		case c.Kind == KindColdStart && !in.DesiredUp: // it has not been its turn
		case in.Phase == PhaseReady && !in.RestartPending && in.NoticeID == "" && (c.Kind == KindStart || in.Settled(now)):
			m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
			in.reportAlreadyRunning(c)
		case lost:
			m.recordResult(now, c, in.Name, OutcomeFailed, in.Cause)
		}
	case KindDrain, KindStop:
		switch end := in.LastExit; {
		case !in.Phase.Down():
		case end.KillReason != "":
			m.recordResult(now, c, in.Name, OutcomeKilled, end.String())
		case in.Phase == PhaseExited && end.Signal == "" && end.Code == 0:
			m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
		default:
			m.recordResult(now, c, in.Name, OutcomeFailed, "it is down: "+in.Cause)
		}
	case KindRestart, KindRollingUpdate:
		if c.Kind == KindRollingUpdate && !c.InProgress[in.Name] && !in.Spare {
			return // it has not been its turn
		}
		if in.Spare && c.Stage == StageStopSpares {
			if in.Phase.Down() {
				m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
			}
			return
		}
		switch {
		case lost:
			m.recordResult(now, c, in.Name, OutcomeFailed, in.Cause)
		case in.RestartPending || in.NoticeID != "" || in.Phase != PhaseReady || in.Spare:
		case c.Kind == KindRollingUpdate && !in.Settled(now):
		case in.LastExit.KillReason != "":
			m.recordResult(now, c, in.Name, OutcomeKilled, "up again; before, "+in.LastExit.String())
		case in.LastExit.Code != 0:
			m.recordResult(now, c, in.Name, OutcomeSucceeded, "up again; before, "+in.LastExit.String())
		default:
			m.recordResult(now, c, in.Name, OutcomeSucceeded, "")
		}
	}
}

// result is given once; what comes after it changes nothing.
func (m *Machine) recordResult(now Micros, c *Command, name string, o Outcome, cause string) {
	if _, over := c.Results[name]; over {
		return
	}
	c.Results[name] = Result{Outcome: o, Cause: cause, At: now}
	if o == OutcomeFailed {
		c.Failures++
	}
	delete(c.InProgress, name)
	if in := m.instances[name]; in != nil && in.CommandID == c.ID {
		in.CommandID = ""
		m.markInstanceChanged(in)
	}
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, Name: name, CommandID: c.ID, Event: "result " + string(o), Cause: cause})
}

// expire ends a command whose time is over. What it began goes on.
func (m *Machine) expireCommand(now Micros, c *Command) {
	for _, n := range c.unresolved() {
		m.recordResult(now, c, n, OutcomeTimedOut, "the command's time is over")
	}
	for _, n := range c.Spares {
		m.stopSpare(m.instances[n])
	}
}

func (m *Machine) stopSpare(in *Instance) {
	if in != nil && in.Spare && in.DesiredUp {
		in.DesiredUp = false
		m.markInstanceChanged(in)
	}
}

func (m *Machine) controlCommand(now Micros, e CommandControl) error {
	c := m.commands[e.CommandID]
	if c == nil {
		return ErrUnknownCommand
	}
	switch {
	case c.State == CommandDone:
		return fmt.Errorf("%s: the command has ended", e.Verb)
	case e.Verb == "cancel":
		if c.State == CommandCancelled {
			return nil
		}
		c.State, c.Cause = CommandCancelled, "by "+e.RequestedBy
		for _, n := range c.unresolved() {
			if in := m.instances[n]; c.Kind == KindRollingUpdate && (c.InProgress[n] || in != nil && in.Spare) {
				continue // it comes back
			}
			m.recordResult(now, c, n, OutcomeCancelled, "by "+e.RequestedBy)
		}
	case c.Kind != KindRollingUpdate:
		return fmt.Errorf("%s: only a wave can be held", e.Verb)
	case e.Verb == "pause" && c.State == CommandOpen:
		c.State, c.Cause = CommandPaused, "by "+e.RequestedBy
	case e.Verb == "resume" && c.State == CommandPaused:
		c.State, c.Cause, c.Failures, c.BlockedSince, c.RejectingSince = CommandOpen, "", 0, 0, 0
	case e.Verb == "pause", e.Verb == "resume":
		return nil // as it is
	default:
		return fmt.Errorf("%q is none of pause, resume, cancel", e.Verb)
	}
	m.markCommandChanged(c)
	m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: e.Verb, Cause: "by " + e.RequestedBy})
	return nil
}

// close ends the commands that have all their results, and forgets the oldest beyond the bound.
func (m *Machine) closeFinishedCommands(now Micros) {
	m.openCommands = slices.DeleteFunc(m.openCommands, func(c *Command) bool {
		if len(c.Results) < len(c.Names)+len(c.Spares) {
			return false
		}
		if c.State != CommandCancelled {
			c.Cause = ""
		}
		c.State, c.FinishedAt = CommandDone, now
		m.finishedCommands = append(m.finishedCommands, c.ID)
		m.markCommandChanged(c)
		m.history = append(m.history, HistoryEvent{At: now, CommandID: c.ID, Event: "ended"})
		return true
	})
	for len(m.finishedCommands) > m.config.MaxFinishedCommands {
		delete(m.commands, m.finishedCommands[0])
		m.changedCommands[m.finishedCommands[0]] = true
		m.finishedCommands = m.finishedCommands[1:]
	}
}

func (m *Machine) recordEvent(now Micros, in *Instance, event, cause string) {
	m.history = append(m.history, HistoryEvent{At: now, Name: in.Name, CommandID: in.CommandID, Event: event, Cause: cause})
}

// service is the share of invocations that were turned away of late, over all instances.
type rejectionRate struct {
	at                    Micros
	invocations, rejected float64
}

const (
	rejectionDecay = 2_000_000 // microseconds in which what was counted loses weight by e
	minInvocations = 20        // invocations; fewer say nothing
)

func (s *rejectionRate) decay(now Micros) {
	if now > s.at {
		keep := math.Exp(-float64(now-s.at) / rejectionDecay)
		s.invocations, s.rejected, s.at = s.invocations*keep, s.rejected*keep, now
	}
}

func (s *rejectionRate) add(now Micros, picked, turned int) {
	s.decay(now)
	s.invocations += float64(picked)
	s.rejected += float64(turned)
}

// turnedAway is the share; ok is false while too little was counted to say.
func (s *rejectionRate) share(now Micros) (share float64, ok bool) {
	if s.decay(now); s.invocations < minInvocations {
		return 0, false
	}
	return min(1, s.rejected/s.invocations), true
}
