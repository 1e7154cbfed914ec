// Package agent manages the instances of one host. It passes events to the state machine of package fleet, saves the
// machine's decisions before it acts on them, and performs the resulting actions through supervisors, which keep
// running when the agent stops. All decisions about instances are made by the state machine; this package owns the
// store, the launch of supervisors and the history.
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
	Host       string           // name of this host in Spec
	Dir        string           // data directory, not shared with another agent
	Executable []string         // command line that runs this program, without a subcommand
	Build      string           // version of the build, for display only
	Seed       uint64           // seed of the backoff jitter
	Bounds     limits.Control   // limits on time, memory and parallelism
	Store      agentstore.Store // closed by the caller after Run has returned
	Cluster    Cluster          // nil if the fleet has no quotas
}

// Agent manages the instances of one host. Its methods may be called from any goroutine.
type Agent struct {
	options   Options
	startedAt monotime.Micros

	calls       chan func(now monotime.Micros) // functions to run in the loop's goroutine
	stopped     chan struct{}                  // closed when the loop has returned
	launchSlots chan struct{}                  // semaphore: one value for each launch in progress
	tasks       sync.WaitGroup                 // goroutines that Run waits for

	loop loopState
	feed historyFeed
}

// loopState is owned by the goroutine of Run, and by New before Run. Other goroutines access it through Agent.calls.
type loopState struct {
	spec              *fleet.Spec
	machine           *fleet.Machine
	watcherByInstance map[string]*watcher
	reportByInstance  map[string]*supervisor.Report // on the running incarnation; nil while its supervisor is silent

	storeErr   error             // error of the last write; nil if it succeeded
	unsaved    agentstore.Change // changes decided on and not written yet
	nextSerial uint64            // serial of the next history entry

	actions     []fleet.Action     // actions decided on since the last flush
	unpublished []agentstore.Entry // history entries since the last flush
	waiters     []chan struct{}    // one for each caller that waits for a save; closed by the next flush
}

// callBacklog is the capacity of the queue of calls to the loop.
const callBacklog = 256

// New restores the saved state and adopts the running instances. If it returns an error, nothing on the host has
// changed.
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
		options:     o,
		startedAt:   process.Now(),
		calls:       make(chan func(monotime.Micros), callBacklog),
		stopped:     make(chan struct{}),
		launchSlots: make(chan struct{}, o.Bounds.ParallelStarts),
		loop: loopState{
			spec:              o.Spec,
			watcherByInstance: map[string]*watcher{},
			reportByInstance:  map[string]*supervisor.Report{},
			nextSerial:        1,
		},
		feed: newHistoryFeed(saved.History),
	}
	if n := len(saved.History); n > 0 {
		a.loop.nextSerial = saved.History[n-1].Serial + 1
	}
	if err := a.restore(&saved); err != nil {
		return nil, err
	}
	return a, nil
}
