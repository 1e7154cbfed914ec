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

// dial connects a new backend and checks the greeting.
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
		t.Fatalf("greeting %q, want %q", line, greeting)
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

// launch launches a run with the given core time.
func (b *backend) launch(id string, work time.Duration) {
	b.t.Helper()
	body := fmt.Sprintf("work=%d", work.Microseconds())
	b.send(fmt.Sprintf("launch %s look %d\r\n%s\r\n", id, len(body), body))
}

// outcome reads a notice. It returns the notice without its number and duration, and the duration in milliseconds.
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

// TestConcurrentRunsShareCoresEvenly checks that two runs on one core progress at half its speed each, and that Slow
// reduces the speed. All bounds are lower bounds, which a busy machine does not break.
func TestConcurrentRunsShareCoresEvenly(t *testing.T) {
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
	alone := time.Since(began) // upper bound of the time that a ran without b
	text, ms := b.outcome()
	if least := float64((2*work - alone).Milliseconds()) - 1; text != "a complete: result of a" || ms < least {
		t.Errorf("%s after %.1f ms, want at least %.1f", text, ms, least)
	}
	if text, _ := b.outcome(); text != "b complete: result of b" || time.Since(began) < 2*work-time.Millisecond {
		t.Errorf("%s, both after %v, want at least %v", text, time.Since(began), 2*work)
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

// TestRepeatedLaunchIsIgnoredOrCounted checks that a repeated launch of the same backend is ignored, and that one of
// the next backend is counted as launched twice.
func TestRepeatedLaunchIsIgnoredOrCounted(t *testing.T) {
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
	second := dial(t, e, "greeting chilly 0") // the cores are cold for a new backend
	second.launch("a", time.Hour/2)
	if text, _ := second.outcome(); text != "a error: full" {
		t.Errorf("next backend: %s", text)
	}
	if _, _, twice := e.Counts(); twice != 1 {
		t.Errorf("%d launched twice, want 1", twice)
	}
}

// TestOverloadSlowsRunsBySquareOfExcess checks that with twice as many runs as CollapseMultiple allows, each run
// progresses at an eighth of a core's speed: half as two share it, and a quarter of that by the square of the excess.
func TestOverloadSlowsRunsBySquareOfExcess(t *testing.T) {
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
		t.Errorf("%s after %.1f ms, want about %v", text, ms, 8*work)
	}
}

// TestNewBackendGetsNoOutcomeOfFormerRuns checks that runs continue when their backend is replaced, and that their
// outcomes are not sent to the new backend.
func TestNewBackendGetsNoOutcomeOfFormerRuns(t *testing.T) {
	e := start(t, Config{Cores: 2, CollapseMultiple: 8, ServiceTime: time.Second, MaxRuns: 10})
	dial(t, e, "greeting hot 3600000").launch("a", 50*time.Millisecond)
	fakes.Until(t, "a was launched", func() bool {
		finished, running, _ := e.Counts()
		return finished+running == 1
	})
	next := dial(t, e, "greeting hot 3600000")
	next.launch("b", 200*time.Millisecond)
	if text, _ := next.outcome(); text != "b complete: result of b" {
		t.Errorf("first outcome: %s", text)
	}
	if finished, _, _ := e.Counts(); finished != 2 {
		t.Errorf("%d runs finished, want 2", finished)
	}
}
