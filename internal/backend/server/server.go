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
	sheet      *config.Settings
	bounds     limits.Bounds
	odd        *ratelimitlog.Logger
	gate       *dispatch.Dispatcher
	farm       *executor.Client
	operations map[string]int // number of each name, from 1
	tenants    map[string]int
	door       *door
	loop       netpoll.EventLoop
	inHand     atomic.Int64 // goroutines that carry an invocation
	unsent     atomic.Int64 // bytes of answers not yet taken by peers, on all connections

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	swept    time.Time // Sweep's

	seam atomic.Pointer[func()] // tests stop carry there; nil outside them
}

type connKey struct{}

// New makes a server for the terms of the sheet.
func New(sheet *config.Settings, bounds limits.Bounds, tally *ratelimitlog.Logger, g *dispatch.Dispatcher, f *executor.Client) *Server {
	s := &Server{
		sheet: sheet, bounds: bounds, gate: g, farm: f, operations: map[string]int{}, tenants: map[string]int{},
		conns: map[*conn]struct{}{}, odd: tally,
	}
	for n, name := range sheet.Operations {
		s.operations[name] = n + 1
	}
	for n, name := range sheet.Tenants {
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
			PollerNum: 1, BufferSize: s.bounds.Input, LoggerOutput: remarks{s},
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
	if s.door, err = newDoor(l.(*net.TCPListener)); err != nil {
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
func (s *Server) Serve() error { return s.loop.Serve(s.door) }

func (s *Server) accept(np netpoll.Connection) context.Context {
	now := time.Now()
	c := &conn{server: s, np: np, fd: np.(netpoll.Conn).Fd(), open: map[uint32]*stream{}, born: now, used: now}
	ctx := context.WithValue(context.Background(), connKey{}, c)
	crowded := false
	if s.full(0) {
		s.odd.Warn("connections", nil)
		if crowded = !s.giveUp(now); s.full(s.bounds.Leaving) {
			np.Close()
			return ctx
		}
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	draining := s.draining
	s.mu.Unlock()
	np.AddCloseCallback(func(netpoll.Connection) error {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		c.lost()
		return nil
	})
	if draining || crowded { // what it has sent already is answered
		c.askNoMore()
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
	worth int
	since time.Time
}

// byWorth lists all connections, what is worth least to this process first.
func (s *Server) byWorth(now time.Time) []candidate {
	var list []candidate
	for _, c := range s.all() {
		worth, since := c.worth(now)
		list = append(list, candidate{c, worth, since})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.worth, b.worth), a.since.Compare(b.since))
	})
	return list
}

// giveUp closes connections to make room: those that never said anything sound, then those that have rested
// longest, several at once, as looking for them costs time; else one that was just opened, else one just used;
// never one with work, nor one with input that has not been taken in. It guards against clients that connect by the hundred and say nothing, and callers that
// keep for good what they used once: neither may shut others out.
func (s *Server) giveUp(now time.Time) bool {
	n, list := 0, s.byWorth(now)
	stay := slices.IndexFunc(list, func(c candidate) bool { return c.worth == going })
	if stay >= 0 && stay < s.bounds.Connections { // room is on its way: a burst must not cost one after the other for it
		return true
	}
	for _, c := range list {
		if c.worth >= atWork || n > 0 && c.worth > resting || n > s.bounds.Connections/32 {
			break
		}
		if c.cutUnlessSent() {
			n++
		}
	}
	return n > 0
}

// enter counts an invocation in, if there is room for it.
func (s *Server) enter() bool {
	if s.inHand.Add(1) > int64(s.bounds.Invocations) {
		s.inHand.Add(-1)
		s.odd.Warn("invocations", nil)
		return false
	}
	return true
}

// carry takes one invocation from its reading to its answer, and its run to its end.
func (s *Server) carry(c *conn, st *stream, inv dispatch.Invocation, operation string, body []byte) {
	defer s.inHand.Add(-1)
	defer func() {
		if r := recover(); r != nil {
			slog.Error("fault", "in", "carry", "id", inv.ID, "text", r, "stack", string(debug.Stack()))
			c.answer(st, frame.Errored, 0, false, nil)
		}
	}()
	select {
	case <-st.left: // taken back as soon as it came; hundreds of these must not pass for load or for first tries
		return
	default:
	}
	word, ticket := s.gate.Admit(inv)
	if word.Verdict != dispatch.Admitted {
		s.say(c, st, word)
		return
	}
	if stop := s.seam.Load(); stop != nil {
		(*stop)()
	}
	select {
	case <-st.left: // before it went out
		s.gate.Complete(ticket, dispatch.Unrunnable, nil)
		return
	default:
	}
	select {
	case word := <-ticket.FinalResponse(): // likewise, and the answer is out: nothing is run for nobody
		s.say(c, st, word)
		s.gate.Complete(ticket, dispatch.NeverRan, nil)
		return
	default:
	}
	run := s.farm.Launch(inv.ID, operation, body)
	left := st.left
	for {
		select {
		case end := <-run.Done():
			if end.End == dispatch.Unrunnable {
				c.odd("unrunnable", nil)
			}
			switch owed := s.gate.Complete(ticket, end.End, end.Result); {
			case owed && end.End == dispatch.RunSucceeded:
				c.answer(st, frame.Succeeded, 0, false, end.Result)
			case owed:
				c.answer(st, frame.Errored, 0, false, nil)
			default: // the final word is out already, perhaps just now
				select {
				case word := <-ticket.FinalResponse():
					s.say(c, st, word)
				default:
				}
			}
			return
		case word := <-ticket.FinalResponse(): // the run goes on without anybody waiting for it
			s.say(c, st, word)
		case <-left:
			left = nil
			s.gate.Abandon(ticket)
		}
	}
}

// say passes a final word on.
func (s *Server) say(c *conn, st *stream, w dispatch.Response) {
	switch w.Verdict {
	case dispatch.Throttled:
		c.answer(st, frame.Throttled, w.RetryAfter, w.DontRetry, nil)
	case dispatch.Errored:
		c.answer(st, frame.Errored, 0, false, nil)
	case dispatch.Replayed:
		c.answer(st, frame.Succeeded, 0, false, w.Result)
	}
}

func (s *Server) good() bool { return s.gate.Healthy() && s.farm.Available() }

// remarks takes netpoll's own log in: it writes a line for each connection that is reset.
type remarks struct{ server *Server }

func (r remarks) Write(line []byte) (int, error) {
	r.server.odd.Warn("netpoll", errors.New(string(bytes.TrimSpace(line))))
	return len(line), nil
}

// Sweep looks at all connections now and then, until done: it asks callers off those that rest for longer than
// the gate wants, and ends those that have had their time.
func (s *Server) Sweep(done <-chan struct{}) {
	s.swept = time.Now() // it may be stopped before the first look too
	tick := time.NewTicker(s.bounds.Sweep)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		s.sweep(s.gate.IdleTimeout())
	}
}

// sweep does it once; most is how long the gate lets connections rest, 0 for as long as callers like.
func (s *Server) sweep(most time.Duration) {
	now := time.Now()
	if late := now.Sub(s.swept) - s.bounds.Sweep; !s.swept.IsZero() && late > s.bounds.Sweep {
		for _, c := range s.all() { // this process had no time: neither had its peers
			c.excuse(late)
		}
	}
	s.swept = now
	rest := time.Duration(s.sheet.Admission.IdleTimeout) * time.Microsecond
	if rest += s.bounds.Hello; s.sheet.Admission.IdleTimeout <= 0 {
		rest = math.MaxInt64
	}
	for _, c := range s.all() {
		if since, rests := c.restsSince(); rests && most > 0 && now.Sub(since) > most {
			c.askNoMore()
		}
		c.tidy(now, rest)
	}
	// Where the table fills, those that rest longest are asked away before one has to be closed: callers that
	// listen then send nothing that crosses the close.
	if many, _ := s.Counts(); many > s.bounds.Roomy {
		for _, c := range s.byWorth(now) {
			if c.worth == resting && many > s.bounds.Roomy {
				c.askNoMore()
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
	return len(s.conns), int(s.inHand.Load())
}

// StopAccepting closes the listener, once all that the machine has accepted is taken in, and asks for no more on every
// connection.
func (s *Server) StopAccepting() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	for _, c := range s.all() {
		c.askNoMore()
	}
	if err := s.door.close(s.bounds.Queued); err != nil {
		s.odd.Warn("listener", err)
	}
}

// CloseAnswered closes, for writing, every connection on which all that came is answered.
func (s *Server) CloseAnswered() {
	for _, c := range s.all() {
		c.endIfAnswered()
	}
}

// AllClosed tells whether every connection has been closed, for writing at least.
func (s *Server) AllClosed() bool {
	for _, c := range s.all() {
		if !c.heedless() {
			return false
		}
	}
	return true
}

// AllAnswered tells whether all that was read has been answered, the answers written, and nothing stands unread.
func (s *Server) AllAnswered() bool {
	for _, c := range s.all() {
		if !c.answered() {
			return false
		}
	}
	return true
}

// Idle tells whether besides nothing is carried any more.
func (s *Server) Idle() bool { return s.AllAnswered() && s.inHand.Load() == 0 }
