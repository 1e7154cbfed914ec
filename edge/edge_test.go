package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"milletbarrow/farm"
	"milletbarrow/gate"
	"milletbarrow/limit"
	"milletbarrow/odd"
	"milletbarrow/standin"
	"milletbarrow/terms"
)

// site is a server with all that is around it.
type site struct {
	*Server
	agent   *standin.Agent
	address string
}

func open(t *testing.T, edit func(*limit.Bounds, *terms.Sheet)) *site {
	var sheet terms.Sheet
	if err := json.Unmarshal([]byte(standin.Settings), &sheet); err != nil {
		t.Fatal(err)
	}
	b := limit.For(1, 192, 1024)
	if edit != nil {
		edit(&b, &sheet)
	}
	agent := standin.NewAgent(t)
	g := gate.New(&sheet, 1, b)
	tally := odd.New(b.Quiet)
	link := farm.New(agent.Address, b, tally, g.Open)
	s := New(&sheet, b, tally, g, link)
	address, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go link.Keep(ctx)
	go g.Beat(ctx.Done(), link.Sample, link.Sampled())
	go s.Serve()
	t.Cleanup(func() { cancel(); s.loop.Shutdown(context.Background()) })
	standin.Until(t, "work can be taken", s.good)
	return &site{s, agent, address.String()}
}

func (s *site) inGate() int {
	_, n := s.gate.Counts()
	return n
}

// run ends the next run that the farm is told of.
func (s *site) run(t testing.TB, word, result string) standin.Launch {
	l := standin.Take(t, "a launch", s.agent.Launches)
	s.agent.End(l.ID, word, result)
	return l
}

// rests ends all runs and waits until nothing is left over of what a test did.
func (s *site) rests(t testing.TB, conns int) {
	t.Helper()
	standin.Until(t, "nothing is left over", func() bool {
		for len(s.agent.Launches) > 0 {
			s.run(t, "complete", "nobody waits")
		}
		n, carried := s.Counts()
		return n == conns && carried == 0 && s.inGate() == 0 && s.unsent.Load() == 0 && s.Quiet()
	})
}

func TestAnswers(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	n := standin.Dial(t, s.address)
	n.Send(standin.Raw(20, 1, standin.Fields()), standin.Raw(20, 2, standin.Fields("a=b")))
	tr.Say("checks: %v, %v", n.Expect(), n.Expect())
	for stream, end := range []string{"complete", "error", "cancelled", "unknown"} {
		n.Send(standin.Invocation(uint32(stream+1), stream+1))
		tr.Say("%s: %+v", end, s.run(t, end, ""))
		tr.Say("  %v", n.Expect())
	}
	big := strings.Repeat("b", s.bounds.Body)
	n.Send(standin.Raw(10, 9, standin.Fields(standin.Usual(9)...)+big))
	l := s.run(t, "complete", strings.Repeat("r", s.bounds.Result))
	tr.Say("largest body unchanged %t, largest result %d", l.Body == big, len(n.Expect().Body))
	n.Send(standin.Invocation(10, 10, "wait=0"), standin.Invocation(11, 11, "at=1"))
	tr.Say("used up: %d %d", n.Expect().Code, n.Expect().Code)
	s.rests(t, 1)
}

// TestFramesInPieces sends the same frames split at every byte, and all in one.
func TestFramesInPieces(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	n := standin.Dial(t, s.address)
	for _, c := range []byte(standin.Raw(20, 1, standin.Fields("a=b")) + standin.Invocation(2, 2) + standin.Raw(20, 3, "\x00")) {
		n.Send(string([]byte{c}))
	}
	l := standin.Take(t, "a launch", s.agent.Launches)
	tr.Say("byte by byte: %v, %v, %+v", n.Expect(), n.Expect(), l)
	s.agent.End(l.ID, "complete", "r")
	tr.Say("  %v", n.Expect())
	var many []string
	for stream := range 20 {
		many = append(many, standin.Raw(20, uint32(stream), "\x00"))
	}
	n.Send(many...)
	for stream := range 20 {
		if f := n.Expect(); f.Stream != uint32(stream) {
			t.Errorf("answer %d is %v", stream, f)
		}
	}
	s.rests(t, 1)
}

// TestOddFrames: what is wrong within sound borders costs its stream, no other.
func TestOddFrames(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	n := standin.Dial(t, s.address)
	n.Send(standin.Invocation(1, 1))
	sound := standin.Take(t, "a launch", s.agent.Launches)
	for _, c := range []struct{ what, frame string }{
		{"unknown operation", standin.Invocation(2, 2, "class=nothing")},
		{"unknown tenant", standin.Invocation(3, 3, "tenant=nobody")},
		{"no tenant", standin.Invocation(4, 4, "tenant=")},
		{"no fields", standin.Raw(10, 5, "")},
		{"fields cut short", standin.Raw(10, 6, "\x09\x05class")},
		{"body too long", standin.Raw(10, 7, standin.Fields(standin.Usual(7)...)+strings.Repeat("x", s.bounds.Body+1))},
		{"longest frame", standin.Raw(10, 8, strings.Repeat("x", 262_144-5))},
		{"stream 0", standin.Invocation(0, 9)},
		{"unknown type", standin.Raw(77, 1, "payload")},
		{"an answer", standin.Raw(11, 1, "\x01\x00")},
		{"a check cut short", standin.Raw(20, 9, "\x01")},
		{"gone: unknown stream", standin.Raw(12, 99, "") + standin.Raw(20, 10, "\x00")},
		{"an id that is in hand", standin.Invocation(11, 1)},
		{"a stream that is open", standin.Invocation(1, 12)},
	} {
		n.Send(c.frame)
		tr.Say("%s: %v", c.what, n.Expect())
	}
	s.agent.End(sound.ID, "complete", "nobody can tell whose")
	n.Send(standin.Raw(20, 13, "\x00"))
	tr.Say("and still: %v", n.Expect())
	s.rests(t, 1)
}

// TestLostBorders: nothing more is read, what was read whole is answered, then the connection closes.
func TestLostBorders(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	other := standin.Dial(t, s.address)
	for k, length := range []string{"\x00\x00\x00\x04", "\x00\x04\x00\x01", "\xff\xff\xff\xff"} {
		n := standin.Dial(t, s.address)
		n.Send(standin.Invocation(1, 2*k+1), length, "whatever", standin.Invocation(2, 2*k+2))
		tr.Say("length %x: %v", length, n.Expect())
		s.run(t, "complete", "still answered")
		tr.Say("  %v", n.Expect())
		_, err := n.Next()
		tr.Say("  then %v", err)
		s.rests(t, 1)
	}
	other.Send(standin.Raw(20, 1, "\x00"))
	tr.Say("the other connection: %v", other.Expect())
}

// TestGone: whoever left gets no answer, and what was only held for it does not run.
func TestGone(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	n := standin.Dial(t, s.address)
	n.Send(standin.Invocation(1, 1))
	l := standin.Take(t, "a launch", s.agent.Launches)
	n.Send(standin.Raw(12, 1, ""), standin.Raw(20, 2, "\x00"))
	tr.Say("gone while it runs: %v", n.Expect())
	s.agent.End(l.ID, "complete", "too late")
	s.rests(t, 1)
	n.Send(standin.Raw(12, 1, ""), standin.Raw(20, 3, "\x00"))
	tr.Say("gone once answered: %v", n.Expect())

	s.agent.With(func(_, gauges *string) { *gauges = "0.5 9 0.1 1" }) // no room for a start
	asked := s.agent.Samples()                                        // each is asked for after the tick of the one before
	standin.Until(t, "full cores are seen", func() bool { return s.agent.Samples() >= asked+3 })
	n.Send(standin.Invocation(4, 4))
	standin.Until(t, "it is held", func() bool { return s.inGate() == 1 })
	n.Send(standin.Raw(12, 4, ""))
	s.rests(t, 1)
	n.Send(standin.Invocation(5, 5), standin.Invocation(6, 6)[:40])
	standin.Until(t, "it is held", func() bool { return s.inGate() == 1 })
	n.Close()
	s.rests(t, 0)
	tr.Say("launches of what was only held: %d", len(s.agent.Launches))
}

// TestTooMany: more than the protocol allows on a connection, or than this process can hold, is throttled.
func TestTooMany(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, func(b *limit.Bounds, sheet *terms.Sheet) { b.Invocations, sheet.Terms.Cores = 40, 64 })
	one, two := standin.Dial(t, s.address), standin.Dial(t, s.address)
	for k := range 33 {
		one.Send(standin.Invocation(uint32(k+1), k+1))
	}
	tr.Say("the 33rd: %v", one.Expect())
	for k := range 9 {
		two.Send(standin.Invocation(uint32(k+1), 100+k))
	}
	tr.Say("the 41st of all: %v", two.Expect())
	one.Close()
	two.Close()
	s.rests(t, 0)
}

// TestSlowPeer: a caller that reads nothing stalls nobody and is cut off when it goes on sending.
func TestSlowPeer(t *testing.T) {
	s := open(t, func(b *limit.Bounds, _ *terms.Sheet) { b.Unsent = 1 << 20 })
	slow, other := standin.Dial(t, s.address), standin.Dial(t, s.address)
	checks := strings.Repeat(standin.Raw(20, 1, "\x00"), 4000)
	slow.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for range 2000 {
		if _, err := slow.Write([]byte(checks)); err != nil {
			break
		}
	}
	standin.Until(t, "the slow one is cut off", func() bool { n, _ := s.Counts(); return n == 1 })
	other.Send(standin.Raw(20, 1, "\x00"))
	if f := other.Expect(); f.Code != 1 {
		t.Errorf("the other connection: %v", f)
	}
	s.rests(t, 1)
}

// TestStorm: after thousands of connections, many cut within a frame or with runs on the farm, nothing is left.
func TestStorm(t *testing.T) {
	s := open(t, nil)
	before := runtime.NumGoroutine()
	for k := range 2000 {
		n := standin.Dial(t, s.address)
		n.Conn.(*net.TCPConn).SetLinger(0) // a reset, not an end
		n.Send(standin.Invocation(1, 10_000+k), standin.Invocation(2, 50_000+k)[:9+k%30])
		n.Close()
	}
	s.rests(t, 0)
	standin.Until(t, "no goroutine is left over", func() bool { return runtime.NumGoroutine() <= before+4 })
}

// TestFull: connections beyond the bound are closed at once and those that are open go on. Idle ones are asked
// away by type 30, never those with an invocation.
func TestFull(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, func(b *limit.Bounds, _ *terms.Sheet) { b.Connections = 2 })
	one := standin.Dial(t, s.address)
	standin.Dial(t, s.address)
	standin.Until(t, "two are open", func() bool { n, _ := s.Counts(); return n == 2 })
	_, err := standin.Dial(t, s.address).Next()
	tr.Say("the third ends: %t", err != nil)
	one.Send(standin.Invocation(1, 1))
	s.run(t, "complete", "r")
	tr.Say("the first goes on: %v", one.Expect())
	one.Send(standin.Invocation(2, 2))
	l := standin.Take(t, "a launch", s.agent.Launches)
	s.sweep(time.Nanosecond)
	s.agent.End(l.ID, "complete", "r")
	tr.Say("swept while it waits: %v", one.Expect())
	s.rests(t, 2)
	s.sweep(time.Nanosecond)
	s.sweep(time.Nanosecond)
	tr.Say("swept while it rests: %v", one.Expect())
	one.Close()
	standin.Until(t, "one has left", func() bool { n, _ := s.Counts(); return n == 1 })
	late := standin.Dial(t, s.address)
	late.Send(standin.Raw(20, 1, "\x00"))
	tr.Say("room again: %v", late.Expect())
}

// TestTurnAway: type 30 on every connection; what crosses it is still answered; nothing new connects.
func TestTurnAway(t *testing.T) {
	tr := standin.NewTrace(t)
	s := open(t, nil)
	n := standin.Dial(t, s.address)
	n.Send(standin.Invocation(1, 1))
	l := standin.Take(t, "a launch", s.agent.Launches)
	s.TurnAway()
	tr.Say("%v", n.Expect())
	n.Send(standin.Invocation(2, 2))
	crossing := standin.Take(t, "a launch", s.agent.Launches)
	s.agent.End(crossing.ID, "complete", "crossing")
	tr.Say("%v", n.Expect())
	tr.Say("quiet %t", s.Quiet())
	s.agent.End(l.ID, "complete", "r")
	tr.Say("%v", n.Expect())
	standin.Until(t, "all is quiet", s.Quiet)
	standin.Until(t, "nobody can connect", func() bool {
		c, err := net.Dial("tcp", s.address)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	tr.Say("%s", fmt.Sprint("connections left: ", len(s.all())))
}
