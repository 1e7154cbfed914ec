package server

import (
	"syscall"
	"time"
)

// closeWriteIfDone closes a connection that is closing, once all is answered and written; c.mu is held. It is closed for writing
// first: closed with unread input, the kernel would reset it, and the last answer could be lost.
func (c *conn) closeWriteIfDone() {
	if c.closing && !c.writeClosed && len(c.streams) == 0 && len(c.pending) == 0 && !c.writing {
		if !c.released {
			_ = syscall.Shutdown(c.fd, syscall.SHUT_WR)
			time.AfterFunc(c.server.bounds.LingerTimeout, c.abort)
		}
		c.writeClosed = true
	}
}

// shutdown closes the connection in both directions; c.mu is held. The poller then finds its end, and netpoll calls release.
// Netpoll's own Close, called on the poller, would wait for the poller.
func (c *conn) shutdown() {
	if !c.readClosed && !c.released {
		_ = syscall.Shutdown(c.fd, syscall.SHUT_RDWR)
	}
	c.writeClosed, c.readClosed = true, true
}

// abort closes the connection whatever is open on it.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shutdown()
}

// closeWhenAnswered closes the connection once its open streams have been answered and the answers are written.
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
	if c.idle() && !c.unread() {
		c.closing = true
		c.closeWriteIfDone()
	}
}

// evictUnlessUnread closes a connection to make room, unless it has unread input.
func (c *conn) evictUnlessUnread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unread() {
		return false
	}
	c.shutdown()
	return true
}

// unread reports whether the peer has sent bytes that have not been read, and may be an invocation. Input on a connection that is
// closed for writing does not count. c.mu is held.
func (c *conn) unread() bool { return !c.writeClosed && !c.released && unread(c.fd) }

// allAnswered reports whether all input has been read and answered, and the answers are written.
func (c *conn) allAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle() && !c.unread()
}

// release is called once the connection is closed: the callers of all open streams are gone.
func (c *conn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeClosed, c.released = true, true
	for number, st := range c.streams {
		delete(c.streams, number)
		close(st.canceled)
	}
	c.server.unsentBytes.Add(-int64(len(c.pending)))
	c.pending = nil
}
