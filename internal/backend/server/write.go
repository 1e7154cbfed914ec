package server

import (
	"errors"
	"syscall"

	"milletbarrow/internal/backend/frame"
)

// sendFrame appends a frame to the pending output and writes it.
func (c *conn) sendFrame(write func(to []byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendFrame(write)
	c.flush()
}

// appendFrame appends a frame to the pending output, unless the connection is closed for writing. c.mu must be held.
func (c *conn) appendFrame(write func(to []byte) []byte) {
	if c.writeClosed {
		return
	}
	before := len(c.pending)
	c.pending = write(c.pending)
	c.server.unsentBytes.Add(int64(len(c.pending) - before))
}

// flush writes as much of the pending output as the socket accepts, and starts a goroutine that writes the rest. It
// closes the connection of a peer that keeps sending without reading. c.mu must be held.
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
	n = max(n, 0) // n is -1 if there is an error
	switch {
	case err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR):
		c.shutdown()
		return
	case n < len(c.pending):
		c.server.unsentBytes.Add(-int64(n))
		c.pending = c.pending[:copy(c.pending, c.pending[n:])]
		c.writing = true
		go c.writePending()
		return
	}
	c.reuseBuffer(c.pending)
	c.closeWriteIfDone()
}

// reuseBuffer keeps a written buffer for the next answers, unless it is too large. c.mu must be held.
func (c *conn) reuseBuffer(written []byte) {
	c.server.unsentBytes.Add(-int64(len(written)))
	c.pending = nil
	if cap(written) <= c.server.bounds.OutputBuffer {
		c.pending = written[:0]
	}
}

// writePending writes the output that the socket did not accept immediately. It blocks until the socket accepts it.
func (c *conn) writePending() {
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

// sendGoAway tells the peer, once per connection, to send no more invocations on it.
func (c *conn) sendGoAway() {
	c.mu.Lock()
	sent := c.goAwaySent
	c.goAwaySent = true
	c.mu.Unlock()
	if !sent {
		c.sendFrame(frame.AppendGoAway)
	}
}
