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

// watcher has the incarnation of an instance whose supervisor is to be polled.
type watcher struct {
	name string // name of the instance

	mu          sync.Mutex    // guards the fields below
	incarnation string        // empty if none is watched
	changed     chan struct{} // closed by the next setIncarnation
}

// setIncarnation sets the incarnation to watch, beginning with its current report even if it was watched before.
func (w *watcher) setIncarnation(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

// current returns the incarnation to watch, and a channel that is closed by the next setIncarnation.
func (w *watcher) current() (incarnation string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation, w.changed
}

// watchInstances watches each instance of the machine, beginning with its current report. It must run in the loop.
func (a *Agent) watchInstances(ctx context.Context) {
	for _, name := range a.loop.machine.Names() {
		in, _ := a.loop.machine.Instance(name)
		w, known := a.loop.watcherByInstance[name]
		if !known {
			w = &watcher{name: name}
			a.loop.watcherByInstance[name] = w
		}
		w.setIncarnation(in.Incarnation)
		if !known {
			a.tasks.Go(func() { a.watch(ctx, w) })
		}
	}
}

// watchLaunched watches the incarnation of a launch, unless it is watched already. It must run in the loop.
func (a *Agent) watchLaunched(action fleet.Action) {
	w := a.loop.watcherByInstance[action.Name]
	if w == nil {
		return
	}
	if incarnation, _ := w.current(); incarnation != action.Incarnation {
		w.setIncarnation(action.Incarnation)
	}
}

// watch polls the supervisor of an instance until ctx is done, and posts its reports to the loop.
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

// noSerial requests the current report of a supervisor without waiting for a change: serials of reports start at 0.
const noSerial = -1

// watchIncarnation polls the supervisor of an incarnation until the incarnation has ended, changed is closed, or ctx is
// done.
func (a *Agent) watchIncarnation(
	ctx context.Context, client *supervisor.Client, name, incarnation string, changed <-chan struct{},
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.tasks.Go(func() { // cancels a long poll
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	serial := noSerial
	missedPolls := 0 // consecutive
	for ctx.Err() == nil {
		report, err := client.Report(ctx, serial)
		if err == nil && report.Observation.Incarnation == incarnation {
			missedPolls = 0
			serial = report.Serial
			a.postObservation(ctx, fleet.InstanceObserved{Name: name, Observation: report.Observation}, &report)
			if report.Observation.Phase == fleet.PhaseExited {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		missedPolls++
		serial = noSerial // the next report may come from another supervisor, with its own serials
		if a.handleMissedPoll(ctx, name, incarnation, missedPolls) {
			return
		}
		a.pauseAfterMissedPoll(ctx, missedPolls)
	}
}

// handleMissedPoll interprets the silence of a supervisor and, if that allows a conclusion, posts it to the loop as an
// observation. It reports whether the incarnation has ended.
func (a *Agent) handleMissedPoll(ctx context.Context, name, incarnation string, missedPolls int) (ended bool) {
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
		a.postObservation(ctx, observed, nil)
	}
	return verdict.Ended()
}

// pauseAfterMissedPoll waits for a time that grows with each consecutive missed poll, up to Bounds.IdlePollInterval.
func (a *Agent) pauseAfterMissedPoll(ctx context.Context, missedPolls int) {
	pause := min(a.options.Bounds.PollInterval*time.Duration(missedPolls), a.options.Bounds.IdlePollInterval)
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// postObservation posts an observation to the loop, with the supervisor's report that it is taken from; nil if the
// supervisor is silent.
func (a *Agent) postObservation(ctx context.Context, observed fleet.InstanceObserved, report *supervisor.Report) {
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

// supervisorRecord reads the state file of an instance's supervisor and checks whether the processes in it are running.
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
		Window:          state.Window,
		SupervisorAlive: state.Supervisor.Alive(),
		InstanceAlive:   state.Instance.Alive(),
	}
}
