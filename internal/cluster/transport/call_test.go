package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"milletbarrow/internal/jsonhttp"
)

// respondWith returns a handler that responds with one text as JSON.
func respondWith(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "%q", text) }
}

// TestSequentialCallsShareOneConnection checks that sequential calls reuse one connection, that bodies and responses
// are transferred, and that an error status is returned as a *jsonhttp.StatusError.
func TestSequentialCallsShareOneConnection(t *testing.T) {
	to, from := runPair(t, testLimits())
	listener := serveCalls(t, to, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			http.Error(w, "no", http.StatusConflict)
			return
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q", r.Method+" "+r.URL.Path+" "+string(body))
	})
	for range 5 {
		var response string
		if err := from.Call(t.Context(), "h1", "/x", 7, &response); err != nil || response != "POST /x 7" {
			t.Fatalf("response %q, %v", response, err)
		}
	}
	err := from.Call(t.Context(), "h1", "/refused", nil, nil)
	status, ok := errors.AsType[*jsonhttp.StatusError](err)
	if !ok || status.Code != http.StatusConflict || status.Message != "no" {
		t.Errorf("rejected call: error %v, want status 409 with message no", err)
	}
	if n := listener.accepted.Load(); n != 1 {
		t.Errorf("%d connections for sequential calls, want 1", n)
	}
}

// TestCallOnBrokenConnectionIsNotRetried checks that a call fails, without a retry, if its connection is closed before
// the response, and that the next call opens a new connection.
func TestCallOnBrokenConnectionIsNotRetried(t *testing.T) {
	to, from := runPair(t, testLimits())
	var calls atomic.Int32
	listener := serveCalls(t, to, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler) // closes the connection
		}
		fmt.Fprint(w, "true")
	})
	if err := from.Call(t.Context(), "h1", "/x", 1, nil); err == nil {
		t.Error("a call whose connection was closed returned no error")
	}
	var response bool
	if err := from.Call(t.Context(), "h1", "/x", 1, &response); err != nil || !response {
		t.Errorf("the next call: response %v, error %v", response, err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("%d requests for 2 calls", n)
	}
	if n := listener.accepted.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// TestCallToSilentPeerEndsWithItsContext checks that a call to a peer that accepts the connection but never responds
// ends with its context.
func TestCallToSilentPeerEndsWithItsContext(t *testing.T) {
	silent, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0") // the kernel accepts connections
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	agent, _ := runTransport(t, "h1", map[string]string{"h2": silent.Addr().String()}, testLimits())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	if err := agent.Call(ctx, "h2", "/x", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want %v", err, context.DeadlineExceeded)
	}
	if took := time.Since(start); took > waitTimeout {
		t.Errorf("the call took %v", took)
	}
}

// TestResponseBeyondLimitIsAnError checks that a call fails if its response exceeds the length limit.
func TestResponseBeyondLimitIsAnError(t *testing.T) {
	bounds := testLimits()
	bounds.MessageSize = 10
	for _, test := range []struct {
		name   string
		length int
		want   error // nil: the response is read
	}{
		{"within the bound", 100, nil},
		{"beyond the bound", maxResponseMessages * bounds.MessageSize, io.ErrUnexpectedEOF},
	} {
		t.Run(test.name, func(t *testing.T) {
			to, from := runPair(t, bounds)
			serveCalls(t, to, respondWith(strings.Repeat("x", test.length)))
			var response string
			err := from.Call(t.Context(), "h1", "/x", nil, &response)
			if !errors.Is(err, test.want) || test.want == nil && len(response) != test.length {
				t.Errorf("response of %d bytes, %v", len(response), err)
			}
		})
	}
}

// TestSetAddressesRedirectsCallsAndKeepsStreams checks that calls after SetAddresses go to the new address, and that
// open connections stay open.
func TestSetAddressesRedirectsCallsAndKeepsStreams(t *testing.T) {
	before, from := runPair(t, testLimits())
	after, _ := runTransport(t, "h1", nil, testLimits())
	serveCalls(t, before, respondWith("before"))
	serveCalls(t, after, respondWith("after"))
	stream := dialKind(t, from, KindStream)
	in := acceptFrom(t, before.Listener(KindStream))
	for _, want := range []string{"before", "after"} {
		var got string
		if err := from.Call(t.Context(), "h1", "/x", nil, &got); err != nil || got != want {
			t.Errorf("response of %q, %v, want %q", got, err, want)
		}
		from.SetAddresses(map[string]string{"h1": after.Address()})
	}
	send(t, stream, "x")
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Errorf("stream opened before SetAddresses: %v", err)
	}
}
