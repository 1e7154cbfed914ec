package transport

import (
	"context"
	"net"
	"sync"
	"time"
)

// maxPendingConns is the capacity of the accept queue of one kind. Queued connections wait without a time limit.
const maxPendingConns = 16

// peerAddr is the name of an agent, as a net.Addr.
type peerAddr string

// Network implements net.Addr.
func (peerAddr) Network() string { return "peer" }

// String implements net.Addr.
func (a peerAddr) String() string { return string(a) }

// peerConn is a connection whose remote address is the name of an agent.
type peerConn struct {
	net.Conn
	remote peerAddr
}

// RemoteAddr returns the name of the agent at the other end.
func (c *peerConn) RemoteAddr() net.Addr { return c.remote }

// listenerQueue is the net.Listener for one kind of connection, with its accept queue.
//
// Invariant: once it is closed, no connection remains in the queue
// (TestClosedListenerClosesPendingAndLaterConnections).
type listenerQueue struct {
	addr   peerAddr // the agent's own name
	conns  chan net.Conn
	closed chan struct{} // closed by Close

	mu       sync.Mutex // guards isClosed, and orders each offer before or after Close
	isClosed bool
}

// newListenerQueue returns an open listener.
func newListenerQueue(addr peerAddr) *listenerQueue {
	return &listenerQueue{
		addr:   addr,
		conns:  make(chan net.Conn, maxPendingConns),
		closed: make(chan struct{}),
	}
}

// offer queues a connection for Accept and reports whether it was queued. It gives up if the queue stays full for the
// given time, the listener is closed, or ctx ends.
func (q *listenerQueue) offer(ctx context.Context, conn net.Conn, timeout time.Duration) bool {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	select {
	case q.conns <- conn:
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
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It closes the connections that were not accepted.
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

// closePendingIfClosed closes the connections in the queue of a closed listener. Both Close and offer call it, so that
// a connection that is queued during Close is closed as well.
func (q *listenerQueue) closePendingIfClosed() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.isClosed {
		select {
		case conn := <-q.conns:
			_ = conn.Close()
		default:
			return
		}
	}
}

// Addr implements net.Listener. It returns the agent's own name.
func (q *listenerQueue) Addr() net.Addr { return q.addr }
