// Package agent manages the instances of one host: it feeds what happens to the state machine of package fleet, saves
// the machine's decisions before it acts on them, and carries its actions out through supervisors, which outlive it.
// It decides nothing about instances; it owns the store, the starting of supervisors and the history.
package agent

import (
	"sync"

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
