package server

import (
	"errors"
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

// append adds a frame to the pending output. c.mu must be held.
func (c *conn) append(write func(to []byte) []byte) {
	if c.writeClosed {
		return
	}
	before := len(c.pending)
	c.pending = write(c.pending)
	c.server.unsentBytes.Add(int64(len(c.pending) - before))
}

// flush writes the pending output as far as the socket accepts it, and leaves the rest to a goroutine that waits. The
// connection of a peer that goes on sending and does not read is closed. c.mu must be held.
func (c *conn) flush() {
	bounds := &c.server.bounds
	if c.writeClosed || len(c.pending) == 0 {
		return
	}
	if c.writing {
		if len(c.pending) > bounds.UnsentPerConnection || c.server.unsentBytes.Load() > bounds.UnsentTotal {
			c.server.violations.Warn("unread", nil)
			c.shutdown()
		}
		return
	}
	n, err := syscall.Write(c.fd, c.pending)
	n = max(n, 0) // it is -1 with an error
	switch {
	case err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
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

// recycle reuses a written buffer for the next answers, unless it is too large. c.mu must be held.
func (c *conn) recycle(written []byte) {
	c.server.unsentBytes.Add(-int64(len(written)))
	c.pending = nil
	if cap(written) <= c.server.bounds.OutputBuffer {
		c.pending = written[:0]
	}
}

// drainPending writes the output that the socket did not accept at once, and waits for the socket.
func (c *conn) drainPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 && !c.writeClosed {
		sending := c.pending
		c.pending = nil
		c.mu.Unlock()
		_, err := c.transport.Write(sending)
		c.mu.Lock()
		c.server.unsentBytes.Add(-int64(len(sending)))
		if err != nil {
			c.shutdown()
		}
	}
	c.writing = false
	c.closeWriteIfDone()
}

// sendGoAway asks the peer to send no more invocations on this connection, once.
func (c *conn) sendGoAway() {
	c.mu.Lock()
	sent := c.goAwaySent
	c.goAwaySent = true
	c.mu.Unlock()
	if !sent {
		c.send(frame.AppendGoAway)
	}
}
