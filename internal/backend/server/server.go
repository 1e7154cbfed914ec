// Package server serves edge nodes: it owns the listener, their connections, the streams on them and health checks, and takes
// each invocation from its frame through admission and its run on the executor to its one answer.
package server

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
)

// Server serves the edge nodes of one backend. Its methods may be called from several goroutines; Listen comes first, then Serve.
type Server struct {
	settings    *config.Settings
	bounds      limits.Bounds
	violations  *ratelimitlog.Logger
	dispatcher  *dispatch.Dispatcher
	executor    *executor.Client
	operations  map[string]int // index of each name in the settings, from 1
	tenants     map[string]int
	listener    *listener
	loop        netpoll.EventLoop
	inFlight    atomic.Int64 // invocations that have a goroutine
	unsentBytes atomic.Int64 // bytes of answers not yet written, on all connections

	mu        sync.Mutex
	conns     map[*conn]struct{}
	draining  bool
	lastSweep time.Time // used by Sweep alone

	beforeLaunch atomic.Pointer[func()] // tests stop handle there; nil outside them
}

// connKey is the key of a conn in the context that netpoll hands on.
type connKey struct{}

// New makes a server with these settings and bounds; protocol violations of peers are logged to violations.
func New(settings *config.Settings, bounds limits.Bounds, violations *ratelimitlog.Logger, d *dispatch.Dispatcher, e *executor.Client) *Server {
	s := &Server{
		settings: settings, bounds: bounds, dispatcher: d, executor: e, operations: map[string]int{}, tenants: map[string]int{},
		conns: map[*conn]struct{}{}, violations: violations,
	}
	for n, name := range settings.Operations {
		s.operations[name] = n + 1
	}
	for n, name := range settings.Tenants {
		s.tenants[name] = n + 1
	}
	return s
}

// configureNetpoll guards the configuration of netpoll, of which a process has one.
var configureNetpoll sync.Once

// Listen opens the address and returns it with the port in use. The error is that of the listening socket or of the poller.
func (s *Server) Listen(address string) (net.Addr, error) {
	configureNetpoll.Do(func() {
		_ = netpoll.Configure(netpoll.Config{
			PollerNum: 1, BufferSize: s.bounds.ReadBuffer, LoggerOutput: netpollLog{s},
			Runner: func(_ context.Context, f func()) { f() }, // on the poller, see conn
		})
	})
	// The kernel's buffer of a connection that is read late is bounded too.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		control := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.bounds.ReceiveBuffer)
		})
		return errors.Join(control, err)
	}}
	l, err := lc.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if s.listener, err = newListener(l.(*net.TCPListener)); err != nil {
		return nil, err
	}
	s.loop, err = netpoll.NewEventLoop(
		func(ctx context.Context, _ netpoll.Connection) error {
			ctx.Value(connKey{}).(*conn).read()
			return nil
		},
		netpoll.WithOnPrepare(s.accept),
		netpoll.WithWriteTimeout(s.bounds.WriteTimeout),
	)
	return l.Addr(), err
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error { return s.loop.Serve(s.listener) }

// accept registers a new connection; netpoll calls it on the poller.
func (s *Server) accept(transport netpoll.Connection) context.Context {
	now := time.Now()
	c := &conn{server: s, transport: transport, fd: transport.(netpoll.Conn).Fd(), streams: map[uint32]*stream{}, openedAt: now, lastUsed: now}
	ctx := context.WithValue(context.Background(), connKey{}, c)
	crowded := false
	if s.full(0) {
		s.violations.Warn("connections", nil)
		if crowded = !s.evict(now); s.full(s.bounds.ClosingConnections) {
			_ = transport.Close()
			return ctx
		}
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	_ = transport.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.release()
		return nil
	})
	if draining || crowded { // invocations that it has already sent are answered
		c.sendGoAway()
	}
	return ctx
}

// healthy reports whether health checks are answered with good.
func (s *Server) healthy() bool { return s.dispatcher.Healthy() && s.executor.Available() }

// netpollLog receives netpoll's own log, which has a line for each connection that is reset.
type netpollLog struct{ server *Server }

func (r netpollLog) Write(line []byte) (int, error) {
	r.server.violations.Warn("netpoll", errors.New(string(bytes.TrimSpace(line))))
	return len(line), nil
}

// all lists the open connections.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Counts returns how many connections are open and how many invocations are in flight.
func (s *Server) Counts() (conns, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), int(s.inFlight.Load())
}
