package agentapi

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// fakeManager is a Manager that records calls and returns the values of its fields.
type fakeManager struct {
	err error // returned by the methods that can reject a request

	mu         sync.Mutex // guards the fields below
	requests   []CommandRequest
	calls      []string // of methods other than Submit
	commands   map[string]*fleet.Command
	entries    []agentstore.Entry
	entryAdded chan struct{} // closed at the next entry
}

func newFakeManager() *fakeManager {
	return &fakeManager{commands: map[string]*fleet.Command{}, entryAdded: make(chan struct{})}
}

// record records a call and returns its error.
func (m *fakeManager) record(format string, args ...any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, fmt.Sprintf(format, args...))
	return m.err
}

// add appends an entry of a command, and marks the command as done if done is set.
func (m *fakeManager) add(command, event string, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, newEntry(len(m.entries)+1, command, event))
	if done {
		m.commands[command] = &fleet.Command{ID: command, State: fleet.CommandDone}
	}
	close(m.entryAdded)
	m.entryAdded = make(chan struct{})
}

func (m *fakeManager) Status() Status { return Status{Version: Version, Host: "h1", LastSerial: 7} }

func (m *fakeManager) Submit(r CommandRequest) (*fleet.Command, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.requests = append(m.requests, r)
	return &fleet.Command{ID: r.ID, Kind: r.Kind}, m.err
}

func (m *fakeManager) Steer(id, verb, by string) (*fleet.Command, error) {
	return &fleet.Command{ID: id}, m.record("steer %s %s %s", id, verb, by)
}

func (m *fakeManager) Command(id string) *fleet.Command {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.commands[id]
}

func (m *fakeManager) Commands() []*fleet.Command { return []*fleet.Command{{ID: "c2"}, {ID: "c1"}} }

// Entries returns the entries after a serial. The first two entries are no longer cached.
func (m *fakeManager) Entries(after uint64) (entries []agentstore.Entry, lost uint64, entryAdded <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const evicted = 2
	if after < evicted && len(m.entries) > evicted {
		lost = evicted - after
	}
	return m.entries[min(max(int(after), evicted), len(m.entries)):], lost, m.entryAdded
}

func (m *fakeManager) History(after uint64, limit int) ([]agentstore.Entry, error) {
	return []agentstore.Entry{{Serial: after + 1}}, m.record("history %d %d", after, limit)
}

func (m *fakeManager) Budgets(context.Context) (Budgets, error) {
	return Budgets{Host: "h1", Stage: "leads"}, m.record("budgets")
}

func (m *fakeManager) WriteOff(_ context.Context, name, by string) error {
	return m.record("write off %s %s", name, by)
}

func (m *fakeManager) ColdStart(_ context.Context, c quota.ColdStartCommand) error {
	return m.record("cold start %+v", c)
}

func (m *fakeManager) Members() []membership.Member { return []membership.Member{{}} }

// testBounds returns the production bounds with short times.
func testBounds() limits.Control {
	b := limits.ForControl()
	b.CallTimeout = 300 * time.Millisecond
	b.RetryBackoff = time.Millisecond
	b.RetryBackoffMax = 2 * time.Millisecond
	return b
}

// serve serves the API on a Unix socket until the test ends or stop is called.
func serve(t *testing.T, m Manager, b limits.Control) (address string, stop func()) {
	t.Helper()
	address = "unix:" + filepath.Join(t.TempDir(), "a.sock")
	return address, serveAt(t, address, m, b)
}

// serveAt serves the API at an address until the test ends or stop is called.
func serveAt(t *testing.T, address string, m Manager, b limits.Control) (stop func()) {
	t.Helper()
	l, err := Listen(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, m, b) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

func newClient(t *testing.T, address string, b limits.Control) *Client {
	t.Helper()
	c := NewClientFactory(b, 1).Client(address)
	t.Cleanup(c.Close)
	return c
}

// freeLoopbackAddress returns an address on which no process listened a moment ago.
func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// newEntry returns a history entry for a command.
func newEntry(serial int, command, event string) agentstore.Entry {
	return agentstore.Entry{
		Serial:       uint64(serial),
		HistoryEvent: fleet.HistoryEvent{CommandID: command, Event: event},
	}
}

// entriesOf returns entries for a command with the serials 1 to n.
func entriesOf(command string, n int) []agentstore.Entry {
	entries := make([]agentstore.Entry, n)
	for i := range entries {
		entries[i] = newEntry(i+1, command, fmt.Sprint(i+1))
	}
	return entries
}

// fillRetryBudget records enough attempts that the retry budget allows retries.
func fillRetryBudget(f *ClientFactory) {
	for range 100 {
		f.retryBudget.RecordAttempt()
	}
}

// maxWait is how long a test waits for an event that should happen at once.
const maxWait = 10 * time.Second

// dial connects to a Unix socket. The connection is closed at the end of the test.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "unix", strings.TrimPrefix(address, "unix:"))
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
		t.Error("the server did not close the connection")
	}
	return string(raw)
}

// roundTripFunc is an HTTP transport that calls a function.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// newTransportClient returns a client that sends its requests to a transport function.
func newTransportClient(b limits.Control, transport roundTripFunc) *Client {
	return &Client{factory: NewClientFactory(b, 1), address: "test", http: &http.Client{Transport: transport}}
}

func newResponse(status int, body io.Reader) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(body)}
}

// blockUntil is a response body without content, whose Read blocks until its context ends.
type blockUntil struct{ ctx context.Context }

func (b blockUntil) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// scriptedTransport answers each request with the next of its responses, and records the queries.
type scriptedTransport struct {
	responses []respondFunc
	queries   []string
}

// respondFunc returns the response to a request.
type respondFunc func(*http.Request) *http.Response

func (s *scriptedTransport) roundTrip(r *http.Request) (*http.Response, error) {
	n := len(s.queries)
	s.queries = append(s.queries, r.URL.RawQuery)
	if n >= len(s.responses) {
		return nil, errors.New("no further response")
	}
	return s.responses[n](r), nil
}

// textResponse returns a function that responds with a text.
func textResponse(status int, text string) respondFunc {
	return func(*http.Request) *http.Response { return newResponse(status, strings.NewReader(text)) }
}

// recordingWriter is a response writer that records flushed lines and write deadlines. Flushing fails after failAfter
// lines.
type recordingWriter struct {
	header    http.Header
	buffered  bytes.Buffer
	flushed   []string
	deadlines []time.Time
	failAfter int // negative: never
}

var errGone = errors.New("client has disconnected")

func newRecordingWriter(failAfter int) *recordingWriter {
	return &recordingWriter{header: http.Header{}, failAfter: failAfter}
}

func (w *recordingWriter) Header() http.Header { return w.header }

func (w *recordingWriter) WriteHeader(int) {}

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

// pagedManager returns at most pageSize entries at a time.
type pagedManager struct {
	*fakeManager
	pageSize int
}

func (m *pagedManager) Entries(after uint64) ([]agentstore.Entry, uint64, <-chan struct{}) {
	entries, lost, entryAdded := m.fakeManager.Entries(after)
	return entries[:min(len(entries), m.pageSize)], lost, entryAdded
}

// textTransport returns a transport that responds to each request with a text.
func textTransport(status int, text string) roundTripFunc {
	respond := textResponse(status, text)
	return func(r *http.Request) (*http.Response, error) { return respond(r), nil }
}

// wantUnreachable fails the test unless err is an UnreachableError with these causes.
func wantUnreachable(t *testing.T, err error, causes ...error) {
	t.Helper()
	if _, ok := errors.AsType[*UnreachableError](err); !ok {
		t.Errorf("%v, want an UnreachableError", err)
	}
	for _, cause := range causes {
		if !errors.Is(err, cause) {
			t.Errorf("%v, want the cause %v", err, cause)
		}
	}
}
