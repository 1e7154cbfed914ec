// Package executor is the client of the executor that runs invocations. It implements the executor's line protocol over
// one connection, reconnects whenever that is lost, and tracks the runs in flight.
//
// Notices are the numbered messages of the executor: outcomes of runs, and remarks. A connection has these states:
//   - connected: the client has subscribed to the notices after the last one read;
//   - greeted: the executor has sent its greeting;
//   - synced: the first sample requested after the greeting has arrived. It follows all earlier notices.
//
// Launches are sent only on a synced connection. While the connection in use is synced, a new one replaces it once
// the new one is greeted or the one in use ends.
//
// Invariants, each with the test that checks it:
//   - Each run ends once, with its own result, however often its outcome arrives:
//     TestRunsEndOnceDespiteBrokenConnectionsAndRepeatedNotices.
//   - A launch that the executor has not read is sent again on the next synced connection:
//     TestRunsSurviveLostConnection.
//   - No launch is sent before the connection is synced: TestLaunchWaitsUntilSynced.
//   - A notice that cannot be parsed ends only its own run, and is not read again: TestUnreadableNoticeEndsItsRun.
//   - Only the sample requested last on the connection in use is delivered: TestUnrequestedSamplesAreIgnored.
package executor

import (
	"net"
	"sync"
	"time"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
	"milletbarrow/monotime"
)

// Run is one run on the executor.
type Run struct {
	id        string
	operation string
	body      []byte
	done      chan Outcome
}

// Outcome states how a run ended, with its result.
type Outcome struct {
	End    dispatch.Outcome
	Result []byte
}

// Done returns a channel that receives the outcome, once.
func (r *Run) Done() <-chan Outcome { return r.done }

// Client is the client of one executor. Its methods may be called from any goroutine; only Run blocks.
type Client struct {
	bounds         limits.Bounds
	violations     *ratelimitlog.Logger
	onGreeting     func(cold bool, uptime monotime.Micros)
	samples        chan []float64 // holds at most the latest sample
	addressChanged chan struct{}  // holds a value after a change that Run has not handled

	mu sync.Mutex // guards all fields below

	address       string
	outputChanged *sync.Cond // signalled when unsent, conn or next changes; its lock is mu
	unsent        []byte     // commands to be written on conn

	// Connections. Each has a reading and a writing goroutine.
	conn      net.Conn  // the connection in use; nil: none
	previous  net.Conn  // replaced by conn and read until conn is greeted; nil: none
	next      net.Conn  // subscribed and about to replace conn; nil unless conn is synced
	nextSince time.Time // when next was connected

	// State of conn.
	synced    bool      // all notices of earlier connections have been read
	lastInput time.Time // when input was last read, or conn came into use
	sampling  sampling

	everGreeted bool            // some connection has been greeted
	lastSynced  time.Time       // when a synced connection was last replaced or lost; zero: never
	lastNotice  uint64          // number of the last notice read; 0: none
	runs        map[string]*Run // runs in flight, by ID
}

// sampling is the state of the requests for samples.
type sampling struct {
	tag         uint64 // of the last sample requested; 0: none yet
	pending     bool   // that sample has not arrived
	requestedAt time.Time
}

// New returns a client of the executor at address. It calls onGreeting at each greeting, with whether the executor is
// warming up and for how long it has been running.
func New(
	address string,
	bounds limits.Bounds,
	violations *ratelimitlog.Logger,
	onGreeting func(cold bool, uptime monotime.Micros),
) *Client {
	c := &Client{
		address:        address,
		bounds:         bounds,
		violations:     violations,
		onGreeting:     onGreeting,
		runs:           map[string]*Run{},
		samples:        make(chan []float64, 1),
		addressChanged: make(chan struct{}, 1),
	}
	c.outputChanged = sync.NewCond(&c.mu)
	return c
}

// Launch starts a run. Without a synced connection the launch is sent once there is one.
func (c *Client) Launch(id, operation string, body []byte) *Run {
	run := &Run{id: id, operation: operation, body: body, done: make(chan Outcome, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] = run
	if c.synced {
		c.sendLaunch(run)
	}
	return run
}

// sendLaunch queues the launch of a run. c.mu must be held.
func (c *Client) sendLaunch(run *Run) {
	c.unsent = appendLaunch(c.unsent, run.id, run.operation, run.body)
	c.outputChanged.Signal()
}

// finish ends a run with an outcome. It ignores runs that are not in flight.
func (c *Client) finish(id string, end Outcome) {
	c.mu.Lock()
	run := c.runs[id]
	delete(c.runs, id)
	c.mu.Unlock()
	if run != nil {
		run.done <- end
	}
}

// runsInFlight returns the number of runs that have not ended.
func (c *Client) runsInFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// RequestSample requests a sample of the gauges and reports whether it did. It does not without a synced connection,
// nor while a sample is pending, unless that is so late that it may never arrive.
func (c *Client) RequestSample() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return false
	}
	if c.sampling.pending && time.Since(c.sampling.requestedAt) < c.bounds.SampleMaxAge {
		return false
	}
	c.sendSample()
	return true
}

// sendSample queues a request for a sample. c.mu must be held.
func (c *Client) sendSample() {
	c.sampling.tag++
	c.sampling.pending = true
	c.sampling.requestedAt = time.Now()
	c.unsent = appendSample(c.unsent, c.sampling.tag)
	c.outputChanged.Signal()
}

// Samples returns the channel of the samples. It holds at most the latest one.
func (c *Client) Samples() <-chan []float64 { return c.samples }

// Available reports whether there is a synced connection, or was one less than ExecutorAbsence ago. A short loss ends
// no run, whereas callers avoid the instance for seconds after a failed health check.
func (c *Client) Available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced || time.Since(c.lastSynced) < c.bounds.ExecutorAbsence
}

// SetAddress changes the address of the executor. The connection in use stays in use meanwhile.
func (c *Client) SetAddress(address string) {
	c.mu.Lock()
	same := c.address == address
	c.address = address
	c.mu.Unlock()
	if same {
		return
	}
	select {
	case c.addressChanged <- struct{}{}:
	default: // Run has not handled the last change yet
	}
}

// currentAddress returns the address of the executor.
func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}
