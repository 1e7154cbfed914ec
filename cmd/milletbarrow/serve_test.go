package main

import (
	"fmt"
	"net"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
)

// TestDrainAnswersRunsAndDeregisters: during the grace period new invocations run, after it they are rejected, and a
// run in progress is answered before the process exits. The last report takes the backend off the registry.
func TestDrainAnswersRunsAndDeregisters(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepareWithShutdownWindow(t, time.Second, 4500*time.Millisecond).start().ready()
	tr.Say("registry: %s", fakes.Take(t, "a report", b.reports))
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1), fakes.Invocation(2, 2))
	launched := map[string]fakes.Launch{} // concurrent, so in either order
	for range 2 {
		l := fakes.Take(t, "a launch", b.executor.Launches)
		launched[l.ID] = l
	}
	first, second := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
	if want := (fakes.Launch{ID: first, Operation: "look", Body: "body 1"}); launched[first] != want {
		t.Errorf("launched %+v, want also %+v", launched, want)
	}
	b.executor.End(second, "complete", "the result")
	tr.Say("%+v: %v", launched[second], n.Expect())
	since := b.term()
	b.term()
	fakes.Until(t, "the drain begins", b.logged("event=drain"))
	n.Send(fakes.Invocation(3, 3))
	grace := fakes.Take(t, "a launch within the grace", b.executor.Launches)
	b.executor.End(grace.ID, "complete", "within the grace")
	tr.Say("%v", n.Expect())
	tr.Say("once the grace is over: %v", n.Expect())
	n.Send(fakes.Invocation(4, 4))
	tr.Say("after it: %v", n.Expect())
	b.executor.End(first, "complete", "it had time")
	tr.Say("%v", n.Expect())
	n.Close()
	b.exit(tr, since)
	last := ""
	for len(b.reports) > 0 {
		last = <-b.reports
	}
	tr.Say("registry: %s, launches left %d", last, len(b.executor.Launches))
}

// TestDrainWithUnfinishedRunsAnswersBeforeStop: every invocation is answered before the stop deadline, even if the
// executor is saturated, silent or disconnected.
func TestDrainWithUnfinishedRunsAnswersBeforeStop(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, condition := range []string{"silent", "full", "gone"} {
		b := prepare(t).start().ready()
		n := fakes.Dial(t, b.address)
		n.Send(fakes.Invocation(1, 1))
		fakes.Take(t, "a launch", b.executor.Launches)
		if condition == "full" { // so that the other invocations are queued
			asked := b.executor.Samples()
			b.executor.With(func(_, gauges *string) { *gauges = "0.5 9 0.1 1" })
			fakes.Until(t, "full cores are seen", func() bool { return b.executor.Samples() >= asked+3 })
		}
		n.Send(fakes.Invocation(2, 2), fakes.Invocation(3, 3))
		if condition != "full" {
			fakes.Take(t, "a launch", b.executor.Launches)
		}
		if condition == "gone" {
			b.executor.With(func(state, _ *string) { *state = "" })
			b.executor.Cut()
			fakes.Until(t, "the link is lost", b.logged("event=executor_lost"))
		}
		endStalls := watchStalls()
		since := b.term()
		var codes []byte
		for len(codes) < 3 {
			if f := n.Expect(); f.Type == 11 {
				codes = append(codes, f.Code)
			}
		}
		took, stalled := time.Since(since), endStalls()
		t.Logf("%s: all answered %v after the notice, test process delayed by %v", condition, took, stalled)
		tr.Say("executor %s: %d answers before the stop %t", condition, len(codes), took < b.stop+stalled)
		b.exit(tr, since)
	}
}

// TestBackendBeforeExecutorGreetingThrottles: before the executor's first greeting health is bad and work is throttled,
// and a shutdown is quick.
func TestBackendBeforeExecutorGreetingThrottles(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepare(t)
	b.executor.With(func(state, _ *string) { *state = "" })
	b.start()
	fakes.Take(t, "a link", b.executor.Subscribes)
	n := fakes.Dial(t, b.address)
	n.Send(fakes.EncodeFrame(20, 1, "\x00"), fakes.Invocation(2, 2))
	tr.Say("%v, %v", n.Expect(), n.Expect())
	b.executor.With(func(state, _ *string) { *state = "chilly 5" })
	b.ready()
	n.Send(fakes.Invocation(3, 3))
	fakes.Take(t, "a launch", b.executor.Launches)

	b = prepare(t)
	b.executor.With(func(state, _ *string) { *state = "" })
	b.start()
	fakes.Take(t, "a link", b.executor.Subscribes)
	b.exit(tr, b.term())
}

// TestKilledBackendRestartsOnSameAddress: a backend that is killed restarts at once with the same name and address,
// also if the address is still in use for a short time.
func TestKilledBackendRestartsOnSameAddress(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepare(t)
	taken, err := net.Listen("tcp", b.address) // as by a previous process that has not ended yet
	if err != nil {
		t.Fatal(err)
	}
	b.start()
	fakes.Until(t, "the backend finds the address in use", b.logged("event=listen_taken"))
	taken.Close()
	b.ready()
	n := fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 1))
	fakes.Take(t, "a launch", b.executor.Launches)
	b.cmd.Process.Kill()
	_ = fakes.Take(t, "the end", b.ended) // an error, as it was killed
	b.start().ready()
	n = fakes.Dial(t, b.address)
	n.Send(fakes.Invocation(1, 2))
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "again")
	tr.Say("%v", n.Expect())
}

// TestSuspendedBackendMeetsDeadline: a process that was suspended for 120 ms still meets deadlines after it resumes.
func TestSuspendedBackendMeetsDeadline(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepare(t).start().ready()
	n := fakes.Dial(t, b.address)
	began := time.Now()
	n.Send(fakes.Invocation(1, 1, "wait=1000")) // long enough to launch it on a busy machine
	fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.With(func(_, gauges *string) { *gauges = "" }) // the executor sends no more samples
	b.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(120 * time.Millisecond) // the length of the suspension; there is no condition to wait for
	b.cmd.Process.Signal(syscall.SIGCONT)
	f := n.Expect()
	// The answer is due within 130 ms after the wait; a busy machine may observe it later.
	t.Logf("answered after %v", time.Since(began))
	tr.Say("%v, in time %t", f, time.Since(began) < 1750*time.Millisecond)
}

// TestDescriptorLimitKeepsOpenConnectionsServed: with more connections than descriptors, open connections are still
// served, the process stays within its limit, and it accepts again once connections are closed.
func TestDescriptorLimitKeepsOpenConnectionsServed(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepare(t, `"sockets":1024`, `"sockets":64`).start().ready()
	n := fakes.Dial(t, b.address)
	n.Send(fakes.EncodeFrame(20, 1, "\x00"))
	n.Expect()
	all := make([]*fakes.EdgeNode, 0, 100)
	for range 100 {
		all = append(all, fakes.Dial(t, b.address))
	}
	n.Send(fakes.Invocation(2, 2))
	l := fakes.Take(t, "a launch", b.executor.Launches)
	b.executor.End(l.ID, "complete", "still here")
	tr.Say("%v", n.Expect())
	fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid))
	tr.Say("%v, within the limit %t", err, len(fds) <= 64)
	for _, o := range all {
		o.Close()
	}
	b.ready()
	fakes.Until(t, "descriptors are released", func() bool {
		fds, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", b.cmd.Process.Pid))
		return len(fds) < 24
	})
}

// TestFullBackendThrottlesWithinMemoryLimit: the process holds its maximum of invocations, with the largest bodies and
// results and callers that read nothing until the end. Further invocations are throttled, each gets an answer, memory
// stays within its limit, and nothing is in flight at the end.
func TestFullBackendThrottlesWithinMemoryLimit(t *testing.T) {
	tr := fakes.NewTrace(t)
	b := prepare(t, `"n_cores":2`, `"n_cores":5000`, `"mem_limit_kb":90000`, `"mem_limit_kb":90000000`).start().ready()
	b.executor.With(func(_, gauges *string) { *gauges = "0.1 0 0.1 1" })
	var nodes []*fakes.EdgeNode
	send := func(from, to int) {
		for k := from; k < to; k++ {
			n := fakes.Dial(t, b.address)
			nodes = append(nodes, n)
			for stream := range 32 {
				number := k*32 + stream
				n.Send(fakes.EncodeFrame(10, uint32(stream+1), fakes.EncodeFields(fakes.DefaultFields(number, "wait=60000")...)+strings.Repeat("b", 2048)))
			}
		}
	}
	codes := map[byte]int{}
	answers := func(nodes []*fakes.EdgeNode) {
		for _, n := range nodes {
			for range 32 {
				codes[n.Expect().Code]++
			}
			n.Close()
		}
	}
	const full = 3072 / 32
	send(0, full)
	for range 3072 {
		fakes.Take(t, "a launch", b.executor.Launches)
	}
	send(full, 110) // throttled: no invocation ends before these are answered
	answers(nodes[full:])
	for number := range 3072 {
		b.executor.End(fmt.Sprintf("%016x", number), "complete", strings.Repeat("r", 4096))
	}
	answers(nodes[:full])
	tr.Say("answers by code: %v", codes)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	var peak int
	if m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status); m != nil {
		if _, err := fmt.Sscan(string(m[1]), &peak); err != nil {
			t.Fatal(err)
		}
	}
	t.Logf("peak memory: %d kB", peak)
	tr.Say("%v, memory within 192 MB %t", err, peak > 0 && peak < 192<<10)
	b.exit(tr, b.term())
	tr.Say("left over %t", !b.logged("event=stop connections=0 open_streams=0 in_flight=0 ")())
}
