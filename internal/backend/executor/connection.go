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
	// silenceChecks is how often a connection is checked within ExecutorSilence.
	silenceChecks = 2

	// redialGrowth is the factor by which the backoff between two attempts to connect grows.
	redialGrowth = 2
)

// connectionEnd is the reason for opening another connection.
type connectionEnd struct {
	reason  endReason
	greeted bool  // the executor sent a greeting on the connection, if it was lost
	err     error // why the connection was lost or could not be opened
}

// endReason is the kind of reason for opening another connection.
type endReason int

// The reasons. After addressChanged and silent the connection goes on until the new one replaces it.
const (
	lost           endReason = iota // the connection has ended or could not be opened
	addressChanged                  // the executor's address has changed
	silent                          // nothing is received, although the connection is open at this side
)

// Run keeps a connection open until the context ends.
func (c *Client) Run(ctx context.Context) {
	silenceCheck := time.NewTicker(c.bounds.ExecutorSilence / silenceChecks)
	defer silenceCheck.Stop()
	backoff := c.bounds.RedialMin
	lossLogged := false // since the last greeting
	for ctx.Err() == nil {
		end := c.connect(ctx, silenceCheck.C)
		switch end.reason {
		case addressChanged:
			backoff = c.bounds.RedialMin
			continue
		case silent:
			slog.Warn("executor_silent")
			continue
		case lost:
		}
		if end.greeted {
			backoff = c.bounds.RedialMin
			lossLogged = false
		}
		if ctx.Err() != nil {
			return
		}
		if !lossLogged {
			slog.Warn("executor_lost", "runs", c.runsInFlight(), "reason", fmt.Sprint(end.err))
			lossLogged = true
		}
		backoff = c.waitToRedial(ctx, backoff)
	}
}

// connect opens a connection and follows it until another one is to be opened.
func (c *Client) connect(ctx context.Context, silenceCheck <-chan time.Time) connectionEnd {
	dialer := net.Dialer{Timeout: c.bounds.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.currentAddress())
	if err != nil {
		return connectionEnd{reason: lost, err: err}
	}
	subscription := c.subscribe(conn)
	ended := make(chan connectionEnd, 1)
	go func() { ended <- c.serve(ctx, conn, subscription) }()
	for {
		select {
		case end := <-ended:
			return end
		case <-c.addressChanged:
			return connectionEnd{reason: addressChanged}
		case <-silenceCheck:
			if c.isSilent() {
				return connectionEnd{reason: silent}
			}
		}
	}
}

// waitToRedial waits for the backoff or a change of the address, and returns the next backoff.
func (c *Client) waitToRedial(ctx context.Context, backoff time.Duration) (next time.Duration) {
	select {
	case <-time.After(backoff):
		return min(redialGrowth*backoff, c.bounds.RedialMax)
	case <-c.addressChanged:
		return c.bounds.RedialMin
	case <-ctx.Done():
		return backoff
	}
}

// isSilent reports whether nothing has been received for ExecutorSilence on the connection in use, although a sample
// or a greeting is expected, nor on the next one, if there is one. It is false before the first greeting on any
// connection, as the executor may start late.
func (c *Client) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	expected := c.sampling.pending || c.everGreeted && !c.synced
	if !expected || time.Since(c.lastInput) <= c.bounds.ExecutorSilence {
		return false
	}
	return c.next == nil || time.Since(c.nextSince) > c.bounds.ExecutorSilence
}

// subscribe registers a new connection, and returns the command that is to be written on it first, which subscribes to
// the notices after the last one read. While the connection in use is synced, launches are still sent on that until the
// new one is greeted: a greeting may be late or never come.
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
		c.takeOver(conn)
	}
	return appendSubscribe(nil, c.lastNotice)
}

// takeOver makes conn the connection in use. The one before is read until this one is greeted; a notice counts once
// by its number, whichever connection it arrives on. Launches that were not written are sent again once conn is
// synced. c.mu must be held.
func (c *Client) takeOver(conn net.Conn) {
	if c.previous != nil {
		_ = c.previous.Close()
	}
	c.previous = c.conn
	c.use(conn)
}

// use makes conn, which may be nil, the connection in use, and drops the commands that were not written. c.mu must be
// held.
func (c *Client) use(conn net.Conn) {
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
	c.pending = c.pending[:0]
	c.writable.Broadcast()
}

// serve reads from and writes to a connection until it ends.
func (c *Client) serve(ctx context.Context, conn net.Conn, subscription []byte) connectionEnd {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var writer sync.WaitGroup
	writer.Go(func() { c.write(conn, subscription) })
	greeted, err := c.read(conn)
	c.remove(conn)
	_ = conn.Close()
	writer.Wait()
	return connectionEnd{reason: lost, greeted: greeted, err: err}
}

// remove removes a connection that has ended. The next one, if there is one, replaces the connection in use.
func (c *Client) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch conn {
	case c.next:
		c.next = nil
		c.writable.Broadcast()
	case c.conn:
		c.use(c.next)
	case c.previous:
		c.previous = nil
	}
}

// write writes the subscription, and then pending commands while conn is in use.
func (c *Client) write(conn net.Conn, subscription []byte) {
	if _, err := conn.Write(subscription); err != nil {
		_ = conn.Close() // its reader ends
		return
	}
	var sending []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		for c.next == conn || c.conn == conn && len(c.pending) == 0 {
			c.writable.Wait()
		}
		if c.conn != conn {
			return
		}
		sending, c.pending = c.pending, sending[:0]
		c.mu.Unlock()
		_, err := conn.Write(sending)
		c.mu.Lock()
		if err != nil {
			_ = conn.Close() // its reader ends
			return
		}
	}
}
