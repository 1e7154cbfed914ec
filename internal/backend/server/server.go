// Package server serves edge nodes: the listener, their connections, the streams on them and health checks.
package server

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
)

var (
	errTooLong   = errors.New("too long for an invocation")
	errOperation = errors.New("unknown operation")
	errTenant    = errors.New("unknown tenant")
	errWait      = errors.New("no word of how long its caller waits")
	errToken     = errors.New("no token, and a repeat must be known")
)

// Server is all that faces the edge nodes.
type Server struct {
	settings   *config.Settings
	bounds     limits.Bounds
	violations *ratelimitlog.Logger
	dispatcher *dispatch.Dispatcher
	executor   *executor.Client
	operations map[string]int // number of each name, from 1
	tenants    map[string]int
	listener   *listener
	loop       netpoll.EventLoop
	inFlight   atomic.Int64 // goroutines that carry an invocation
	unsent     atomic.Int64 // bytes of answers not yet taken by peers, on all connections

	mu        sync.Mutex
	conns     map[*conn]struct{}
	draining  bool
	lastSweep time.Time // Sweep's

	beforeLaunch atomic.Pointer[func()] // tests stop carry there; nil outside them
}

type connKey struct{}

// New makes a server for the settings.
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

// configured: netpoll has one set of these for the whole process.
var configured sync.Once

// Listen opens the address.
func (s *Server) Listen(address string) (net.Addr, error) {
	configured.Do(func() {
		netpoll.Configure(netpoll.Config{
			PollerNum: 1, BufferSize: s.bounds.Input, LoggerOutput: netpollLog{s},
			Runner: func(_ context.Context, f func()) { f() }, // on the poller, see conn
		})
	})
	// What the system holds for a connection that is read late is bounded too.
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		control := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.bounds.Received)
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
		netpoll.WithWriteTimeout(s.bounds.Unread),
	)
	return l.Addr(), err
}

// Serve accepts until the listener is closed.
func (s *Server) Serve() error { return s.loop.Serve(s.listener) }

func (s *Server) accept(transport netpoll.Connection) context.Context {
	now := time.Now()
	c := &conn{server: s, transport: transport, fd: transport.(netpoll.Conn).Fd(), streams: map[uint32]*stream{}, openedAt: now, lastUsed: now}
	ctx := context.WithValue(context.Background(), connKey{}, c)
	crowded := false
	if s.full(0) {
		s.violations.Warn("connections", nil)
		if crowded = !s.evict(now); s.full(s.bounds.Leaving) {
			transport.Close()
			return ctx
		}
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	transport.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.release()
		return nil
	})
	if draining || crowded { // what it has sent already is answered
		c.sendGoAway()
	}
	return ctx
}

// full: so many are open, besides those that may be on their way out.
func (s *Server) full(besides int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) >= s.bounds.Connections+besides
}

// candidate is a connection with what it is worth, since when.
type candidate struct {
	*conn
	priority int
	since    time.Time
}

// byRetention lists all connections, what is worth least to this process first.
func (s *Server) byRetention(now time.Time) []candidate {
	var list []candidate
	for _, c := range s.all() {
		priority, since := c.retention(now)
		list = append(list, candidate{c, priority, since})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), a.since.Compare(b.since))
	})
	return list
}

// evict closes connections to make room: those that never said anything sound, then those that have rested
// longest, several at once, as looking for them costs time; else one that was just opened, else one just used;
// never one with work, nor one with input that has not been taken in. It guards against clients that connect by the hundred and say nothing, and callers that
// keep for good what they used once: neither may shut others out.
func (s *Server) evict(now time.Time) bool {
	n, list := 0, s.byRetention(now)
	stay := slices.IndexFunc(list, func(c candidate) bool { return c.priority == leaving })
	if stay >= 0 && stay < s.bounds.Connections { // room is on its way: a burst must not cost one after the other for it
		return true
	}
	for _, c := range list {
		if c.priority >= busy || n > 0 && c.priority > resting || n > s.bounds.Connections/32 {
			break
		}
		if c.evictUnlessUnread() {
			n++
		}
	}
	return n > 0
}

// reserve counts an invocation in, if there is room for it.
func (s *Server) reserve() bool {
	if s.inFlight.Add(1) > int64(s.bounds.Invocations) {
		s.inFlight.Add(-1)
		s.violations.Warn("invocations", nil)
		return false
	}
	return true
}

// handle takes one invocation from its reading to its answer, and its run to its end.
func (s *Server) handle(c *conn, st *stream, inv dispatch.Invocation, operation string, body []byte) {
	defer s.inFlight.Add(-1)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "carry", "id", inv.ID, "text", r, "stack", string(debug.Stack()))
			c.answer(st, frame.Errored, 0, false, nil)
		}
	}()
	select {
	case <-st.canceled: // taken back as soon as it came; hundreds of these must not pass for load or for first tries
		return
	default:
	}
	word, ticket := s.dispatcher.Admit(inv)
	if word.Verdict != dispatch.Admitted {
		s.respond(c, st, word)
		return
	}
	if stop := s.beforeLaunch.Load(); stop != nil {
		(*stop)()
	}
	select {
	case <-st.canceled: // before it went out
		s.dispatcher.Complete(ticket, dispatch.Unrunnable, nil)
		return
	default:
	}
	select {
	case word := <-ticket.FinalResponse(): // likewise, and the answer is out: nothing is run for nobody
		s.respond(c, st, word)
		s.dispatcher.Complete(ticket, dispatch.NeverRan, nil)
		return
	default:
	}
	run := s.executor.Launch(inv.ID, operation, body)
	left := st.canceled
	for {
		select {
		case end := <-run.Done():
			if end.End == dispatch.Unrunnable {
				c.reject("unrunnable", nil)
			}
			switch owed := s.dispatcher.Complete(ticket, end.End, end.Result); {
			case owed && end.End == dispatch.RunSucceeded:
				c.answer(st, frame.Succeeded, 0, false, end.Result)
			case owed:
				c.answer(st, frame.Errored, 0, false, nil)
			default: // the final word is out already, perhaps just now
				select {
				case word := <-ticket.FinalResponse():
					s.respond(c, st, word)
				default:
				}
			}
			return
		case word := <-ticket.FinalResponse(): // the run goes on without anybody waiting for it
			s.respond(c, st, word)
		case <-left:
			left = nil
			s.dispatcher.Abandon(ticket)
		}
	}
}

// respond passes a final word on.
func (s *Server) respond(c *conn, st *stream, w dispatch.Response) {
	switch w.Verdict {
	case dispatch.Throttled:
		c.answer(st, frame.Throttled, w.RetryAfter, w.DontRetry, nil)
	case dispatch.Errored:
		c.answer(st, frame.Errored, 0, false, nil)
	case dispatch.Replayed:
		c.answer(st, frame.Succeeded, 0, false, w.Result)
	}
}

func (s *Server) healthy() bool { return s.dispatcher.Healthy() && s.executor.Available() }

// netpollLog takes netpoll's own log in: it writes a line for each connection that is reset.
type netpollLog struct{ server *Server }

func (r netpollLog) Write(line []byte) (int, error) {
	r.server.violations.Warn("netpoll", errors.New(string(bytes.TrimSpace(line))))
	return len(line), nil
}

// Sweep looks at all connections now and then, until done: it asks callers off those that rest for longer than
// the gate wants, and ends those that have had their time.
func (s *Server) Sweep(done <-chan struct{}) {
	s.lastSweep = time.Now() // it may be stopped before the first look too
	tick := time.NewTicker(s.bounds.Sweep)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		s.sweep(s.dispatcher.IdleTimeout())
	}
}

// sweep does it once; most is how long the gate lets connections rest, 0 for as long as callers like.
func (s *Server) sweep(most time.Duration) {
	now := time.Now()
	if late := now.Sub(s.lastSweep) - s.bounds.Sweep; !s.lastSweep.IsZero() && late > s.bounds.Sweep {
		for _, c := range s.all() { // this process had no time: neither had its peers
			c.extendDeadlines(late)
		}
	}
	s.lastSweep = now
	rest := time.Duration(s.settings.Admission.IdleTimeout) * time.Microsecond
	if rest += s.bounds.Hello; s.settings.Admission.IdleTimeout <= 0 {
		rest = math.MaxInt64
	}
	for _, c := range s.all() {
		if since, rests := c.idleSince(); rests && most > 0 && now.Sub(since) > most {
			c.sendGoAway()
		}
		c.expire(now, rest)
	}
	// Where the table fills, those that rest longest are asked away before one has to be closed: callers that
	// listen then send nothing that crosses the close.
	if many, _ := s.Counts(); many > s.bounds.Roomy {
		for _, c := range s.byRetention(now) {
			if c.priority == resting && many > s.bounds.Roomy {
				c.sendGoAway()
			}
			many--
		}
	}
}

func (s *Server) all() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		all = append(all, c)
	}
	return all
}

// Counts tells how many connections are open and how many invocations are carried.
func (s *Server) Counts() (conns, carried int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns), int(s.inFlight.Load())
}

// StopAccepting closes the listener, once all that the machine has accepted is taken in, and asks for no more on every
// connection.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.sendGoAway()
	}
	if err := s.listener.closeWhenEmpty(s.bounds.Queued); err != nil {
		s.violations.Warn("listener", err)
	}
}

// CloseAnswered closes, for writing, every connection on which all that came is answered.
func (s *Server) CloseAnswered() {
	for _, c := range s.all() {
		c.closeIfAnswered()
	}
}

// AllClosed tells whether every connection has been closed, for writing at least.
func (s *Server) AllClosed() bool {
	for _, c := range s.all() {
		if !c.ignoresInput() {
			return false
		}
	}
	return true
}

// AllAnswered tells whether all that was read has been answered, the answers written, and nothing stands unread.
func (s *Server) AllAnswered() bool {
	for _, c := range s.all() {
		if !c.allAnswered() {
			return false
		}
	}
	return true
}

// Idle tells whether besides nothing is carried any more.
func (s *Server) Idle() bool { return s.AllAnswered() && s.inFlight.Load() == 0 }
