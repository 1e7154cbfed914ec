package main

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// TestReloadKeepsRunsAndConnections: a reload switches to the new addresses and keeps runs, subscription numbers and
// connections. It does so in quick succession, with a broken executor link, during a drain, and with an executor that
// does not answer yet.
func TestReloadKeepsRunsAndConnections(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepareWithShutdownWindow(t, 2*time.Second, 6*time.Second)
	b.executor.With(func(state, _ *string) { *state = "" })
	b.start()
	tr.Say("subscribe %d", fakes.Take(t, "a link", b.executor.Subscribes))
	raw, err := os.ReadFile(b.config)
	if err != nil {
		t.Fatal(err)
	}
	now := string(raw)
	move := func(situation string, meanwhile func()) (cut func()) {
		before, reports := b.executor.Address, b.reports
		cut = b.executor.Move()
		meanwhile()
		var registry string
		registry, b.reports = fakes.NewRegistry(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		now = regexp.MustCompile(`"roster":"[^"]*"`).ReplaceAllString(strings.Replace(now, before, b.executor.Address, 1), `"roster":"`+registry+`"`)
		b.configure(now)
		tr.Say("%s: subscribe %d", situation, fakes.Take(t, "a new link", b.executor.Subscribes))
		if !b.logged("event=drain")() {
			tr.Say("  %s", fakes.Take(t, "a report to the new registry", b.reports))
		}
		for len(reports) > 0 {
			<-reports
		}
		return cut
	}
	move("before the first greeting", func() {})
	b.executor.With(func(state, _ *string) { *state = "hot 1" })
	b.ready()
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1))
	one := fakes.Take(t, "a launch", b.executor.Launches)
	n.Send(fakes.Invocation(2, 2))
	two := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(one.ID, "complete", "before")
	tr.Say("%v", n.Expect())
	cut := move("with a run in flight", func() {})
	b.executor.End(two.ID, "complete", "after")
	tr.Say("%v", n.Expect())
	cut()
	n.Send(fakes.Invocation(3, 3))
	three := fakes.Take(t, "a launch", b.executor.Launches)
	tr.Say("good all along: %t", !b.logged("event=executor_lost")())

	b.configure(now + "}")
	fakes.Until(t, "the invalid file is logged", b.logged("event=reload used=false"))
	b.configure(strings.Replace(now, `"stop_ms":6000`, `"stop_ms":900`, 1))
	fakes.Until(t, "the field is named", b.logged(`restart_required=stop_ms`))
	for range 5 {
		b.cmd.Process.Signal(syscall.SIGHUP)
	}
	move("the link is broken", func() {
		b.executor.Cut()
		b.executor.End(three.ID, "complete", "while the link was broken")
	})
	tr.Say("%v", n.Expect())

	asked := b.executor.Samples() // the second sample is requested once the link is in sync
	fakes.Until(t, "the link is in sync", func() bool { return b.executor.Samples() >= asked+2 })
	b.executor.With(func(state, _ *string) { *state = "" })
	n.Send(fakes.Invocation(4, 4, "wait=20000"))
	four := fakes.Take(t, "a launch", b.executor.Launches)
	move("to an executor that is not there yet", func() {})
	n.Send(fakes.Invocation(5, 5, "wait=20000"))
	b.executor.With(func(state, _ *string) { *state = "hot 1" })
	five := fakes.Take(t, "the launch that waited for the link", b.executor.Launches)
	since := b.term()
	fakes.Until(t, "the drain begins", b.logged("event=drain"))
	move("while draining", func() {})
	for _, l := range []fakes.Launch{four, five} {
		b.executor.End(l.ID, "complete", "moved")
		tr.Say("%v", n.Expect())
	}
	n.Close()
	b.exit(tr, since)
	tr.Say("launches left %d", len(b.executor.Launches))
}

// TestReloadRetriesHalfWrittenFile: a file that is half written at SIGHUP is read again without another signal.
func TestReloadRetriesHalfWrittenFile(t *testing.T) {
	b := prepare(t).start().ready()
	raw, err := os.ReadFile(b.config)
	if err != nil {
		t.Fatal(err)
	}
	for len(b.executor.Subscribes) > 0 {
		<-b.executor.Subscribes
	}
	before := b.executor.Address
	b.executor.Move()
	text := strings.Replace(string(raw), before, b.executor.Address, 1)
	b.configure(text[:len(text)/2])
	fakes.Until(t, "the half-written file is rejected", b.logged("event=reload used=false"))
	if err := os.WriteFile(b.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	fakes.Take(t, "a link to the new address", b.executor.Subscribes)
}
