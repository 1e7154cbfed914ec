// Package server serves edge nodes. It manages the listener, the connections and their streams, answers health checks,
// passes each invocation to the dispatcher for admission and to the executor for its run, and sends the answer.
//
// Invariants, each with the tests that verify it:
//   - An invocation gets one answer, or none if its caller has canceled or disconnected:
//     TestAnswerReflectsRunOutcome, TestCanceledInvocationIsNotAnswered,
//     TestExecutorReconnectWithinResultGivesOneAnswer.
//   - An invalid frame ends its own stream and no other: TestInvalidFrameEndsOnlyItsStream.
//   - No connection with unread input or an open stream is closed or evicted because of a timeout:
//     TestUnreadInputPreventsClose, TestEvictionAtConnectionLimitSparesBusyConnections.
//   - Answers are written before their connection closes: TestSmallAnswersArriveBeforeClose,
//     TestAnswersArriveDespiteUnreadInput.
//   - The state of a closed connection is released: TestConnectionChurnReleasesState,
//     TestResetBeforeAnswerReleasesState.
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
	operations  nameIndex // operations of the settings
	tenants     nameIndex // tenants of the settings
	listener    *listener
	loop        netpoll.EventLoop
	inFlight    atomic.Int64 // invocations served by a goroutine
	unsentBytes atomic.Int64 // size of the unwritten answers of all connections

	mu       sync.Mutex // guards conns and draining
	conns    map[*conn]struct{}
	draining bool

	lastSweep time.Time // accessed by the goroutine of Sweep only; zero: no sweep yet

	beforeLaunch atomic.Pointer[func()] // test hook, called between admission and launch; nil: none
}

// New returns a server. It logs protocol violations of peers to violations.
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

// nameIndex maps each name of a list in the settings to its index.
type nameIndex map[string]int

// indexNames returns the index of a list of names.
func indexNames(names []string) nameIndex {
	index := make(nameIndex, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index
}

// connKey is the context key of the conn that netpoll passes to callbacks.
type connKey struct{}

// configureNetpoll guards the configuration of netpoll, which is global to the process.
var configureNetpoll sync.Once

// Listen listens on the address, and returns the address with the actual port. Any error is from the listening socket
// or from the poller.
func (s *Server) Listen(address string) (net.Addr, error) {
	configureNetpoll.Do(func() {
		_ = netpoll.Configure(netpoll.Config{
			PollerNum:    1,
			BufferSize:   s.bounds.ReadBuffer,
			LoggerOutput: netpollLogger{s},
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

// limitReceiveBuffer limits the kernel's receive buffer of the listening socket. Accepted connections inherit it.
func (s *Server) limitReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	control := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.bounds.ReceiveBuffer)
	})
	return errors.Join(control, err)
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve() error { return s.loop.Serve(s.listener) }

// readConn handles the input of a connection. Netpoll calls it on the poller, with the context that accept returned.
func readConn(ctx context.Context, transport netpoll.Connection) error {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok { // accept has rejected the connection
		return transport.Close()
	}
	c.readInput()
	return nil
}

// accept registers a new connection, and evicts others if the limit on connections is reached. Netpoll calls it on the
// poller.
func (s *Server) accept(transport netpoll.Connection) context.Context {
	c, err := newConn(s, transport, time.Now())
	if err != nil {
		slog.Error("internal_error", "in", "accept", "text", err)
		_ = transport.Close()
		return context.Background()
	}
	ctx := context.WithValue(context.Background(), connKey{}, c)
	overLimit := false
	if s.atConnectionLimit(0) {
		s.violations.Warn("connections", nil)
		if overLimit = !s.evict(c.openedAt); s.atConnectionLimit(s.bounds.ClosingConnections) {
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
	if draining || overLimit { // invocations that the peer has already sent are still answered
		c.sendGoAway()
	}
	return ctx
}

// healthy reports whether health checks are answered as healthy.
func (s *Server) healthy() bool { return s.dispatcher.Healthy() && s.executor.Available() }

// netpollLogger receives the log of netpoll, which writes a line for each connection that is reset.
type netpollLogger struct{ server *Server }

// Write logs a line as a protocol violation.
func (l netpollLogger) Write(line []byte) (int, error) {
	l.server.violations.Warn("netpoll", errors.New(string(bytes.TrimSpace(line))))
	return len(line), nil
}

// openConnections returns the open connections.
func (s *Server) openConnections() []*conn {
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
