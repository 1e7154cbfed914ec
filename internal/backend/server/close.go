package server

import (
	"syscall"
	"time"
)

// closeWriteIfDone shuts down the write side of a closing connection once all its answers are written. The read side
// stays open for up to LingerTimeout: the kernel resets a connection that is closed with unread input, and the last
// answer could be lost. c.mu must be held.
func (c *conn) closeWriteIfDone() {
	if !c.closing || c.writeClosed || !c.idle() {
		return
	}
	if !c.released {
		_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
		time.AfterFunc(c.server.bounds.LingerTimeout, c.abort)
	}
	c.writeClosed = true
}

// shutdown shuts down both directions of the connection. The poller then detects the end of the connection, and netpoll
// calls release. Netpoll's own Close is not used: it would wait for the poller, and shutdown may run on the poller.
// c.mu must be held.
func (c *conn) shutdown() {
	if !c.readClosed && !c.released {
		_ = syscall.Shutdown(c.fd, syscall.SHUT_RDWR)
	}
	c.writeClosed = true
	c.readClosed = true
}

// abort closes the connection at once, even with open streams or unwritten answers.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdown()
}

// closeWhenAnswered closes the connection once all open streams are answered and the answers are written.
func (c *conn) closeWhenAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	c.closeWriteIfDone()
}

// closeIfAnswered closes the connection if it is idle and has no unread input.
func (c *conn) closeIfAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle() && !c.hasUnreadInput() {
		c.closing = true
		c.closeWriteIfDone()
	}
}

// evictUnlessUnread closes the connection and returns true, unless it has unread input.
func (c *conn) evictUnlessUnread() (evicted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasUnreadInput() {
		return false
	}
	c.shutdown()
	return true
}

// hasUnreadInput reports whether the socket has unread input that may contain an invocation. It returns false for a
// connection that is closed for writing, as nothing can be answered on it. c.mu must be held.
func (c *conn) hasUnreadInput() bool {
	return !c.writeClosed && !c.released && socketHasUnreadInput(c.fd)
}

// allAnswered reports whether all input has been read and answered, and all answers are written.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle() && !c.hasUnreadInput()
}

// release cancels all open streams and drops the pending output. It is called once the connection is closed.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed = true
	c.released = true
	for number, st := range c.streams {
		delete(c.streams, number)
		close(st.canceled)
	}
	c.server.unsentBytes.Add(-int64(len(c.pending)))
	c.pending = nil
}
