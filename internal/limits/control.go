package limits

import (
	"net"
	"sync"
	"time"
)

// Control bounds the sockets by which instances are managed, and their clients: the agent, the supervisors, the admin socket
// and the command-line tool. None of it lies on the way of an invocation.
type Control struct {
	Connections      int           // open at the same time on one socket; a further one waits to be accepted
	MessageSize      int           // bytes of one message, without its headers
	CallTimeout      time.Duration // one call, from its connection to its response
	IdleTimeout      time.Duration // how long a connection without a call stays open
	Watchers         int           // of one agent at the same time; a further one is rejected
	WatcherBacklog   int           // progress lines queued for one watcher; with more it is disconnected and may connect again
	EndedCommands    int           // stored by an agent; the oldest are deleted first
	OpenCommands     int           // of an agent at the same time; a further one is rejected
	Instances        int           // of one agent
	HistoryEntries   int           // stored by an agent
	FanOut           int           // agents that the tool calls at the same time
	Attempts         int           // of one call to one agent
	RetryBackoff     time.Duration // before the second attempt; it doubles, with jitter
	RetryBackoffMax  time.Duration // up to this
	LogFileSize      int64         // bytes of one instance's log file; the current and the previous file exist
	LogCheckInterval time.Duration // between two checks of that size
	PollInterval     time.Duration // between two polls of an instance that is expected to change
	IdlePollInterval time.Duration // between two polls of any other instance
	ParallelStarts   int           // supervisors that are started at the same time
	TickInterval     time.Duration // between two checks of the agent for deadlines that have passed
}

// ForControl returns the bounds for a host of up to some hundred instances.
func ForControl() Control {
	return Control{
		Connections: 64, MessageSize: 1 << 20, CallTimeout: 2 * time.Second, IdleTimeout: time.Minute, Watchers: 32, WatcherBacklog: 1024,
		EndedCommands: 1000, OpenCommands: 64, Instances: 1000, HistoryEntries: 20_000, FanOut: 16, Attempts: 4,
		RetryBackoff: 50 * time.Millisecond, RetryBackoffMax: time.Second, LogFileSize: 4 << 20, LogCheckInterval: time.Second,
		PollInterval: 25 * time.Millisecond, IdlePollInterval: 500 * time.Millisecond, ParallelStarts: 4, TickInterval: 20 * time.Millisecond,
	}
}

// LimitListener bounds the open connections of a listener: at the maximum, Accept waits until one is closed. Accept returns
// net.ErrClosed once the listener is closed.
func LimitListener(l net.Listener, maxOpen int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, maxOpen), closed: make(chan struct{})}
}

// limitedListener takes a slot for each connection that it accepts.
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

// limitedConn returns its slot when it is closed for the first time.
type limitedConn struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// Load bounds the load generator.
type Load struct {
	InFlight int // invocations sent and not answered; further ones are counted and not sent
}

// ForLoad returns the bounds for one machine.
func ForLoad() Load { return Load{InFlight: 100_000} }
