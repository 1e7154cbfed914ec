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

// startAction performs an action in a goroutine of its own, which ends when ctx is done.
func (a *Agent) startAction(ctx context.Context, action fleet.Action) {
	switch action.Kind {
	case fleet.ActionAcquireUnit:
		a.tasks.Go(func() { a.acquireUnit(ctx, action) })
	case fleet.ActionReleaseUnit:
		a.tasks.Go(func() { a.releaseUnit(ctx, action) })
	case fleet.ActionLaunch:
		a.watchLaunched(action)
		spec := a.loop.spec
		a.tasks.Go(func() { a.launchWhenSlotFree(ctx, spec, action) })
	default:
		a.tasks.Go(func() { a.deliver(ctx, action) })
	}
}

// reportFailure posts to the loop that an action failed. With final set, the machine does not retry the action.
func (a *Agent) reportFailure(action fleet.Action, err error, final bool) {
	a.post(fleet.ActionFailed{Name: action.Name, ActionID: action.ID, Cause: err.Error(), Final: final})
}

// deliver sends a shutdown notice or a kill to the supervisor. If the request fails, the agent signals the instance
// itself, so that a supervisor that hangs does not keep the instance running.
func (a *Agent) deliver(ctx context.Context, action fleet.Action) {
	client := supervisor.NewClient(a.options.Dir, action.Name, a.options.Bounds)
	defer client.Close()
	err := client.Request(ctx, supervisor.ActionRequest{
		ActionID:    action.ID,
		Incarnation: action.Incarnation,
		Action:      action.Kind,
		Cause:       action.Cause,
	})
	if err == nil || ctx.Err() != nil { // after a stop the action stays pending; the next agent sends it again
		return
	}
	state, stateErr := supervisor.ReadState(supervisor.PathsOf(a.options.Dir, action.Name).State)
	if stateErr != nil || state.Incarnation != action.Incarnation || state.Ended {
		return // the incarnation has ended; its watcher reports the exit
	}
	slog.Warn("supervisor request failed; sending the signal directly",
		"name", action.Name, "step", action.ID, "error", err.Error())
	if action.Kind == fleet.ActionKill {
		err = state.Instance.KillGroup()
	} else {
		err = state.Instance.Signal(syscall.SIGTERM)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("cannot signal the instance without its supervisor",
			"name", action.Name, "step", action.ID, "error", err.Error())
	}
}
