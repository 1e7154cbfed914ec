package admin

import (
	"context"
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
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// serveInstance serves an instance on a new socket until the test ends, and returns a client for it.
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
	fakes.Until(t, "the socket is served", func() bool { // the file exists before the socket accepts connections
		var dialer net.Dialer
		conn, err := dialer.DialContext(t.Context(), "unix", path)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	})
	client := NewClient(path, limits.ForControl())
	t.Cleanup(client.Close)
	return client
}

// statusOf returns the status of a *jsonhttp.StatusError, or 0 for any other error.
func statusOf(err error) int {
	if status, ok := errors.AsType[*jsonhttp.StatusError](err); ok {
		return status.Code
	}
	return 0
}

// listen opens a socket at path.
func listen(t *testing.T, path string) net.Listener {
	t.Helper()
	listener, err := Listen(t.Context(), path)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// leaveStaleSocket closes a listener without removing its socket file, as a killed process does.
func leaveStaleSocket(t *testing.T, listener net.Listener) {
	t.Helper()
	unix, ok := listener.(*net.UnixListener)
	if !ok {
		t.Fatalf("a %T, want a *net.UnixListener", listener)
	}
	unix.SetUnlinkOnClose(false)
	_ = unix.Close()
}

// Each call is forwarded to the instance, and the client gets its response or error.
func TestCallsAreForwardedToInstance(t *testing.T) {
	var drained time.Duration
	rejected := errors.New("no such level")
	client := serveInstance(t, Instance{
		State:        func() State { return State{Version: Version, Name: "n3", InFlight: 7} },
		Drain:        func(ago time.Duration) { drained = ago },
		Override:     func(Override) error { return rejected },
		QuotaRequest: func() (quota.LeaseRequest, bool) { return quota.LeaseRequest{Name: "n3"}, true },
		ApplyLease:   func(quota.LeaseResponse) error { return nil },
	})
	if s, err := client.State(t.Context()); err != nil || s.Name != "n3" || s.InFlight != 7 {
		t.Errorf("State() = %+v, %v", s, err)
	}
	err := client.Drain(t.Context(), process.Now()-monotime.Second)
	if err != nil || drained < time.Second || drained > time.Minute {
		t.Errorf("drained with a notice of %v ago, %v; want a second and the time on the way", drained, err)
	}
	if err := client.Override(t.Context(), Override{Level: "x"}); statusOf(err) != http.StatusUnprocessableEntity {
		t.Errorf("a rejected override: %v, want status 422", err)
	}
	if request, err := client.QuotaRequest(t.Context()); err != nil || request.Name != "n3" {
		t.Errorf("QuotaRequest() = %+v, %v", request, err)
	}
	if err := client.ApplyLease(t.Context(), quota.LeaseResponse{}); err != nil {
		t.Errorf("ApplyLease() = %v", err)
	}
}

// A notice from the future, or from more than an hour ago, is rejected and not forwarded to the instance.
func TestNoticeOutOfRangeIsRefused(t *testing.T) {
	client := serveInstance(t, Instance{Drain: func(time.Duration) { t.Error("the notice was forwarded") }})
	for _, test := range []struct {
		name string
		ago  monotime.Micros
	}{
		{"in the future", -monotime.FromDuration(time.Minute)},
		{"more than an hour ago", monotime.FromDuration(time.Hour) + 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := client.Drain(t.Context(), process.Now()-test.ago); statusOf(err) != http.StatusBadRequest {
				t.Errorf("%v, want status 400", err)
			}
		})
	}
}

// TestTimeOnTheWayCountsForNotice guards against a grace period that ends late by the time that the notice took on a
// busy host, and checks the range of each field of a notice.
func TestTimeOnTheWayCountsForNotice(t *testing.T) {
	const now, hour = 5000 * monotime.Second, 3600 * monotime.Second
	for _, test := range []struct {
		name    string
		notice  Notice
		want    monotime.Micros
		refused bool
	}{
		{"of an earlier release", Notice{Ago: 7}, 7, false},
		{"an hour ago", Notice{Ago: int64(hour)}, hour, false},
		{"longer ago", Notice{Ago: int64(hour) + 1}, 0, true},
		{"sent in the future", Notice{Ago: -1}, 0, true},
		{"with its time", Notice{Ago: 7, NotifiedAt: now - monotime.Second}, monotime.Second, false},
		{"with a time before the boot", Notice{NotifiedAt: now - hour - 1}, 0, true},
		{"with a time in the future", Notice{NotifiedAt: now + 1}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ago, err := test.notice.sinceFirst(now)
			if (err != nil) != test.refused || ago != test.want.Duration() {
				t.Errorf("%v, %v; want %v, refused %t", ago, err, test.want.Duration(), test.refused)
			}
		})
	}
}

// An instance without fleet-wide quotas responds to a quota request with status 404.
func TestQuotaRequestWithoutQuotasIsNotFound(t *testing.T) {
	client := serveInstance(t, Instance{
		QuotaRequest: func() (request quota.LeaseRequest, ok bool) { return request, false },
	})
	if _, err := client.QuotaRequest(t.Context()); statusOf(err) != http.StatusNotFound {
		t.Errorf("%v, want status 404", err)
	}
}

// The stale socket of a killed process is replaced, and the socket's mode lets only this user connect.
func TestSocketOfKilledProcessIsReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	first := listen(t, path)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != socketMode {
		t.Errorf("mode %v, %v; want %o", info.Mode(), err, socketMode)
	}
	leaveStaleSocket(t, first)
	_ = listen(t, path).Close()
}

// A socket on which a process accepts connections is not replaced.
func TestSocketInUseIsNotReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	listener := listen(t, path)
	defer func() { _ = listener.Close() }()
	_, err := Listen(t.Context(), path)
	if !errors.Is(err, ErrSocketInUse) || err.Error() != path+": socket is in use by another process" {
		t.Errorf("%v, want ErrSocketInUse", err)
	}
}

// A socket in use is not replaced when Listen is called with a canceled context: the attempt to connect fails then,
// which does not mean that the socket is stale.
func TestSocketInUseIsNotReplacedAfterCancel(t *testing.T) {
	path := filepath.Join(t.TempDir(), "admin")
	listener := listen(t, path)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := Listen(ctx, path); !errors.Is(err, ErrSocketInUse) {
		t.Errorf("%v, want ErrSocketInUse", err)
	}
}

// A file that is not a socket is not replaced.
func TestFileIsNotReplaced(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, []byte("text"), 0o644); err != nil {
		t.Fatal(err)
	}
	_, err := Listen(t.Context(), file)
	if !errors.Is(err, ErrNotSocket) || err.Error() != file+": file exists and is not a socket" {
		t.Errorf("%v, want ErrNotSocket", err)
	}
	if text, err := os.ReadFile(file); err != nil || string(text) != "text" {
		t.Errorf("the file is now %q, %v", text, err)
	}
}

// TestNoticeCountsFromItsTime checks that a notice that carries its time counts from it, whatever time has passed since
// by the sender's count.
func TestNoticeCountsFromItsTime(t *testing.T) {
	const ago = 400 * time.Millisecond
	var drained time.Duration
	client := serveInstance(t, Instance{Drain: func(ago time.Duration) { drained = ago }})
	notice := map[string]int64{"ago_us": 1, "at_us": int64(process.Now()) - ago.Microseconds()}
	if err := client.post(t.Context(), drainPath, notice); err != nil || drained < ago {
		t.Errorf("drained with a notice of %v ago, %v; want at least %v", drained, err, ago)
	}
}
