package executor

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/ratelimitlog"
	"milletbarrow/monotime"
)

func TestLines(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, line := range []string{
		"greeting chilly 120", "greeting hot 3600000", "greeting warm 1", "greeting hot", "greeting hot -1", "greeting hot 1 2",
		"outcome 7 9b1f03aa5c7e2d41 complete 18.5 4096", "outcome 8 9b1f03aa5c7e2d41 error 3 0",
		"outcome 9 9b1f03aa5c7e2d41 cancelled 3 0", "outcome 10 9b1f03aa5c7e2d41 unknown 0 0", "outcome 0 a error 3 0",
		"outcome x a error 3 0", "outcome 11 a melted 3 0", "outcome 12 a error 3 -1", "outcome 13 a error x 0", "outcome 14 a error 3",
		"sampled t5 0.62 3 0.41 120", "sampled t5 0.62 three", "sampled t5 NaN", "sampled", "refusal launch 9b1f03aa5c7e2d41",
		"refusal launch", "aside 15 all is well", "aside nothing", "", "shout 1", "greeting hot 1\r", "outcome  7 a error 3 0",
	} {
		n, err := parse([]byte(line), nil)
		tr.Say("%-48q kind %d number %d id %q command %q cold %t took %d end %d length %d tag %q gauges %v error %v", line, n.kind,
			n.number, n.id, n.command, n.cold, n.micros, n.end, n.length, n.tag, n.gauges, err)
	}
	tr.Say("%q", appendLaunch(nil, "9b1f03aa5c7e2d41", "look", []byte("a\r\nb")))
	tr.Say("%q %q", appendSubscribe(nil, 12), appendSample(nil, 3))
}

func FuzzLines(f *testing.F) {
	f.Add([]byte("outcome 7 9b1f03aa5c7e2d41 complete 18.5 40"))
	f.Add([]byte("sampled t5 0.62 3 0.41 120"))
	f.Fuzz(func(t *testing.T, line []byte) {
		n, err := parse(line, nil)
		if err == nil && (n.length < 0 || n.micros < 0 || n.kind == outcome && (n.number == 0 || len(n.id) == 0)) {
			t.Fatalf("%q read as %+v", line, n)
		}
	})
}

// connect runs a client of the executor until the test ends.
func connect(t *testing.T, a *fakes.ScriptedExecutor) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	l := New(a.Address, limits.For(1, 192, 1024), ratelimitlog.New(time.Hour), func(bool, monotime.Micros) {})
	done := make(chan struct{})
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); fakes.Take(t, "the client's end", done) })
	return l
}

// runOnce launches a run, does what the executor is to do with it, and prints its outcome.
func runOnce(tr *fakes.Trace, l *Client, a *fakes.ScriptedExecutor, id, name string, do func()) {
	run := l.Launch(id, "look", []byte("body"))
	fakes.Take(tr, "a launch", a.Launches)
	do()
	end := fakes.Take(tr, "the end of "+name, run.Done())
	tr.Say("%s: end %d, %d bytes %.12q, runs left %d", name, end.End, len(end.Result), end.Result, l.runsInFlight())
}

func TestRunOutcomes(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	id := func(n int) string { return fmt.Sprintf("%016x", n) }
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Until(t, "the connection is up", l.Available)
	runOnce(tr, l, a, id(1), "complete", func() { a.End(id(1), "complete", "result\r\n") })
	runOnce(tr, l, a, id(2), "empty result", func() { a.End(id(2), "complete", "") })
	runOnce(tr, l, a, id(3), "largest result", func() { a.End(id(3), "complete", strings.Repeat("r", 4096)) })
	runOnce(tr, l, a, id(4), "result too long", func() { a.End(id(4), "complete", strings.Repeat("r", 9000)) })
	runOnce(tr, l, a, id(5), "error", func() { a.End(id(5), "error", "") })
	runOnce(tr, l, a, id(6), "unknown", func() { a.End(id(6), "unknown", "") })
	runOnce(tr, l, a, id(7), "cancelled", func() { a.End(id(7), "cancelled", "") })
	runOnce(tr, l, a, id(8), "refusal", func() { a.Send("refusal launch " + id(8) + "\r\n") })
	runOnce(tr, l, a, id(9), "in pieces", func() {
		for _, c := range "outcome 8 " + id(9) + " complete 3 4\r\nabcd\r\n" {
			a.Send(string(c))
		}
	})
	runOnce(tr, l, a, id(10), "end of an unknown run before", func() {
		a.End(id(99), "complete", "x")
		a.Notice("aside %d a remark\r\n")
		a.End(id(10), "complete", "mine")
	})
}

// TestConnectionLost: outcomes of runs that ended while there was no connection arrive on the next one, once each, and launches
// that the executor has not read are sent there.
func TestConnectionLost(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	tr.Say("subscribe %d", fakes.Take(t, "the first connection", a.Subscribes))
	fakes.Until(t, "the connection is up", l.Available)
	one, two := l.Launch("00000000000000a1", "look", nil), l.Launch("00000000000000a2", "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	fakes.Take(t, "a launch", a.Launches)
	a.End("00000000000000a1", "complete", "first")
	tr.Say("%q", fakes.Take(t, "the first end", one.Done()).Result)
	a.Cut()
	a.End("00000000000000a2", "complete", "second")
	tr.Say("%q", fakes.Take(t, "the second end", two.Done()).Result)
	tr.Say("subscribe %d", fakes.Take(t, "the second connection", a.Subscribes))

	a.With(func(state, _ *string) { *state = "" })
	a.Cut()
	tr.Say("up while the cut is short: %t", l.Available())
	fakes.Until(t, "the loss is long", func() bool { return !l.Available() })
	three := l.Launch("00000000000000a3", "look", nil)
	tr.Say("subscribe %d, the farm is not up", fakes.Take(t, "the third connection", a.Subscribes))
	a.With(func(state, _ *string) { *state = "hot 1" })
	tr.Say("launched once it is: %+v", fakes.Take(t, "the launch held for the connection", a.Launches))
	a.End("00000000000000a3", "complete", "third")
	tr.Say("%q, runs left %d", fakes.Take(t, "the third end", three.Done()).Result, l.runsInFlight())
}

// TestBrokenConnectionsAndRepeatedNotices: connections break within a notice or a result, with commands unread, or before the
// greeting; notices arrive twice under one number, with remarks between. Each run ends once, with its own result.
func TestBrokenConnectionsAndRepeatedNotices(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Until(t, "the connection is up", l.Available)
	id := func(n int) string { return fmt.Sprintf("00000000000000c%d", n) }
	runOnce(tr, l, a, id(1), "cut within its notice", func() {
		a.Send("outcome 1 " + id(1) + " comp")
		a.Cut()
		a.End(id(1), "complete", "first")
	})
	runOnce(tr, l, a, id(2), "cut within its result", func() {
		a.Send("outcome 2 " + id(2) + " complete 3 6\r\nsec")
		a.Cut()
		a.End(id(2), "complete", "second")
	})
	other := l.Launch(id(9), "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	runOnce(tr, l, a, id(3), "twice, with remarks", func() {
		a.End(id(3), "complete", "third")
		a.Notice("aside %d between\r\n")
		a.Send("outcome 3 " + id(9) + " complete 3 5\r\nwrong\r\naside 4 between\r\naside 4 between\r\n")
	})
	runOnce(tr, l, a, id(4), "its launch unread", func() {
		a.Forget(id(4))
		a.Cut()
		tr.Say("launched again: %v", fakes.Take(t, "a launch", a.Launches))
		a.End(id(4), "complete", "fourth")
	})
	runOnce(tr, l, a, id(5), "cut again before the greeting", func() {
		for len(a.Subscribes) > 0 {
			<-a.Subscribes
		}
		a.With(func(state, _ *string) { *state = "" })
		for range 3 {
			a.Cut()
			tr.Say("subscribe %d", fakes.Take(t, "a connection", a.Subscribes))
		}
		a.End(id(5), "complete", "fifth")
		a.With(func(state, _ *string) { *state = "hot 1" })
	})
	a.End(id(9), "complete", "its own")
	tr.Say("the other: %q, launches left %d", fakes.Take(t, "its end", other.Done()).Result, len(a.Launches))
}

// TestUnreadableNoticeEndsItsRun: a line that cannot be parsed ends the connection, and the run that it names, no other; it is
// not read again on each new connection.
func TestUnreadableNoticeEndsItsRun(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Until(t, "the connection is up", l.Available)
	other := l.Launch("00000000000000b0", "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	for n, text := range []string{
		"garbage\r\n", "outcome %d 00000000000000b%x melted 3 0\r\n\r\n", "outcome %d 00000000000000b%x complete 3 2\r\nabXX",
		strings.Repeat("x", 3000), "sampled t1 x\r\n", "greeting hot 1\n",
	} {
		id := fmt.Sprintf("00000000000000b%x", n+1)
		run := l.Launch(id, "look", nil)
		fakes.Take(t, "a launch", a.Launches)
		if strings.HasPrefix(text, "outcome") {
			a.Notice(strings.Replace(text, "%x", fmt.Sprintf("%x", n+1), 1))
		} else {
			a.Send(text)
		}
		tr.Say("%.50q: subscribe %d", text, fakes.Take(t, "a new connection", a.Subscribes))
		fakes.Until(t, "the connection is up", l.Available)
		if !strings.HasPrefix(text, "outcome") {
			a.End(id, "complete", "")
		}
		tr.Say("  end %d", fakes.Take(t, "the run's end", run.Done()).End)
	}
	a.End("00000000000000b0", "complete", "unharmed")
	tr.Say("the other: %q, runs left %d", fakes.Take(t, "its end", other.Done()).Result, l.runsInFlight())
}

// TestSampleIsRequestedAgain: a sample that does not arrive is requested again after a while, and is not mistaken for the later
// one if it arrives after all; requests never block.
func TestSampleIsRequestedAgain(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Until(t, "the connection is up", l.Available)
	fakes.Take(t, "the first sample", l.Samples())
	a.With(func(_, gauges *string) { *gauges = "" })
	asked := 0
	for range 1000 {
		if l.RequestSample() {
			asked++
		}
	}
	tr.Say("asked %d times while the answer is to come", asked)
	fakes.Until(t, "it asks again", l.RequestSample)
	fakes.Until(t, "both have been read", func() bool { return a.Samples() == 3 })
	a.Send("sampled t2 0.1 1 0 0\r\nsampled t3 0.1 2 0 0\r\n")
	tr.Say("%v", fakes.Take(t, "a sample", l.Samples()))
	a.With(func(_, gauges *string) { *gauges = "0.5 7 0.1 1" })
	a.Cut()
	tr.Say("of the next link: %v", fakes.Take(t, "a sample", l.Samples()))
}

// TestMoveWithoutGreeting: until the executor at the new address has greeted, launches go to the connection in use; where that
// ends first the new one replaces it, and a move back and forth leaves one connection.
func TestMoveWithoutGreeting(t *testing.T) {
	tr := fakes.NewTrace(t)
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Until(t, "the connection is up", l.Available)
	fakes.Take(t, "a sample", l.Samples())
	move := func() (cut func()) {
		cut = a.Move()
		l.SetAddress(a.Address)
		fakes.Take(t, "a new connection", a.Subscribes)
		return cut
	}
	greet := func(state string) { a.With(func(now, _ *string) { *now = state }) }
	greet("")
	move()
	one := l.Launch("00000000000000d1", "look", nil)
	tr.Say("before the greeting: %v", fakes.Take(t, "a launch on the connection in use", a.Launches))
	greet("hot 1")
	fakes.Take(t, "the new link is synced", l.Samples())
	a.End("00000000000000d1", "complete", "first")
	tr.Say("%q, launched again %d times", fakes.Take(t, "its end", one.Done()).Result, len(a.Launches))

	greet("")
	move()
	cut := move() // the one in between never greeted
	cut()
	two := l.Launch("00000000000000d2", "look", nil)
	greet("hot 1")
	tr.Say("two moves: %v", fakes.Take(t, "a launch", a.Launches))
	a.End("00000000000000d2", "complete", "second")
	tr.Say("%q", fakes.Take(t, "its end", two.Done()).Result)
	fakes.Take(t, "a sample", l.Samples())

	greet("")
	cut = move()
	cut() // the connection in use, before the new one is greeted
	three := l.Launch("00000000000000d3", "look", nil)
	greet("hot 1")
	tr.Say("the link in use ends first: %v", fakes.Take(t, "a launch", a.Launches))
	a.End("00000000000000d3", "complete", "third")
	tr.Say("%q, runs left %d", fakes.Take(t, "its end", three.Done()).Result, l.runsInFlight())
}

// TestSilentConnectionIsReplaced: a synced connection that stays open and brings nothing is replaced; runs go on.
func TestSilentConnectionIsReplaced(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Until(t, "the connection is up", l.Available)
	fakes.Take(t, "a sample", l.Samples())
	run := l.Launch("00000000000000e1", "look", nil)
	fakes.Take(t, "a launch", a.Launches)
	a.With(func(_, gauges *string) { *gauges = "" })
	fakes.Until(t, "a connection beside it", func() bool { l.RequestSample(); return len(a.Subscribes) == 1 })
	a.With(func(_, gauges *string) { *gauges = "0.1 0 0 0" })
	fakes.Until(t, "the new one is synced", func() bool { l.RequestSample(); return len(l.Samples()) > 0 })
	a.End("00000000000000e1", "complete", "r")
	if end := fakes.Take(t, "its end", run.Done()); string(end.Result) != "r" || len(a.Launches) != 0 {
		t.Errorf("%+v, launched again %d times", end, len(a.Launches))
	}
}

// TestConnectionWithoutGreetingIsReplaced: a new connection is accepted and never greeted, though the executor had greeted before.
// It is replaced, as is one beside a silent connection. A run launched meanwhile is sent once.
func TestConnectionWithoutGreetingIsReplaced(t *testing.T) {
	for name, beside := range map[string]bool{"beside": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := fakes.NewScriptedExecutor(t)
			l := connect(t, a)
			fakes.Take(t, "the first connection", a.Subscribes)
			fakes.Take(t, "a sample", l.Samples())
			a.With(func(state, _ *string) { *state = "" })
			if beside {
				a.Move()
				l.SetAddress(a.Address)
			} else {
				a.Cut()
			}
			fakes.Take(t, "a connection that is not greeted", a.Subscribes)
			run := l.Launch("00000000000000e2", "look", nil)
			fakes.Until(t, "another", func() bool { l.RequestSample(); return len(a.Subscribes) > 0 })
			<-a.Subscribes
			a.With(func(state, _ *string) { *state = "hot 1" })
			fakes.Take(t, "a launch", a.Launches)
			a.End("00000000000000e2", "complete", "r")
			if end := fakes.Take(t, "its end", run.Done()); string(end.Result) != "r" || len(a.Launches) != 0 {
				t.Errorf("%+v, launched again %d times", end, len(a.Launches))
			}
		})
	}
}

// TestLateSamplesKeepTheConnection: an executor that answers each sample too late to count is slow, not silent.
func TestLateSamplesKeepTheConnection(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Take(t, "a sample", l.Samples())
	a.With(func(_, gauges *string) { *gauges = "" })
	for startedAt := time.Now(); time.Since(startedAt) < l.bounds.ExecutorSilence*3/2; time.Sleep(20 * time.Millisecond) {
		l.RequestSample()
		a.Send("sampled t1 0.1 1 0 0\r\n")
	}
	if len(a.Subscribes) > 0 {
		t.Error("another connection was made")
	}
}

// TestMoveToAddressThatRefuses: the new address refuses connections. Runs go on over the connection in use, and a move back
// leaves one connection.
func TestMoveToAddressThatRefuses(t *testing.T) {
	a := fakes.NewScriptedExecutor(t)
	l := connect(t, a)
	fakes.Take(t, "the first connection", a.Subscribes)
	fakes.Take(t, "a sample", l.Samples())
	l.SetAddress("127.0.0.1:1")
	for k, id := range []string{"00000000000000f1", "00000000000000f2"} {
		run := l.Launch(id, "look", nil)
		fakes.Take(t, "a launch", a.Launches)
		a.End(id, "complete", id)
		if end := fakes.Take(t, "its end", run.Done()); string(end.Result) != id || !l.Available() {
			t.Errorf("%+v, up %t", end, l.Available())
		}
		if k == 0 {
			l.SetAddress(a.Address)
			fakes.Take(t, "a connection beside it", a.Subscribes)
			fakes.Take(t, "a sample of it", l.Samples())
		}
	}
}
