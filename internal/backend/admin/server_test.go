package admin

import (
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
)

// serveInstance serves an instance on a socket of its own for as long as the test runs, and returns a client of it.
func serveInstance(t *testing.T, instance Instance) *Client {
	t.Helper()
	path := filepath.Join(t.TempDir(), "admin")
	done := make(chan error, 1)
	go func() { done <- Serve(t.Context(), path, limits.ForControl(), instance) }()
	t.Cleanup(func() {
		if err := fakes.Take(t, "the end of Serve", done); err != nil {
			t.Errorf("Serve ended with %v", err)
		}
	})
	fakes.Until(t, "the socket is served", func() bool { // its file is there a moment before it listens
		c, err := net.Dial("unix", path)
		if err != nil {
			return false
		}
		_ = c.Close()
		return true
	})
	client := NewClient(path, limits.ForControl())
	t.Cleanup(client.Close)
	return client
}

// statusOf returns the status of a response that is an error, 0 of any other error.
func statusOf(err error) int {
	var status *jsonhttp.StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}

// TestCallsReachTheInstance: each call is passed on, and the instance's response or error comes back.
func TestCallsReachTheInstance(t *testing.T) {
	var drained time.Duration
	refused := errors.New("no such level")
	client := serveInstance(t, Instance{
		State:        func() State { return State{Version: Version, Name: "n3", InFlight: 7} },
		Drain:        func(ago time.Duration) { drained = ago },
		Override:     func(Override) error { return refused },
		QuotaRequest: func() (quota.LeaseRequest, bool) { return quota.LeaseRequest{Name: "n3"}, true },
		ApplyLease:   func(quota.LeaseResponse) error { return nil },
	})
	if s, err := client.State(t.Context()); err != nil || s.Name != "n3" || s.InFlight != 7 {
		t.Errorf("the state is %+v, %v", s, err)
	}
	if err := client.Drain(t.Context(), time.Hour); err != nil || drained != time.Hour {
		t.Errorf("the notice was given %v ago, %v; want an hour", drained, err)
	}
	if err := client.Override(t.Context(), Override{Level: "x"}); statusOf(err) != http.StatusUnprocessableEntity {
		t.Errorf("an override that the instance refuses: %v, want status 422", err)
	}
	if request, err := client.QuotaRequest(t.Context()); err != nil || request.Name != "n3" {
		t.Errorf("the quota request is %+v, %v", request, err)
	}
	if err := client.ApplyLease(t.Context(), quota.LeaseResponse{}); err != nil {
		t.Errorf("a lease: %v", err)
	}
}

// TestNoticeOutsideItsRange: a notice given in the future, or more than an hour ago, is refused and not passed on.
func TestNoticeOutsideItsRange(t *testing.T) {
	client := serveInstance(t, Instance{Drain: func(time.Duration) { t.Error("the notice was passed on") }})
	for _, ago := range []time.Duration{-time.Microsecond, time.Hour + time.Microsecond} {
		if err := client.Drain(t.Context(), ago); statusOf(err) != http.StatusBadRequest {
			t.Errorf("a notice given %v ago: %v, want status 400", ago, err)
		}
	}
}

// TestNoBudget: an instance without a budget has no quota request.
func TestNoBudget(t *testing.T) {
	client := serveInstance(t, Instance{QuotaRequest: func() (request quota.LeaseRequest, ok bool) { return request, false }})
	if _, err := client.QuotaRequest(t.Context()); statusOf(err) != http.StatusNotFound {
		t.Errorf("%v, want status 404", err)
	}
}

// TestListen: a socket in use and a file of another kind are left alone, the socket of a killed process is replaced, and only
// the user may connect.
func TestListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	first, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != socketMode {
		t.Errorf("mode %v, %v; want %o", info.Mode(), err, socketMode)
	}
	if _, err := Listen(path); !errors.Is(err, ErrSocketInUse) || err.Error() != path+": somebody answers there already" {
		t.Errorf("a socket in use: %v", err)
	}
	first.(interface{ SetUnlinkOnClose(bool) }).SetUnlinkOnClose(false) // as a killed process leaves it
	_ = first.Close()
	second, err := Listen(path)
	if err != nil {
		t.Fatalf("the socket of a killed process: %v", err)
	}
	_ = second.Close()

	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("text"), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(file); !errors.Is(err, ErrNotSocket) || err.Error() != file+": is there and no socket" {
		t.Errorf("a file: %v", err)
	}
	if text, err := os.ReadFile(file); err != nil || string(text) != "text" {
		t.Errorf("the file is now %q, %v", text, err)
	}
}
