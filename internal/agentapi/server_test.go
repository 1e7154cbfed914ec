package agentapi

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/fleet"
)

const statusRequest = "GET /v1/status HTTP/1.1\r\nHost: agent\r\n\r\n"

// TestConnectionsAreBounded checks that a connection beyond limits.Control.Connections waits until another one is
// closed.
func TestConnectionsAreBounded(t *testing.T) {
	b := testBounds()
	b.Connections = 1
	address, _ := serve(t, newFakeManager(), b)
	first := dial(t, address)
	send(t, first, statusRequest)
	if _, err := bufio.NewReader(first).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	second := dial(t, address)
	send(t, second, statusRequest)
	_ = second.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	lines := bufio.NewReader(second)
	if line, err := lines.ReadString('\n'); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("served while the first connection is open: %q %v", line, err)
	}
	_ = first.Close()
	_ = second.SetReadDeadline(time.Now().Add(maxWait))
	if line, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(line) != "HTTP/1.1 200 OK" {
		t.Errorf("after the first connection was closed: %q %v", line, err)
	}
}

// TestSlowRequestIsClosed checks that a connection is closed if its request is not complete in time.
func TestSlowRequestIsClosed(t *testing.T) {
	b := testBounds()
	b.CallTimeout = 50 * time.Millisecond
	address, _ := serve(t, newFakeManager(), b)
	header := dial(t, address)
	send(t, header, "GET /v1/status HTTP/1.1\r\n")
	if text := readAll(t, header); text != "" {
		t.Errorf("half a header: %q", text)
	}
	body := dial(t, address)
	send(t, body, "POST /v1/commands HTTP/1.1\r\nHost: agent\r\nContent-Length: 100\r\n\r\n{")
	if text := readAll(t, body); !strings.HasPrefix(text, "HTTP/1.1 400 ") || !strings.Contains(text, "i/o timeout") {
		t.Errorf("half a body: %q", text)
	}
}

// TestIdleConnectionIsClosed checks that an idle connection is closed after limits.Control.IdleTimeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	b := testBounds()
	b.CallTimeout = 4 * maxWait
	b.IdleTimeout = 50 * time.Millisecond
	address, _ := serve(t, newFakeManager(), b)
	conn := dial(t, address)
	send(t, conn, statusRequest)
	if text := readAll(t, conn); !strings.HasPrefix(text, "HTTP/1.1 200 ") {
		t.Errorf("%q", text)
	}
}

// TestHeaderSizeIsBounded checks that a header far beyond limits.Control.MessageSize is rejected.
func TestHeaderSizeIsBounded(t *testing.T) {
	b := testBounds()
	b.MessageSize = 1 << 10
	address, _ := serve(t, newFakeManager(), b)
	conn := dial(t, address)
	send(t, conn, "GET /v1/status HTTP/1.1\r\nHost: agent\r\nLong: "+strings.Repeat("x", 16<<10)+"\r\n\r\n")
	_ = conn.SetReadDeadline(time.Now().Add(maxWait))
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 431 ") {
		t.Errorf("%q %v", line, err)
	}
}

// TestColdStartSizeIsBounded checks that a cold start request may exceed limits.Control.MessageSize, but not by more
// than maxColdStartFactor.
func TestColdStartSizeIsBounded(t *testing.T) {
	b := testBounds()
	b.MessageSize = 1 << 10
	m := newFakeManager()
	s := &server{manager: m, bounds: b}
	for _, test := range []struct {
		name   string
		size   int
		status int
	}{
		{"accepted", 3 * b.MessageSize, http.StatusOK},
		{"too long", 4 * b.MessageSize, http.StatusBadRequest},
	} {
		body := `{"id":"` + strings.Repeat("x", test.size) + `"}`
		response := handle(t, s, http.MethodPost, "/v1/rise", body)
		if response.Code != test.status {
			t.Errorf("%s: status %d, want %d: %s", test.name, response.Code, test.status, response.Body)
		}
	}
	if len(m.calls) != 1 {
		t.Errorf("calls of the manager %q, want one", m.calls)
	}
}

// handle passes a request to the handler of a server without a listener, and returns the response.
func handle(t *testing.T, s *server, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	response := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	s.handler().ServeHTTP(response, request)
	return response
}

// TestHistoryAcceptsDefaultAndLargestParameters checks that a history request without parameters is for the latest
// 1000 entries of the complete history, and that the largest parameters are accepted.
func TestHistoryAcceptsDefaultAndLargestParameters(t *testing.T) {
	m := newFakeManager()
	s := &server{manager: m, bounds: testBounds()}
	for _, query := range []string{"", "?most=1", "?most=100000&after=18446744073709551615"} {
		response := handle(t, s, http.MethodGet, "/v1/history"+query, "")
		if response.Code != http.StatusOK {
			t.Errorf("%q: status %d: %s", query, response.Code, response.Body)
		}
	}
	want := []string{"history 0 1000", "history 0 1", "history 18446744073709551615 100000"}
	if diff := cmp.Diff(want, m.calls); diff != "" {
		t.Error(diff)
	}
}

// TestResponseHasWriteDeadline checks that the client has limits.Control.CallTimeout to read a response.
func TestResponseHasWriteDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := testBounds()
		w := newRecordingWriter(-1)
		s := &server{manager: newFakeManager(), bounds: b}
		s.handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/status", nil))
		if diff := cmp.Diff([]time.Time{time.Now().Add(b.CallTimeout)}, w.deadlines); diff != "" {
			t.Error(diff)
		}
	})
}

// TestMalformedRequestsAreRejected checks that malformed requests are rejected with a reason and do not reach
// the manager.
func TestMalformedRequestsAreRejected(t *testing.T) {
	m := newFakeManager()
	b := testBounds()
	b.CallTimeout = maxWait // long, because one body has a megabyte and no case depends on time
	address := freeLoopbackAddress(t)
	serveAt(t, address, m, b)
	long := `{"id":"` + strings.Repeat("x", b.MessageSize) + `"}`
	for _, test := range []struct {
		method string
		path   string
		body   string
		status int
		text   string
	}{
		{"GET", "/v2/status", "", 404, "GET /v2/status: unknown path; this agent has version 1 of the API"},
		{"DELETE", "/v1/status", "", 404, "DELETE /v1/status: unknown path; this agent has version 1 of the API"},
		{"POST", "/v1/commands", `{"id":"x","weight":3}`, 400, `command request: json: unknown field "weight"`},
		{"POST", "/v1/commands", long, 400, "command request: unexpected EOF"},
		{"POST", "/v1/commands", "", 400, "command request: EOF"},
		{"POST", "/v1/rise", `{"weight":3}`, 400, `cold start request: json: unknown field "weight"`},
		{"GET", "/v1/history?after=-1", "", 400, `after: found "-1", expected a serial`},
		{"GET", "/v1/history?most=0", "", 400, `most: found "0", expected a number from 1 to 100000`},
		{"GET", "/v1/history?most=100001", "", 400, `most: found "100001", expected a number from 1 to 100000`},
		{"GET", "/v1/stream?after=x", "", 400, `after: found "x", expected a serial`},
		{"GET", "/v1/stream?most=x", "", 400, `most: found "x", expected a number from 1 to 100000`},
		{"GET", "/v1/stream?command=none", "", 404, fleet.ErrUnknownCommand.Error()},
	} {
		status, body := request(t, test.method, "http://"+address+test.path, test.body)
		want, err := json.Marshal(errorBody{Error: test.text})
		if err != nil {
			t.Fatal(err)
		}
		if status != test.status || strings.TrimSpace(body) != string(want) {
			t.Errorf("%s %s: status %d, %s, want %d, %s", test.method, test.path, status, body, test.status, want)
		}
	}
	if len(m.requests)+len(m.calls) != 0 {
		t.Errorf("reached the manager: %v %v", m.requests, m.calls)
	}
}

// request sends a request, and returns the status and the body of the response.
func request(t *testing.T, method, url, body string) (status int, text string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(raw)
}

// TestListenRejectsNonLocalAddress checks that an agent does not listen on addresses that other hosts can reach.
func TestListenRejectsNonLocalAddress(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "example.org:80", "unix:relative", ""} {
		if l, err := Listen(t.Context(), address); err == nil {
			t.Errorf("listens on %q", address)
			_ = l.Close()
		}
	}
}
