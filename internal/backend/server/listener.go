package server

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener accepts connections for netpoll. It replaces netpoll's own listener, which closes its file descriptor twice
// and so may close an unrelated file the second time. Netpoll's listener also resets the connections in the accept
// queue when it is closed.
type listener struct {
	net.Listener

	fd int

	mu     sync.Mutex // guards closed; held during accept, so that fd is not closed and reused meanwhile
	closed bool
}

// errListenerClosed is the error of Accept after the listener is closed. It ends the accept loop.
var errListenerClosed = errors.New("listener is closed")

// newListener returns a listener that accepts the connections of l.
func newListener(l net.Listener) (*listener, error) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("listen on %s: %T has no file descriptor", l.Addr(), l)
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	wrapped := &listener{Listener: l}
	return wrapped, raw.Control(func(fd uintptr) { wrapped.fd = int(fd) })
}

// Fd returns the file descriptor that the poller waits on.
func (l *listener) Fd() int { return l.fd }

// acceptedConn is an accepted connection. It implements only those methods of net.Conn that netpoll calls.
type acceptedConn struct {
	net.Conn

	fd     int
	local  net.Addr
	remote net.Addr
}

// Fd returns the file descriptor.
func (c acceptedConn) Fd() int { return c.fd }

// LocalAddr returns the local address.
func (c acceptedConn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the peer, which is empty unless it is an IPv4 address.
func (c acceptedConn) RemoteAddr() net.Addr { return c.remote }

// Accept takes a connection from the accept queue. It returns nil and no error if the queue is empty.
func (l *listener) Accept() (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errListenerClosed
	}
	fd, from, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ECONNABORTED), errors.Is(err, syscall.EINTR):
		return nil, nil
	case err != nil:
		return nil, err
	}
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // as netpoll's listener does
	c := acceptedConn{fd: fd, local: l.Addr(), remote: &net.TCPAddr{}}
	if v4, ok := from.(*syscall.SockaddrInet4); ok {
		c.remote = &net.TCPAddr{IP: v4.Addr[:], Port: v4.Port}
	}
	return c, nil
}

// acceptPollInterval is the interval between two checks of the accept queue before the listener closes.
const acceptPollInterval = time.Millisecond

// closeWhenEmpty closes the listener once the poller has accepted all connections in the accept queue, or after
// timeout. The peer of a connection in the queue may already have sent an invocation. Meanwhile a socket filter drops
// the packets of new connections, which are refused when their SYN is retransmitted after the close.
func (l *listener) closeWhenEmpty(timeout time.Duration) error {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // keep 0 bytes of each packet
	filter := &unix.SockFprog{Len: 1, Filter: &dropAll}
	_ = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, filter)
	for deadline := time.Now().Add(timeout); ; time.Sleep(acceptPollInterval) {
		if done, err := l.closeIfEmpty(time.Now().After(deadline)); done {
			return err
		}
	}
}

// closeIfEmpty closes the listener if its accept queue is empty or force is true. done reports whether it is closed.
func (l *listener) closeIfEmpty(force bool) (done bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true, nil
	}
	if !force && isReadable(l.fd) {
		return false, nil
	}
	l.closed = true
	return true, l.Close()
}

// isReadable reports whether a socket has input or, if it is a listening socket, a connection in its accept queue.
func isReadable(fd int) bool {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(set, 0)
	return n > 0 && err == nil
}

// socketHasUnreadInput reports whether the receive buffer of a socket contains data.
func socketHasUnreadInput(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 && err == nil
}
