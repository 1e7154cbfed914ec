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

// watcher says which incarnation of an instance is to be watched.
type watcher struct {
	name string // of the instance

	mu          sync.Mutex
	incarnation string        // empty: none
	changed     chan struct{} // closed at the next restart
}

// restart has an incarnation watched, from the beginning.
func (w *watcher) restart(incarnation string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}

func (w *watcher) current() (incarnation string, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation, w.changed
}

// watchInstances has each instance of the machine watched, from the beginning.
func (a *Agent) watchInstances(ctx context.Context) {
	for _, name := range a.loop.machine.Names() {
		in, _ := a.loop.machine.Instance(name)
		w, known := a.loop.watchers[name]
		if !known {
			w = &watcher{name: name}
			a.loop.watchers[name] = w
		}
		w.restart(in.Incarnation)
		if !known {
			a.tasks.Go(func() { a.watch(ctx, w) })
		}
	}
}

// watch polls the supervisor of an instance until ctx ends, and gives the loop what it reports.
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

// watchIncarnation returns when the incarnation has ended, when changed is closed, or when ctx ends.
func (a *Agent) watchIncarnation(
	ctx context.Context, client *supervisor.Client, name, incarnation string, changed <-chan struct{},
) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.tasks.Go(func() { // ends the long poll
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	missed, after := 0, -1
	for ctx.Err() == nil {
		report, err := client.Report(ctx, after)
		if err == nil && report.Observation.Incarnation == incarnation {
			missed, after = 0, report.Serial
			a.observe(ctx, fleet.InstanceObserved{Name: name, Observation: report.Observation}, &report)
			if report.Observation.Phase == fleet.PhaseExited {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		missed++
		after = -1 // another supervisor may answer next, and it counts from the beginning
		verdict := a.interpretSilence(name, incarnation, missed)
		if verdict.Decided {
			a.observe(ctx, fleet.InstanceObserved{Name: name, Observation: verdict.Observation, Unrecorded: !verdict.Recorded}, nil)
		}
		if verdict.Ended() {
			return
		}
		select {
		case <-time.After(min(a.options.Bounds.PollInterval*time.Duration(missed), a.options.Bounds.IdlePollInterval)):
		case <-ctx.Done():
		}
	}
}

// observe gives the loop an observation, with the supervisor's report that it comes from; nil: the supervisor is silent.
func (a *Agent) observe(ctx context.Context, observed fleet.InstanceObserved, report *supervisor.Report) {
	select {
	case <-ctx.Done():
	case a.calls <- func(now monotime.Micros) {
		in, _ := a.loop.machine.Instance(observed.Name)
		if in.Incarnation == observed.Observation.Incarnation && !observed.Unrecorded {
			a.loop.reports[observed.Name] = report
		}
		a.handle(now, observed)
	}:
	}
}

// interpretSilence finds out what became of an incarnation whose supervisor does not answer, from the supervisor's
// record and from the processes that it names.
func (a *Agent) interpretSilence(name, incarnation string, missedPolls int) fleet.SilenceVerdict {
	return fleet.SupervisorSilence{
		Incarnation: incarnation, MissedPolls: missedPolls, Record: a.supervisorRecord(name),
	}.Interpret()
}

// supervisorRecord reads what the supervisor of an instance wrote down, and looks for its processes.
func (a *Agent) supervisorRecord(name string) fleet.SupervisorRecord {
	state, err := supervisor.ReadState(supervisor.PathsOf(a.options.Dir, name).State)
	switch {
	case errors.Is(err, supervisor.ErrNoState):
		return fleet.SupervisorRecord{State: fleet.RecordMissing}
	case err != nil:
		return fleet.SupervisorRecord{State: fleet.RecordUnreadable, Cause: err.Error()}
	}
	return fleet.SupervisorRecord{
		State: fleet.RecordRead, Incarnation: state.Incarnation, Ended: state.Ended, Exit: state.End, NoticeID: state.NoticeID,
		NotifiedAt: state.NotifiedAt, SupervisorAlive: state.Supervisor.Alive(), InstanceAlive: state.Instance.Alive(),
	}
}
