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
type Terms struct {
	Slack    Micros  // beyond an instance's stop before the agent itself kills it; also between two such kills
	Again    Backoff // of a step that was not taken
	Relaunch Backoff // after a life that ended by itself
	Commands int     // ended ones that are kept
	Open     int     // that may be open
	Seed     uint64  // of the jitter
}

// DefaultTerms are the terms of an agent.
func DefaultTerms(b limits.Control, seed uint64) Terms {
	return Terms{
		Slack: micros(500_000_000), Commands: b.Commands, Open: b.Open, Seed: seed,
		Again:    Backoff{micros(b.Again), micros(b.AgainMax)},
		Relaunch: Backoff{micros(2 * b.Again), micros(10 * b.AgainMax)},
	}
}

// Machine decides for all instances of one agent. It is not for use by several goroutines at once.
type Machine struct {
	terms     Terms
	draw      *rand.Rand
	names     []string // in the file's order
	instances map[string]*Instance
	groups    map[string]*GroupSpec
	commands  map[string]*Command
	open      []*Command // by Number
	past      []string   // ids of the ended, oldest first
	number    int
	service   service
	unheard   Micros // since when asks for units have no answer; 0: the latest had one
	askedAt   Micros // the latest such ask

	steps   []Step
	notes   []Note
	touched map[string]bool // instances and commands to be written down
	told    map[string]bool
}

// New makes a machine for a host's instances; window tells what each has after the notice.
func New(s *Spec, host string, terms Terms, window func(*InstanceSpec) Window) *Machine {
	m := &Machine{
		terms: terms, draw: rand.New(rand.NewPCG(terms.Seed, 0)), instances: map[string]*Instance{},
		groups: map[string]*GroupSpec{}, commands: map[string]*Command{}, touched: map[string]bool{},
		told: map[string]bool{},
	}
	for i, spec := range s.Of(host) {
		g := s.Group(spec.Group)
		m.groups[g.Name] = g
		m.names = append(m.names, spec.Name)
		m.instances[spec.Name] = &Instance{
			Name: spec.Name, Group: g.Name, Spare: spec.Spare, Phase: Absent, spec: g, window: window(spec), place: i,
		}
	}
	return m
}

// Record is what the machine must be told again after a restart.
type Record struct {
	Instances []Instance `json:"instances"`
	Commands  []*Command `json:"commands"`
}

// Restore takes back what was written down. fresh: the machine was started anew since, so that no process of
// then is left. Instances that the file no longer names are kept out of it: forgotten lists those that may still
// run.
func (m *Machine) Restore(now Micros, r Record, fresh bool) (forgotten []Instance) {
	for _, was := range r.Instances {
		in := m.instances[was.Name]
		if in == nil {
			if was.Run != "" && !fresh {
				forgotten = append(forgotten, was)
			}
			continue
		}
		keep := *in
		*in = was
		in.Group, in.Spare, in.spec, in.window, in.place = keep.Group, keep.Spare, keep.spec, keep.window, keep.place
		in.Steady, in.Detail, in.Picked = 0, nil, unknownCount
		switch {
		case fresh:
			in.Run, in.Told, in.ToldAt, in.Deadline, in.Pending, in.Kills, in.GaveUp = "", "", 0, 0, false, 0, ""
			in.Recycle, in.Spent, in.Free, in.Next, in.Tries, in.Budget = false, false, true, 0, 0, Budget{}
			in.enter(now, Absent, "the machine was started anew")
		case in.Run != "":
			in.Phase, in.Since, in.Cause = Unknown, now, "the agent was started"
			in.Next = now                                              // what is pending goes out again at once
			if in.Pending && in.Doing == Launch && in.Run == in.Step { // it may not have begun
				in.Deadline = now + m.startWithin(in)
				m.touch(in)
			}
			if in.Pending && in.Doing == Tell { // its window runs from when it hears
				in.ToldAt, in.Deadline = now, now+in.window.Stop+m.terms.Slack
				m.touch(in)
			}
		}
	}
	slices.SortFunc(r.Commands, func(a, b *Command) int { return cmp.Compare(a.Number, b.Number) })
	for _, c := range r.Commands {
		if c = c.clone(); c.Results == nil {
			c.Results = map[string]Result{}
		}
		m.commands[c.ID] = c
		m.number = max(m.number, c.Number)
		if c.State == Done {
			m.past = append(m.past, c.ID)
			continue
		}
		m.open = append(m.open, c)
		for _, n := range c.open() {
			switch {
			case m.instances[n] == nil:
				m.result(now, c, n, Failing, "the fleet's file no longer names it")
			case fresh:
				m.result(now, c, n, Failing, "the machine was started anew")
			}
		}
	}
	m.close(now)
	return forgotten
}

// Changes are the instances and commands to be written down before the steps are taken, as they are now. Asking
// again gives what changed since.
func (m *Machine) Changes() (r Record, dropped []string) {
	for _, name := range sortedKeys(m.touched) {
		r.Instances = append(r.Instances, *m.instances[name])
	}
	for _, id := range sortedKeys(m.told) {
		if c := m.commands[id]; c != nil {
			r.Commands = append(r.Commands, c.clone())
		} else {
			dropped = append(dropped, id)
		}
	}
	clear(m.touched)
	clear(m.told)
	return r, dropped
}

func (m *Machine) touch(in *Instance) { m.touched[in.Name] = true }
func (m *Machine) changed(c *Command) { m.told[c.ID] = true }

// Names lists the instances in the file's order.
func (m *Machine) Names() []string { return slices.Clone(m.names) }

// All is everything that Restore takes, as it is now.
func (m *Machine) All() (r Record) {
	for _, name := range m.names {
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
	if len(m.open) > 0 {
		return false
	}
	for _, name := range m.names {
		if in := m.instances[name]; in.Pending || in.Deadline != 0 || in.Unit.Turn != "" || in.Up && !in.Spent && in.Phase.Down() {
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
	slices.SortFunc(all, func(a, b *Command) int { return cmp.Compare(b.Number, a.Number) })
	return all
}

// Event is something that happened.
type Event interface{ event() }

// The events.
type (
	// Ordered brings a command; a command with a known id and the same content changes nothing.
	Ordered struct{ Command *Command }
	// Sighted brings what was seen of one.
	Sighted struct {
		Name  string
		Sight Sight
	}
	// StepFailed: the step can't be taken, now or ever.
	StepFailed struct {
		Name, Step, Cause string
		Final             bool // trying again would not help
	}
	// Steer pauses, resumes or cancels a command.
	Steer struct{ ID, Verb, By string }
	// Tick: time has passed.
	Tick struct{}
)

func (Ordered) event()    {}
func (Sighted) event()    {}
func (StepFailed) event() {}
func (Steer) event()      {}
func (Tick) event()       {}

// Decide takes in what happened and returns the steps to take, in order, and the lines for the history. Both are
// valid until the next call. An error means that nothing was changed.
func (m *Machine) Decide(now Micros, ev Event) (steps []Step, notes []Note, err error) {
	m.steps, m.notes = m.steps[:0], m.notes[:0]
	switch e := ev.(type) {
	case Ordered:
		if err = m.take(now, e.Command); err == nil {
			m.sweep(now)
		}
	case Steer:
		if err = m.steer(now, e); err == nil {
			m.sweep(now)
		}
	case Sighted:
		if in := m.instances[e.Name]; in != nil {
			m.seen(now, in, e.Sight)
			m.advance(now, in)
		}
	case StepFailed:
		if in := m.instances[e.Name]; in != nil && in.Step == e.Step && in.Pending {
			m.refused(now, in, e)
			m.advance(now, in)
		}
	case UnitTaken:
		if in := m.instances[e.Name]; in != nil {
			m.unitTaken(now, in, e)
		}
	case UnitGiven:
		m.unheard = 0
		if in := m.instances[e.Name]; in != nil && in.Unit.Turn == e.Turn {
			in.Unit = Unit{}
			m.note(now, in, "unit given back", "")
			m.touch(in)
		}
	case UnitsHeld:
		m.unheard = 0
		m.unitsHeld(now, e)
	case Tick:
		m.sweep(now)
	}
	for _, c := range m.open {
		switch c.Kind {
		case Wave:
			m.roll(now, c)
		case Rise:
			m.lift(now, c)
		}
	}
	m.close(now)
	return m.steps, m.notes, err
}

func (m *Machine) sweep(now Micros) {
	for _, c := range slices.Clone(m.open) {
		if now >= c.Due {
			m.expire(now, c)
		}
	}
	for _, name := range m.names {
		m.advance(now, m.instances[name])
	}
}

// advance brings one instance forward, and the command that waits for it.
func (m *Machine) advance(now Micros, in *Instance) {
	m.settle(now, in)
	m.reconcile(now, in)
	m.settle(now, in)
	m.settleUnit(now, in)
}

// refused: a step could not be taken.
func (m *Machine) refused(now Micros, in *Instance, e StepFailed) {
	m.note(now, in, string(in.Doing)+" not taken", e.Cause)
	if in.Doing == Launch && in.Run == in.Step { // no process came of it
		in.Run, in.Pending, in.Deadline = "", false, 0
		in.enter(now, Failed, e.Cause)
		in.Tries++
		in.Next = now + m.terms.Relaunch.Pause(in.Tries+1, m.draw)
		if e.Final {
			in.Spent = true
		}
		in.Recycle = false
		m.touch(in)
	}
}

// take accepts a command.
func (m *Machine) take(now Micros, c *Command) error {
	if err := c.check(); err != nil {
		return err
	}
	if was := m.commands[c.ID]; was != nil {
		if !was.same(c) {
			return ErrOther
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
		case c.Kind == Wave && in.Spare:
			return fmt.Errorf("names: %q is a spare; a wave takes those by surge", n)
		}
		seen[n] = true
	}
	if c.Due <= now {
		return fmt.Errorf("due: it has passed")
	}
	if len(m.open) >= m.terms.Open {
		return ErrFull
	}
	c = c.clone()
	c.State, c.Cause, c.Begun, c.Finished = Open, "", now, 0
	c.Results, c.Out, c.Failed, c.Stuck, c.Turned, c.Spares, c.Stage = map[string]Result{}, map[string]bool{}, 0, 0, 0, nil, ""
	if c.Kind == Wave {
		if err := m.plan(now, c); err != nil {
			return err
		}
	}
	m.number++
	c.Number = m.number
	m.commands[c.ID] = c
	m.open = append(m.open, c)
	m.changed(c)
	m.notes = append(m.notes, Note{At: now, Command: c.ID, Event: "taken", Cause: fmt.Sprintf("%s of %d, asked by %s", c.Kind, len(c.Names), c.By)})
	for _, n := range c.Names {
		m.assign(now, c, m.instances[n])
	}
	return nil
}

// assign makes a command the one that waits for the instance. The rule for two that ask for the same instance:
// the one that came later holds, and the earlier one ends there as superseded. What was told to leave leaves all
// the same; if it is wanted up it comes up again after.
func (m *Machine) assign(now Micros, c *Command, in *Instance) {
	if c.Kind == Wave && !in.Up {
		m.result(now, c, in.Name, Skipped, "it is not wanted up")
		return
	}
	if old := m.commands[in.Task]; old != nil && old != c {
		delete(old.Out, in.Name)
		m.result(now, old, in.Name, Superseded, "by "+c.ID)
	}
	in.Task = c.ID
	m.touch(in)
	switch c.Kind {
	case Start:
		if in.Up && in.Phase == Ready && !in.Recycle && in.Told == "" {
			m.result(now, c, in.Name, Already, "")
			return
		}
		in.Up, in.Spent, in.Free, in.Tries, in.Budget = true, false, true, 0, Budget{}
		if in.Phase.Down() {
			in.Next = now
		}
	case Drain, Stop:
		if in.Phase.Down() {
			in.Up, in.Recycle = false, false
			m.result(now, c, in.Name, Already, in.Cause)
			return
		}
		in.Up, in.Recycle = false, false
		if c.Now && in.Kills == 0 {
			m.give(now, in, Kill, "asked for")
			if in.Told == "" {
				in.Told, in.ToldAt = in.Step, now
			}
		}
	case Restart:
		m.recycle(now, in)
	case Rise:
		if in.Up && in.Phase == Ready && !in.Recycle && in.Told == "" {
			m.result(now, c, in.Name, Already, "")
			in.tellRise(c)
		}
	}
}

// recycle has an instance leave and come up again.
func (m *Machine) recycle(now Micros, in *Instance) {
	in.Up, in.Spent, in.Free, in.Tries, in.Budget = true, false, true, 0, Budget{}
	if in.Phase.Down() {
		in.Next = now
	} else {
		in.Recycle = true
	}
	in.Last = End{}
	m.touch(in)
}

// settle gives the command that waits for an instance its result, once there is one.
func (m *Machine) settle(now Micros, in *Instance) {
	c := m.commands[in.Task]
	if c == nil {
		return
	}
	if _, over := c.Results[in.Name]; over {
		in.Task = ""
		m.touch(in)
		return
	}
	lost := in.Phase == Failed && in.Spent
	switch c.Kind {
	case Start, Rise:
		switch {
		case c.Kind == Rise && !in.Up: // it has not been its turn
		case in.Phase == Ready && !in.Recycle && in.Told == "" && (c.Kind == Start || in.Settled(now)):
			m.result(now, c, in.Name, Succeeded, "")
			in.tellRise(c)
		case lost:
			m.result(now, c, in.Name, Failing, in.Cause)
		}
	case Drain, Stop:
		switch end := in.Last; {
		case !in.Phase.Down():
		case end.Killed != "":
			m.result(now, c, in.Name, Killed, end.String())
		case in.Phase == Gone && end.Signal == "" && end.Code == 0:
			m.result(now, c, in.Name, Succeeded, "")
		default:
			m.result(now, c, in.Name, Failing, "it is down: "+in.Cause)
		}
	case Restart, Wave:
		if c.Kind == Wave && !c.Out[in.Name] && !in.Spare {
			return // it has not been its turn
		}
		if in.Spare && c.Stage == SparesDown {
			if in.Phase.Down() {
				m.result(now, c, in.Name, Succeeded, "")
			}
			return
		}
		switch {
		case lost:
			m.result(now, c, in.Name, Failing, in.Cause)
		case in.Recycle || in.Told != "" || in.Phase != Ready || in.Spare:
		case c.Kind == Wave && !in.Settled(now):
		case in.Last.Killed != "":
			m.result(now, c, in.Name, Killed, "up again; before, "+in.Last.String())
		case in.Last.Code != 0:
			m.result(now, c, in.Name, Succeeded, "up again; before, "+in.Last.String())
		default:
			m.result(now, c, in.Name, Succeeded, "")
		}
	}
}

// result is given once; what comes after it changes nothing.
func (m *Machine) result(now Micros, c *Command, name string, o Outcome, cause string) {
	if _, over := c.Results[name]; over {
		return
	}
	c.Results[name] = Result{Outcome: o, Cause: cause, At: now}
	if o == Failing {
		c.Failed++
	}
	delete(c.Out, name)
	if in := m.instances[name]; in != nil && in.Task == c.ID {
		in.Task = ""
		m.touch(in)
	}
	m.changed(c)
	m.notes = append(m.notes, Note{At: now, Name: name, Command: c.ID, Event: "result " + string(o), Cause: cause})
}

// expire ends a command whose time is over. What it began goes on.
func (m *Machine) expire(now Micros, c *Command) {
	for _, n := range c.open() {
		m.result(now, c, n, Late, "the command's time is over")
	}
	for _, n := range c.Spares {
		m.retire(m.instances[n])
	}
}

func (m *Machine) retire(in *Instance) {
	if in != nil && in.Spare && in.Up {
		in.Up = false
		m.touch(in)
	}
}

func (m *Machine) steer(now Micros, e Steer) error {
	c := m.commands[e.ID]
	if c == nil {
		return ErrUnknown
	}
	switch {
	case c.State == Done:
		return fmt.Errorf("%s: the command has ended", e.Verb)
	case e.Verb == "cancel":
		if c.State == Cancelled {
			return nil
		}
		c.State, c.Cause = Cancelled, "by "+e.By
		for _, n := range c.open() {
			if in := m.instances[n]; c.Kind == Wave && (c.Out[n] || in != nil && in.Spare) {
				continue // it comes back
			}
			m.result(now, c, n, Withdrawn, "by "+e.By)
		}
	case c.Kind != Wave:
		return fmt.Errorf("%s: only a wave can be held", e.Verb)
	case e.Verb == "pause" && c.State == Open:
		c.State, c.Cause = Paused, "by "+e.By
	case e.Verb == "resume" && c.State == Paused:
		c.State, c.Cause, c.Failed, c.Stuck, c.Turned = Open, "", 0, 0, 0
	case e.Verb == "pause", e.Verb == "resume":
		return nil // as it is
	default:
		return fmt.Errorf("%q is none of pause, resume, cancel", e.Verb)
	}
	m.changed(c)
	m.notes = append(m.notes, Note{At: now, Command: c.ID, Event: e.Verb, Cause: "by " + e.By})
	return nil
}

// close ends the commands that have all their results, and forgets the oldest beyond the bound.
func (m *Machine) close(now Micros) {
	m.open = slices.DeleteFunc(m.open, func(c *Command) bool {
		if len(c.Results) < len(c.Names)+len(c.Spares) {
			return false
		}
		if c.State != Cancelled {
			c.Cause = ""
		}
		c.State, c.Finished = Done, now
		m.past = append(m.past, c.ID)
		m.changed(c)
		m.notes = append(m.notes, Note{At: now, Command: c.ID, Event: "ended"})
		return true
	})
	for len(m.past) > m.terms.Commands {
		delete(m.commands, m.past[0])
		m.told[m.past[0]] = true
		m.past = m.past[1:]
	}
}

func (m *Machine) note(now Micros, in *Instance, event, cause string) {
	m.notes = append(m.notes, Note{At: now, Name: in.Name, Command: in.Task, Event: event, Cause: cause})
}

// service is the share of invocations that were turned away of late, over all instances.
type service struct {
	at             Micros
	picked, turned float64
}

const (
	serviceSpan  = 2_000_000 // microseconds in which what was counted loses weight by e
	serviceLeast = 20        // invocations; fewer say nothing
)

func (s *service) fade(now Micros) {
	if now > s.at {
		keep := math.Exp(-float64(now-s.at) / serviceSpan)
		s.picked, s.turned, s.at = s.picked*keep, s.turned*keep, now
	}
}

func (s *service) add(now Micros, picked, turned int) {
	s.fade(now)
	s.picked += float64(picked)
	s.turned += float64(turned)
}

// turnedAway is the share; ok is false while too little was counted to say.
func (s *service) turnedAway(now Micros) (share float64, ok bool) {
	if s.fade(now); s.picked < serviceLeast {
		return 0, false
	}
	return min(1, s.turned/s.picked), true
}
