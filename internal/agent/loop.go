package agent

import (
	"context"
	"time"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// idleFactor multiplies the tick interval while no command or action is in progress.
const idleFactor = 10

// Run manages the instances until ctx is done, and returns after its goroutines have ended. Instances and their
// supervisors keep running.
func (a *Agent) Run(ctx context.Context) {
	defer a.tasks.Wait()
	defer close(a.stopped) // runs before tasks.Wait and unblocks tasks that wait for the loop
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
			if a.loop.machine != watched { // a reload replaced the machine
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

// runCalls runs a call and all queued ones, so that their decisions are saved with one write.
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

// tickPause returns the time until the next tick.
func (a *Agent) tickPause() time.Duration {
	if a.loop.machine.Idle() && a.loop.storeErr == nil {
		return idleFactor * a.options.Bounds.TickInterval
	}
	return a.options.Bounds.TickInterval
}

// decide passes an event to the machine and queues the resulting actions and history for the next flush. The error is
// the reason why a command was rejected.
func (a *Agent) decide(now monotime.Micros, ev fleet.Event) error {
	actions, events, err := a.loop.machine.Decide(now, ev)
	a.loop.actions = append(a.loop.actions, actions...)
	for _, event := range events {
		a.addHistory(event)
	}
	return err
}

// handle passes an event to the machine for which no caller awaits an error.
func (a *Agent) handle(now monotime.Micros, ev fleet.Event) { _ = a.decide(now, ev) }

// post queues an event for the loop. The event is dropped if the loop has ended.
func (a *Agent) post(ev fleet.Event) {
	select {
	case <-a.stopped:
	case a.calls <- func(now monotime.Micros) { a.handle(now, ev) }:
	}
}

// flush saves the decisions since the last flush, wakes up the callers that wait for it, then starts the actions. While
// the store can't be written, actions that start something new are skipped; shutdown notices and kills are not, as they
// must not be delayed by a failing disk.
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
			continue // the action stays pending, and the machine returns it again
		}
		a.startAction(ctx, action)
	}
	a.feed.publish(a.loop.unpublished)
	a.loop.unpublished = nil
}

// call runs f in the loop and waits until the state that f read or changed is saved, so that no caller gets a result
// that is lost if the agent restarts. Errors are *agentapi.StatusError; after an error f may still run later.
func (a *Agent) call(f func(now monotime.Micros)) error {
	saved := make(chan struct{})
	timeout := time.NewTimer(a.options.Bounds.CallTimeout)
	defer timeout.Stop()
	select {
	case a.calls <- func(now monotime.Micros) {
		f(now)
		a.loop.waiters = append(a.loop.waiters, saved)
	}:
	case <-a.stopped:
		return errStopped
	case <-timeout.C:
		return errBusy
	}
	select {
	case <-saved:
		return nil
	case <-a.stopped:
		return errStopped
	case <-timeout.C:
		return errNotSavedInTime
	}
}
