package executor

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"
)

const (
	// silenceChecksPerTimeout is the number of checks for silence in each period of ExecutorSilence.
	silenceChecksPerTimeout = 2

	// redialBackoffFactor multiplies the backoff after each failed attempt to connect.
	redialBackoffFactor = 2
)

// redialCause describes why another connection is opened.
type redialCause struct {
	reason  redialReason
	greeted bool  // the executor sent a greeting on the connection, if it was lost
	err     error // why the connection was lost or could not be opened
}

// redialReason is the reason for opening another connection.
type redialReason int

// The reasons. After addressChanged and connectionSilent the connection stays in use until the new one replaces it.
const (
	connectionLost   redialReason = iota // the connection has ended or could not be opened
	addressChanged                       // the executor's address has changed
	connectionSilent                     // no input, although the connection is open on this side
)

// Run keeps a connection open until the context ends.
func (c *Client) Run(ctx context.Context) {
	silenceCheck := time.NewTicker(c.bounds.ExecutorSilence / silenceChecksPerTimeout)
	defer silenceCheck.Stop()
	backoff := c.bounds.RedialMin
	lossLogged := false // since the last greeting
	for ctx.Err() == nil {
		cause := c.connect(ctx, silenceCheck.C)
		switch cause.reason {
		case addressChanged:
			backoff = c.bounds.RedialMin
			continue
		case connectionSilent:
			slog.Warn("executor_silent")
			continue
		case connectionLost:
		}
		if cause.greeted {
			backoff = c.bounds.RedialMin
			lossLogged = false
		}
		if ctx.Err() != nil {
			return
		}
		if !lossLogged {
			slog.Warn("executor_lost", "runs", c.runsInFlight(), "reason", fmt.Sprint(cause.err))
			lossLogged = true
		}
		backoff = c.waitToRedial(ctx, backoff)
	}
}

// connect opens and serves a connection, and returns once another one has to be opened. The connection may still be in
// use then.
func (c *Client) connect(ctx context.Context, silenceCheck <-chan time.Time) redialCause {
	dialer := net.Dialer{Timeout: c.bounds.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.currentAddress())
	if err != nil {
		return redialCause{reason: connectionLost, err: err}
	}
	subscription := c.subscribe(conn)
	ended := make(chan redialCause, 1)
	go func() { ended <- c.serve(ctx, conn, subscription) }()
	for {
		select {
		case cause := <-ended:
			return cause
		case <-c.addressChanged:
			return redialCause{reason: addressChanged}
		case <-silenceCheck:
			if c.isUnresponsive() {
				return redialCause{reason: connectionSilent}
			}
		}
	}
}

// waitToRedial waits for the backoff or a change of the address, and returns the next backoff.
func (c *Client) waitToRedial(ctx context.Context, backoff time.Duration) (next time.Duration) {
	select {
	case <-time.After(backoff):
		return min(redialBackoffFactor*backoff, c.bounds.RedialMax)
	case <-c.addressChanged:
		return c.bounds.RedialMin
	case <-ctx.Done():
		return backoff
	}
}

// isUnresponsive reports whether the connection in use has had no input for ExecutorSilence, although a sample or a
// greeting is due, and the next one, if there is one, was opened longer ago than that. It is false before the first
// greeting on any connection, as the executor may start late.
func (c *Client) isUnresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.sampling.pending || c.everGreeted && !c.synced
	if !expected || time.Since(c.lastInput) <= c.bounds.ExecutorSilence {
		return false
	}
	return c.next == nil || time.Since(c.nextSince) > c.bounds.ExecutorSilence
}

// subscribe registers a new connection and returns the first command for it: the subscription to the notices after the
// last one read. While the connection in use is synced, it carries launches until the new one is greeted, as a greeting
// may be late or never arrive.
func (c *Client) subscribe(conn net.Conn) (subscription []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next != nil {
		_ = c.next.Close()
		c.next = nil
	}
	if c.synced {
		c.next = conn
		c.nextSince = time.Now()
	} else {
		c.replaceCurrent(conn)
	}
	return appendSubscribe(nil, c.lastNotice)
}

// replaceCurrent makes conn the connection in use. Its predecessor is read until conn is greeted, as
// notices are deduplicated by number across connections. Launches that were not written are sent again once conn is
// synced. c.mu must be held.
func (c *Client) replaceCurrent(conn net.Conn) {
	if c.previous != nil {
		_ = c.previous.Close()
	}
	c.previous = c.conn
	c.setCurrent(conn)
}

// setCurrent makes conn, which may be nil, the connection in use, and drops the commands that were not written. c.mu
// must be held.
func (c *Client) setCurrent(conn net.Conn) {
	if c.synced {
		c.lastSynced = time.Now()
	}
	if c.next == conn {
		c.next = nil
	}
	c.conn = conn
	c.synced = false
	c.sampling.pending = false
	c.lastInput = time.Now()
	c.unsent = c.unsent[:0]
	c.outputChanged.Broadcast()
}

// serve reads from and writes to a connection until it ends.
func (c *Client) serve(ctx context.Context, conn net.Conn, subscription []byte) redialCause {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(func() { c.write(conn, subscription) })
	greeted, err := c.read(conn)
	c.remove(conn)
	_ = conn.Close()
	writer.Wait()
	return redialCause{reason: connectionLost, greeted: greeted, err: err}
}

// remove removes a connection that has ended. The next one, if there is one, replaces the connection in use.
func (c *Client) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch conn {
	case c.next:
		c.next = nil
		c.outputChanged.Broadcast()
	case c.conn:
		c.setCurrent(c.next)
	case c.previous:
		c.previous = nil
	}
}

// write writes the subscription, and then the unsent commands while conn is in use.
func (c *Client) write(conn net.Conn, subscription []byte) {
	if _, err := conn.Write(subscription); err != nil {
		_ = conn.Close() // ends its reader
		return
	}
	var sending []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for c.next == conn || c.conn == conn && len(c.unsent) == 0 {
			c.outputChanged.Wait()
		}
		if c.conn != conn {
			return
		}
		sending, c.unsent = c.unsent, sending[:0]
		c.mu.Unlock()
		_, err := conn.Write(sending)
		c.mu.Lock()
		if err != nil {
			_ = conn.Close() // ends its reader
			return
		}
	}
}
