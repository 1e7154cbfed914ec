package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxPendingConns is how many connections of one kind wait to be accepted before further ones wait with a time limit.
const maxPendingConns = 16

// peerAddr is an agent's name where a network address is asked for.
type peerAddr string

// Network implements net.Addr.
func (peerAddr) Network() string { return "peer" }

func (a peerAddr) String() string { return string(a) }

// peerConn is a connection whose remote end is known by its agent's name.
type peerConn struct {
	net.Conn
	remote peerAddr
}

// RemoteAddr returns the name of the agent at the other end.
func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

// listenerQueue is the net.Listener of one kind of connection.
type listenerQueue struct {
	addr   peerAddr
	conns  chan net.Conn
	closed chan struct{}

	mu       sync.Mutex // orders offers before or after Close
	isClosed bool
}

func newListenerQueue(addr peerAddr) *listenerQueue {
	return &listenerQueue{addr: addr, conns: make(chan net.Conn, maxPendingConns), closed: make(chan struct{})}
}

// offer queues a connection for Accept and reports whether it did: not when the queue stays full for the given time, when
// the listener is closed, or when ctx ends.
func (q *listenerQueue) offer(ctx context.Context, c net.Conn, within time.Duration) bool {
	deadline := time.NewTimer(within)
	defer deadline.Stop()
	select {
	case q.conns <- c:
		q.closePendingIfClosed()
		return true
	case <-q.closed:
	case <-deadline.C:
	case <-ctx.Done():
	}
	return false
}

// Accept implements net.Listener. After Close it returns net.ErrClosed.
func (q *listenerQueue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the connections that nobody has accepted.
func (q *listenerQueue) Close() error {
	q.mu.Lock()
	if !q.isClosed {
		q.isClosed = true
		close(q.closed)
	}
	q.mu.Unlock()
	q.closePendingIfClosed()
	return nil
}

// closePendingIfClosed closes the connections that wait in a closed queue: also one that was queued as it was closed.
func (q *listenerQueue) closePendingIfClosed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.isClosed {
		select {
		case c := <-q.conns:
			_ = c.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener; it is the agent's own name.
func (q *listenerQueue) Addr() net.Addr { return q.addr }
