package proxy

import (
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// server is a target that records the bytes of each connection and responds to each read.
type server struct {
	net.Listener

	mu       sync.Mutex // guards received
	received []string   // by connection, in the order in which they were accepted
}

// newServer starts a server that is closed at the end of the test.
func newServer(t *testing.T) *server {
	t.Helper()
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	s.mu.Lock()
	n := len(s.received)
	s.received = append(s.received, "")
	s.mu.Unlock()
	for b := make([]byte, 4096); ; {
		size, err := conn.Read(b)
		s.mu.Lock()
		s.received[n] += string(b[:size])
		s.mu.Unlock()
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
	}
}

// receivedTexts returns the bytes of each connection.
func (s *server) receivedTexts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// response is what the server sends for each read.
const response = "answer"

// eventually waits for a condition.
func eventually(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 20 s", event)
		}
	}
}

// testLink is a link to a server, with the directions between them.
type testLink struct {
	*Link
	t       *testing.T
	server  *server
	out, in *Direction
}

// newTestLink opens a link that is closed at the end of the test.
func newTestLink(t *testing.T) testLink {
	t.Helper()
	l := openTestLink(t)
	t.Cleanup(l.Close)
	return l
}

// openTestLink opens a link that the test closes.
func openTestLink(t *testing.T) testLink {
	t.Helper()
	server := newServer(t)
	out := NewDirection()
	in := NewDirection()
	link, err := Open(server.Addr().String(), out, in)
	if err != nil {
		t.Fatal(err)
	}
	return testLink{
		Link:   link,
		t:      t,
		server: server,
		out:    out,
		in:     in,
	}
}

// ioTimeout limits each read of a connection of the test.
const ioTimeout = 20 * time.Second

// connect dials the link.
func (l testLink) connect() net.Conn {
	l.t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(l.t.Context(), "tcp", l.Address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(ioTimeout))
	return conn
}

// write sends a text to the server.
func (l testLink) write(conn net.Conn, text string) {
	l.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		l.t.Fatal(err)
	}
}

// awaitResponse reads the server's response and returns how long it took.
func (l testLink) awaitResponse(conn net.Conn) time.Duration {
	l.t.Helper()
	began := time.Now()
	b := make([]byte, len(response))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != response {
		l.t.Fatalf("read %q, %v", b, err)
	}
	return time.Since(began)
}

// idle reports whether the link has no connections.
func (l testLink) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections) == 0
}

// expectNothing fails the test if bytes arrive within 50 ms.
func (l testLink) expectNothing(conn net.Conn) {
	l.t.Helper()
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	defer conn.SetReadDeadline(time.Now().Add(ioTimeout))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, syscall.EAGAIN) && !isTimeout(err) {
		l.t.Errorf("read %d bytes, error %v, want a timeout", n, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestHeldBytesArriveAfterRelease verifies that held bytes arrive after the release, and that the other direction is
// not affected.
func TestHeldBytesArriveAfterRelease(t *testing.T) {
	l := newTestLink(t)
	conn := l.connect()
	l.write(conn, "one")
	l.awaitResponse(conn)

	l.in.Hold(true)
	l.write(conn, "two")
	eventually(t, "arrival while only responses are held", func() bool {
		return slices.Equal(l.server.receivedTexts(), []string{"onetwo"})
	})
	l.expectNothing(conn)
	l.in.Hold(false)
	l.awaitResponse(conn)

	l.out.Hold(true)
	l.write(conn, "three")
	l.expectNothing(conn)
	if got := l.server.receivedTexts(); !slices.Equal(got, []string{"onetwo"}) {
		t.Errorf("bytes arrived while held: %q", got)
	}
	l.out.Hold(false)
	l.awaitResponse(conn)
}

// TestHeldDialReachesTargetAfterRelease verifies that a connection that is dialled while the direction is held reaches
// the server only after the release.
func TestHeldDialReachesTargetAfterRelease(t *testing.T) {
	l := newTestLink(t)
	l.out.Hold(true)
	conn := l.connect()
	l.write(conn, "one")
	l.expectNothing(conn)
	if got := l.server.receivedTexts(); len(got) > 0 {
		t.Errorf("connected while held: %q", got)
	}
	l.out.Hold(false)
	l.awaitResponse(conn)
}

// TestDelayAndRateLimitPostponeDelivery verifies the delays of both directions and the limit of the rate, and that a
// changed delay applies to bytes in flight.
func TestDelayAndRateLimitPostponeDelivery(t *testing.T) {
	l := newTestLink(t)
	conn := l.connect()
	l.out.Delay(60 * time.Millisecond)
	l.in.Delay(50 * time.Millisecond)
	l.write(conn, "one")
	if took := l.awaitResponse(conn); took < 110*time.Millisecond {
		t.Errorf("response after %v, want 110 ms or more", took)
	}
	l.out.Delay(0)
	l.in.Delay(0)
	l.out.Slow(100)
	l.write(conn, "ten bytes!")
	if took := l.awaitResponse(conn); took < 90*time.Millisecond {
		t.Errorf("10 bytes at 100 bytes per second took %v, want 90 ms or more", took)
	}
	l.out.Slow(0)
	l.out.Delay(time.Hour)
	l.write(conn, "three")
	l.expectNothing(conn)
	l.out.Delay(0) // applies to bytes in flight too
	l.awaitResponse(conn)
}

// TestResetBreaksOpenConnections verifies that a reset breaks every connection, and that new ones work.
func TestResetBreaksOpenConnections(t *testing.T) {
	l := newTestLink(t)
	conn := l.connect()
	l.write(conn, "one")
	l.awaitResponse(conn)
	l.Reset()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: error %v, want ECONNRESET", err)
	}
	again := l.connect()
	l.write(again, "two")
	l.awaitResponse(again)
	again.Close()
	eventually(t, "removal of the connection", l.idle)
}

// TestUnreachableTargetResetsClient verifies that a connection to a target that is down is reset.
func TestUnreachableTargetResetsClient(t *testing.T) {
	l := newTestLink(t)
	l.server.Close()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Address)
	if err == nil { // otherwise the reset arrived while dialling
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(ioTimeout))
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("target that is down: error %v, want ECONNRESET", err)
	}
}

// TestDuplicateRepeatsEachCallOnce verifies that a call is repeated after its end, and that other connections and calls
// after the fault are not.
func TestDuplicateRepeatsEachCallOnce(t *testing.T) {
	l := newTestLink(t)
	exchange := func(text string) {
		conn := l.connect()
		l.write(conn, text)
		l.awaitResponse(conn)
		conn.Close()
	}
	earlier := l.connect()
	l.write(earlier, "before call 0")
	l.awaitResponse(earlier)
	l.Duplicate(20 * time.Millisecond)
	if _, err := earlier.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection from before the fault: error %v, want ECONNRESET", err)
	}
	began := time.Now()
	exchange("a call 1")
	exchange("gossip 2")
	eventually(t, "repeated call", func() bool {
		return slices.Equal(l.server.receivedTexts(), []string{"before call 0", "a call 1", "gossip 2", "a call 1"})
	})
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("the repeated call arrived after %v, want 20 ms or more", took)
	}
	l.Duplicate(0)
	exchange("a call 3")
	l.duplicates.Wait()
	if got := l.server.receivedTexts(); len(got) != 5 {
		t.Errorf("got %q, want \"a call 3\" once", got)
	}
}

// TestDuplicateRepeatsBoundedBytes verifies that about the first maxRecorded bytes of a long call are repeated, and
// that a call is recognized by its first line.
func TestDuplicateRepeatsBoundedBytes(t *testing.T) {
	l := newTestLink(t)
	l.Duplicate(time.Millisecond)
	conn := l.connect()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	l.write(conn, "a call "+strings.Repeat("x", 2*maxRecorded))
	eventually(t, "arrival of a long call", func() bool {
		all := l.server.receivedTexts()
		return len(all) == 1 && len(all[0]) == 2*maxRecorded+len("a call ")
	})
	conn.Close()
	eventually(t, "repeated call", func() bool {
		all := l.server.receivedTexts()
		return len(all) == 2 && len(all[1]) >= maxRecorded
	})
	l.duplicates.Wait()
	if size := len(l.server.receivedTexts()[1]); size > maxRecorded+readSize {
		t.Errorf("%d bytes were repeated, want at most %d and one read", size, maxRecorded)
	}
	if isCall([]byte(strings.Repeat("x", callMarkerWindow)+" call ")) || !isCall([]byte("a call 1")) {
		t.Error("isCall does not depend on the first line alone")
	}
}

// TestMeshIsolatesAndResetsHosts verifies that hosts reach each other by links of their own, that one can be isolated
// in one direction or both, and that a reset affects one pair of hosts.
func TestMeshIsolatesAndResetsHosts(t *testing.T) {
	names := []string{"h1", "h2", "h3"}
	servers := make([]*server, 0, len(names))
	addresses := make([]string, 0, len(names))
	for range names {
		s := newServer(t)
		servers = append(servers, s)
		addresses = append(addresses, s.Addr().String())
	}
	m, err := NewMesh(names, addresses)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	reached := m.Addresses("h1")
	if m.Link("h1", "h1") != nil || len(reached) != 2 || reached["h3"] != m.Link("h1", "h3").Address {
		t.Errorf("h1 reaches %v, want h2 and h3 by their links", reached)
	}
	connect := func(from, to int) (testLink, net.Conn) {
		l := testLink{Link: m.Link(names[from], names[to]), t: t, server: servers[to]}
		conn := l.connect()
		l.write(conn, names[from])
		return l, conn
	}
	l, conn := connect(0, 2)
	l.awaitResponse(conn)
	if got := servers[2].receivedTexts(); !slices.Equal(got, []string{"h1"}) || len(servers[1].receivedTexts()) > 0 {
		t.Errorf("h3 received %q, h2 %q", got, servers[1].receivedTexts())
	}
	for _, c := range []struct{ sends, receives bool }{{true, false}, {false, true}, {true, true}} {
		m.Isolate("h1", c.sends, c.receives, true)
		outLink, out := connect(0, 1)
		inLink, in := connect(1, 0)
		restLink, rest := connect(1, 2)
		restLink.awaitResponse(rest)
		outLink.expectNothing(out) // a response needs both directions
		inLink.expectNothing(in)
		m.Isolate("h1", c.sends, c.receives, false)
		outLink.awaitResponse(out)
		inLink.awaitResponse(in)
	}
	outLink, out := connect(0, 1)
	inLink, in := connect(1, 0)
	restLink, rest := connect(1, 2)
	outLink.awaitResponse(out)
	inLink.awaitResponse(in)
	restLink.awaitResponse(rest)
	m.Reset("h1", "h2")
	for _, conn := range []net.Conn{out, in} {
		var err error
		for b := make([]byte, 16); err == nil; { // a response may have arrived before the reset
			_, err = conn.Read(b)
		}
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("connection between h1 and h2: error %v, want ECONNRESET", err)
		}
	}
	restLink.write(rest, "on")
	restLink.awaitResponse(rest)
}

// TestCloseEndsHeldConnection verifies that Close ends a connection whose bytes are held.
func TestCloseEndsHeldConnection(t *testing.T) {
	l := openTestLink(t)
	conn := l.connect()
	l.write(conn, "a call 1")
	l.awaitResponse(conn)
	l.out.Hold(true)
	l.write(conn, "held")
	l.Close()
	var readErr error
	for b := make([]byte, 16); readErr == nil; {
		_, readErr = conn.Read(b)
	}
	if isTimeout(readErr) {
		t.Errorf("connection is open after Close: %v", readErr)
	}
	eventually(t, "removal of the held connection", l.idle)
}
