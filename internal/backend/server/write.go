package server

import (
	"syscall"

	"milletbarrow/internal/backend/frame"
)

// send writes a frame.
func (c *conn) send(write func(to []byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.append(write)
	c.flush()
}

// append adds a frame to the pending output; c.mu is held.
func (c *conn) append(write func(to []byte) []byte) {
	if c.writeClosed {
		return
	}
	before := len(c.pending)
	c.pending = write(c.pending)
	c.server.unsentBytes.Add(int64(len(c.pending) - before))
}

// flush writes the pending output as far as the socket takes it, and leaves the rest to a goroutine that waits. A peer that
// reads nothing while it goes on sending is cut off. c.mu is held.
func (c *conn) flush() {
	b := &c.server.bounds
	if c.writeClosed || len(c.pending) == 0 {
		return
	}
	if c.writing {
		if len(c.pending) > b.UnsentPerConnection || c.server.unsentBytes.Load() > b.UnsentTotal {
			c.server.violations.Warn("unread", nil)
			c.shutdown()
		}
		return
	}
	n, err := syscall.Write(c.fd, c.pending)
	switch n = max(n, 0); {
	case err != nil && err != syscall.EAGAIN && err != syscall.EINTR:
		c.shutdown()
		return
	case n < len(c.pending):
		c.server.unsentBytes.Add(-int64(n))
		c.pending = c.pending[:copy(c.pending, c.pending[n:])]
		c.writing = true
		go c.drainPending()
		return
	}
	c.recycle(c.pending)
	c.closeWriteIfDone()
}

// recycle makes a written buffer available for the next answers; c.mu is held.
func (c *conn) recycle(b []byte) {
	c.server.unsentBytes.Add(-int64(len(b)))
	if c.pending = nil; cap(b) <= c.server.bounds.OutputBuffer {
		c.pending = b[:0]
	}
}

// drainPending writes the output that the socket did not take at once, and waits for it.
func (c *conn) drainPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.writeClosed {
		b := c.pending
		c.pending = nil
		c.mu.Unlock()
		_, err := c.transport.Write(b)
		c.mu.Lock()
		c.server.unsentBytes.Add(-int64(len(b)))
		if err != nil {
			c.shutdown()
		}
	}
	c.writing = false
	c.closeWriteIfDone()
}

// sendGoAway asks the peer, once, to send no more invocations on this connection.
func (c *conn) sendGoAway() {
	c.mu.Lock()
	asked := c.goAwaySent
	c.goAwaySent = true
	c.mu.Unlock()
	if !asked {
		c.send(frame.AppendGoAway)
	}
}
