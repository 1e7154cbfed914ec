package server

import (
	"context"
	"encoding/json"
	"net"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/backend/frame"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
	"milletbarrow/monotime"
)

// Result codes as the fake edge node decodes them.
const (
	succeeded = byte(frame.Succeeded)
	throttled = byte(frame.Throttled)
	errored   = byte(frame.Errored)
)

// healthCheck returns the frame of a health check.
func healthCheck(stream uint32) string {
	return fakes.EncodeFrame(byte(frame.KindHealthCheck), stream, fakes.EncodeFields())
}

// cancelFrame returns the frame that cancels an invocation.
func cancelFrame(stream uint32) string { return fakes.EncodeFrame(byte(frame.KindCancel), stream, "") }

// resetOnClose makes the close of an edge node's connection send a TCP reset.
func resetOnClose(t *testing.T, node *fakes.EdgeNode) {
	t.Helper()
	conn, ok := node.Conn.(*net.TCPConn)
	if !ok {
		t.Fatalf("a %T, want a *net.TCPConn", node.Conn)
	}
	if err := conn.SetLinger(0); err != nil {
		t.Fatal(err)
	}
}

// expectAnswer returns the next frame that is not a GoAway.
func expectAnswer(node *fakes.EdgeNode) fakes.Frame {
	f := node.Expect()
	for f.Type == byte(frame.KindGoAway) {
		f = node.Expect()
	}
	return f
}

// testServer is a server with a fake executor.
type testServer struct {
	*Server

	fakeExecutor *fakes.ScriptedExecutor
	address      string
}

// openServer starts a server and waits until it is healthy. adjust may change the default bounds and settings; nil
// keeps them.
func openServer(t *testing.T, adjust func(*limits.Bounds, *config.Settings)) *testServer {
	t.Helper()
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	bounds := limits.For(1, 192, 1024)
	if adjust != nil {
		adjust(&bounds, &settings)
	}
	fakeExecutor := fakes.NewScriptedExecutor(t)
	dispatcher := dispatch.New(&settings, 1, bounds)
	violations := ratelimitlog.New(bounds.LogInterval)
	client := executor.New(fakeExecutor.Address, bounds, violations, dispatcher.Open)
	s := New(&settings, bounds, violations, dispatcher, client)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	go client.Run(ctx)
	go dispatcher.RunTicks(ctx.Done(), client.RequestSample, client.Samples())
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		cancel()
		s.StopAccepting()
		for _, c := range s.openConnections() {
			c.abort()
		}
	})
	fakes.Until(t, "the server is healthy", s.healthy)
	return &testServer{Server: s, fakeExecutor: fakeExecutor, address: address.String()}
}

// withIdempotencyKeys gives the second operation idempotency keys with a repeat window of 5 s.
func withIdempotencyKeys(_ *limits.Bounds, settings *config.Settings) {
	settings.Admission.IdempotencyKeyKB = 20
	operation := &settings.Admission.Operations[1]
	operation.RetrySafety = admission.IdempotencyKeyed
	operation.RepeatWindow = 5 * monotime.Second
}

// inDispatch returns the number of invocations in flight at the dispatcher.
func (s *testServer) dispatcherInFlight() int {
	_, n := s.dispatcher.Counts()
	return n
}

// inServer returns the number of invocations in flight at the server.
func (s *testServer) serverInFlight() int {
	_, n := s.Counts()
	return n
}

// awaitConnections waits until the given number of connections is open.
func (s *testServer) awaitConnections(tb testing.TB, want int) {
	tb.Helper()
	fakes.Until(tb, "the expected number of connections is open", func() bool {
		n, _ := s.Counts()
		return n == want
	})
}

// onlyConn waits until exactly one connection is open, and returns it.
func (s *testServer) onlyConn(tb testing.TB) *conn {
	tb.Helper()
	s.awaitConnections(tb, 1)
	return s.openConnections()[0]
}

// dialOne connects an edge node and returns it with the server's connection, which must be the only one.
func (s *testServer) dialOne(t *testing.T) (*fakes.EdgeNode, *conn) {
	t.Helper()
	node := fakes.Dial(t, s.address)
	return node, s.onlyConn(t)
}

// nextLaunch waits for the next launch of a run.
func (s *testServer) nextLaunch(tb testing.TB) fakes.Launch {
	tb.Helper()
	return fakes.Take(tb, "a launch", s.fakeExecutor.Launches)
}

// endNextRun waits for the next launch and ends its run.
func (s *testServer) endNextRun(tb testing.TB, end, result string) fakes.Launch {
	tb.Helper()
	launch := s.nextLaunch(tb)
	s.fakeExecutor.End(launch.ID, end, result)
	return launch
}

// awaitIdle ends all runs, and waits until nothing is in flight and the given number of connections is open.
func (s *testServer) awaitIdle(tb testing.TB, connections int) {
	tb.Helper()
	fakes.Until(tb, "nothing is in flight", func() bool {
		for len(s.fakeExecutor.Launches) > 0 {
			s.endNextRun(tb, "complete", "unused result")
		}
		n, inServer := s.Counts()
		idle := inServer == 0 && s.dispatcherInFlight() == 0 && s.unsentBytes.Load() == 0 && s.Idle()
		return n == connections && idle
	})
}

// blockPoller blocks the poller until release is called. Input that arrives meanwhile stays unread in the sockets, as
// when the process is stalled. The poller blocks when it accepts the new connection, as the listener is locked.
func (s *testServer) blockPoller(tb testing.TB) (release func()) {
	tb.Helper()
	s.listener.mu.Lock()
	var dialer net.Dialer
	conn, err := dialer.DialContext(tb.Context(), "tcp", s.address)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = conn.Close() })
	return s.listener.mu.Unlock
}

// awaitFrameStart waits until the beginning of a frame has been read.
func awaitFrameStart(tb testing.TB, c *conn) {
	tb.Helper()
	fakes.Until(tb, "the beginning of a frame has been read", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return !c.frameStart.IsZero()
	})
}

// awaitUnreadInput waits until a connection has unread input.
func awaitUnreadInput(tb testing.TB, c *conn) {
	tb.Helper()
	fakes.Until(tb, "the input has arrived", func() bool { return socketHasUnreadInput(c.fd) })
}
