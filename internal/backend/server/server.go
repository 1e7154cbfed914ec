// Package server serves edge nodes. It owns the listener, the connections and the streams on them, answers health
// checks, and takes each invocation from its frame through admission and its run on the executor to its answer.
//
// Invariants, each with the test that holds it:
//   - An invocation gets one answer, or none if its caller has left: TestAnswers, TestCancel,
//     TestConnectionBreaksWithinResult.
//   - An invalid frame ends its own stream and no other: TestInvalidFrames.
//   - No connection with unread input or an open stream is closed or evicted because of a timeout:
//     TestUnreadInputKeepsConnection, TestEvictionWhenFull.
//   - Answers are written before their connection closes: TestSmallAnswersBeforeClose,
//     TestLastAnswersBeforeUnreadInput.
//   - No state is left of a connection that has ended: TestConnectionChurn, TestResetBeforeAnswer.
package server

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
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

// Server serves the edge nodes of one backend. Listen must be called first, then Serve; the other methods may be called
// from any goroutine.
type Server struct {
	settings    *config.Settings
	bounds      limits.Bounds
	violations  *ratelimitlog.Logger
	dispatcher  *dispatch.Dispatcher
	executor    *executor.Client
	operations  nameIndex // of the settings' operations
	tenants     nameIndex // of the settings' tenants
	listener    *listener
	loop        netpoll.EventLoop
	inFlight    atomic.Int64 // invocations that have a goroutine
	unsentBytes atomic.Int64 // answers not yet written, on all connections

	mu       sync.Mutex // guards conns and draining
	conns    map[*conn]struct{}
	draining bool

	lastSweep time.Time // used by the goroutine of Sweep alone; zero: no sweep yet

	beforeLaunch atomic.Pointer[func()] // called between admission and launch; nil except in tests
}

// New returns a server. Protocol violations of peers are logged to violations.
func New(
	settings *config.Settings,
	bounds limits.Bounds,
	violations *ratelimitlog.Logger,
	dispatcher *dispatch.Dispatcher,
	executor *executor.Client,
) *Server {
	return &Server{
		settings:   settings,
		bounds:     bounds,
		violations: violations,
		dispatcher: dispatcher,
		executor:   executor,
		operations: indexNames(settings.Operations),
		tenants:    indexNames(settings.Tenants),
		conns:      map[*conn]struct{}{},
	}
}

// nameIndex has the index of each name in a list of the settings.
type nameIndex map[string]int

func indexNames(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// connKey is the key of a conn in the context that netpoll passes to callbacks.
type connKey struct{}

// configureNetpoll protects the configuration of netpoll, which is one for the process.
var configureNetpoll sync.Once

// Listen opens the address and returns it with the port in use. It returns an error of the listening socket or of the
// poller.
func (s *Server) Listen(address string) (net.Addr, error) {
	configureNetpoll.Do(func() {
		_ = netpoll.Configure(netpoll.Config{
			PollerNum:    1,
			BufferSize:   s.bounds.ReadBuffer,
			LoggerOutput: netpollLog{s},
			Runner:       func(_ context.Context, f func()) { f() }, // on the poller: see conn
		})
	})
	config := net.ListenConfig{Control: s.limitReceiveBuffer}
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if s.listener, err = newListener(l); err != nil {
		return nil, err
	}
	s.loop, err = netpoll.NewEventLoop(
		readConn,
		netpoll.WithOnPrepare(s.accept),
		netpoll.WithWriteTimeout(s.bounds.WriteTimeout),
	)
	return l.Addr(), err
}

// limitReceiveBuffer bounds the kernel's input buffer of a socket, which accepted connections inherit.
func (s *Server) limitReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	control := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.bounds.ReceiveBuffer)
	})
	return errors.Join(control, err)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error { return s.loop.Serve(s.listener) }

// readConn reads the input of a connection. Netpoll calls it on the poller, with the context that accept returned.
func readConn(ctx context.Context, transport netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok { // accept has refused the connection
		return transport.Close()
	}
	c.read()
	return nil
}

// accept registers a new connection. Netpoll calls it on the poller.
func (s *Server) accept(transport netpoll.Connection) context.Context {
	c, err := newConn(s, transport, time.Now())
	if err != nil {
		slog.Error("internal_error", "in", "accept", "text", err)
		_ = transport.Close()
		return context.Background()
	}
	ctx := context.WithValue(context.Background(), connKey{}, c)
	crowded := false
	if s.full(0) {
		s.violations.Warn("connections", nil)
		if crowded = !s.evict(c.openedAt); s.full(s.bounds.ClosingConnections) {
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
	if draining || crowded { // invocations that the peer has sent are still answered
		c.sendGoAway()
	}
	return ctx
}

// healthy reports whether health checks are answered with good.
func (s *Server) healthy() bool { return s.dispatcher.Healthy() && s.executor.Available() }

// netpollLog receives netpoll's own log, which has a line for each connection that is reset.
type netpollLog struct{ server *Server }

// Write logs a line as a protocol violation.
func (l netpollLog) Write(line []byte) (int, error) {
	l.server.violations.Warn("netpoll", errors.New(string(bytes.TrimSpace(line))))
	return len(line), nil
}

// all returns the open connections.
func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Counts returns the number of open connections and of invocations in flight.
func (s *Server) Counts() (conns, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), int(s.inFlight.Load())
}
