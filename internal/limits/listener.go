package limits

import (
	"net"
	"sync"
)

// LimitListener returns a listener with at most maxOpen open connections. At the maximum, Accept waits until one is
// closed. Accept
// returns net.ErrClosed once the listener is closed.
func LimitListener(l net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// limitedListener acquires a slot for each connection that it accepts.
type limitedListener struct {
	net.Listener
	slots  chan struct{} // has an element for each open connection
	closed chan struct{} // closed with the listener
	once   sync.Once     // closes closed
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, slots: l.slots}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// limitedConn releases its slot when it is closed for the first time.
type limitedConn struct {
	net.Conn
	slots chan struct{} // of the listener
	once  sync.Once     // releases the slot
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}
