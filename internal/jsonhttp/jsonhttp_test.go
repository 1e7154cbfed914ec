package jsonhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/limits"
)

const testMaxBytes = 1000

// testBounds are those of production with a short time to connect.
func testBounds() limits.Control {
	b := limits.ForControl()
	b.CallTimeout = 300 * time.Millisecond
	return b
}

// serve answers calls on a loopback address until the test ends.
func serve(t *testing.T, handler http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newClient(t *testing.T, address string) *http.Client {
	t.Helper()
	client := Client(address, testBounds())
	t.Cleanup(client.CloseIdleConnections)
	return client
}

// respond makes a handler that writes a status and a text.
func respond(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

// TestCall: method, path and body arrive, over TCP and over a Unix socket, and the response is decoded.
func TestCall(t *testing.T) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil || r.Header.Get("Accept-Encoding") != "" {
			t.Errorf("request: %v, accepts %q", err, r.Header.Get("Accept-Encoding"))
		}
		_ = json.NewEncoder(w).Encode([]string{r.Method, r.URL.String(), string(raw)})
	})
	dir, err := os.MkdirTemp("", "json") // t.TempDir is too long for a socket's path
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	path := filepath.Join(dir, "a.sock")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}}
	server.Start()
	t.Cleanup(server.Close)
	for _, address := range []string{serve(t, handler), "unix:" + path} {
		client := newClient(t, address)
		for _, c := range []struct {
			body any
			want string
		}{{nil, ""}, {map[string]int{"a": 1}, `{"a":1}`}} {
			var got []string
			err := Call(t.Context(), client, http.MethodPut, "/v1/x?y=z", c.body, &got, testMaxBytes)
			if err != nil || len(got) != 3 || got[0] != http.MethodPut || got[1] != "/v1/x?y=z" || got[2] != c.want {
				t.Errorf("%s, body %v: %q %v", address, c.body, got, err)
			}
		}
	}
}

// TestResponseSizeIsBounded: a response of as many bytes as are allowed is decoded, and one byte more is an error.
func TestResponseSizeIsBounded(t *testing.T) {
	text := `"` + strings.Repeat("x", testMaxBytes-2) + `"`
	client := newClient(t, serve(t, respond(http.StatusOK, text)))
	var got string
	if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err != nil || len(got) != testMaxBytes-2 {
		t.Errorf("%d bytes read: %v", len(got), err)
	}
	if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes-1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("too long a response: %v", err)
	}
}

// TestMalformedResponse: a response that is no JSON, or other JSON than is wanted, is an error.
func TestMalformedResponse(t *testing.T) {
	for text, want := range map[string]string{
		"":      "answer: EOF",
		"<p>":   "answer: invalid character '<' looking for beginning of value",
		`"one"`: "answer: json: cannot unmarshal string into Go value of type int",
	} {
		client := newClient(t, serve(t, respond(http.StatusOK, text)))
		var got int
		if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err == nil || err.Error() != want {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestStatusError: a status other than 2xx is a *StatusError with the text of the response, at most 4 KB of it; each 2xx is
// a success.
func TestStatusError(t *testing.T) {
	for _, c := range []struct {
		status     int
		text, want string
	}{
		{http.StatusNotModified, "", ""},
		{http.StatusNotFound, " not here\n", "not here"},
		{http.StatusServiceUnavailable, strings.Repeat("x", 4<<10+1), strings.Repeat("x", 4<<10)},
	} {
		client := newClient(t, serve(t, respond(c.status, c.text)))
		var got int
		err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes)
		rejection, ok := errors.AsType[*StatusError](err)
		if !ok || rejection.Code != c.status || rejection.Message != c.want {
			t.Errorf("status %d: %v", c.status, err)
		}
	}
	client := newClient(t, serve(t, respond(http.StatusCreated, "3")))
	var got int
	if err := Call(t.Context(), client, http.MethodPost, "/", nil, &got, testMaxBytes); err != nil || got != 3 {
		t.Errorf("status 201: %d %v", got, err)
	}
	if text := (&StatusError{404, "not here"}).Error(); text != "status 404: not here" {
		t.Error(text)
	}
}

// TestNoBodyWanted: without a value to decode into, the response's body may be anything.
func TestNoBodyWanted(t *testing.T) {
	for _, text := range []string{"", "<p>"} {
		client := newClient(t, serve(t, respond(http.StatusOK, text)))
		if err := Call(t.Context(), client, http.MethodPost, "/", nil, nil, testMaxBytes); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestCallsThatCannotBeMade: what can't be encoded or requested is an error, and is not sent; so is a server that is away.
func TestCallsThatCannotBeMade(t *testing.T) {
	var requests atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, "1")
	})
	client := newClient(t, address)
	err := Call(t.Context(), client, http.MethodPost, "/", func() {}, nil, testMaxBytes)
	if _, ok := errors.AsType[*json.UnsupportedTypeError](err); !ok {
		t.Errorf("a body that has no JSON: %v", err)
	}
	if err := Call(t.Context(), client, "GET /", "/", nil, nil, testMaxBytes); err == nil {
		t.Error("a method that there can't be was sent")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := Call(ended, client, http.MethodGet, "/", nil, nil, testMaxBytes); !errors.Is(err, context.Canceled) {
		t.Errorf("a context that has ended: %v", err)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
	away := newClient(t, "unix:"+filepath.Join(t.TempDir(), "none.sock"))
	if err := Call(t.Context(), away, http.MethodGet, "/", nil, nil, testMaxBytes); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a server that is away: %v", err)
	}
}

// TestConnections: calls one after the other share a connection; a body that nobody wanted holds none; calls at the same time
// open four at most, of which two stay open.
func TestConnections(t *testing.T) {
	var opened, closed atomic.Int32
	release := make(chan struct{})
	arrived := make(chan struct{}, 8)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "1")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			opened.Add(1)
		case http.StateClosed:
			closed.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	client := newClient(t, server.Listener.Addr().String())
	var got int
	for range 20 {
		if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err != nil {
			t.Fatal(err)
		}
	}
	if n := opened.Load(); n != 1 {
		t.Errorf("%d connections opened by calls one after the other", n)
	}
	timeout, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 20 {
		if err := Call(timeout, client, http.MethodGet, "/", nil, nil, testMaxBytes); err != nil {
			t.Fatalf("after a body that nobody wanted: %v", err)
		}
	}
	ended := make(chan error, 8)
	for range 8 {
		go func() { ended <- Call(t.Context(), client, http.MethodGet, "/wait", nil, nil, testMaxBytes) }()
	}
	for range 4 {
		<-arrived
	}
	select {
	case <-arrived:
		t.Error("a fifth call runs at the same time")
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	for range 8 {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	for deadline := time.Now().Add(10 * time.Second); opened.Load()-closed.Load() > 2; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections stay open", opened.Load()-closed.Load())
		}
	}
}

// TestIdleConnectionsAreClosed: a connection without a call is closed after Bounds.IdleTimeout.
func TestIdleConnectionsAreClosed(t *testing.T) {
	closed := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(respond(http.StatusOK, "1"))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	b := testBounds()
	b.IdleTimeout = 20 * time.Millisecond
	client := Client(server.Listener.Addr().String(), b)
	t.Cleanup(client.CloseIdleConnections)
	var got int
	if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err != nil {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("an idle connection stays open")
	}
}
