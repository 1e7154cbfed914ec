package registry

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/faultinjection/coldstart"
)

func start(t *testing.T, behavior coldstart.RegistryBehavior) *Registry {
	t.Helper()
	r, err := Start("127.0.0.1:0", behavior)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// report sends one report over a connection of its own.
func report(ctx context.Context, r *Registry, name, body string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.Address+"/v1/"+name, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
	return response, err
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s", what)
		}
	}
}

// TestTakesAndRefuses: before the phases begin it behaves as in their first instant; a refusal has its advice and does not
// count; each call since they began is recorded.
func TestTakesAndRefuses(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{{Mode: coldstart.Takes}, {From: 1, Mode: coldstart.Refuses, ResponseTime: 30 * time.Millisecond, RetryAfter: 7 * time.Second}}})
	if response, err := report(t.Context(), r, "n1", `{"duty":"on"}`); err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("before its phases: %v, %v", response, err)
	}
	if calls := r.Observed().Calls; len(calls) != 1 || calls[0].Name != "n1" || !calls[0].Counted || calls[0].Off {
		t.Errorf("recorded %+v", calls)
	}
	r.Begin()
	if calls := r.Observed().Calls; len(calls) != 0 {
		t.Errorf("from before its phases: %+v", calls)
	}
	began := time.Now()
	response, err := report(t.Context(), r, "n2", offReport)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") != "7" {
		t.Fatalf("refusing: %v, %v", response, err)
	}
	if took := time.Since(began); took < 30*time.Millisecond {
		t.Errorf("refused after %v, wanted 30 ms", took)
	}
	if calls := r.Observed().Calls; len(calls) != 1 || calls[0].Name != "n2" || calls[0].Counted || !calls[0].Off {
		t.Errorf("recorded %+v", calls)
	}
}

// TestHalf: about every second report is refused, without advice.
func TestHalf(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{{Mode: coldstart.Half}}})
	r.Begin()
	taken := 0
	for range 100 {
		response, err := report(t.Context(), r, "n1", "")
		if err != nil || response.Header.Get("Retry-After") != "" {
			t.Fatalf("%v, %v", response, err)
		}
		if response.StatusCode == http.StatusNoContent {
			taken++
		}
	}
	if taken < 25 || taken > 75 {
		t.Errorf("%d of 100 were taken", taken)
	}
}

// TestSilent: a call is never answered, and ends with its caller or with the registry.
func TestSilent(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{{Mode: coldstart.Silent}}})
	r.Begin()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := report(ctx, r, "n1", ""); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent: %v", err)
	}
	eventually(t, "record of a call whose caller left", func() bool { return len(r.Observed().Calls) == 1 })
	ended := make(chan error, 1)
	go func() {
		_, err := report(t.Context(), r, "n2", "")
		ended <- err
	}()
	eventually(t, "second call", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.openCalls == 1
	})
	if err := r.Close(); err != nil {
		t.Error(err)
	}
	r.closed = make(chan struct{}) // its end is once more in the clean-up
	if err := <-ended; err == nil {
		t.Error("answered at the end")
	}
}

// TestDown: nobody listens while it is down and its connections are closed; then it listens at the same address.
func TestDown(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{
		{Mode: coldstart.Takes}, {From: 50 * time.Millisecond, Mode: coldstart.Down}, {From: 400 * time.Millisecond, Mode: coldstart.Takes},
	}})
	conn, err := net.Dial("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r.Begin()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("an open connection: %v", err)
	}
	if _, err := report(t.Context(), r, "n1", ""); err == nil {
		t.Error("taken while it was down")
	}
	eventually(t, "report once it is back", func() bool {
		response, err := report(t.Context(), r, "n1", "")
		return err == nil && response.StatusCode == http.StatusNoContent
	})
}

// TestFallsOver: beyond so many open calls it takes nothing until it has recovered.
func TestFallsOver(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{
		Phases: []coldstart.Phase{{Mode: coldstart.Takes, ResponseTime: 100 * time.Millisecond}}, MaxOpenCalls: 3, RecoveryTime: 300 * time.Millisecond,
	})
	r.Begin()
	send := func(calls int) (taken int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				response, err := report(t.Context(), r, "n1", "")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && response.StatusCode == http.StatusNoContent {
					taken++
				}
			})
		}
		all.Wait()
		return taken
	}
	if taken := send(3); taken != 3 || r.Observed().Falls != 0 {
		t.Errorf("three at once: %d taken, fell over %d times", taken, r.Observed().Falls)
	}
	for r.Observed().Falls == 0 { // until more than three were open at once, however busy the machine is
		send(12)
	}
	falls := r.Observed().Falls
	r.mu.Lock()
	fallenUntil := r.fallenUntil
	r.mu.Unlock()
	if _, err := report(t.Context(), r, "n1", ""); err == nil && time.Now().Before(fallenUntil) {
		t.Error("taken before it recovered")
	}
	eventually(t, "report once it has recovered", func() bool { return send(1) == 1 })
	if observed := r.Observed(); observed.Falls < falls || observed.MaxConnections < 4 {
		t.Errorf("fell over %d times, %d connections at most", observed.Falls, observed.MaxConnections)
	}
}
