package agentapi

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/fleet"
)

// maxWait bounds what a test waits for that should come at once.
const maxWait = 10 * time.Second

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("unix", strings.TrimPrefix(address, "unix:"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// readAll reads until the server closes the connection, for at most maxWait.
func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(maxWait)); err != nil {
		t.Fatal(err)
	}
	raw, err := io.ReadAll(conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection stays open")
	}
	return string(raw)
}

const statusRequest = "GET /v1/status HTTP/1.1\r\nHost: agent\r\n\r\n"

// TestConnectionsAreBounded: beyond Bounds.Connections a connection waits until another is closed.
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
		t.Errorf("served beside the first: %q %v", line, err)
	}
	_ = first.Close()
	_ = second.SetReadDeadline(time.Now().Add(maxWait))
	if line, err := lines.ReadString('\n'); err != nil || strings.TrimSpace(line) != "HTTP/1.1 200 OK" {
		t.Errorf("after the first: %q %v", line, err)
	}
}

// TestSlowRequests: a connection whose request does not come in time is closed, and one that is idle for too long.
func TestSlowRequests(t *testing.T) {
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

// TestIdleConnectionIsClosed: a connection without a request is closed after Bounds.IdleTimeout.
func TestIdleConnectionIsClosed(t *testing.T) {
	b := testBounds()
	b.CallTimeout, b.IdleTimeout = 4*maxWait, 50*time.Millisecond
	address, _ := serve(t, newFakeManager(), b)
	conn := dial(t, address)
	send(t, conn, statusRequest)
	if text := readAll(t, conn); !strings.HasPrefix(text, "HTTP/1.1 200 ") {
		t.Errorf("%q", text)
	}
}

// TestHeaderSizeIsBounded: a header far beyond Bounds.MessageSize is rejected.
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

// TestColdStartBodyBound: a cold start's request may be some times as long as Bounds.MessageSize, and no longer.
func TestColdStartBodyBound(t *testing.T) {
	b := testBounds()
	b.MessageSize = 1 << 10
	m := newFakeManager()
	s := &server{manager: m, bounds: b}
	for size, status := range map[int]int{
		3 * b.MessageSize: http.StatusOK, 4 * b.MessageSize: http.StatusBadRequest,
	} {
		response := httptest.NewRecorder()
		body := strings.NewReader(`{"id":"` + strings.Repeat("x", size) + `"}`)
		s.handler().ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/rise", body))
		if response.Code != status {
			t.Errorf("%d bytes: %d %s", size, response.Code, response.Body)
		}
	}
	if len(m.calls) != 1 {
		t.Errorf("%d passed on", len(m.calls))
	}
}

// TestHistoryDefaults: without a serial and a count, history is read from its begin, a thousand entries; the largest count
// is accepted.
func TestHistoryDefaults(t *testing.T) {
	m := newFakeManager()
	s := &server{manager: m, bounds: testBounds()}
	for _, query := range []string{"", "?most=1", "?most=100000&after=18446744073709551615"} {
		response := httptest.NewRecorder()
		s.handler().ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/history"+query, nil))
		if response.Code != http.StatusOK {
			t.Errorf("%q: %d %s", query, response.Code, response.Body)
		}
	}
	want := []string{"history 0 1000", "history 0 1", "history 18446744073709551615 100000"}
	if diff := cmp.Diff(want, m.calls); diff != "" {
		t.Error(diff)
	}
}

// recordingWriter is a response that records the lines flushed and each deadline; writing fails after so many lines.
type recordingWriter struct {
	header    http.Header
	buffered  bytes.Buffer
	flushed   []string
	deadlines []time.Time
	failAfter int // lines flushed; below 0: never
}

var errGone = errors.New("client is gone")

func newRecordingWriter(failAfter int) *recordingWriter {
	return &recordingWriter{header: http.Header{}, failAfter: failAfter}
}

func (w *recordingWriter) Header() http.Header { return w.header }
func (w *recordingWriter) WriteHeader(int)     {}

func (w *recordingWriter) Write(text []byte) (int, error) { return w.buffered.Write(text) }

func (w *recordingWriter) FlushError() error {
	if w.failAfter >= 0 && len(w.flushed) >= w.failAfter {
		return errGone
	}
	w.flushed = append(w.flushed, strings.TrimSpace(w.buffered.String()))
	w.buffered.Reset()
	return nil
}

func (w *recordingWriter) SetWriteDeadline(t time.Time) error {
	w.deadlines = append(w.deadlines, t)
	return nil
}

// TestResponseHasAWriteDeadline: a client that does not read a response in time does not hold the server.
func TestResponseHasAWriteDeadline(t *testing.T) {
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

// streamTo runs a stream until it ends, and returns how long it lasted on the bubble's clock. The stream's context ends after
// a minute.
func streamTo(t *testing.T, s *server, w http.ResponseWriter, query string) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	start := time.Now()
	s.stream(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/stream"+query, nil))
	return time.Since(start)
}

func newStreamServer(m Manager, stopped <-chan struct{}) *server {
	return &server{manager: m, bounds: testBounds(), streams: make(chan struct{}, 1), stopped: stopped}
}

// TestStreamEndsWithItsClient: a stream ends at once with its request, between two heartbeats, and leaves its place.
func TestStreamEndsWithItsClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreamServer(newFakeManager(), nil)
		ctx, cancel := context.WithTimeout(t.Context(), s.bounds.CallTimeout/2)
		defer cancel()
		start := time.Now()
		w := newRecordingWriter(1) // so that the stream ends at its second heartbeat at the latest
		s.stream(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/stream", nil))
		if elapsed := time.Since(start); elapsed != s.bounds.CallTimeout/2 || len(s.streams) != 0 {
			t.Errorf("ended after %v, %d places taken", elapsed, len(s.streams))
		}
	})
}

// TestStreamEndsWithItsServer: a stream ends at once when the server stops.
func TestStreamEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := make(chan struct{})
		s := newStreamServer(newFakeManager(), stopped)
		time.AfterFunc(s.bounds.CallTimeout/2, func() { close(stopped) })
		if elapsed := streamTo(t, s, newRecordingWriter(-1), ""); elapsed != s.bounds.CallTimeout/2 {
			t.Errorf("ended after %v", elapsed)
		}
	})
}

// TestStreamEndsWhenItCannotSend: a line that the client does not take ends the stream, whether a heartbeat or an entry or the
// report of lost ones, and each line has its own deadline.
func TestStreamEndsWhenItCannotSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreamServer(newFakeManager(), nil)
		w := newRecordingWriter(2)
		if elapsed := streamTo(t, s, w, ""); elapsed != 3*s.bounds.CallTimeout || len(w.flushed) != 2 {
			t.Errorf("ended after %v and the lines %q", elapsed, w.flushed)
		}
		end := time.Now()
		want := []time.Time{end.Add(-s.bounds.CallTimeout), end, end.Add(s.bounds.CallTimeout)}
		if diff := cmp.Diff(want, w.deadlines); diff != "" {
			t.Error(diff)
		}
	})
	for _, lines := range []int{0, 1} { // the first line reports lost entries, the second is an entry
		synctest.Test(t, func(t *testing.T) {
			m := newFakeManager()
			for range 4 {
				m.add("c1", "e", false)
			}
			w := newRecordingWriter(lines)
			if elapsed := streamTo(t, newStreamServer(m, nil), w, ""); elapsed != 0 || len(w.deadlines) != lines+1 {
				t.Errorf("ended after %v and %d lines sent", elapsed, len(w.deadlines))
			}
		})
	}
}

// pagedManager returns a few entries at a time.
type pagedManager struct {
	*fakeManager
	pageSize int
}

func (m *pagedManager) Entries(after uint64) ([]agentstore.Entry, uint64, <-chan struct{}) {
	entries, lost, more := m.fakeManager.Entries(after)
	return entries[:min(len(entries), m.pageSize)], lost, more
}

// TestStreamSendsAllPages: all entries that there are go out at once, however many the manager returns at a time, and those
// that come later as they come.
func TestStreamSendsAllPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &pagedManager{fakeManager: newFakeManager(), pageSize: 2}
		m.entries = entriesOf("c1", 7)
		s := newStreamServer(m, nil)
		time.AfterFunc(s.bounds.CallTimeout/2, func() { m.add("c1", "8", false) })
		w := newRecordingWriter(6)
		elapsed := streamTo(t, s, w, "?after=2")
		got := make([]string, 0, len(w.flushed))
		for _, line := range w.flushed {
			var event StreamEvent
			if err := json.Unmarshal([]byte(line), &event); err != nil {
				t.Fatal(err)
			}
			got = append(got, fmt.Sprint(event.Serial))
		}
		if diff := cmp.Diff([]string{"3", "4", "5", "6", "7", "8"}, got); diff != "" || elapsed != s.bounds.CallTimeout {
			t.Errorf("ended after %v: %s", elapsed, diff)
		}
	})
}

// TestStreamOfForgottenCommandEnds: a stream whose command the agent no longer has ends, without a last line.
func TestStreamOfForgottenCommandEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newFakeManager()
		m.commands["c1"] = &fleet.Command{ID: "c1"}
		s := newStreamServer(m, nil)
		time.AfterFunc(s.bounds.CallTimeout/2, func() {
			m.mu.Lock()
			delete(m.commands, "c1")
			m.mu.Unlock()
			m.add("other", "e", false)
		})
		w := newRecordingWriter(-1)
		if elapsed := streamTo(t, s, w, "?command=c1"); elapsed != s.bounds.CallTimeout/2 || len(w.flushed) != 0 {
			t.Errorf("ended after %v and the lines %q", elapsed, w.flushed)
		}
	})
}
