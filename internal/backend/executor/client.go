// Package executor is the client of the executor that runs invocations. It speaks the executor's line protocol over one
// connection, which it opens again whenever it is lost, and holds the runs in flight.
//
// A connection goes through these states. It is connected, and subscribes to the notices after the last one read;
// greeted by the executor; and synced, once the first sample requested after the greeting has arrived, which follows
// all earlier notices. Launches are sent only on a synced connection. While the connection in use is synced, a new
// one replaces it once it is greeted, or when the one in use ends.
//
// Invariants, each with the test that holds it:
//   - Each run ends once, with its own result, however often its outcome arrives:
//     TestBrokenConnectionsAndRepeatedNotices.
//   - A launch that the executor has not read is sent again on the next synced connection:
//     TestRunsSurviveLostConnection.
//   - No launch is sent before the connection is synced: TestLaunchWaitsUntilSynced.
//   - A notice that cannot be parsed ends its run alone, and is not read again: TestUnreadableNoticeEndsItsRun.
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

// Outcome is how a run ended, with its result.
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
	onGreeting     func(cold bool, ago monotime.Micros)
	samples        chan []float64 // holds at most the latest sample
	addressChanged chan struct{}  // holds a value after a change that Run has not noticed

	mu sync.Mutex // guards all fields below

	address  string
	writable *sync.Cond // signalled when pending, conn or next changes; its lock is mu
	pending  []byte     // commands to be written on conn

	// Connections. Each has a goroutine that reads and one that writes.
	conn      net.Conn  // the connection in use; nil: none
	previous  net.Conn  // the one that conn replaced, read until conn is greeted; nil: none
	next      net.Conn  // subscribed, and to replace conn; nil unless conn is synced
	nextSince time.Time // when next was connected

	// State of conn.
	synced    bool      // all notices of earlier connections have been read
	lastInput time.Time // when something was last read, or conn began to be used
	sampling  sampling

	everGreeted bool            // the executor has sent a greeting on any connection
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
	onGreeting func(cold bool, ago monotime.Micros),
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
	c.writable = sync.NewCond(&c.mu)
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
	c.pending = appendLaunch(c.pending, run.id, run.operation, run.body)
	c.writable.Signal()
}

// finish ends a run. It ignores runs that are not in flight.
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
	c.pending = appendSample(c.pending, c.sampling.tag)
	c.writable.Signal()
}

// Samples returns the channel of the samples. It holds at most the latest one.
func (c *Client) Samples() <-chan []float64 { return c.samples }

// Available reports whether there is a synced connection, or was one less than ExecutorAbsence ago. A short loss ends
// no run, but callers act for seconds on a failed health check.
func (c *Client) Available() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.synced || time.Since(c.lastSynced) < c.bounds.ExecutorAbsence
}

// SetAddress changes the address of the executor. The connection in use goes on while a new one is opened.
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
	default: // Run has not noticed the last change yet
	}
}

// currentAddress returns the address of the executor.
func (c *Client) currentAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address
}
