package limits

import (
	"net"
	"sync"
	"time"
)

// Control bounds the sockets by which instances are managed, and who speaks on them. None of it lies on the way
// of an invocation.
type Control struct {
	Clients  int           // connections open at once on one socket; a further one waits to be accepted
	Message  int           // bytes of one message, headers apart
	Call     time.Duration // one call from its connection to its answer
	Idle     time.Duration // a kept connection without a call
	Streams  int           // watchers of one agent at once; a further one is turned away
	Unread   int           // lines of progress that wait for one watcher; beyond it is cut and may join again
	Commands int           // ended commands that an agent keeps; the oldest are forgotten first
	Open     int           // commands that are open at once; a further one is turned away
	Names    int           // instances of one agent
	History  int           // entries of history that an agent keeps
	FanOut   int           // agents that the tool speaks to at once
	Tries    int           // of one call to one agent
	Again    time.Duration // before the second try; it doubles, with jitter
	AgainMax time.Duration // up to this
	LogBytes int64         // of one instance's log file; two of them are kept
	LogLook  time.Duration // between two looks at its size
	Poll     time.Duration // between two looks at an instance that is expected to change
	PollRest time.Duration // and at one that rests
	Parallel int           // keepers started at once
	Beat     time.Duration // between two looks of the agent at its time limits
}

// ForControl are the bounds for a host of up to some hundred instances.
func ForControl() Control {
	return Control{
		Clients: 64, Message: 1 << 20, Call: 2 * time.Second, Idle: time.Minute, Streams: 32, Unread: 1024,
		Commands: 1000, Open: 64, Names: 1000, History: 20_000, FanOut: 16, Tries: 4,
		Again: 50 * time.Millisecond, AgainMax: time.Second, LogBytes: 4 << 20, LogLook: time.Second,
		Poll: 25 * time.Millisecond, PollRest: 500 * time.Millisecond, Parallel: 4, Beat: 20 * time.Millisecond,
	}
}

// LimitListener lets at most so many connections of a listener be open; Accept waits for one to be closed.
func LimitListener(l net.Listener, most int) net.Listener {
	return &counted{Listener: l, room: make(chan struct{}, most), over: make(chan struct{})}
}

type counted struct {
	net.Listener
	room chan struct{}
	over chan struct{}
	once sync.Once
}

func (l *counted) Accept() (net.Conn, error) {
	select {
	case l.room <- struct{}{}:
	case <-l.over:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.room
		return nil, err
	}
	return &countedConn{Conn: c, room: l.room}, nil
}

func (l *counted) Close() error {
	l.once.Do(func() { close(l.over) })
	return l.Listener.Close()
}

type countedConn struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}

// Load bounds what sends a day over sockets.
type Load struct {
	Open int // invocations without an end; further ones are counted and not sent
}

// ForLoad are the bounds for one machine.
func ForLoad() Load { return Load{Open: 100_000} }
