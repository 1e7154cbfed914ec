// Package executor is the client of the executor that runs invocations: its line protocol (protocol.go, read.go), and the one
// connection to it, which is made again whenever it is lost, with the runs in flight by id.
package executor

import (
	"context"
	"fmt"
	"log/slog"
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
	id, operation string
	body          []byte
	done          chan Outcome
}

// Outcome is how a run ended, with its result.
type Outcome struct {
	End    dispatch.Outcome
	Result []byte
}

// Done returns a channel that receives the outcome, once.
func (r *Run) Done() <-chan Outcome { return r.done }

// Client has the connection to the executor. Its methods may be called from several goroutines; only Run blocks.
type Client struct {
	bounds         limits.Bounds
	violations     *ratelimitlog.Logger
	onGreeting     func(cold bool, ago monotime.Micros)
	samples        chan []float64
	addressChanged chan struct{}

	mu            sync.Mutex
	address       string
	writable      *sync.Cond // pending is not empty, or conn has changed
	conn          net.Conn   // in use: commands are written to it
	previous      net.Conn   // the one it replaced, still read until conn is greeted
	everGreeted   bool       // the executor has sent a greeting, on any connection
	nextSince     time.Time  // when next was connected
	next          net.Conn   // subscribed, and replaces conn once it is greeted or conn ends; nil while conn is not synced
	pending       []byte     // commands to be written
	runs          map[string]*Run
	lastNotice    uint64    // number of the last notice read
	synced        bool      // all notices from before this connection have been read
	lastSynced    time.Time // when it was last synced
	lastInput     time.Time // when something was last read from conn
	sampleTag     uint64    // of the last sample requested
	samplePending bool      // and has not arrived
	sampleSince   time.Time
}

// New makes a client; onGreeting is called at each greeting, with whether the executor is warming up and how long it has been up.
func New(
	address string, bounds limits.Bounds, violations *ratelimitlog.Logger, onGreeting func(cold bool, ago monotime.Micros),
) *Client {
	l := &Client{
		address: address, bounds: bounds, violations: violations, onGreeting: onGreeting,
		runs: map[string]*Run{}, samples: make(chan []float64, 1), addressChanged: make(chan struct{}, 1),
	}
	l.writable = sync.NewCond(&l.mu)
	return l
}

// Launch starts a run. Without a synced connection it is held, and sent on the next one.
func (l *Client) Launch(id, operation string, body []byte) *Run {
	r := &Run{id: id, operation: operation, body: body, done: make(chan Outcome, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = r
	if l.synced {
		l.sendLaunch(r)
	}
	return r
}

// sendLaunch queues the launch of a run; l.mu is held.
func (l *Client) sendLaunch(r *Run) {
	l.pending = appendLaunch(l.pending, r.id, r.operation, r.body)
	l.writable.Signal()
}

// RequestSample requests a sample of the gauges and reports whether it did: not without a synced connection, nor while a sample is
// pending, unless that is so late that it may never arrive.
func (l *Client) RequestSample() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.synced || l.samplePending && time.Since(l.sampleSince) < l.bounds.SampleMaxAge {
		return false
	}
	l.sendSample()
	return true
}

// sendSample queues a request for the gauges; l.mu is held.
func (l *Client) sendSample() {
	l.sampleTag++
	l.samplePending, l.sampleSince = true, time.Now()
	l.pending = appendSample(l.pending, l.sampleTag)
	l.writable.Signal()
}

// Samples returns a channel of gauges; it holds the newest alone.
func (l *Client) Samples() <-chan []float64 { return l.samples }

// Available reports whether runs can be started, now or once a connection that was just lost is back: a short loss ends no run,
// and callers act for seconds on a failed health check.
func (l *Client) Available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.synced || time.Since(l.lastSynced) < l.bounds.ExecutorAbsence
}

// SetAddress changes the address of the executor. A new connection is made while the one in use goes on.
func (l *Client) SetAddress(address string) {
	l.mu.Lock()
	same := l.address == address
	l.address = address
	l.mu.Unlock()
	if !same {
		select {
		case l.addressChanged <- struct{}{}:
		default:
		}
	}
}

// Run keeps a connection open until the context ends.
func (l *Client) Run(ctx context.Context) {
	dialer := net.Dialer{Timeout: l.bounds.DialTimeout}
	pause := l.bounds.RedialMin
	silenceCheck := time.NewTicker(l.bounds.ExecutorSilence / 2)
	defer silenceCheck.Stop()
dial:
	for down := false; ctx.Err() == nil; {
		l.mu.Lock()
		address := l.address
		l.mu.Unlock()
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			ended := make(chan connectionEnd, 1)
			first := l.subscribe(conn)
			go func() { ended <- l.serve(ctx, conn, first) }()
			for connected := true; connected; {
				select {
				case end := <-ended:
					if err = end.err; end.greeted {
						pause, down = l.bounds.RedialMin, false
					}
					connected = false
				case <-l.addressChanged: // this connection goes on until the next has replaced it, or the executor closes it
					pause = l.bounds.RedialMin
					continue dial
				case <-silenceCheck.C:
					if l.silent() { // likewise: it may be open at this side alone
						slog.Warn("executor_silent")
						continue dial
					}
				}
			}
		}
		if ctx.Err() != nil {
			return
		}
		if !down {
			slog.Warn("executor_lost", "runs", l.runsInFlight(), "reason", fmt.Sprint(err))
			down = true
		}
		select {
		case <-time.After(pause):
			pause = min(2*pause, l.bounds.RedialMax)
		case <-l.addressChanged:
			pause = l.bounds.RedialMin
		case <-ctx.Done():
		}
	}
}

// runsInFlight returns how many runs have not ended.
func (l *Client) runsInFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs)
}

// connectionEnd is how a connection ended.
type connectionEnd struct {
	greeted bool
	err     error
}

// silent reports whether the connection in use has brought nothing for ExecutorSilence though a sample is pending, or no greeting
// for so long, and neither has the next one, if there is one. Before the first greeting of all it is false: the executor may start
// late.
func (l *Client) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	long := l.bounds.ExecutorSilence
	return (l.samplePending || l.everGreeted && !l.synced) && time.Since(l.lastInput) > long && (l.next == nil || time.Since(l.nextSince) > long)
}

// subscribe takes a new connection, and returns the command that subscribes it after the last notice read, to be written first.
// While the connection in use is synced, launches go on to it until the new one is greeted: a greeting may be late, or never come.
func (l *Client) subscribe(conn net.Conn) (first []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first = appendSubscribe(nil, l.lastNotice)
	if l.next != nil {
		_ = l.next.Close()
	}
	if l.next = nil; l.synced {
		l.next, l.nextSince = conn, time.Now()
		return first
	}
	l.takeOver(conn)
	return first
}

// takeOver makes conn the connection in use. The one before is still read until this one is greeted: notices count by their
// numbers, whichever connection brings them first. Launches that the executor has not read there are sent again once the new
// connection is synced. l.mu is held.
func (l *Client) takeOver(conn net.Conn) {
	if l.previous != nil {
		_ = l.previous.Close()
	}
	l.previous = l.conn
	l.replace(conn)
	l.pending = l.pending[:0]
}

// replace makes conn, which may be nil, the connection in use; l.mu is held.
func (l *Client) replace(conn net.Conn) {
	if l.synced {
		l.lastSynced = time.Now()
	}
	if l.next == conn {
		l.next = nil
	}
	l.conn, l.synced, l.samplePending, l.lastInput = conn, false, false, time.Now()
	l.writable.Broadcast()
}

// serve reads from and writes to one connection until it ends.
func (l *Client) serve(ctx context.Context, conn net.Conn, first []byte) (end connectionEnd) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(func() { l.write(conn, first) })
	end.greeted, end.err = l.read(conn)
	l.mu.Lock()
	switch conn {
	case l.next:
		l.next = nil
		l.writable.Broadcast()
	case l.conn:
		l.replace(l.next) // nil where there is none
		l.pending = l.pending[:0]
	case l.previous:
		l.previous = nil
	}
	l.mu.Unlock()
	_ = conn.Close()
	writer.Wait()
	return end
}

// write writes first, and then pending commands, until conn is not in use any more.
func (l *Client) write(conn net.Conn, first []byte) {
	if _, err := conn.Write(first); err != nil {
		_ = conn.Close() // its reader sees the end
		return
	}
	var sending []byte
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		for l.conn == conn && len(l.pending) == 0 || l.next == conn {
			l.writable.Wait()
		}
		if l.conn != conn {
			return
		}
		sending, l.pending = l.pending, sending[:0]
		l.mu.Unlock()
		_, err := conn.Write(sending)
		l.mu.Lock()
		if err != nil {
			_ = conn.Close() // its reader sees the end
			return
		}
	}
}
