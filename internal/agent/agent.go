// Package agent manages the instances of one host: it hands what happens to fleet's machine, writes its intents
// down before it acts on them, and carries its steps out through keepers, which outlive it. It decides nothing
// about instances; it owns the record, the processes of keepers and the history.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// Options are what an agent is started with.
type Options struct {
	Spec       *fleet.Spec
	Host       string
	Dir        string   // its own; one agent at a time
	Executable []string // starts this program
	Build      string
	Seed       uint64 // of the jitter
	Bounds     limits.Control
	Store      agentstore.Store
	Cluster    Cluster // nil: nothing is shared with the agents of other hosts
}

// Agent is a running one.
type Agent struct {
	o     Options
	began int64

	work chan func(now fleet.Micros) // runs in the loop, which alone touches what follows
	m    *fleet.Machine
	ill  error             // the record can't be written
	owed agentstore.Change // what is not written yet
	next uint64            // serial of the next entry

	steps []fleet.Action     // decided on since the last flush
	fresh []agentstore.Entry // said since then
	told  []chan struct{}    // who asked since then

	done     chan struct{} // the loop has ended
	launches chan struct{} // a place for each keeper being started
	watchers map[string]*watcher

	mu      sync.Mutex
	entries []agentstore.Entry // the latest, for those who watch
	more    chan struct{}      // closed at the next entry
}

// recent is how many entries are kept in memory for those who watch.
const recent = 4096

// Window reads what an instance has from the notice on out of its configuration.
func ReadShutdownWindow(file string) (fleet.ShutdownWindow, error) {
	b, err := config.Read(file)
	if err != nil {
		return fleet.ShutdownWindow{Grace: 2_000_000, ExitTimeout: 3_000_000}, err
	}
	return fleet.ShutdownWindow{Grace: fleet.Micros(b.Settings.Admission.DrainGrace), ExitTimeout: fleet.Micros(b.StopMs * 1000)}, nil
}

// New takes back what was written down and adopts what runs. An error means that nothing was changed.
func New(o Options) (*Agent, error) {
	saved, err := o.Store.Load()
	if err != nil {
		return nil, err
	}
	for _, in := range o.Spec.InstancesOn(o.Host) {
		if err := supervisor.PathsOf(o.Dir, in.Name).Check(); err != nil {
			return nil, err
		}
	}
	a := &Agent{
		o: o, began: process.Now(), work: make(chan func(fleet.Micros), 256), next: 1,
		launches: make(chan struct{}, o.Bounds.Parallel), watchers: map[string]*watcher{}, more: make(chan struct{}),
		done: make(chan struct{}),
	}
	if n := len(saved.History); n > 0 {
		a.next = saved.History[n-1].Serial + 1
		a.entries = slices.Clone(saved.History[max(0, n-recent):])
	}
	fresh := saved.BootID != "" && saved.BootID != process.Boot()
	if saved.BootID != process.Boot() {
		a.owed.BootID = process.Boot()
	}
	a.adoptUnrecorded(&saved)
	a.m = a.machine(o.Spec)
	now := fleet.Micros(process.Now())
	if forgotten := a.m.Restore(now, saved.Snapshot, fresh); len(forgotten) > 0 {
		return nil, fmt.Errorf("%s runs here and the fleet's file does not name it any more: drain it first", forgotten[0].Name)
	}
	a.note(fleet.HistoryEvent{At: now, Event: "agent started", Cause: o.Build})
	for _, c := range saved.Intents { // taken by an agent that died before it could decide
		a.decide(now, fleet.CommandReceived{Command: c})
		a.owed.CompletedIntents = append(a.owed.CompletedIntents, c.ID)
	}
	return a, nil
}

func (a *Agent) machine(s *fleet.Spec) *fleet.Machine {
	return fleet.New(s, a.o.Host, fleet.DefaultConfig(a.o.Bounds, a.o.Seed), func(in *fleet.InstanceSpec) fleet.ShutdownWindow {
		w, err := ReadShutdownWindow(in.ConfigFile)
		if err != nil {
			slog.Warn("config", "name", in.Name, "error", err.Error())
		}
		return w
	})
}

// adoptUnrecorded takes instances that run although the record does not know them for wanted: the record was lost,
// their keepers' files were not.
func (a *Agent) adoptUnrecorded(saved *agentstore.State) {
	known := map[string]bool{}
	for _, in := range saved.Instances {
		known[in.Name] = true
	}
	for _, in := range a.o.Spec.InstancesOn(a.o.Host) {
		s, err := supervisor.ReadState(supervisor.PathsOf(a.o.Dir, in.Name).State)
		if known[in.Name] || err != nil || s.Ended {
			continue
		}
		slog.Warn("adopt", "name", in.Name, "run", s.Run, "why", "the record does not know it")
		saved.Instances = append(saved.Instances, fleet.Instance{
			Name: in.Name, DesiredUp: s.NotifiedStep == "", Incarnation: s.Run, ActionCount: serialOf(s.Run), NoticeID: s.NotifiedStep, NotifiedAt: s.NotifiedAt,
			PhaseDeadline: s.NotifiedAt, Phase: fleet.PhaseUnknown,
		})
	}
}

// serialOf keeps the steps of an adopted instance from having the ids of earlier ones.
func serialOf(run string) int {
	n, err := strconv.Atoi(run[strings.LastIndexByte(run, '.')+1:])
	if err != nil {
		return 1 << 20
	}
	return n + 1<<10
}

// Run works until ctx ends. Instances and their keepers go on after it.
func (a *Agent) Run(ctx context.Context) {
	var watching sync.WaitGroup
	defer watching.Wait()
	defer close(a.done) // before the watchers are waited for
	a.lookAtAll(ctx, &watching, a.m)
	if a.o.Cluster != nil {
		watching.Go(func() { a.share(ctx) })
	}
	seen := a.m
	beat := time.NewTimer(0)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			a.write()
			return
		case f := <-a.work:
			now := fleet.Micros(process.Now())
			f(now)
			for more := true; more; { // what has gathered is written down together
				select {
				case f := <-a.work:
					f(now)
				default:
					more = false
				}
			}
			if a.m != seen {
				a.lookAtAll(ctx, &watching, a.m)
				seen = a.m
			}
			a.flush()
		case <-beat.C:
			a.decide(fleet.Micros(process.Now()), fleet.Tick{})
			a.flush()
			pause := a.o.Bounds.Beat
			if a.m.Idle(fleet.Micros(process.Now())) && a.ill == nil {
				pause *= 10
			}
			beat.Reset(pause)
		}
	}
}

// lookAtAll has each instance of the machine watched, from the beginning.
func (a *Agent) lookAtAll(ctx context.Context, watching *sync.WaitGroup, m *fleet.Machine) {
	for _, name := range m.Names() {
		in, _ := m.Instance(name)
		w, known := a.watchers[name]
		if !known {
			w = &watcher{name: name}
			a.watchers[name] = w
		}
		w.begin(in.Incarnation)
		if !known {
			watching.Go(func() { a.watch(ctx, w) })
		}
	}
}

// decide hands the machine an event; what comes of it waits for flush.
func (a *Agent) decide(now fleet.Micros, ev fleet.Event) error {
	steps, notes, err := a.m.Decide(now, ev)
	a.steps = append(a.steps, steps...)
	for _, n := range notes {
		a.note(n)
	}
	return err
}

// note gives a line of history its serial and the time of the wall.
func (a *Agent) note(n fleet.HistoryEvent) {
	e := agentstore.Entry{Serial: a.next, UnixMicros: time.Now().UnixMicro(), HistoryEvent: n}
	a.next++
	a.owed.History = append(a.owed.History, e)
	if over := len(a.owed.History) - a.o.Bounds.History; over > 0 { // a record that can't be written for long
		a.owed.History = a.owed.History[over:]
	}
	slog.Info("fleet", "what", n.Event, "name", n.Name, "command", n.CommandID, "cause", n.Cause)
	a.fresh = append(a.fresh, e)
}

// flush writes down what was decided, then takes the steps. While the record can't be written nothing new is begun
// but what is on its way out goes on: a notice or a kill that was decided on must not wait for a disk.
func (a *Agent) flush() {
	a.write()
	for _, done := range a.told {
		close(done)
	}
	a.told = nil
	steps := a.steps
	a.steps = nil
	for _, s := range steps {
		if a.ill != nil && (s.Kind == fleet.ActionLaunch && !s.Adopt || s.Kind == fleet.ActionAcquireUnit) {
			continue // it stays pending, and comes again
		}
		a.take(s)
	}
	a.publish()
}

func (a *Agent) write() {
	r, dropped := a.m.Changes()
	merge(&a.owed, agentstore.Change{Snapshot: r, DeletedCommands: dropped})
	if a.owed.Empty() {
		return
	}
	err := a.o.Store.Save(a.owed)
	if (err == nil) != (a.ill == nil) {
		if err != nil {
			slog.Error("record", "written", false, "error", err.Error())
		} else {
			slog.Info("record", "written", true)
		}
	}
	if a.ill = err; err == nil {
		a.owed = agentstore.Change{}
	}
}

// merge lays a later change over one that is still to be written.
func merge(to *agentstore.Change, c agentstore.Change) {
	for _, in := range c.Instances {
		if i := slices.IndexFunc(to.Instances, func(o fleet.Instance) bool { return o.Name == in.Name }); i >= 0 {
			to.Instances[i] = in
		} else {
			to.Instances = append(to.Instances, in)
		}
	}
	for _, cmd := range c.Commands {
		if i := slices.IndexFunc(to.Commands, func(o *fleet.Command) bool { return o.ID == cmd.ID }); i >= 0 {
			to.Commands[i] = cmd
		} else {
			to.Commands = append(to.Commands, cmd)
		}
	}
	to.DeletedCommands = append(to.DeletedCommands, c.DeletedCommands...)
	to.Commands = slices.DeleteFunc(to.Commands, func(o *fleet.Command) bool { return slices.Contains(c.DeletedCommands, o.ID) })
}

// publish shows the new entries to those who watch; they have been written down, if anything can be.
func (a *Agent) publish() {
	if len(a.fresh) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = append(a.entries, a.fresh...)
	if over := len(a.entries) - recent; over > 0 {
		a.entries = slices.Clone(a.entries[over:])
	}
	a.fresh = nil
	close(a.more)
	a.more = make(chan struct{})
}

// ask runs f in the loop and waits until what it saw or changed has been written down: nobody may be told of a
// result that the next agent would not know.
func (a *Agent) ask(f func(now fleet.Micros)) error {
	done := make(chan struct{})
	late := time.NewTimer(a.o.Bounds.Call)
	defer late.Stop()
	select {
	case a.work <- func(now fleet.Micros) {
		f(now)
		a.told = append(a.told, done)
	}:
	case <-a.done:
		return errEnded
	case <-late.C:
		return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: "the agent is busy"}
	}
	select {
	case <-done:
		return nil
	case <-a.done:
		return errEnded
	case <-late.C:
		return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: "the agent is busy; ask again what became of it"}
	}
}

var errEnded = &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: "the agent ends"}

// Order takes a command once it is written down.
func (a *Agent) Submit(o agentapi.CommandRequest) (c *fleet.Command, err error) {
	const longest = int64(24 * time.Hour / time.Microsecond)
	if o.TimeoutMicros <= 0 || o.TimeoutMicros > longest {
		return nil, &agentapi.StatusError{Status: http.StatusBadRequest, Text: fmt.Sprintf("within_us: %d is not above 0 and at most a day", o.TimeoutMicros)}
	}
	if len(o.RequestedBy) > 100 {
		return nil, &agentapi.StatusError{Status: http.StatusBadRequest, Text: "by: over 100 bytes"}
	}
	failed := a.ask(func(now fleet.Micros) {
		if c = a.m.Command(o.ID); c == nil { // sent again it needs no second intent
			if err = a.intend(now, o); err != nil {
				return
			}
		}
		cmd := commandOf(now, o)
		if err = a.decide(now, fleet.CommandReceived{Command: cmd}); err == nil {
			c = a.m.Command(o.ID)
		}
		a.owed.CompletedIntents = append(a.owed.CompletedIntents, o.ID)
	})
	if err = errors.Join(failed, err); err != nil {
		return nil, err
	}
	return c, nil
}

func commandOf(now fleet.Micros, o agentapi.CommandRequest) *fleet.Command {
	return &fleet.Command{
		ID: o.ID, Kind: o.Kind, Names: o.Instances, RequestedBy: o.RequestedBy, RequestedAt: o.RequestedUnixMicros, Deadline: now + fleet.Micros(o.TimeoutMicros),
		Immediate: o.Immediate, Rollout: o.RollingUpdate, Quota: o.Budget,
	}
}

// intend makes a command durable before anything is decided; what can't be is not taken.
func (a *Agent) intend(now fleet.Micros, o agentapi.CommandRequest) error {
	if a.ill == nil {
		err := a.o.Store.Save(agentstore.Change{Intent: commandOf(now, o)})
		if err == nil {
			return nil
		}
		a.ill = err
		slog.Error("record", "written", false, "error", err.Error())
	}
	return &agentapi.StatusError{
		Status: http.StatusServiceUnavailable,
		Text:   fmt.Sprintf("nothing new is taken: the record can't be written: %v", a.ill),
	}
}

// Steer pauses, resumes or cancels.
func (a *Agent) Steer(id, verb, by string) (c *fleet.Command, err error) {
	failed := a.ask(func(now fleet.Micros) {
		if err = a.decide(now, fleet.CommandControl{CommandID: id, Verb: verb, RequestedBy: by}); err == nil {
			c = a.m.Command(id)
		}
	})
	return c, errors.Join(failed, err)
}

// Command is a copy of one, nil if it is not known.
func (a *Agent) Command(id string) (c *fleet.Command) {
	if a.ask(func(fleet.Micros) { c = a.m.Command(id) }) != nil {
		return nil // what was seen may not have been written down
	}
	return c
}

// Commands lists copies, newest first.
func (a *Agent) Commands() (all []*fleet.Command) {
	if a.ask(func(fleet.Micros) { all = a.m.Commands() }) != nil {
		return nil
	}
	return all
}

// Entries after a serial.
func (a *Agent) Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{}) {
	const most = 256
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.entries) > 0 && a.entries[0].Serial > after+1 {
		lost = a.entries[0].Serial - after - 1
	}
	i, _ := slices.BinarySearchFunc(a.entries, after+1, func(e agentstore.Entry, s uint64) int { return int(int64(e.Serial) - int64(s)) })
	entries = slices.Clone(a.entries[i:min(len(a.entries), i+most)])
	return entries, lost, a.more
}

// History reads older entries from the record, the latest of those after a serial.
func (a *Agent) History(after uint64, most int) ([]agentstore.Entry, error) {
	saved, err := a.o.Store.Load()
	if err != nil {
		return nil, err
	}
	h := slices.DeleteFunc(saved.History, func(e agentstore.Entry) bool { return e.Serial <= after })
	return h[max(0, len(h)-most):], nil
}

// Status tells how all stands.
func (a *Agent) Status() (s agentapi.Status) {
	s = agentapi.Status{
		Version: agentapi.Version, Host: a.o.Host, Build: a.o.Build, PID: os.Getpid(),
		MonotonicMicros: process.Now(), UptimeMicros: process.Now() - a.began,
	}
	err := a.ask(func(now fleet.Micros) {
		if a.ill != nil {
			s.StoreError = a.ill.Error()
		}
		s.Fleet, s.LastSerial = a.o.Spec.Name, a.next-1
		for _, name := range a.m.Names() {
			in, _ := a.m.Instance(name)
			one := agentapi.Instance{
				Name: name, Group: in.Group, Spare: in.Spare, DesiredUp: in.DesiredUp, Phase: in.Phase, PhaseAgeMicros: int64(now - in.PhaseSince),
				Cause: in.Cause, Task: in.CommandID, RecentRestarts: len(in.LaunchBudget.Attempts), Settled: in.Settled(now),
			}
			if in.PhaseDeadline != 0 {
				one.TimeLeftMicros = int64(in.PhaseDeadline - now)
			}
			if r, ok := in.Detail.(*supervisor.Report); ok && !in.Phase.Down() {
				one.PID, one.SupervisorPID, one.State = r.Record.Instance.PID, r.Record.Supervisor.PID, r.State
			}
			s.Instances = append(s.Instances, one)
		}
		for _, c := range a.m.Commands() {
			if c.State != fleet.CommandDone {
				s.OpenCommands = append(s.OpenCommands, c)
			}
		}
	})
	if err != nil {
		s.StoreError = err.Error()
	}
	return s
}

// Reload takes a changed description of the fleet in; one that no longer names what runs is not used.
func (a *Agent) Reload(s *fleet.Spec) (err error) {
	failed := a.ask(func(now fleet.Micros) {
		for _, name := range a.m.Names() {
			in, _ := a.m.Instance(name)
			if spec := s.Instance(name); in.Incarnation != "" && (spec == nil || spec.Host != a.o.Host) {
				err = fmt.Errorf("%s runs and is not named any more: drain it first", name)
				return
			}
		}
		m := a.machine(s)
		all := a.m.Snapshot()
		m.Restore(now, all, false)
		a.m, a.o.Spec = m, s
		if a.o.Cluster != nil && s.Quotas != nil {
			a.o.Cluster.SetConfig(s.Quotas, s.QuotaHosts)
		}
		a.note(fleet.HistoryEvent{At: now, Event: "fleet's file read anew"})
	})
	return errors.Join(failed, err)
}
