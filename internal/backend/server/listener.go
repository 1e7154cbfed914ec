package server

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// door is the listener. Netpoll's own closes its descriptor twice, and may take another's the second time; neither it
// nor the system waits for what stands in the accept queue, and resets that.
type door struct {
	*net.TCPListener
	fd int

	mu   sync.Mutex // held while a connection is taken, so that the descriptor is ours meanwhile
	shut bool
}

var errShut = errors.New("no more connections are taken")

func newDoor(l *net.TCPListener) (*door, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	d := &door{TCPListener: l}
	return d, raw.Control(func(fd uintptr) { d.fd = int(fd) })
}

// Fd is what the poller waits on.
func (d *door) Fd() int { return d.fd }

// entrant is a connection just accepted; netpoll asks it for no more than these.
type entrant struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (e entrant) Fd() int              { return e.fd }
func (e entrant) LocalAddr() net.Addr  { return e.local }
func (e entrant) RemoteAddr() net.Addr { return e.remote }

// Accept takes one connection, or none if there is none.
func (d *door) Accept() (net.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut {
		return nil, errShut
	}
	fd, from, err := syscall.Accept4(d.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	switch {
	case err == syscall.EAGAIN || err == syscall.ECONNABORTED || err == syscall.EINTR:
		return nil, nil
	case err != nil:
		return nil, err
	}
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1) // as netpoll does for its own
	e := entrant{fd: fd, local: d.Addr(), remote: &net.TCPAddr{}}
	if v4, ok := from.(*syscall.SockaddrInet4); ok {
		e.remote = &net.TCPAddr{IP: v4.Addr[:], Port: v4.Port}
	}
	return e, nil
}

// close takes in what the machine has accepted, through the poller, and closes then: a caller that was let in may have
// written an invocation. Meanwhile whoever comes anew is not let in, and tries again when the door is closed.
func (d *door) close(patience time.Duration) error {
	pass := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // takes no bytes of any packet: drops it
	_ = unix.SetsockoptSockFprog(d.fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &pass})
	for late := time.Now().Add(patience); ; time.Sleep(time.Millisecond) {
		if done, err := d.closeEmpty(time.Now().After(late)); done {
			return err
		}
	}
}

func (d *door) closeEmpty(anyway bool) (done bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shut {
		return true, nil
	}
	if !anyway && readable(d.fd) {
		return false, nil
	}
	d.shut = true
	return true, d.TCPListener.Close()
}

// readable: something stands in the socket, or in the accept queue of one that listens.
func readable(fd int) bool {
	set := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(set, 0)
	return n > 0 && err == nil
}

// unread: the peer has sent bytes that have not been taken in.
func unread(fd int) bool {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n > 0 && err == nil
}
