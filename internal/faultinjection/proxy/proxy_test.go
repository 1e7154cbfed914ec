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

// server is a target that notes what each of its connections brought, and answers the first bytes of each.
type server struct {
	net.Listener
	mu       sync.Mutex
	received []string
}

func newServer(t *testing.T) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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
		if _, err := io.WriteString(conn, "answer"); err != nil {
			return
		}
	}
}

func (s *server) all() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.received)
}

// eventually waits for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s", what)
		}
	}
}

// testLink is a link to a server.
type testLink struct {
	*Link
	t       *testing.T
	server  *server
	out, in *Direction
}

func newTestLink(t *testing.T) testLink {
	t.Helper()
	s, out, in := newServer(t), NewDirection(), NewDirection()
	link, err := Open(s.Addr().String(), out, in)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	return testLink{link, t, s, out, in}
}

func (l testLink) dial() net.Conn {
	l.t.Helper()
	conn, err := net.Dial("tcp", l.Address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn
}

func (l testLink) write(conn net.Conn, text string) {
	l.t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		l.t.Fatal(err)
	}
}

// answer reads the server's answer and tells how long it took.
func (l testLink) answer(conn net.Conn) time.Duration {
	l.t.Helper()
	began := time.Now()
	b := make([]byte, len("answer"))
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "answer" {
		l.t.Fatalf("read %q, %v", b, err)
	}
	return time.Since(began)
}

// idle reports whether the link carries nothing.
func (l testLink) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections) == 0
}

// quiet fails if anything can be read within a moment.
func (l testLink) quiet(conn net.Conn) {
	l.t.Helper()
	conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	defer conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); n > 0 || !errors.Is(err, syscall.EAGAIN) && !isTimeout(err) {
		l.t.Errorf("read %d bytes, %v, wanted nothing yet", n, err)
	}
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// TestHold: what is held in a direction arrives once it is taken back, and the other direction goes on.
func TestHold(t *testing.T) {
	l := newTestLink(t)
	conn := l.dial()
	l.write(conn, "one")
	l.answer(conn)

	l.in.Hold(true)
	l.write(conn, "two")
	eventually(t, "arrival while only answers are held", func() bool { return slices.Equal(l.server.all(), []string{"onetwo"}) })
	l.quiet(conn)
	l.in.Hold(false)
	l.answer(conn)

	l.out.Hold(true)
	l.write(conn, "three")
	l.quiet(conn)
	if got := l.server.all(); !slices.Equal(got, []string{"onetwo"}) {
		t.Errorf("arrived though it was held: %q", got)
	}
	l.out.Hold(false)
	l.answer(conn)
}

// TestHeldDial: a connection that is dialled while the direction is held reaches nobody before.
func TestHeldDial(t *testing.T) {
	l := newTestLink(t)
	l.out.Hold(true)
	conn := l.dial()
	l.write(conn, "one")
	l.quiet(conn)
	if got := l.server.all(); len(got) > 0 {
		t.Errorf("connected though it was held: %q", got)
	}
	l.out.Hold(false)
	l.answer(conn)
}

// TestDelayAndSlow: bytes are late by the delay of their direction, or by their number.
func TestDelayAndSlow(t *testing.T) {
	l := newTestLink(t)
	conn := l.dial()
	l.out.Delay(60 * time.Millisecond)
	l.in.Delay(50 * time.Millisecond)
	l.write(conn, "one")
	if took := l.answer(conn); took < 110*time.Millisecond {
		t.Errorf("an answer after %v, wanted 110 ms at the least", took)
	}
	l.out.Delay(0)
	l.in.Delay(0)
	l.out.Slow(100)
	l.write(conn, "ten bytes!")
	if took := l.answer(conn); took < 90*time.Millisecond {
		t.Errorf("ten bytes at a hundred a second took %v", took)
	}
	l.out.Slow(0)
	l.out.Delay(time.Hour)
	l.write(conn, "three")
	l.quiet(conn)
	l.out.Delay(0) // what is on its way goes by the new delay
	l.answer(conn)
}

// TestReset: every connection is broken, and new ones are carried.
func TestReset(t *testing.T) {
	l := newTestLink(t)
	conn := l.dial()
	l.write(conn, "one")
	l.answer(conn)
	l.Reset()
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after a reset: %v", err)
	}
	again := l.dial()
	l.write(again, "two")
	l.answer(again)
	again.Close()
	eventually(t, "end of what was carried", l.idle)
}

// TestNobodyListens: a connection to a target that is down is reset.
func TestNobodyListens(t *testing.T) {
	l := newTestLink(t)
	l.server.Close()
	conn, err := net.Dial("tcp", l.Address)
	if err == nil { // else the reset came as it was opened
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(20 * time.Second))
		_, err = conn.Read(make([]byte, 1))
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("nobody listens: %v", err)
	}
}

// TestDuplicate: a call comes again after it, anything else and any other time does not.
func TestDuplicate(t *testing.T) {
	l := newTestLink(t)
	say := func(text string) {
		conn := l.dial()
		l.write(conn, text)
		l.answer(conn)
		conn.Close()
	}
	kept := l.dial()
	l.write(kept, "before call 0")
	l.answer(kept)
	l.Duplicate(20 * time.Millisecond)
	if _, err := kept.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("a connection from before: %v", err)
	}
	began := time.Now()
	say("a call 1")
	say("gossip 2")
	eventually(t, "second call", func() bool {
		return slices.Equal(l.server.all(), []string{"before call 0", "a call 1", "gossip 2", "a call 1"})
	})
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("the second call came after %v, wanted 20 ms after the first", took)
	}
	l.Duplicate(0)
	say("a call 3")
	l.duplicates.Wait()
	if got := l.server.all(); len(got) != 5 {
		t.Errorf("%q, wanted no more than one a call 3", got)
	}
}

// TestDuplicateIsBounded: of a long call about the first maxCall bytes come again; a call is one by its first line.
func TestDuplicateIsBounded(t *testing.T) {
	l := newTestLink(t)
	l.Duplicate(time.Millisecond)
	conn := l.dial()
	go func() { _, _ = io.Copy(io.Discard, conn) }()
	l.write(conn, "a call "+strings.Repeat("x", 2*maxCall))
	eventually(t, "arrival of a long call", func() bool { return len(l.server.all()) == 1 && len(l.server.all()[0]) == 2*maxCall+len("a call ") })
	conn.Close()
	eventually(t, "second call", func() bool { all := l.server.all(); return len(all) == 2 && len(all[1]) >= maxCall })
	l.duplicates.Wait()
	if size := len(l.server.all()[1]); size > maxCall+readSize {
		t.Errorf("%d bytes came again, at most %d and a read may", size, maxCall)
	}
	if isCall([]byte(strings.Repeat("x", maxFirstLine)+" call ")) || !isCall([]byte("a call 1")) {
		t.Error("a call is not known by its first line")
	}
}

// TestMesh: hosts reach each other by links of their own; one can be cut off in one direction or both.
func TestMesh(t *testing.T) {
	names := []string{"h1", "h2", "h3"}
	servers := make([]*server, 0, len(names))
	addresses := make([]string, 0, len(names))
	for range names {
		s := newServer(t)
		servers, addresses = append(servers, s), append(addresses, s.Addr().String())
	}
	m, err := NewMesh(names, addresses)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.Close)
	if m.Link("h1", "h1") != nil || len(m.Addresses("h1")) != 2 || m.Addresses("h1")["h3"] != m.Link("h1", "h3").Address {
		t.Errorf("h1 reaches %v", m.Addresses("h1"))
	}
	connect := func(from, to int) (testLink, net.Conn) {
		l := testLink{Link: m.Link(names[from], names[to]), t: t, server: servers[to]}
		conn := l.dial()
		l.write(conn, names[from])
		return l, conn
	}
	l, conn := connect(0, 2)
	l.answer(conn)
	if got := servers[2].all(); !slices.Equal(got, []string{"h1"}) || len(servers[1].all()) > 0 {
		t.Errorf("h3 received %q, h2 %q", got, servers[1].all())
	}
	for _, c := range []struct{ sends, receives bool }{{true, false}, {false, true}, {true, true}} {
		m.Isolate("h1", c.sends, c.receives, true)
		outLink, out := connect(0, 1)
		inLink, in := connect(1, 0)
		restLink, rest := connect(1, 2)
		restLink.answer(rest)
		outLink.quiet(out) // in both directions an answer has to come back
		inLink.quiet(in)
		m.Isolate("h1", c.sends, c.receives, false)
		outLink.answer(out)
		inLink.answer(in)
	}
	thereLink, there := connect(0, 1)
	backLink, back := connect(1, 0)
	otherLink, other := connect(1, 2)
	thereLink.answer(there)
	backLink.answer(back)
	otherLink.answer(other)
	m.Reset("h1", "h2")
	for _, conn := range []net.Conn{there, back} {
		var err error
		for b := make([]byte, 16); err == nil; { // an answer may have come before
			_, err = conn.Read(b)
		}
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("between h1 and h2: %v", err)
		}
	}
	otherLink.write(other, "on")
	otherLink.answer(other)
}

// TestCloseWhileHeld: a link ends at once, whatever it holds back.
func TestCloseWhileHeld(t *testing.T) {
	s, out, in := newServer(t), NewDirection(), NewDirection()
	link, err := Open(s.Addr().String(), out, in)
	if err != nil {
		t.Fatal(err)
	}
	l := testLink{link, t, s, out, in}
	conn := l.dial()
	l.write(conn, "a call 1")
	l.answer(conn)
	out.Hold(true)
	l.write(conn, "held")
	link.Close()
	var readErr error
	for b := make([]byte, 16); readErr == nil; {
		_, readErr = conn.Read(b)
	}
	if isTimeout(readErr) {
		t.Errorf("open after its link's end: %v", readErr)
	}
	eventually(t, "end of what was held", l.idle)
}
