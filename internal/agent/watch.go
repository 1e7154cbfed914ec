package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

// watcher says which incarnation of an instance is watched.
type watcher struct {
	name string // of the instance

	mu          sync.Mutex    // guards the fields below
	incarnation string        // empty: none
	changed     chan struct{} // closed at the next restart
}

// restart has an incarnation watched, from its first report on.
func (w *watcher) restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// current returns the incarnation that is watched, and a channel that is closed at the next restart.
func (w *watcher) current() (incarnation string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation, w.changed
}

// watchInstances has each instance of the machine watched, from its first report on.
func (a *Agent) watchInstances(ctx context.Context) {
	for _, name := range a.loop.machine.Names() {
		in, _ := a.loop.machine.Instance(name)
		w, known := a.loop.watcherByInstance[name]
		if !known {
			w = &watcher{name: name}
			a.loop.watcherByInstance[name] = w
		}
		w.restart(in.Incarnation)
		if !known {
			a.tasks.Go(func() { a.watch(ctx, w) })
		}
	}
}

// watchLaunched has the incarnation of a launch watched, unless it is already. It belongs to the loop.
func (a *Agent) watchLaunched(action fleet.Action) {
	w := a.loop.watcherByInstance[action.Name]
	if w == nil {
		return
	}
	if incarnation, _ := w.current(); incarnation != action.Incarnation {
		w.restart(action.Incarnation)
	}
}

// watch polls the supervisor of an instance until ctx ends, and gives the loop its reports.
func (a *Agent) watch(ctx context.Context, w *watcher) {
	client := supervisor.NewClient(a.options.Dir, w.name, a.options.Bounds)
	defer client.Close()
	for ctx.Err() == nil {
		incarnation, changed := w.current()
		if incarnation != "" {
			a.watchIncarnation(ctx, client, w.name, incarnation, changed)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// noSerial asks a supervisor for its present report: the serials of reports begin at 0.
const noSerial = -1

// watchIncarnation polls the supervisor of an incarnation until the incarnation has ended, changed is closed, or ctx
// ends.
func (a *Agent) watchIncarnation(
	ctx context.Context, client *supervisor.Client, name, incarnation string, changed <-chan struct{},
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.tasks.Go(func() { // ends a long poll
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	serial := noSerial
	missedPolls := 0 // in a row
	for ctx.Err() == nil {
		report, err := client.Report(ctx, serial)
		if err == nil && report.Observation.Incarnation == incarnation {
			missedPolls = 0
			serial = report.Serial
			a.observe(ctx, fleet.InstanceObserved{Name: name, Observation: report.Observation}, &report)
			if report.Observation.Phase == fleet.PhaseExited {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		missedPolls++
		serial = noSerial // the next answer may come from another supervisor, which has serials of its own
		if a.observeSilence(ctx, name, incarnation, missedPolls) {
			return
		}
		a.pauseAfterMissedPoll(ctx, missedPolls)
	}
}

// observeSilence gives the loop what the silence of a supervisor means, once that is known, and reports whether the
// incarnation has ended.
func (a *Agent) observeSilence(ctx context.Context, name, incarnation string, missedPolls int) (ended bool) {
	verdict := fleet.SupervisorSilence{
		Incarnation: incarnation,
		MissedPolls: missedPolls,
		Record:      a.supervisorRecord(name),
	}.Interpret()
	if verdict.Decided {
		observed := fleet.InstanceObserved{
			Name:        name,
			Observation: verdict.Observation,
			Unrecorded:  !verdict.Recorded,
		}
		a.observe(ctx, observed, nil)
	}
	return verdict.Ended()
}

// pauseAfterMissedPoll waits longer after each further missed poll, up to Bounds.IdlePollInterval.
func (a *Agent) pauseAfterMissedPoll(ctx context.Context, missedPolls int) {
	pause := min(a.options.Bounds.PollInterval*time.Duration(missedPolls), a.options.Bounds.IdlePollInterval)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// observe gives the loop an observation, with the supervisor's report that it comes from; nil: the supervisor is
// silent.
func (a *Agent) observe(ctx context.Context, observed fleet.InstanceObserved, report *supervisor.Report) {
	select {
	case <-ctx.Done():
	case a.calls <- func(now monotime.Micros) {
		in, _ := a.loop.machine.Instance(observed.Name)
		if in.Incarnation == observed.Observation.Incarnation && !observed.Unrecorded {
			a.loop.reportByInstance[observed.Name] = report
		}
		a.handle(now, observed)
	}:
	}
}

// supervisorRecord reads the state file of an instance's supervisor, and looks whether its processes run.
func (a *Agent) supervisorRecord(name string) fleet.SupervisorRecord {
	state, err := supervisor.ReadState(supervisor.PathsOf(a.options.Dir, name).State)
	switch {
	case errors.Is(err, supervisor.ErrNoState):
		return fleet.SupervisorRecord{State: fleet.RecordMissing}
	case err != nil:
		return fleet.SupervisorRecord{State: fleet.RecordUnreadable, Cause: err.Error()}
	}
	return fleet.SupervisorRecord{
		State:           fleet.RecordRead,
		Incarnation:     state.Incarnation,
		Ended:           state.Ended,
		Exit:            state.End,
		NoticeID:        state.NoticeID,
		NotifiedAt:      state.NotifiedAt,
		SupervisorAlive: state.Supervisor.Alive(),
		InstanceAlive:   state.Instance.Alive(),
	}
}
