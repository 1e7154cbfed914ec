package jsonhttp

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/limits"
)

// testMaxBytes is the maximum number of bytes that a test's call reads from a response.
const testMaxBytes = 1000

// testBounds returns the production bounds with a shorter connect timeout.
func testBounds() limits.Control {
	bounds := limits.ForControl()
	bounds.CallTimeout = 300 * time.Millisecond
	return bounds
}

// serve serves a handler on a loopback address until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newClient returns a client whose connections are closed after the test.
func newClient(t *testing.T, address string) *http.Client {
	t.Helper()
	client := Client(address, testBounds())
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// respond returns a handler that writes a status and a text.
func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// serveUnix serves a handler on a Unix socket until the test ends.
func serveUnix(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	dir, err := os.MkdirTemp("", "json") //nolint:usetesting // TempDir's path is too long for a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	path := filepath.Join(dir, "a.sock")
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "unix", path)
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{
		Listener: listener,
		Config:   &http.Server{Handler: handler, ReadHeaderTimeout: time.Second},
	}
	server.Start()
	t.Cleanup(server.Close)
	return "unix:" + path
}

// connectionCounter counts the connections of a server.
type connectionCounter struct {
	opened atomic.Int32
	closed atomic.Int32
	// closures receives a value after each closed connection.
	closures chan struct{}
}

// serveCounted serves a handler and counts its connections.
func serveCounted(t *testing.T, handler http.HandlerFunc) (address string, counter *connectionCounter) {
	t.Helper()
	counter = &connectionCounter{closures: make(chan struct{}, 64)}
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnState = counter.record
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), counter
}

// record counts a change of a connection's state.
func (c *connectionCounter) record(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		c.opened.Add(1)
	case http.StateClosed:
		c.closed.Add(1)
		c.closures <- struct{}{}
	case http.StateActive, http.StateIdle, http.StateHijacked:
	}
}

// awaitOpen waits until at most that many connections are open.
func (c *connectionCounter) awaitOpen(t *testing.T, most int32) {
	t.Helper()
	timeout := time.After(10 * time.Second)
	for c.opened.Load()-c.closed.Load() > most {
		select {
		case <-c.closures:
		case <-timeout:
			t.Fatalf("%d connections stay open, want at most %d", c.opened.Load()-c.closed.Load(), most)
		}
	}
}
