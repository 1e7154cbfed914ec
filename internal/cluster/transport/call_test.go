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

// countingListener counts the connections that it accepted.
type countingListener struct {
	net.Listener
	accepted atomic.Int32
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return c, err
}

// serveCalls answers the calls to a transport until the test ends.
func serveCalls(t *testing.T, tr *Transport, handler http.HandlerFunc) *countingListener {
	t.Helper()
	l := &countingListener{Listener: tr.Listener(KindCall)}
	server := &http.Server{Handler: handler}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(l)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return l
}

// TestCalls: a body arrives, an answer comes back, a status is an error of its own, and calls share a connection.
func TestCalls(t *testing.T) {
	to, _ := runTransport(t, "h1", nil, testLimits())
	from, _ := runTransport(t, "h2", map[string]string{"h1": to.Address()}, testLimits())
	l := serveCalls(t, to, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/refused" {
			http.Error(w, "no", http.StatusConflict)
			return
		}
		body, _ := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%q", r.Method+" "+r.URL.Path+" "+string(body))
	})
	for range 5 {
		var answer string
		if err := from.Call(context.Background(), "h1", "/x", 7, &answer); err != nil || answer != "POST /x 7" {
			t.Fatalf("answer %q, %v", answer, err)
		}
	}
	err := from.Call(context.Background(), "h1", "/refused", nil, nil)
	if status, ok := errors.AsType[*jsonhttp.StatusError](err); !ok || status.Code != http.StatusConflict || status.Message != "no" {
		t.Errorf("a refused call: %v", err)
	}
	if n := l.accepted.Load(); n != 1 {
		t.Errorf("%d connections for calls one after the other", n)
	}
}

// TestBrokenCall: a connection that breaks before its answer is an error, and the next call opens another.
func TestBrokenCall(t *testing.T) {
	to, _ := runTransport(t, "h1", nil, testLimits())
	from, _ := runTransport(t, "h2", map[string]string{"h1": to.Address()}, testLimits())
	var calls atomic.Int32
	l := serveCalls(t, to, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler) // closes the connection
		}
		fmt.Fprint(w, "true")
	})
	if err := from.Call(context.Background(), "h1", "/x", 1, nil); err == nil {
		t.Error("a call whose connection broke has no error")
	}
	var answer bool
	if err := from.Call(context.Background(), "h1", "/x", 1, &answer); err != nil || !answer {
		t.Errorf("the call after it: %v, %v", answer, err)
	}
	if n := calls.Load(); n != 2 {
		t.Errorf("2 calls were made %d times", n)
	}
	if n := l.accepted.Load(); n != 2 {
		t.Errorf("%d connections", n)
	}
}

// TestUnresponsivePeer: a call to a peer that takes the connection and is silent ends with its context.
func TestUnresponsivePeer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // connections stay in its accept queue
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	tr, _ := runTransport(t, "h1", map[string]string{"h2": l.Addr().String()}, testLimits())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	if err := tr.Call(ctx, "h2", "/x", nil, nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the call ended with %v", err)
	}
	if took := time.Since(began); took > patience {
		t.Errorf("the call took %v", took)
	}
}

// TestLongAnswer: an answer beyond its limit is an error.
func TestLongAnswer(t *testing.T) {
	bounds := testLimits()
	bounds.MessageSize = 10
	to, _ := runTransport(t, "h1", nil, bounds)
	from, _ := runTransport(t, "h2", map[string]string{"h1": to.Address()}, bounds)
	length := 100
	serveCalls(t, to, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "%q", strings.Repeat("x", length)) })
	var answer string
	if err := from.Call(context.Background(), "h1", "/x", nil, &answer); err != nil || len(answer) != length {
		t.Errorf("an answer within its limit: %d bytes, %v", len(answer), err)
	}
	length = maxAnswerMessages * bounds.MessageSize
	if err := from.Call(context.Background(), "h1", "/x", nil, &answer); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("an answer beyond its limit: %v", err)
	}
}

// TestSetAddresses: calls go to the new address, and a connection that is open goes on.
func TestSetAddresses(t *testing.T) {
	before, _ := runTransport(t, "h1", nil, testLimits())
	after, _ := runTransport(t, "h1", nil, testLimits())
	from, _ := runTransport(t, "h2", map[string]string{"h1": before.Address()}, testLimits())
	answer := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "%q", text) }
	}
	serveCalls(t, before, answer("before"))
	serveCalls(t, after, answer("after"))
	stream, err := from.Dial(context.Background(), KindStream, "h1")
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	in := acceptFrom(t, before.Listener(KindStream))
	for _, want := range []string{"before", "after"} {
		var got string
		if err := from.Call(context.Background(), "h1", "/x", nil, &got); err != nil || got != want {
			t.Errorf("answered by %q, %v, want %q", got, err, want)
		}
		from.SetAddresses(map[string]string{"h1": after.Address()})
	}
	if _, err := io.WriteString(stream, "x"); err != nil {
		t.Fatal(err)
	}
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Errorf("a stream from before: %v", err)
	}
}
