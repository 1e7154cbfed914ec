package agent

import (
	"context"
	"time"

	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

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

// call runs f in the loop and waits until what it read or changed has been saved: nobody may be given a result that
// the next agent would not know. Errors are *agentapi.StatusError; after one f may still run.
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
		return unavailable("the agent is busy")
	}
	select {
	case <-saved:
		return nil
	case <-a.stopped:
		return errStopped
	case <-timeout.C:
		return unavailable("the agent is busy; ask again what became of it")
	}
}
