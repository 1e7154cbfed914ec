package proxy

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"
)

// Link is a listener on this machine whose connections go to an address in two directions. Its methods may be called by
// several goroutines.
type Link struct {
	Address  string     // host:port to be dialled in place of the other
	target   string     // host:port that it dials
	out      *Direction // from who dials
	in       *Direction // to who dials
	listener net.Listener

	mu          sync.Mutex
	connections map[*connection]bool
	duplicate   time.Duration // calls that begin now come again so much later; 0: they do not
	duplicates  sync.WaitGroup
	closed      chan struct{}
}

const (
	dialTimeout = time.Second
	acceptPause = 10 * time.Millisecond // after an error, such as too many open files
	readSize    = 16 << 10
	maxPieces   = 64 // read and not yet written, of one direction of one connection; beyond, who writes waits
)

// Open opens a link to an address.
func Open(target string, out, in *Direction) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{
		Address: listener.Addr().String(), target: target, out: out, in: in, listener: listener,
		connections: map[*connection]bool{}, closed: make(chan struct{}),
	}
	go l.accept()
	return l, nil
}

// accept takes connections until the listener is closed.
func (l *Link) accept() {
	for {
		near, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		go l.carry(near)
	}
}

// Close ends the link and all it carries.
func (l *Link) Close() {
	_ = l.listener.Close()
	close(l.closed)
	l.Reset()
	l.duplicates.Wait()
}

// Reset breaks every connection, wherever in a message it is. One that is still being dialled is not carried yet.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.reset()
	}
}

// connection is one that the link carries.
type connection struct {
	near net.Conn // to who dialled
	far  net.Conn // to the target
}

func (c *connection) reset() {
	reset(c.near)
	reset(c.far)
}

// reset closes a connection so that its other end sees it broken.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// carry dials the target for a connection and copies both directions until it ends.
func (l *Link) carry(near net.Conn) {
	if faults, changed := l.out.current(); faults.held { // its first packet does not arrive
		select {
		case <-changed:
		case <-l.closed:
		}
	}
	far, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		reset(near)
		return
	}
	c := &connection{near, far}
	l.mu.Lock()
	l.connections[c] = true
	duplicate := l.duplicate
	l.mu.Unlock()
	var recorded *bytes.Buffer
	if duplicate > 0 {
		recorded = &bytes.Buffer{}
	}
	var both sync.WaitGroup
	both.Go(func() { l.pump(near, far, l.out, recorded) })
	both.Go(func() { l.pump(far, near, l.in, nil) })
	both.Wait()
	c.reset()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
	if recorded != nil && isCall(recorded.Bytes()) {
		l.duplicates.Go(func() { l.repeat(recorded.Bytes(), duplicate) })
	}
}

// piece is what one read brought.
type piece struct {
	bytes []byte
	at    time.Time
}

// pump copies one direction of one connection; what it records is nil, or the first maxCall bytes.
func (l *Link) pump(from, to net.Conn, direction *Direction, recorded *bytes.Buffer) {
	pieces := make(chan piece, maxPieces)
	go l.read(from, pieces)
	for p := range pieces {
		if !l.await(p, direction) {
			_ = to.Close()
			return
		}
		if recorded != nil && recorded.Len() < maxCall {
			recorded.Write(p.bytes)
		}
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for range pieces { // what is read must not block its reader
	}
}

// read reads until the connection or the link ends, and closes the channel.
func (l *Link) read(from net.Conn, pieces chan<- piece) {
	defer close(pieces)
	for {
		b := make([]byte, readSize)
		n, err := from.Read(b)
		if n > 0 {
			select {
			case pieces <- piece{b[:n], time.Now()}:
			case <-l.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await returns once the faults of a direction let a piece pass; false where the link was closed meanwhile.
func (l *Link) await(p piece, direction *Direction) bool {
	for {
		faults, changed := direction.current()
		wait := time.Until(p.at.Add(faults.delay))
		if !faults.held && wait <= 0 {
			if faults.rate > 0 {
				time.Sleep(time.Duration(len(p.bytes)) * time.Second / time.Duration(faults.rate))
			}
			return true
		}
		var due <-chan time.Time
		if !faults.held {
			due = time.After(wait)
		}
		select {
		case <-changed:
		case <-due:
		case <-l.closed:
			return false
		}
	}
}
