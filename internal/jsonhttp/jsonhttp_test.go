package jsonhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestCallSendsAndDecodesJSON checks that the method, the path and the body arrive over TCP and over a Unix socket, and
// that the response is decoded.
func TestCallSendsAndDecodesJSON(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Header.Get("Accept-Encoding") != "" {
			t.Errorf("request: %v, accepts %q", err, r.Header.Get("Accept-Encoding"))
		}
		if err := json.NewEncoder(w).Encode([]string{r.Method, r.URL.String(), string(body)}); err != nil {
			t.Error(err)
		}
	})
	for _, server := range []struct{ name, address string }{
		{"TCP", serve(t, echo)},
		{"Unix socket", serveUnix(t, echo)},
	} {
		client := newClient(t, server.address)
		for _, test := range []struct {
			name string
			body any
			want string
		}{
			{"no body", nil, ""},
			{"body", map[string]int{"a": 1}, `{"a":1}`},
		} {
			t.Run(server.name+", "+test.name, func(t *testing.T) {
				var got []string
				err := Call(t.Context(), client, http.MethodPut, "/v1/x?y=z", test.body, &got, testMaxBytes)
				want := []string{http.MethodPut, "/v1/x?y=z", test.want}
				if err != nil || !slices.Equal(got, want) {
					t.Errorf("%q, %v, want %q", got, err, want)
				}
			})
		}
	}
}

// TestResponseSizeIsBounded checks that a response of the maximum size is decoded, and that one byte more is an error.
func TestResponseSizeIsBounded(t *testing.T) {
	text := `"` + strings.Repeat("x", testMaxBytes-2) + `"`
	client := newClient(t, serve(t, respond(http.StatusOK, text)))
	var got string
	err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes)
	if err != nil || len(got) != testMaxBytes-2 {
		t.Errorf("%d bytes decoded: %v", len(got), err)
	}
	err = Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes-1)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("response over the limit: %v", err)
	}
}

// TestInvalidResponseIsAnError checks responses that are not JSON or have a value of another type.
func TestInvalidResponseIsAnError(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string
	}{
		{"empty", "", "EOF"},
		{"no JSON", "<p>", "invalid character '<' looking for beginning of value"},
		{"other type", `"one"`, "json: cannot unmarshal string into Go value of type int"},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newClient(t, serve(t, respond(http.StatusOK, test.text)))
			var got int
			err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes)
			if want := "decode response of GET /: " + test.want; err == nil || err.Error() != want {
				t.Errorf("error %v, want %s", err, want)
			}
		})
	}
}

// TestErrorStatusIsStatusError checks that a status other than 2xx is a *StatusError with at most 4 KB of the body.
func TestErrorStatusIsStatusError(t *testing.T) {
	for _, test := range []struct {
		name   string
		status int
		text   string
		want   string
	}{
		{"no body", http.StatusNotModified, "", ""},
		{"white space", http.StatusNotFound, " not here\n", "not here"},
		{"long body", http.StatusServiceUnavailable, strings.Repeat("x", 4<<10+1), strings.Repeat("x", 4<<10)},
	} {
		t.Run(test.name, func(t *testing.T) {
			client := newClient(t, serve(t, respond(test.status, test.text)))
			var got int
			err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes)
			status, ok := errors.AsType[*StatusError](err)
			if !ok || status.Code != test.status || status.Message != test.want {
				t.Errorf("status %d: %v", test.status, err)
			}
		})
	}
	if text := (&StatusError{Code: 404, Message: "not here"}).Error(); text != "status 404: not here" {
		t.Error(text)
	}
}

// TestResponseWithOtherSuccessStatusIsDecoded checks a 2xx status other than 200.
func TestResponseWithOtherSuccessStatusIsDecoded(t *testing.T) {
	client := newClient(t, serve(t, respond(http.StatusCreated, "3")))
	var got int
	if err := Call(t.Context(), client, http.MethodPost, "/", nil, &got, testMaxBytes); err != nil || got != 3 {
		t.Errorf("status 201: %d %v", got, err)
	}
}

// TestIgnoredBodyMayBeInvalid checks that the body is not decoded if there is no value to decode it into.
func TestIgnoredBodyMayBeInvalid(t *testing.T) {
	for _, text := range []string{"", "<p>"} {
		client := newClient(t, serve(t, respond(http.StatusOK, text)))
		if err := Call(t.Context(), client, http.MethodPost, "/", nil, nil, testMaxBytes); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// TestInvalidRequestIsNotSent checks a body without a JSON encoding, an invalid method and a canceled context.
func TestInvalidRequestIsNotSent(t *testing.T) {
	var requests atomic.Int32
	client := newClient(t, serve(t, func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		_, _ = io.WriteString(w, "1")
	}))
	err := Call(t.Context(), client, http.MethodPost, "/", func() {}, nil, testMaxBytes)
	if _, ok := errors.AsType[*json.UnsupportedTypeError](err); !ok {
		t.Errorf("body without a JSON encoding: %v", err)
	}
	if err := Call(t.Context(), client, "GET /", "/", nil, nil, testMaxBytes); err == nil {
		t.Error("invalid method was sent")
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	err = Call(canceled, client, http.MethodGet, "/", nil, nil, testMaxBytes)
	if !errors.Is(err, context.Canceled) {
		t.Errorf("canceled context: %v", err)
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests arrived", n)
	}
}

// TestMissingSocketIsAnError checks that a call to a socket that does not exist returns the system's error.
func TestMissingSocketIsAnError(t *testing.T) {
	client := newClient(t, "unix:"+filepath.Join(t.TempDir(), "none.sock"))
	err := Call(t.Context(), client, http.MethodGet, "/", nil, nil, testMaxBytes)
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing socket: %v", err)
	}
}

// TestSequentialCallsShareConnection checks that sequential calls use one connection, and that a body that is not
// decoded does not keep its connection busy.
func TestSequentialCallsShareConnection(t *testing.T) {
	address, connections := serveCounted(t, respond(http.StatusOK, "1"))
	client := newClient(t, address)
	var got int
	for range 20 {
		if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.opened.Load(); n != 1 {
		t.Errorf("sequential calls opened %d connections", n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for range 20 {
		if err := Call(ctx, client, http.MethodGet, "/", nil, nil, testMaxBytes); err != nil {
			t.Fatalf("after an ignored body: %v", err)
		}
	}
}

// TestConcurrentConnectionsAreBounded checks that concurrent calls open at most four connections, of which at most two
// stay open.
func TestConcurrentConnectionsAreBounded(t *testing.T) {
	const calls = 8
	release := make(chan struct{})
	arrived := make(chan struct{}, calls)
	address, connections := serveCounted(t, func(w http.ResponseWriter, _ *http.Request) {
		arrived <- struct{}{}
		<-release
		_, _ = io.WriteString(w, "1")
	})
	client := newClient(t, address)
	results := make(chan error, calls)
	for range calls {
		go func() { results <- Call(t.Context(), client, http.MethodGet, "/", nil, nil, testMaxBytes) }()
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
	for range calls {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
	connections.awaitOpen(t, 2)
}

// TestIdleConnectionsAreClosed checks that a connection without a call is closed after limits.Control.IdleTimeout.
func TestIdleConnectionsAreClosed(t *testing.T) {
	address, connections := serveCounted(t, respond(http.StatusOK, "1"))
	bounds := testBounds()
	bounds.IdleTimeout = 20 * time.Millisecond
	client := Client(address, bounds)
	t.Cleanup(client.CloseIdleConnections)
	var got int
	if err := Call(t.Context(), client, http.MethodGet, "/", nil, &got, testMaxBytes); err != nil {
		t.Fatal(err)
	}
	connections.awaitOpen(t, 0)
}
