package timedexecutor

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// backend is a backend's connection to an executor.
type backend struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

// dial connects a backend that has just started, and reads the greeting.
func dial(t *testing.T, e *Executor, greeting string) *backend {
	t.Helper()
	conn, err := net.Dial("tcp", e.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	b := &backend{t: t, conn: conn, in: bufio.NewReader(conn)}
	b.send("subscribe 0\r\n")
	if line := b.line(); line != greeting {
		t.Fatalf("greeting %q, wanted %q", line, greeting)
	}
	return b
}

func (b *backend) send(text string) {
	b.t.Helper()
	if _, err := io.WriteString(b.conn, text); err != nil {
		b.t.Fatal(err)
	}
}

func (b *backend) line() string {
	b.t.Helper()
	line, err := b.in.ReadString('\n')
	if err != nil {
		b.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// launch asks for a run of so much work.
func (b *backend) launch(id string, work time.Duration) {
	b.t.Helper()
	body := fmt.Sprintf("work=%d", work.Microseconds())
	b.send(fmt.Sprintf("launch %s look %d\r\n%s\r\n", id, len(body), body))
}

// outcome reads a notice and returns it, without the number and the duration, and the duration in milliseconds.
func (b *backend) outcome() (text string, ms float64) {
	b.t.Helper()
	var number, size int
	var id, result string
	line := b.line()
	if _, err := fmt.Sscanf(line, "outcome %d %s %s %f %d", &number, &id, &result, &ms, &size); err != nil {
		b.t.Fatalf("%q: %v", line, err)
	}
	return id + " " + result + ": " + b.line(), ms
}

func start(t *testing.T, config Config) *Executor {
	t.Helper()
	e, err := Start("127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// TestRunsShareTheCores: two runs on one core progress at half its speed each, and a slower core takes longer still. The
// bounds hold on any machine, as a busy one only adds to the times.
func TestRunsShareTheCores(t *testing.T) {
	e := start(t, Config{Cores: 1, CollapseMultiple: 8, ServiceTime: time.Second, MaxRuns: 10})
	b := dial(t, e, "greeting hot 3600000")
	const work = 50 * time.Millisecond
	began := time.Now()
	b.launch("a", work)
	b.launch("b", work)
	fakes.Until(t, "both were launched", func() bool {
		finished, running, _ := e.Counts()
		return finished+running == 2
	})
	alone := time.Since(began) // a ran without b for this long at the most
	text, ms := b.outcome()
	if least := float64((2*work - alone).Milliseconds()) - 1; text != "a complete: result of a" || ms < least {
		t.Errorf("%s after %.1f ms, wanted at least %.1f", text, ms, least)
	}
	if text, _ := b.outcome(); text != "b complete: result of b" || time.Since(began) < 2*work-time.Millisecond {
		t.Errorf("%s, both after %v, wanted at least %v", text, time.Since(began), 2*work)
	}
	e.Slow(3)
	b.launch("c", work)
	if text, ms := b.outcome(); text != "c complete: result of c" || ms < 149 {
		t.Errorf("%s after %.1f ms at a third of the speed", text, ms)
	}
	if finished, running, twice := e.Counts(); finished != 3 || running != 0 || twice != 0 {
		t.Errorf("%d finished, %d running, %d launched twice", finished, running, twice)
	}
}

// TestRepeatedLaunches: a launch is ignored where the same backend repeats it, and counted where the next one does.
func TestRepeatedLaunches(t *testing.T) {
	e := start(t, Config{Cores: 1, CollapseMultiple: 8, ServiceTime: time.Second, WarmUp: time.Hour, ColdSpeed: 0.5, MaxRuns: 2})
	first := dial(t, e, "greeting hot 3600000")
	first.launch("a", time.Hour/2)
	first.launch("a", time.Hour/2)
	first.launch("b", time.Hour/2)
	first.launch("c", time.Hour/2) // beyond MaxRuns
	if text, _ := first.outcome(); text != "c error: full" {
		t.Errorf("beyond MaxRuns: %s", text)
	}
	if finished, running, twice := e.Counts(); finished != 0 || running != 2 || twice != 0 {
		t.Errorf("one backend: %d finished, %d running, %d launched twice", finished, running, twice)
	}
	second := dial(t, e, "greeting chilly 0") // its cores are cold
	second.launch("a", time.Hour/2)
	if text, _ := second.outcome(); text != "a error: full" {
		t.Errorf("of the next backend: %s", text)
	}
	if _, _, twice := e.Counts(); twice != 1 {
		t.Errorf("%d launched twice, wanted 1", twice)
	}
}

// TestOverload: with twice the runs that the cores bear, each run progresses at an eighth of a core: half for the second
// run, and a quarter of that by the square of the excess.
func TestOverload(t *testing.T) {
	e := start(t, Config{Cores: 1, CollapseMultiple: 1, ServiceTime: time.Second, MaxRuns: 10})
	b := dial(t, e, "greeting hot 3600000")
	const work = 50 * time.Millisecond
	began := time.Now()
	b.launch("a", work)
	b.launch("b", work)
	fakes.Until(t, "both were launched", func() bool {
		finished, running, _ := e.Counts()
		return finished+running == 2
	})
	alone := time.Since(began)
	if text, ms := b.outcome(); text != "a complete: result of a" || ms < float64((8*(work-alone)).Milliseconds())-1 {
		t.Errorf("%s after %.1f ms, wanted some %v", text, ms, 8*work)
	}
}

// TestNextBackendGetsNoOutcomeOfTheOneBefore: runs go on when their backend is replaced, but their outcomes are not sent to
// the next one.
func TestNextBackendGetsNoOutcomeOfTheOneBefore(t *testing.T) {
	e := start(t, Config{Cores: 2, CollapseMultiple: 8, ServiceTime: time.Second, MaxRuns: 10})
	dial(t, e, "greeting hot 3600000").launch("a", 50*time.Millisecond)
	fakes.Until(t, "a was launched", func() bool {
		finished, running, _ := e.Counts()
		return finished+running == 1
	})
	next := dial(t, e, "greeting hot 3600000")
	next.launch("b", 200*time.Millisecond)
	if text, _ := next.outcome(); text != "b complete: result of b" {
		t.Errorf("the first outcome is %s", text)
	}
	if finished, _, _ := e.Counts(); finished != 2 {
		t.Errorf("%d runs finished, wanted 2", finished)
	}
}
