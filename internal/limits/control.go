package limits

import (
	"net"
	"sync"
	"time"
)

// Control bounds the sockets by which instances are managed, and who speaks on them. None of it lies on the way
// of an invocation.
type Control struct {
	Connections      int           // connections open at once on one socket; a further one waits to be accepted
	MessageSize      int           // bytes of one message, headers apart
	CallTimeout      time.Duration // one call from its connection to its answer
	IdleTimeout      time.Duration // a kept connection without a call
	Watchers         int           // watchers of one agent at once; a further one is turned away
	WatcherBacklog   int           // lines of progress that wait for one watcher; beyond it is cut and may join again
	EndedCommands    int           // ended commands that an agent keeps; the oldest are forgotten first
	OpenCommands     int           // commands that are open at once; a further one is turned away
	Instances        int           // instances of one agent
	HistoryEntries   int           // entries of history that an agent keeps
	FanOut           int           // agents that the tool speaks to at once
	Attempts         int           // of one call to one agent
	RetryBackoff     time.Duration // before the second try; it doubles, with jitter
	RetryBackoffMax  time.Duration // up to this
	LogFileSize      int64         // of one instance's log file; two of them are kept
	LogCheckInterval time.Duration // between two looks at its size
	PollInterval     time.Duration // between two looks at an instance that is expected to change
	IdlePollInterval time.Duration // and at one that rests
	ParallelStarts   int           // keepers started at once
	TickInterval     time.Duration // between two looks of the agent at its time limits
}

// ForControl are the bounds for a host of up to some hundred instances.
func ForControl() Control {
	return Control{
		Connections: 64, MessageSize: 1 << 20, CallTimeout: 2 * time.Second, IdleTimeout: time.Minute, Watchers: 32, WatcherBacklog: 1024,
		EndedCommands: 1000, OpenCommands: 64, Instances: 1000, HistoryEntries: 20_000, FanOut: 16, Attempts: 4,
		RetryBackoff: 50 * time.Millisecond, RetryBackoffMax: time.Second, LogFileSize: 4 << 20, LogCheckInterval: time.Second,
		PollInterval: 25 * time.Millisecond, IdlePollInterval: 500 * time.Millisecond, ParallelStarts: 4, TickInterval: 20 * time.Millisecond,
	}
}

// LimitListener lets at most so many connections of a listener be open; Accept waits for one to be closed.
func LimitListener(l net.Listener, most int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, most), closed: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: c, slots: l.slots}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// Load bounds what sends a day over sockets.
type Load struct {
	InFlight int // invocations without an end; further ones are counted and not sent
}

// ForLoad are the bounds for one machine.
func ForLoad() Load { return Load{InFlight: 100_000} }
