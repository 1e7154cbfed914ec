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

// start starts a registry that is closed at the end of the test.
func start(t *testing.T, behavior coldstart.RegistryBehavior) *Registry {
	t.Helper()
	r, err := Start("127.0.0.1:0", behavior)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close() })
	return r
}

// reply is the registry's response to a report.
type reply struct {
	status     int
	retryAfter string // header; empty: none
}

// report sends one report over a connection of its own.
func report(ctx context.Context, r *Registry, name, body string) (reply, error) {
	url := "http://" + r.Address + "/v1/" + name
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	_ = response.Body.Close()
	return reply{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After")}, nil
}

// eventually waits for a condition.
func eventually(t *testing.T, event string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %s within 20 s", event)
		}
	}
}

// TestEachCallSinceBeginIsRecorded verifies that the registry behaves as in its first phase before Begin, that a
// rejection has a Retry-After and does not count, and that each call since Begin is recorded.
func TestEachCallSinceBeginIsRecorded(t *testing.T) {
	r := start(
		t,
		coldstart.RegistryBehavior{
			Phases: []coldstart.Phase{
				{Mode: coldstart.Accepts},
				{From: 1, Mode: coldstart.Rejects, ResponseTime: 30 * time.Millisecond, RetryAfter: 7 * time.Second},
			},
		},
	)
	if response, err := report(
		t.Context(),
		r,
		"n1",
		`{"duty":"on"}`,
	); err != nil || response.status != http.StatusNoContent {
		t.Fatalf("before the phases: %+v, %v", response, err)
	}
	if calls := r.Observed().Calls; len(calls) != 1 || calls[0].Name != "n1" ||
		!calls[0].Accepted || calls[0].Deregisters {
		t.Errorf("recorded %+v", calls)
	}
	r.Begin()
	if calls := r.Observed().Calls; len(calls) != 0 {
		t.Errorf("calls from before the phases: %+v", calls)
	}
	began := time.Now()
	response, err := report(t.Context(), r, "n2", deregistrationReport)
	if err != nil || response.status != http.StatusServiceUnavailable || response.retryAfter != "7" {
		t.Fatalf("rejection: %+v, %v", response, err)
	}
	if took := time.Since(began); took < 30*time.Millisecond {
		t.Errorf("rejected after %v, want 30 ms or more", took)
	}
	if calls := r.Observed().Calls; len(calls) != 1 || calls[0].Name != "n2" ||
		calls[0].Accepted || !calls[0].Deregisters {
		t.Errorf("recorded %+v", calls)
	}
}

// TestRejectsHalfModeRejectsAboutHalf verifies that about one half of the reports is rejected, without a Retry-After.
func TestRejectsHalfModeRejectsAboutHalf(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{{Mode: coldstart.RejectsHalf}}})
	r.Begin()
	accepted := 0
	for range 100 {
		response, err := report(t.Context(), r, "n1", "")
		if err != nil || response.retryAfter != "" {
			t.Fatalf("report: %+v, %v", response, err)
		}
		if response.status == http.StatusNoContent {
			accepted++
		}
	}
	if accepted < 25 || accepted > 75 {
		t.Errorf("%d of 100 reports were accepted, want 25 to 75", accepted)
	}
}

// TestSilentRegistryNeverResponds verifies that a call gets no response, and ends with its caller or with the registry.
func TestSilentRegistryNeverResponds(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{{Mode: coldstart.Silent}}})
	r.Begin()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := report(ctx, r, "n1", ""); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error is %v, want DeadlineExceeded", err)
	}
	eventually(t, "record of the cancelled call", func() bool { return len(r.Observed().Calls) == 1 })
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
	r.closed = make(chan struct{}) // the cleanup closes it again
	if err := <-ended; err == nil {
		t.Error("the call got a response when the registry closed")
	}
}

// TestDownRegistryListensAgainAfterwards verifies that a registry that is down closes its connections and does not
// listen, and that it listens at the same address afterwards.
func TestDownRegistryListensAgainAfterwards(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{Phases: []coldstart.Phase{
		{Mode: coldstart.Accepts},
		{From: 50 * time.Millisecond, Mode: coldstart.Down},
		{From: 400 * time.Millisecond, Mode: coldstart.Accepts},
	}})
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	r.Begin()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading an open connection: %v, want EOF", err)
	}
	if _, err := report(t.Context(), r, "n1", ""); err == nil {
		t.Error("report accepted while the registry was down")
	}
	eventually(t, "accepted report after the outage", func() bool {
		response, err := report(t.Context(), r, "n1", "")
		return err == nil && response.status == http.StatusNoContent
	})
}

// TestTooManyOpenCallsCollapseRegistry verifies that too many open calls make the registry collapse, and that it
// accepts no report until it has recovered.
func TestTooManyOpenCallsCollapseRegistry(t *testing.T) {
	r := start(t, coldstart.RegistryBehavior{
		Phases:       []coldstart.Phase{{Mode: coldstart.Accepts, ResponseTime: 100 * time.Millisecond}},
		MaxOpenCalls: 3,
		RecoveryTime: 300 * time.Millisecond,
	})
	r.Begin()
	send := func(calls int) (accepted int) {
		var mu sync.Mutex
		var all sync.WaitGroup
		for range calls {
			all.Go(func() {
				response, err := report(t.Context(), r, "n1", "")
				mu.Lock()
				defer mu.Unlock()
				if err == nil && response.status == http.StatusNoContent {
					accepted++
				}
			})
		}
		all.Wait()
		return accepted
	}
	if accepted := send(3); accepted != 3 || r.Observed().Collapses != 0 {
		t.Errorf("3 calls at once: %d accepted, %d collapses, want 3 and none", accepted, r.Observed().Collapses)
	}
	for r.Observed().Collapses == 0 { // whether more than three calls are open at once depends on the scheduler
		send(12)
	}
	collapses := r.Observed().Collapses
	r.mu.Lock()
	collapsedUntil := r.collapsedUntil
	r.mu.Unlock()
	if _, err := report(t.Context(), r, "n1", ""); err == nil && time.Now().Before(collapsedUntil) {
		t.Error("report accepted before the recovery")
	}
	eventually(t, "accepted report after the recovery", func() bool { return send(1) == 1 })
	if observed := r.Observed(); observed.Collapses < collapses || observed.MaxConnections < 4 {
		t.Errorf("got %d collapses and up to %d connections", observed.Collapses, observed.MaxConnections)
	}
}
