package server

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/config"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// A caller that sends invalid frames, invocations that cannot run, a flood of frames, or nothing is answered or
// disconnected in time, and does not affect other connections.
func TestMisbehavingCallerDoesNotAffectOthers(t *testing.T) {
	tr := fakes.NewTrace(t)
	s := openServer(t, func(b *limits.Bounds, _ *config.Settings) {
		b.FrameTimeout = 150 * time.Millisecond
		b.SweepInterval = 20 * time.Millisecond
	})
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go s.Sweep(done)
	good := fakes.Dial(t, s.address)
	good.Send(healthCheck(1))
	good.Expect()
	number := 1000 // of the next invocation
	invocations := func(count int, edits ...string) string {
		var text strings.Builder
		for i := range count {
			text.WriteString(fakes.Invocation(uint32(i+1), number+i, edits...))
		}
		number += count
		return text.String()
	}
	for _, test := range []struct {
		name  string
		sends string
	}{
		{"nothing", ""},
		{"half a frame", invocations(1)[:60]},
		{"half a length", "\x00\x00"},
		{"frame without an end", "\x00\x03\x00\x00\x0a\x00\x00\x00\x01" + strings.Repeat("x", 100_000)},
		{"length below a header", "\x00\x00\x00\x01xxxx"},
		{"length above the maximum", "\xff\xff\xff\xffxxxx"},
		{"60 MB", "\x03\x93\x87\x00" + strings.Repeat("x", 60_000_000)},
		{"no ID", invocations(1, "id=")},
		{"not a number", invocations(1, "cost=NaN")},
		{"out of range", invocations(1, "rank=7")},
		{"unknown operation", invocations(1, "class=x")},
		{"unknown tenant", invocations(1, "tenant=x")},
		{"refused by the executor", invocations(1)},
		{"two on one stream", invocations(1) + invocations(1)},
		{"canceled at once", strings.Repeat(invocations(1)+cancelFrame(1), 300) + invocations(1, "class=x")},
		{"hundreds at once", invocations(300)},
		{"invalid frames alone", strings.Repeat(invocations(1, "class=x"), 300)},
	} {
		node := fakes.Dial(t, s.address)
		start := time.Now()
		go func() { _, _ = node.Write([]byte(test.sends)) }()
		code := s.refuseLaunchesUntilAnswer(node)
		tr.Say("%s: in time %t, succeeded %t", test.name, time.Since(start) < 3*time.Second, code == succeeded)
		for len(s.fakeExecutor.Launches) > 0 {
			s.fakeExecutor.Refuse(s.nextLaunch(t).ID)
		}
		good.Send(fakes.Invocation(uint32(number), number))
		id := fmt.Sprintf("%016x", number)
		number++
		for launch := s.nextLaunch(t); launch.ID != id; launch = s.nextLaunch(t) {
			s.fakeExecutor.Refuse(launch.ID)
		}
		s.fakeExecutor.End(id, "complete", "r")
		if f := good.Expect(); f.Code != succeeded {
			t.Errorf("%s: on the other connection %v, want succeeded", test.name, f)
		}
		_ = node.Close()
		s.awaitConnections(t, 1)
	}
	s.awaitIdle(t, 1)
}

// refuseLaunchesUntilAnswer makes the executor refuse all launches until the first answer on a connection, whose code
// it returns. If the connection ends first, it returns 0.
func (s *testServer) refuseLaunchesUntilAnswer(node *fakes.EdgeNode) (code byte) {
	closed := make(chan struct{})
	codes := make(chan byte, 10_000)
	go func() {
		f, err := node.Next()
		for ; err == nil; f, err = node.Next() {
			codes <- f.Code
		}
		close(closed)
	}()
	for {
		select {
		case launch := <-s.fakeExecutor.Launches:
			s.fakeExecutor.Refuse(launch.ID)
		case code := <-codes:
			return code
		case <-closed:
			return 0
		}
	}
}

// After thousands of connections that are reset within a frame or while their invocation runs, no state is left.
func TestConnectionChurnReleasesState(t *testing.T) {
	s := openServer(t, nil)
	before := runtime.NumGoroutine()
	for n := range 2000 {
		node := fakes.Dial(t, s.address)
		resetOnClose(t, node)
		node.Send(fakes.Invocation(1, 10_000+n), fakes.Invocation(2, 50_000+n)[:9+n%30])
		_ = node.Close()
	}
	s.awaitIdle(t, 0)
	fakes.Until(t, "the connections' goroutines have ended", func() bool {
		return runtime.NumGoroutine() <= before+4
	})
}
