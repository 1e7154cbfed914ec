// Package agent manages the instances of one host. It feeds events to the state machine of package fleet, saves the
// machine's decisions before it acts on them, and performs its actions through supervisors, which outlive it. It
// decides nothing about instances; it owns the store, the launch of supervisors and the history.
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
	Host       string           // the name of this host in Spec
	Dir        string           // a directory of this agent alone
	Executable []string         // command line of this program, without a sub-command
	Build      string           // version of the build, for people
	Seed       uint64           // of the jitter of backoffs
	Bounds     limits.Control   // of time, memory and parallelism
	Store      agentstore.Store // the caller closes it after Run
	Cluster    Cluster          // nil: the fleet has no quotas
}

// Agent manages the instances of one host. Its methods may be called from any goroutine.
type Agent struct {
	options   Options
	startedAt monotime.Micros

	calls       chan func(now monotime.Micros) // functions that the loop runs
	stopped     chan struct{}                  // closed when the loop has ended
	launchSlots chan struct{}                  // holds a value for each supervisor that is being started
	tasks       sync.WaitGroup                 // goroutines that Run waits for

	loop loopState
	feed historyFeed
}

// loopState belongs to the goroutine of Run, and to New before it. Other goroutines reach it through Agent.calls.
type loopState struct {
	spec              *fleet.Spec
	machine           *fleet.Machine
	watcherByInstance map[string]*watcher
	reportByInstance  map[string]*supervisor.Report // latest of the running incarnation; none: its supervisor is silent

	storeErr   error             // why the store can't be written; nil: it can
	unsaved    agentstore.Change // decided and not written yet
	nextSerial uint64            // of the next history entry

	actions     []fleet.Action     // decided since the last flush
	unpublished []agentstore.Entry // history since the last flush
	waiters     []chan struct{}    // closed by the next flush: callers that wait for their result to be saved
}

// callBacklog is the number of calls that may wait for the loop.
const callBacklog = 256

// New restores the saved state and adopts the running instances. After an error nothing has changed on the host.
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
