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

// start performs an action in its own goroutine, which ends with ctx.
func (a *Agent) start(ctx context.Context, action fleet.Action) {
	switch action.Kind {
	case fleet.ActionAcquireUnit:
		a.tasks.Go(func() { a.acquireUnit(ctx, action) })
	case fleet.ActionReleaseUnit:
		a.tasks.Go(func() { a.releaseUnit(ctx, action) })
	case fleet.ActionLaunch:
		a.watchLaunched(action)
		spec := a.loop.spec
		a.tasks.Go(func() { a.launchWhenFree(ctx, spec, action) })
	default:
		a.tasks.Go(func() { a.deliver(ctx, action) })
	}
}

// reportFailure reports to the loop that an action was not performed. It is final if another attempt would not help.
func (a *Agent) reportFailure(action fleet.Action, err error, final bool) {
	a.post(fleet.ActionFailed{Name: action.Name, ActionID: action.ID, Cause: err.Error(), Final: final})
}

// deliver gives a shutdown notice or a kill to the supervisor. If the supervisor does not take it, the agent signals
// the instance: a stopped supervisor must not keep a notice from its instance.
func (a *Agent) deliver(ctx context.Context, action fleet.Action) {
	client := supervisor.NewClient(a.options.Dir, action.Name, a.options.Bounds)
	defer client.Close()
	err := client.Request(ctx, supervisor.ActionRequest{
		ActionID:    action.ID,
		Incarnation: action.Incarnation,
		Action:      action.Kind,
		Cause:       action.Cause,
	})
	if err == nil || ctx.Err() != nil { // when the agent ends, the action stays pending for the next one
		return
	}
	state, stateErr := supervisor.ReadState(supervisor.PathsOf(a.options.Dir, action.Name).State)
	if stateErr != nil || state.Incarnation != action.Incarnation || state.Ended {
		return // the incarnation has ended, which its watcher reports
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
