package agent

import (
	"context"
	"errors"
	"log/slog"
	"syscall"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// start carries an action out in a goroutine of its own, which ends with ctx.
func (a *Agent) start(ctx context.Context, action fleet.Action) {
	switch action.Kind {
	case fleet.ActionAcquireUnit:
		a.tasks.Go(func() { a.acquireUnit(ctx, action) })
	case fleet.ActionReleaseUnit:
		a.tasks.Go(func() { a.releaseUnit(ctx, action) })
	case fleet.ActionLaunch:
		if w := a.loop.watchers[action.Name]; w != nil {
			if incarnation, _ := w.current(); incarnation != action.Incarnation {
				w.restart(action.Incarnation)
			}
		}
		spec := a.loop.spec
		a.tasks.Go(func() { a.launchWhenFree(ctx, spec, action) })
	default:
		a.tasks.Go(func() { a.deliver(ctx, action) })
	}
}

// fail tells the loop that an action was not carried out. Final: another attempt would not help.
func (a *Agent) fail(action fleet.Action, err error, final bool) {
	a.post(fleet.ActionFailed{Name: action.Name, ActionID: action.ID, Cause: err.Error(), Final: final})
}

// deliver gives a shutdown notice or a kill to the supervisor. Where the supervisor does not take it, the instance is
// signalled from here: a stopped supervisor must not keep a notice from its instance.
func (a *Agent) deliver(ctx context.Context, action fleet.Action) {
	client := supervisor.NewClient(a.options.Dir, action.Name, a.options.Bounds)
	defer client.Close()
	err := client.Request(ctx, supervisor.ActionRequest{
		ActionID: action.ID, Incarnation: action.Incarnation, Action: action.Kind, Cause: action.Cause,
	})
	if err == nil || ctx.Err() != nil { // the agent ends: the action stays pending for the next one
		return
	}
	state, stateErr := supervisor.ReadState(supervisor.PathsOf(a.options.Dir, action.Name).State)
	if stateErr != nil || state.Incarnation != action.Incarnation || state.Ended {
		return // it is over, which the watcher reports
	}
	slog.Warn("supervisor", "name", action.Name, "step", action.ID, "error", err.Error())
	if action.Kind == fleet.ActionKill {
		err = state.Instance.KillGroup()
	} else {
		err = state.Instance.Signal(syscall.SIGTERM)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", action.Name, "step", action.ID, "error", err.Error())
	}
}
