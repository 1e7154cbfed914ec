package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// Link is a proxy that listens on the loopback address and forwards each connection to a target. Its methods are safe
// for concurrent use.
type Link struct {
	Address    string     // host:port of the listener
	target     string     // host:port of the target
	out        *Direction // from the client to the target
	in         *Direction // from the target to the client
	listener   net.Listener
	closed     chan struct{}  // closed by Close
	duplicates sync.WaitGroup // repeated calls in progress

	mu             sync.Mutex // guards the fields below
	connections    map[*connection]bool
	duplicateDelay time.Duration // after which a call that begins now is repeated; 0: it is not repeated
}

const (
	dialTimeout     time.Duration = time.Second
	acceptBackoff   time.Duration = 10 * time.Millisecond // after an error, such as too many open files
	readSize        int           = 16 << 10              // bytes
	maxQueuedChunks int           = 64                    // read but not yet written, in one direction of a connection
)

// Open opens a link to the target address.
func Open(target string, out, in *Direction) (*Link, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", target, err)
	}
	l := &Link{
		Address:     listener.Addr().String(),
		target:      target,
		out:         out,
		in:          in,
		listener:    listener,
		closed:      make(chan struct{}),
		connections: map[*connection]bool{},
	}
	go l.accept()
	return l, nil
}

// dial opens a connection to the target.
func (l *Link) dial() (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", l.target)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", l.target, err)
	}
	return conn, nil
}

// accept accepts connections until the listener is closed.
func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptBackoff)
			continue
		}
		go l.proxy(client)
	}
}

// Close closes the link and all its connections.
func (l *Link) Close() {
	_ = l.listener.Close()
	close(l.closed)
	l.Reset()
	l.duplicates.Wait()
}

// Reset resets every established connection, even in the middle of a message. It does not affect connections whose
// target is still being dialled.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		c.reset()
	}
}

// connection is a client's connection and the connection to the target that it is forwarded to.
type connection struct {
	client net.Conn
	target net.Conn
}

func (c *connection) reset() {
	reset(c.client)
	reset(c.target)
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// proxy dials the target for a client and forwards both directions until the connection ends.
func (l *Link) proxy(client net.Conn) {
	if faults, changed := l.out.current(); faults.held { // the client's SYN does not arrive
		select {
		case <-changed:
		case <-l.closed:
		}
	}
	target, err := l.dial()
	if err != nil {
		reset(client)
		return
	}
	c := &connection{client: client, target: target}
	duplicateDelay := l.add(c)
	var recorded *bytes.Buffer
	if duplicateDelay > 0 {
		recorded = &bytes.Buffer{}
	}
	var forwards sync.WaitGroup
	forwards.Go(func() { l.forward(client, target, l.out, recorded) })
	forwards.Go(func() { l.forward(target, client, l.in, nil) })
	forwards.Wait()
	c.reset()
	l.remove(c)
	if recorded != nil && isCall(recorded.Bytes()) {
		l.duplicates.Go(func() { l.repeat(recorded.Bytes(), duplicateDelay) })
	}
}

// add registers a connection and returns the delay after which its call is repeated, or 0 if it is not.
func (l *Link) add(c *connection) (duplicateDelay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return l.duplicateDelay
}

func (l *Link) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// chunk holds the bytes of one read.
type chunk struct {
	bytes []byte
	at    time.Time // of the read
}

// forward copies one direction of a connection. Unless recorded is nil, it also records about the first maxRecorded
// bytes.
func (l *Link) forward(from, to net.Conn, direction *Direction, recorded *bytes.Buffer) {
	chunks := make(chan chunk, maxQueuedChunks)
	go l.read(from, chunks)
	for c := range chunks {
		if !l.awaitDelivery(c, direction) {
			_ = to.Close()
			return
		}
		if recorded != nil && recorded.Len() < maxRecorded {
			recorded.Write(c.bytes)
		}
		if _, err := to.Write(c.bytes); err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for range chunks { // unblocks read
	}
}

// read sends the bytes of a connection to the channel until the connection or the link ends, then closes the channel.
func (l *Link) read(from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, readSize)
		size, err := from.Read(buffer)
		if size > 0 {
			select {
			case chunks <- chunk{bytes: buffer[:size], at: time.Now()}:
			case <-l.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitDelivery waits until the faults of the direction allow the delivery of a chunk. It returns false if the link is
// closed first.
func (l *Link) awaitDelivery(c chunk, direction *Direction) bool {
	for {
		faults, changed := direction.current()
		wait := time.Until(c.at.Add(faults.delay))
		if !faults.held && wait <= 0 {
			if faults.rate > 0 {
				time.Sleep(time.Duration(len(c.bytes)) * time.Second / time.Duration(faults.rate))
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
