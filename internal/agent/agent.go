// Package agent manages the instances of one host: it feeds what happens to the state machine of package fleet, saves
// the machine's decisions before it acts on them, and carries its actions out through supervisors, which outlive it.
// It decides nothing about instances; it owns the store, the starting of supervisors and the history.
package agent

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// Options configure an agent.
type Options struct {
	Spec       *fleet.Spec
	Host       string           // its name in Spec
	Dir        string           // of this agent alone
	Executable []string         // the command line that starts this program, without a sub-command
	Build      string           // version, for people
	Seed       uint64           // of the jitter of backoffs
	Bounds     limits.Control   // of time, memory and parallelism
	Store      agentstore.Store // durable state; the caller closes it after Run
	Cluster    Cluster          // nil: nothing is shared with the agents of other hosts
}

// Agent manages the instances of one host. Its methods may be called from any goroutine.
type Agent struct {
	options   Options
	startedAt monotime.Micros

	calls       chan func(now monotime.Micros) // run by the loop
	stopped     chan struct{}                  // closed when the loop has ended
	launchSlots chan struct{}                  // one for each supervisor that is being started
	tasks       sync.WaitGroup                 // goroutines that Run starts and waits for

	loop loopState
	feed historyFeed
}

// loopState belongs to the goroutine of Run (to New before it); others reach it through Agent.calls.
type loopState struct {
	spec     *fleet.Spec
	machine  *fleet.Machine
	watchers map[string]*watcher           // by instance
	reports  map[string]*supervisor.Report // by instance: the latest of the incarnation that runs; none while its supervisor is silent

	storeErr   error             // why the store can't be written; nil: it can
	unsaved    agentstore.Change // decided and not written yet
	nextSerial uint64            // of the next history entry

	actions     []fleet.Action     // decided since the last flush
	unpublished []agentstore.Entry // history since the last flush
	waiters     []chan struct{}    // callers whose answer waits for the next flush
}

// callBacklog is how many calls may wait for the loop.
const callBacklog = 256

// New restores the saved state and adopts the instances that run. After an error nothing has changed on the host.
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
		options: o, startedAt: process.Now(),
		calls: make(chan func(monotime.Micros), callBacklog), stopped: make(chan struct{}),
		launchSlots: make(chan struct{}, o.Bounds.ParallelStarts),
		loop:        loopState{spec: o.Spec, nextSerial: 1, watchers: map[string]*watcher{}, reports: map[string]*supervisor.Report{}},
		feed:        newHistoryFeed(saved.History),
	}
	if n := len(saved.History); n > 0 {
		a.loop.nextSerial = saved.History[n-1].Serial + 1
	}
	if err := a.restore(&saved); err != nil {
		return nil, err
	}
	return a, nil
}

// restore brings the saved state into a new machine and decides on intents that an earlier agent left.
func (a *Agent) restore(saved *agentstore.State) error {
	rebooted := saved.BootID != "" && saved.BootID != process.Boot()
	if saved.BootID != process.Boot() {
		a.loop.unsaved.BootID = process.Boot()
	}
	a.adoptUnrecorded(saved)
	a.loop.machine = a.newMachine(a.loop.spec)
	now := process.Now()
	if unnamed := a.loop.machine.Restore(now, saved.Snapshot, rebooted); len(unnamed) > 0 {
		return &UnnamedInstanceError{Instance: unnamed[0].Name}
	}
	a.addHistory(fleet.HistoryEvent{At: now, Event: "agent started", Cause: a.options.Build})
	for _, c := range saved.Intents {
		a.handle(now, fleet.CommandReceived{Command: c})
		a.loop.unsaved.CompletedIntents = append(a.loop.unsaved.CompletedIntents, c.ID)
	}
	return nil
}

func (a *Agent) newMachine(s *fleet.Spec) *fleet.Machine {
	config := fleet.DefaultConfig(a.options.Bounds, a.options.Seed)
	return fleet.New(s, a.options.Host, config, func(in *fleet.InstanceSpec) fleet.ShutdownWindow {
		window, err := ReadShutdownWindow(in.ConfigFile)
		if err != nil {
			slog.Warn("config", "name", in.Name, "error", err.Error())
		}
		return window
	})
}

// adoptUnrecorded adds instances that run although the store does not know them.
func (a *Agent) adoptUnrecorded(saved *agentstore.State) {
	recorded := map[string]bool{}
	for _, in := range saved.Instances {
		recorded[in.Name] = true
	}
	for _, in := range a.loop.spec.InstancesOn(a.options.Host) {
		if recorded[in.Name] {
			continue
		}
		adopted, running := fleet.AdoptUnrecorded(in.Name, a.supervisorRecord(in.Name))
		if !running {
			continue
		}
		slog.Warn("adopt", "name", in.Name, "run", adopted.Incarnation, "why", "the record does not know it")
		saved.Instances = append(saved.Instances, adopted)
	}
}

// idleFactor stretches the pause between ticks while nothing is under way.
const idleFactor = 10

// Run manages the instances until ctx ends, and returns when its goroutines have ended. Instances and their
// supervisors go on.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	defer close(a.stopped) // first: tasks that wait for the loop end by it
	a.watchInstances(ctx)
	if a.options.Cluster != nil {
		a.tasks.Go(func() { a.renewLeases(ctx) })
	}
	watched := a.loop.machine
	ticks := time.NewTimer(0)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			a.save()
			return
		case call := <-a.calls:
			a.runCalls(call)
			if a.loop.machine != watched { // reloaded
				a.watchInstances(ctx)
				watched = a.loop.machine
			}
			a.flush(ctx)
		case <-ticks.C:
			a.handle(process.Now(), fleet.Tick{})
			a.flush(ctx)
			ticks.Reset(a.tickPause())
		}
	}
}

// runCalls runs a call and all that have gathered behind it, so that one write saves what they decide.
func (a *Agent) runCalls(call func(monotime.Micros)) {
	now := process.Now()
	call(now)
	for {
		select {
		case next := <-a.calls:
			next(now)
		default:
			return
		}
	}
}

func (a *Agent) tickPause() time.Duration {
	if a.loop.machine.Idle(process.Now()) && a.loop.storeErr == nil {
		return idleFactor * a.options.Bounds.TickInterval
	}
	return a.options.Bounds.TickInterval
}

// decide feeds the machine an event. Its actions and history wait for flush.
func (a *Agent) decide(now monotime.Micros, ev fleet.Event) error {
	actions, events, err := a.loop.machine.Decide(now, ev)
	a.loop.actions = append(a.loop.actions, actions...)
	for _, event := range events {
		a.addHistory(event)
	}
	return err
}

// handle is decide for an event that nobody waits for: an error would say why a command was rejected.
func (a *Agent) handle(now monotime.Micros, ev fleet.Event) { _ = a.decide(now, ev) }

// post gives the loop an event, unless it has ended.
func (a *Agent) post(ev fleet.Event) {
	select {
	case <-a.stopped:
	case a.calls <- func(now monotime.Micros) { a.handle(now, ev) }:
	}
}

// flush saves what was decided, then starts the actions. While the store can't be written nothing new is begun, but
// what is under way goes on: a shutdown notice or a kill that was decided on must not wait for a disk.
func (a *Agent) flush(ctx context.Context) {
	a.save()
	for _, waiter := range a.loop.waiters {
		close(waiter)
	}
	a.loop.waiters = nil
	actions := a.loop.actions
	a.loop.actions = nil
	for _, action := range actions {
		if a.loop.storeErr != nil && action.StartsNew() {
			continue // it stays pending, and the machine gives it out again
		}
		a.start(ctx, action)
	}
	a.feed.publish(a.loop.unpublished)
	a.loop.unpublished = nil
}

// save writes what is not written yet. After an error it stays unsaved, and is written with what follows.
func (a *Agent) save() {
	snapshot, deleted := a.loop.machine.Changes()
	mergeChange(&a.loop.unsaved, agentstore.Change{Snapshot: snapshot, DeletedCommands: deleted})
	if a.loop.unsaved.Empty() {
		return
	}
	err := a.options.Store.Save(a.loop.unsaved)
	switch {
	case err != nil && a.loop.storeErr == nil:
		slog.Error("store", "written", false, "error", err.Error())
	case err == nil && a.loop.storeErr != nil:
		slog.Info("store", "written", true)
	}
	a.loop.storeErr = err
	if err == nil {
		a.loop.unsaved = agentstore.Change{}
	}
}

// mergeChange adds a later change to one that is still to be written: the later state of an instance or a command
// replaces the earlier, and a deleted command is not written.
func mergeChange(to *agentstore.Change, later agentstore.Change) {
	for _, in := range later.Instances {
		to.Instances = replaceOrAppend(to.Instances, in, func(o fleet.Instance) bool { return o.Name == in.Name })
	}
	for _, c := range later.Commands {
		to.Commands = replaceOrAppend(to.Commands, c, func(o *fleet.Command) bool { return o.ID == c.ID })
	}
	to.DeletedCommands = append(to.DeletedCommands, later.DeletedCommands...)
	to.Commands = slices.DeleteFunc(to.Commands, func(c *fleet.Command) bool {
		return slices.Contains(later.DeletedCommands, c.ID)
	})
}

func replaceOrAppend[T any](list []T, item T, same func(T) bool) []T {
	if i := slices.IndexFunc(list, same); i >= 0 {
		list[i] = item
		return list
	}
	return append(list, item)
}

// Reload uses a changed fleet file from now on. It fails, and changes nothing, if an instance runs here that the file
// does not name any more.
func (a *Agent) Reload(s *fleet.Spec) error {
	var rejected error
	err := a.call(func(now monotime.Micros) {
		if unnamed := a.loop.machine.RunningUnnamed(s, a.options.Host); len(unnamed) > 0 {
			rejected = &UnnamedInstanceError{Instance: unnamed[0]}
			return
		}
		machine := a.newMachine(s)
		machine.Restore(now, a.loop.machine.Snapshot(), false)
		a.loop.machine, a.loop.spec = machine, s
		clear(a.loop.reports) // the new machine has observed nothing yet
		if a.options.Cluster != nil && s.Quotas != nil {
			a.options.Cluster.SetConfig(s.Quotas, s.QuotaHosts)
		}
		a.addHistory(fleet.HistoryEvent{At: now, Event: "fleet's file read anew"})
	})
	if err != nil {
		return err
	}
	return rejected
}
