package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
)

// testServer is a server with a fake executor.
type testServer struct {
	*Server
	fakeExecutor *fakes.ScriptedExecutor
	address      string
}

// openServer starts a server whose bounds and settings are those that edit leaves, and waits until it is healthy.
func openServer(t *testing.T, edit func(*limits.Bounds, *config.Settings)) *testServer {
	var settings config.Settings
	if err := json.Unmarshal([]byte(fakes.Settings), &settings); err != nil {
		t.Fatal(err)
	}
	b := limits.For(1, 192, 1024)
	if edit != nil {
		edit(&b, &settings)
	}
	fakeExecutor := fakes.NewScriptedExecutor(t)
	dispatcher := dispatch.New(&settings, 1, b)
	violations := ratelimitlog.New(b.LogInterval)
	client := executor.New(fakeExecutor.Address, b, violations, dispatcher.Open)
	s := New(&settings, b, violations, dispatcher, client)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go client.Run(ctx)
	go dispatcher.RunTicks(ctx.Done(), client.RequestSample, client.Samples())
	go func() { _ = s.Serve() }()
	t.Cleanup(func() {
		cancel()
		s.StopAccepting()
		for _, c := range s.all() {
			c.abort()
		}
	})
	fakes.Until(t, "the server is healthy", s.healthy)
	return &testServer{s, fakeExecutor, address.String()}
}

// inDispatch returns how many invocations the dispatcher has in flight.
func (s *testServer) inDispatch() int {
	_, n := s.dispatcher.Counts()
	return n
}

// endNextRun ends the next run that is launched.
func (s *testServer) endNextRun(t testing.TB, word, result string) fakes.Launch {
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	s.fakeExecutor.End(l.ID, word, result)
	return l
}

// expectNothingLeft ends all runs and waits until nothing that the test did is left over, but for its connections.
func (s *testServer) expectNothingLeft(t testing.TB, conns int) {
	t.Helper()
	fakes.Until(t, "nothing is left over", func() bool {
		for len(s.fakeExecutor.Launches) > 0 {
			s.endNextRun(t, "complete", "nobody waits")
		}
		n, inFlight := s.Counts()
		return n == conns && inFlight == 0 && s.inDispatch() == 0 && s.unsentBytes.Load() == 0 && s.Idle()
	})
}

func TestAnswers(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.EncodeFrame(20, 1, fakes.EncodeFields()), fakes.EncodeFrame(20, 2, fakes.EncodeFields("a=b")))
	tr.Say("checks: %v, %v", n.Expect(), n.Expect())
	for stream, end := range []string{"complete", "error", "cancelled", "unknown"} {
		n.Send(fakes.Invocation(uint32(stream+1), stream+1))
		tr.Say("%s: %+v", end, s.endNextRun(t, end, ""))
		tr.Say("  %v", n.Expect())
	}
	big := strings.Repeat("b", s.bounds.BodySize)
	n.Send(fakes.EncodeFrame(10, 9, fakes.EncodeFields(fakes.DefaultFields(9)...)+big))
	l := s.endNextRun(t, "complete", strings.Repeat("r", s.bounds.ResultSize))
	tr.Say("largest body unchanged %t, largest result %d", l.Body == big, len(n.Expect().Body))
	n.Send(fakes.Invocation(10, 10, "wait=0"), fakes.Invocation(11, 11, "at=1"))
	tr.Say("used up: %d %d", n.Expect().Code, n.Expect().Code)
	s.expectNothingLeft(t, 1)
}

// TestFramesInPieces sends the same frames split at every byte, and all in one.
func TestFramesInPieces(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	for _, c := range []byte(fakes.EncodeFrame(20, 1, fakes.EncodeFields("a=b")) + fakes.Invocation(2, 2) + fakes.EncodeFrame(20, 3, "\x00")) {
		n.Send(string([]byte{c}))
	}
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	tr.Say("byte by byte: %v, %v, %+v", n.Expect(), n.Expect(), l)
	s.fakeExecutor.End(l.ID, "complete", "r")
	tr.Say("  %v", n.Expect())
	many := make([]string, 0, 20)
	for stream := range 20 {
		many = append(many, fakes.EncodeFrame(20, uint32(stream), "\x00"))
	}
	n.Send(many...)
	for stream := range 20 {
		if f := n.Expect(); f.Stream != uint32(stream) {
			t.Errorf("answer %d is %v", stream, f)
		}
	}
	s.expectNothingLeft(t, 1)
}

// TestFormsInPieces: every form of an invocation that the protocol allows is run, sent at once, byte by byte, and cut in the
// middle of its length, of a name, of a value and of its body.
func TestFormsInPieces(t *testing.T) {
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	backwards := func(pairs []string) []string { slices.Reverse(pairs); return pairs }
	number := 0
	for name, form := range map[string]func(number int) string{
		"usual":               func(k int) string { return fakes.EncodeFields(fakes.DefaultFields(k)...) + "body" },
		"fields in any order": func(k int) string { return fakes.EncodeFields(backwards(fakes.DefaultFields(k))...) + "body" },
		"unknown fields": func(k int) string {
			return fakes.EncodeFields(append(fakes.DefaultFields(k), "colour=green", "x=", "="+strings.Repeat("v", 300))...) + "body"
		},
		"only what is needed": func(k int) string {
			return fakes.EncodeFields(fakes.DefaultFields(k, "from=", "cost=", "retry=")...) + "body"
		},
		"all that is known": func(k int) string {
			return fakes.EncodeFields(append(fakes.DefaultFields(k), "retry=0", "key=k", "once=o")...) + "body"
		},
		"numbers in any form": func(k int) string {
			return fakes.EncodeFields(fakes.DefaultFields(k, "kb=.5", "rank=0", "cost=20.", "wait=04000")...)
		},
		"an empty body":       func(k int) string { return fakes.EncodeFields(fakes.DefaultFields(k)...) },
		"a body of any bytes": func(k int) string { return fakes.EncodeFields(fakes.DefaultFields(k)...) + "\x00\r\n\xff" },
	} {
		for _, cuts := range [][]int{nil, {2}, {9, 14}, {30, 31}, {-1}, {1, 2, 3, 4, 5, 6, 7, 8, 9}, {0}} {
			number++
			frame := fakes.EncodeFrame(10, uint32(number), form(number))
			if len(cuts) == 1 && cuts[0] == 0 {
				for _, b := range []byte(frame) {
					n.Send(string([]byte{b}))
				}
			} else {
				from := 0
				for _, cut := range cuts {
					cut = (cut + len(frame)) % len(frame)
					n.Send(frame[from:cut])
					from = cut
				}
				n.Send(frame[from:])
			}
			l := s.endNextRun(t, "complete", "r")
			if f := n.Expect(); f.Stream != uint32(number) || f.Code != 1 || f.Body != "r" || l.ID != fmt.Sprintf("%016x", number) {
				t.Errorf("%s cut at %v: %v, launched %v", name, cuts, f, l)
			}
		}
	}
	s.expectNothingLeft(t, 1)
}

// TestInvalidFrames: an invalid frame of a valid length ends its stream, no other.
func TestInvalidFrames(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1))
	valid := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	for _, c := range []struct{ name, frame string }{
		{"unknown operation", fakes.Invocation(2, 2, "class=nothing")},
		{"unknown tenant", fakes.Invocation(3, 3, "tenant=nobody")},
		{"no tenant", fakes.Invocation(4, 4, "tenant=")},
		{"no fields", fakes.EncodeFrame(10, 5, "")},
		{"fields cut short", fakes.EncodeFrame(10, 6, "\x09\x05class")},
		{"body too long", fakes.EncodeFrame(10, 7, fakes.EncodeFields(fakes.DefaultFields(7)...)+strings.Repeat("x", s.bounds.BodySize+1))},
		{"longest frame", fakes.EncodeFrame(10, 8, strings.Repeat("x", 262_144-5))},
		{"stream 0", fakes.Invocation(0, 9)},
		{"unknown type", fakes.EncodeFrame(77, 1, "payload")},
		{"an answer", fakes.EncodeFrame(11, 1, "\x01\x00")},
		{"a check cut short", fakes.EncodeFrame(20, 9, "\x01")},
		{"gone: unknown stream", fakes.EncodeFrame(12, 99, "") + fakes.EncodeFrame(20, 10, "\x00")},
		{"an id that is in hand", fakes.Invocation(11, 1)},
		{"a stream that is open", fakes.Invocation(1, 12)},
	} {
		n.Send(c.frame)
		tr.Say("%s: %v", c.name, n.Expect())
	}
	s.fakeExecutor.End(valid.ID, "complete", "nobody can tell whose")
	n.Send(fakes.EncodeFrame(20, 13, "\x00"))
	tr.Say("and still: %v", n.Expect())
	s.expectNothingLeft(t, 1)
}

// TestFramingLost: nothing more is read, invocations read before are answered, then the connection closes.
func TestFramingLost(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	other := fakes.Dial(t, s.address)
	for k, length := range []string{"\x00\x00\x00\x04", "\x00\x04\x00\x01", "\xff\xff\xff\xff"} {
		n := fakes.Dial(t, s.address)
		n.Send(fakes.Invocation(1, 2*k+1), length, "whatever", fakes.Invocation(2, 2*k+2))
		tr.Say("length %x: %v", length, n.Expect())
		s.endNextRun(t, "complete", "still answered")
		tr.Say("  %v", n.Expect())
		_, err := n.Next()
		tr.Say("  then %v", err)
		s.expectNothingLeft(t, 1)
	}
	other.Send(fakes.EncodeFrame(20, 1, "\x00"))
	tr.Say("the other connection: %v", other.Expect())
}

// TestCancel: a caller that left gets no answer, and an invocation that was only held for it does not run.
func TestCancel(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	n.Send(fakes.EncodeFrame(12, 1, ""), fakes.EncodeFrame(20, 2, "\x00"))
	tr.Say("gone while it runs: %v", n.Expect())
	s.fakeExecutor.End(l.ID, "complete", "too late")
	s.expectNothingLeft(t, 1)
	n.Send(fakes.EncodeFrame(12, 1, ""), fakes.EncodeFrame(20, 3, "\x00"))
	tr.Say("gone once answered: %v", n.Expect())

	s.fakeExecutor.With(func(_, gauges *string) { *gauges = "0.5 9 0.1 1" }) // no capacity for a start
	asked := s.fakeExecutor.Samples()                                        // each is requested after the tick of the one before
	fakes.Until(t, "the dispatcher has seen busy cores", func() bool { return s.fakeExecutor.Samples() >= asked+3 })
	n.Send(fakes.Invocation(4, 4))
	fakes.Until(t, "it is held", func() bool { return s.inDispatch() == 1 })
	n.Send(fakes.EncodeFrame(12, 4, ""))
	s.expectNothingLeft(t, 1)
	n.Send(fakes.Invocation(5, 5), fakes.Invocation(6, 6)[:40])
	fakes.Until(t, "it is held", func() bool { return s.inDispatch() == 1 })
	n.Close()
	s.expectNothingLeft(t, 0)
	tr.Say("launches of what was only held: %d", len(s.fakeExecutor.Launches))
}

// TestTooMany: more than the protocol allows on a connection, or than this process can hold, is throttled.
func TestTooMany(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) { b.Invocations, settings.Admission.Cores = 40, 64 })
	one, two := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	for k := range 33 {
		one.Send(fakes.Invocation(uint32(k+1), k+1))
	}
	tr.Say("the 33rd: %v", one.Expect())
	for k := range 9 {
		two.Send(fakes.Invocation(uint32(k+1), 100+k))
	}
	tr.Say("the 41st of all: %v", two.Expect())
	one.Close()
	two.Close()
	s.expectNothingLeft(t, 0)
}

// TestSlowPeer: a caller that reads nothing stalls no other, and is cut off when it goes on sending.
func TestSlowPeer(t *testing.T) {
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.UnsentPerConnection = 1 << 20 })
	slow, other := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	checks := strings.Repeat(fakes.EncodeFrame(20, 1, "\x00"), 4000)
	slow.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for range 2000 {
		if _, err := slow.Write([]byte(checks)); err != nil {
			break
		}
	}
	fakes.Until(t, "the slow one is cut off", func() bool { n, _ := s.Counts(); return n == 1 })
	other.Send(fakes.EncodeFrame(20, 1, "\x00"))
	if f := other.Expect(); f.Code != 1 {
		t.Errorf("the other connection: %v", f)
	}
	s.expectNothingLeft(t, 1)
}

// TestConnectionChurn: after thousands of connections, many cut within a frame or with runs on the executor, nothing is left.
func TestConnectionChurn(t *testing.T) {
	s := openServer(t, nil)
	before := runtime.NumGoroutine()
	for k := range 2000 {
		n := fakes.Dial(t, s.address)
		n.Conn.(*net.TCPConn).SetLinger(0) // a reset
		n.Send(fakes.Invocation(1, 10_000+k), fakes.Invocation(2, 50_000+k)[:9+k%30])
		n.Close()
	}
	s.expectNothingLeft(t, 0)
	fakes.Until(t, "no goroutine is left over", func() bool { return runtime.NumGoroutine() <= before+4 })
}

// TestEvictionWhenFull: beyond the bound, connections without a valid frame are evicted, then idle ones; never those with an
// invocation. Where all have one, a few new connections are answered and sent GoAway, the rest are closed. Idle ones are sent GoAway.
func TestEvictionWhenFull(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) { b.Connections, b.ClosingConnections = 2, 1 })
	one, silent := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	one.Send(fakes.Invocation(1, 1))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	fakes.Until(t, "two are open", func() bool { n, _ := s.Counts(); return n == 2 })
	check := fakes.EncodeFrame(20, 1, "\x00")
	three := fakes.Dial(t, s.address)
	three.Send(check)
	tr.Say("the third: %v", three.Expect())
	_, err := silent.Next()
	tr.Say("the silent one ends: %t", err != nil)
	fakes.Until(t, "the evicted one is closed", func() bool { n, _ := s.Counts(); return n == 2 })
	two := fakes.Dial(t, s.address)
	two.Send(check)
	tr.Say("the fourth: %v", two.Expect())
	_, err = three.Next()
	tr.Say("the one that rests ends: %t", err != nil)
	fakes.Until(t, "the evicted one is closed", func() bool { n, _ := s.Counts(); return n == 2 })
	two.Send(fakes.Invocation(2, 2))
	l2 := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	five := fakes.Dial(t, s.address) // both others have an invocation: it may have written before it could be closed
	five.Send(fakes.Invocation(5, 5))
	tr.Say("the fifth, both others have work: %v", five.Expect())
	l5 := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	_, err = fakes.Dial(t, s.address).Next()
	tr.Say("the sixth ends, all others have work: %t", err != nil)
	s.fakeExecutor.End(l5.ID, "complete", "r")
	tr.Say("the fifth: %v", five.Expect())
	five.Close()
	fakes.Until(t, "the fifth has left", func() bool { n, _ := s.Counts(); return n == 2 })
	s.fakeExecutor.End(l.ID, "complete", "r")
	s.fakeExecutor.End(l2.ID, "complete", "r")
	tr.Say("they go on: %v, %v", one.Expect(), two.Expect())
	one.Send(fakes.Invocation(2, 3))
	l = fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	s.sweep(time.Nanosecond)
	s.fakeExecutor.End(l.ID, "complete", "r")
	tr.Say("swept while it waits: %v", one.Expect())
	s.expectNothingLeft(t, 2)
	s.sweep(time.Nanosecond)
	s.sweep(time.Nanosecond)
	tr.Say("swept while it rests: %v", one.Expect())
	one.Close()
	fakes.Until(t, "one has left", func() bool { n, _ := s.Counts(); return n == 1 })
	late := fakes.Dial(t, s.address)
	late.Send(fakes.EncodeFrame(20, 1, "\x00"))
	tr.Say("room again: %v", late.Expect())
}

// TestBadCallers: a caller that sends what cannot be read or run, floods, or sends nothing is answered or closed in time, uses
// bounded memory, and does not disturb other connections.
func TestBadCallers(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.FrameTimeout, b.SweepInterval = 150*time.Millisecond, 20*time.Millisecond
	})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go s.Sweep(done)
	good := fakes.Dial(t, s.address)
	good.Send(fakes.EncodeFrame(20, 1, "\x00"))
	good.Expect()
	number := 1000
	invocations := func(many int, edits ...string) (text string) {
		for k := range many {
			text += fakes.Invocation(uint32(k+1), number+k, edits...)
		}
		number += many
		return text
	}
	for _, c := range []struct{ name, sends string }{
		{"says nothing", ""},
		{"half a frame", invocations(1)[:60]},
		{"half a length", "\x00\x00"},
		{"a frame that does not end", "\x00\x03\x00\x00\x0a\x00\x00\x00\x01" + strings.Repeat("x", 100_000)},
		{"length too small", "\x00\x00\x00\x01xxxx"},
		{"length negative", "\xff\xff\xff\xffxxxx"},
		{"60 MB", "\x03\x93\x87\x00" + strings.Repeat("x", 60_000_000)},
		{"no id", invocations(1, "id=")},
		{"not a number", invocations(1, "cost=NaN")},
		{"out of range", invocations(1, "rank=7")},
		{"unknown operation", invocations(1, "class=x")},
		{"unknown tenant", invocations(1, "tenant=x")},
		{"ids unknown to the farm", invocations(1)},
		{"two under one number", invocations(1) + invocations(1)},
		{"taken back at once", strings.Repeat(invocations(1)+fakes.EncodeFrame(12, 1, ""), 300) + invocations(1, "class=x")},
		{"hundreds at once", invocations(300)},
		{"nothing but what cannot be used", strings.Repeat(invocations(1, "class=x"), 300)},
	} {
		n := fakes.Dial(t, s.address)
		startedAt := time.Now()
		go func() { _, _ = n.Write([]byte(c.sends)) }()
		var codes [4]int
		closed := make(chan struct{})
		got := make(chan byte, 10_000)
		go func() {
			f, err := n.Next()
			for ; err == nil; f, err = n.Next() {
				got <- f.Code
			}
			close(closed)
		}()
		answered := false
		for !answered {
			select {
			case l := <-s.fakeExecutor.Launches:
				s.fakeExecutor.Refuse(l.ID)
			case code := <-got:
				codes[code]++
				answered = true
			case <-closed:
				answered = true
			}
		}
		tr.Say("%s: in time %t, succeeded %d", c.name, time.Since(startedAt) < 3*time.Second, codes[1])
		for len(s.fakeExecutor.Launches) > 0 {
			l := <-s.fakeExecutor.Launches
			s.fakeExecutor.Refuse(l.ID)
		}
		good.Send(fakes.Invocation(uint32(number), number))
		id := fmt.Sprintf("%016x", number)
		number++
		for l := fakes.Take(t, "a launch", s.fakeExecutor.Launches); l.ID != id; l = fakes.Take(t, "a launch", s.fakeExecutor.Launches) {
			s.fakeExecutor.Refuse(l.ID)
		}
		s.fakeExecutor.End(id, "complete", "r")
		if f := good.Expect(); f.Code != 1 {
			t.Errorf("%s: beside it %v", c.name, f)
		}
		n.Close()
		fakes.Until(t, "it is gone", func() bool { conns, _ := s.Counts(); return conns == 1 })
	}
	s.expectNothingLeft(t, 1)
}

// TestIdleAskedToLeave: above the high-water mark the connections idle for longest are sent GoAway; at the bound they are closed,
// several at once where it is large.
func TestIdleAskedToLeave(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.Connections, b.ConnectionsHighWater, b.IdleAge = 64, 62, 0
	})
	all := make([]*fakes.EdgeNode, 0, 64)
	for range 64 {
		all = append(all, fakes.Dial(t, s.address))
		all[len(all)-1].Send(fakes.EncodeFrame(20, 1, "\x00"))
		all[len(all)-1].Expect()
	}
	s.sweep(0)
	tr.Say("the two that rest longest: %v, %v", all[0].Expect(), all[1].Expect())
	all[2].Send(fakes.EncodeFrame(20, 2, "\x00"))
	tr.Say("the third: %v", all[2].Expect())
	late := fakes.Dial(t, s.address)
	late.Send(fakes.EncodeFrame(20, 1, "\x00"))
	tr.Say("one more: %v", late.Expect())
	fakes.Until(t, "three were evicted", func() bool { n, _ := s.Counts(); return n == 62 })
	_, err := all[1].Next()
	tr.Say("the second: %v", err)
}

// TestIdleTooLong: a connection that is idle for longer than those of the deployment's callers is closed.
func TestIdleTooLong(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, settings *config.Settings) {
		b.FrameTimeout, settings.Admission.IdleTimeout = 0, 50_000
	})
	idle, busy := fakes.Dial(t, s.address), fakes.Dial(t, s.address)
	idle.Send(fakes.EncodeFrame(20, 1, "\x00"))
	tr.Say("%v", idle.Expect())
	busy.Send(fakes.Invocation(1, 1))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	fakes.Until(t, "it is closed", func() bool { s.sweep(0); n, _ := s.Counts(); return n == 1 })
	_, err := idle.Next()
	tr.Say("the one that rests: %v", err)
	s.fakeExecutor.End(l.ID, "complete", "r")
	tr.Say("the one with work: %v", busy.Expect())
}

// TestCanceledBeforeAdmission: an invocation that was canceled before its admission reaches neither dispatcher nor executor.
func TestCanceledBeforeAdmission(t *testing.T) {
	s := openServer(t, nil)
	st := &stream{number: 1, canceled: make(chan struct{})}
	close(st.canceled)
	for n := range 300 {
		s.reserve()
		s.handle(nil, st, dispatch.Invocation{ID: fmt.Sprint(n), ArrivedAt: dispatch.Now(), CallerTimeout: 4_000_000, MemoryKB: 1, CallerLeft: st.canceled}, "look", nil)
	}
	if counts, _ := s.dispatcher.Counts(); counts.Arrived != 0 || len(s.fakeExecutor.Launches) != 0 {
		t.Errorf("%+v, %d launches", counts, len(s.fakeExecutor.Launches))
	}
	s.expectNothingLeft(t, 0)
}

// TestStopAccepting: GoAway is sent on every connection; invocations that cross it are still answered; nothing new connects.
func TestStopAccepting(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1))
	l := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	s.StopAccepting()
	tr.Say("%v", n.Expect())
	n.Send(fakes.Invocation(2, 2))
	crossing := fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	s.fakeExecutor.End(crossing.ID, "complete", "crossing")
	tr.Say("%v", n.Expect())
	tr.Say("quiet %t", s.Idle())
	s.fakeExecutor.End(l.ID, "complete", "r")
	tr.Say("%v", n.Expect())
	fakes.Until(t, "the server is idle", s.Idle)
	fakes.Until(t, "nobody can connect", func() bool {
		c, err := net.Dial("tcp", s.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	tr.Say("%s", fmt.Sprint("connections left: ", len(s.all())))
}

// TestNoDeadline: an invocation without a deadline has the client timeout where the settings make deadlines optional, and is
// answered by then though its run does not end; elsewhere it is errored.
func TestNoDeadline(t *testing.T) {
	s := openServer(t, nil)
	n := fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1, "wait="))
	if f := n.Expect(); f.Code != 3 || len(s.fakeExecutor.Launches) > 0 {
		t.Errorf("where a deadline is required: %v", f)
	}
	s = openServer(t, func(_ *limits.Bounds, settings *config.Settings) {
		settings.DeadlineOptional = true
		settings.Admission.Operations[0].ClientTimeout = 300_000
		settings.Admission.Operations[0].Objective = 200_000
	})
	n = fakes.Dial(t, s.address)
	n.Send(fakes.Invocation(1, 1, "wait="))
	s.endNextRun(t, "complete", "r")
	if f := n.Expect(); f.Code != 1 {
		t.Errorf("the first: %v", f)
	}
	since := time.Now()
	n.Send(fakes.Invocation(2, 2, "wait="))
	fakes.Take(t, "a launch", s.fakeExecutor.Launches)
	if f, took := n.Expect(), time.Since(since); f.Code != 3 || took < 200*time.Millisecond || took > 380*time.Millisecond {
		t.Errorf("whose run does not end: %v after %v", f, took)
	}
}
