package registration

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
)

// Load reports as a fake registry receives them.
const (
	reportOn  = `PUT /roster/n3 {"duty":"on"}`
	reportOff = `PUT /roster/n3 {"duty":"off"}`
)

// testBounds returns the limits of a small deployment.
func testBounds() limits.Bounds { return limits.For(1, 192, 1024) }

// newReporter returns a reporter for backend n3 with jitter and backoff.
func newReporter(address string, bounds limits.Bounds) *Reporter {
	return New(address, "n3", bounds, false)
}

// run runs a reporter on another goroutine. done is closed when Run returns.
func run(ctx context.Context, r *Reporter) (done chan struct{}) {
	done = make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	return done
}

// isFailing reports whether the last report to end has failed.
func isFailing(r *Reporter) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

// awaitDeregistration reads reports until it receives a deregistration.
func awaitDeregistration(t *testing.T, reports <-chan string) {
	t.Helper()
	for report := ""; report != reportOff; {
		report = fakes.Take(t, "a deregistration", reports)
	}
}

// receivesNothing reports whether no report is received for 100 ms.
func receivesNothing(reports <-chan string) bool {
	select {
	case <-reports:
		return false
	case <-time.After(100 * time.Millisecond):
		return true
	}
}

// accept responds with the status of an accepted report.
func accept(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }

// respondWith returns a handler that responds to each report with the next status. A report whose caller has canceled
// it uses no status and does not prevent the registry from closing.
func respondWith(statuses <-chan int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case status := <-statuses:
			w.WriteHeader(status)
		case <-r.Context().Done():
		}
	}
}

// listen listens on a loopback address.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// refusingAddress returns a loopback address that refuses connections.
func refusingAddress(t *testing.T) string {
	t.Helper()
	listener := listen(t, "127.0.0.1:0")
	_ = listener.Close()
	return listener.Addr().String()
}

// serve serves HTTP requests from a listener until the test ends.
func serve(t *testing.T, listener net.Listener, handler http.HandlerFunc) {
	t.Helper()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}
