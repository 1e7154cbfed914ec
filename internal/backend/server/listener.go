package server

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener accepts connections for netpoll. Netpoll's own listener closes its descriptor twice, and may close another file the
// second time; neither it nor the kernel waits for the connections in the accept queue, which are reset at the close.
type listener struct {
	*net.TCPListener
	fd int

	mu     sync.Mutex // held while a connection is accepted, so that the descriptor stays ours meanwhile
	closed bool
}

// errListenerClosed ends the accept loop.
var errListenerClosed = errors.New("listener is closed")

func newListener(tcp *net.TCPListener) (*listener, error) {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, err
	}
	l := &listener{TCPListener: tcp}
	return l, raw.Control(func(fd uintptr) { l.fd = int(fd) })
}

// Fd is the descriptor that the poller waits on.
func (l *listener) Fd() int { return l.fd }

// acceptedConn is a connection just accepted; netpoll asks it for no more than these.
type acceptedConn struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (c acceptedConn) Fd() int              { return c.fd }
func (c acceptedConn) LocalAddr() net.Addr  { return c.local }
func (c acceptedConn) RemoteAddr() net.Addr { return c.remote }

// Accept takes one connection from the accept queue; it returns neither a connection nor an error if there is none.
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
	_ = syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // as netpoll does for its own
	c := acceptedConn{fd: fd, local: l.Addr(), remote: &net.TCPAddr{}}
	if v4, ok := from.(*syscall.SockaddrInet4); ok {
		c.remote = &net.TCPAddr{IP: v4.Addr[:], Port: v4.Port}
	}
	return c, nil
}

// closeWhenEmpty waits, for at most timeout, until the poller has accepted all connections in the accept queue, and closes the
// listener: a caller whose connection was established may have written an invocation. Meanwhile the kernel drops the packets of
// new connections, which are refused at their retransmission once the listener is closed.
func (l *listener) closeWhenEmpty(timeout time.Duration) error {
	dropAll := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // takes no bytes of any packet
	_ = unix.SetsockoptSockFprog(l.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll})
	for deadline := time.Now().Add(timeout); ; time.Sleep(time.Millisecond) {
		if done, err := l.closeIfEmpty(time.Now().After(deadline)); done {
			return err
		}
	}
}

// closeIfEmpty closes the listener if its accept queue is empty, or anyway; done if it is closed.
func (l *listener) closeIfEmpty(anyway bool) (done bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return true, nil
	}
	if !anyway && readable(l.fd) {
		return false, nil
	}
	l.closed = true
	return true, l.Close()
}

// readable reports whether a socket has input, or a listening one a connection in its accept queue.
func readable(fd int) bool {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(set, 0)
	return n > 0 && err == nil
}

// unread reports whether the peer has sent bytes that have not been read.
func unread(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 && err == nil
}
