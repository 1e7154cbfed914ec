// Package proxy is what lies between two processes in a trial: a way for bytes that can be cut in one direction or both,
// delayed, stalled, slowed, reset in the middle of a message, and made to bring a call twice. It owns the connections it
// carries and knows nothing of what they say, but for where a call begins.
package proxy

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is one direction between two hosts. All links between them share it.
type Direction struct {
	mu    sync.Mutex
	held  bool
	delay time.Duration
	rate  int           // bytes a second; 0: as they come
	news  chan struct{} // closed at each change

	Bytes atomic.Int64 // carried
}

// NewDirection is one without faults.
func NewDirection() *Direction { return &Direction{news: make(chan struct{})} }

func (w *Direction) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.news)
	w.news = make(chan struct{})
}

// Hold stops all bytes until it is taken back; they are kept, as a network's end keeps what it has not heard of.
func (w *Direction) Hold(on bool) { w.change(func() { w.held = on }) }

// Delay lets each byte arrive so much later.
func (w *Direction) Delay(d time.Duration) { w.change(func() { w.delay = d }) }

// Slow bounds bytes a second; 0 takes it back.
func (w *Direction) Slow(rate int) { w.change(func() { w.rate = rate }) }

func (w *Direction) now() (held bool, delay time.Duration, rate int, news <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held, w.delay, w.rate, w.news
}

// Link is a listener on this machine whose connections go to an address over two ways.
type Link struct {
	Address string // to be dialled instead of the other
	to      string
	out, in *Direction // from who dials, and to them
	l       net.Listener

	mu    sync.Mutex
	conns map[*carried]bool
	twice time.Duration // calls that begin now come again so much later; 0: they do not
	after sync.WaitGroup
	over  chan struct{}
}

// Open opens a link to an address.
func Open(to string, out, in *Direction) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Link{Address: l.Addr().String(), to: to, out: out, in: in, l: l, conns: map[*carried]bool{}, over: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

// Close ends the link and all it carries.
func (k *Link) Close() {
	_ = k.l.Close()
	close(k.over)
	k.Reset()
	k.after.Wait()
}

// Reset breaks every connection, wherever in a message it is.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.breakOff()
	}
}

// Twice has calls that begin from now on come again so much later, their second answer being heard by nobody; 0 ends it.
func (k *Link) Twice(later time.Duration) {
	k.mu.Lock()
	k.twice = later
	k.mu.Unlock()
	k.Reset() // kept connections would carry on as they were
}

type carried struct {
	near, far net.Conn
}

func (c *carried) breakOff() {
	for _, one := range []net.Conn{c.near, c.far} {
		if t, ok := one.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		if one != nil {
			_ = one.Close()
		}
	}
}

// mostCall is how much of a connection is kept to be brought again.
const mostCall = 256 << 10

var callBegins = []byte(" call ") // in the first line of a conversation between agents

func (k *Link) carry(near net.Conn) {
	if held, _, _, news := k.out.now(); held { // its first packet does not arrive
		select {
		case <-news:
		case <-k.over:
		}
	}
	far, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		if t, ok := near.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = near.Close()
		return
	}
	c := &carried{near, far}
	k.mu.Lock()
	k.conns[c] = true
	twice := k.twice
	k.mu.Unlock()
	var kept *bytes.Buffer
	if twice > 0 {
		kept = &bytes.Buffer{}
	}
	var both sync.WaitGroup
	both.Go(func() { k.pump(near, far, k.out, kept) })
	both.Go(func() { k.pump(far, near, k.in, nil) })
	both.Wait()
	c.breakOff()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	if kept != nil && bytes.Contains(kept.Bytes()[:min(kept.Len(), 128)], callBegins) {
		k.after.Go(func() { k.again(kept.Bytes(), twice) })
	}
}

// again brings what a connection carried a second time.
func (k *Link) again(what []byte, later time.Duration) {
	select {
	case <-time.After(later):
	case <-k.over:
		return
	}
	c, err := net.DialTimeout("tcp", k.to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = c.Write(what)
	for b := make([]byte, 4096); ; { // answered, and heard by nobody
		if _, err := c.Read(b); err != nil {
			return
		}
	}
}

type piece struct {
	b  []byte
	at time.Time
}

// pump carries one direction of one connection.
func (k *Link) pump(from, to net.Conn, way *Direction, kept *bytes.Buffer) {
	pieces := make(chan piece, 64) // beyond, who writes waits
	go k.readPieces(from, pieces)
	for p := range pieces {
		if !k.await(p, way) {
			_ = to.Close()
			return
		}
		if kept != nil && kept.Len() < mostCall {
			kept.Write(p.b)
		}
		way.Bytes.Add(int64(len(p.b)))
		if _, err := to.Write(p.b); err != nil {
			break
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
	for range pieces { // what is read must not block its reader
	}
}

// readPieces reads until the connection or the link ends, and closes the channel.
func (k *Link) readPieces(from net.Conn, pieces chan<- piece) {
	defer close(pieces)
	for {
		b := make([]byte, 16<<10)
		n, err := from.Read(b)
		if n > 0 {
			select {
			case pieces <- piece{b[:n], time.Now()}:
			case <-k.over:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await returns once the faults of the way let a piece pass; false where the link was closed meanwhile.
func (k *Link) await(p piece, way *Direction) bool {
	for {
		held, delay, rate, news := way.now()
		wait := time.Until(p.at.Add(delay))
		if !held && wait <= 0 {
			if rate > 0 {
				time.Sleep(time.Duration(len(p.b)) * time.Second / time.Duration(rate))
			}
			return true
		}
		var due <-chan time.Time
		if !held {
			due = time.After(wait)
		}
		select {
		case <-news:
		case <-due:
		case <-k.over:
			return false
		}
	}
}
