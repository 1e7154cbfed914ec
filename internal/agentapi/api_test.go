package agentapi

import (
	"bufio"
	"context"
	"encoding/json"
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

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// fakeManager records requests, and answers as its fields say.
type fakeManager struct {
	err error // of what can be rejected

	mu       sync.Mutex
	requests []CommandRequest
	calls    []string
	commands map[string]*fleet.Command
	entries  []agentstore.Entry
	more     chan struct{}
}

func newFakeManager() *fakeManager {
	return &fakeManager{commands: map[string]*fleet.Command{}, more: make(chan struct{})}
}

func (m *fakeManager) record(format string, args ...any) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls = append(m.calls, fmt.Sprintf(format, args...))
	return m.err
}

// add appends an entry of a command, and ends the command if it is done.
func (m *fakeManager) add(command, event string, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := agentstore.Entry{Serial: uint64(len(m.entries) + 1), HistoryEvent: fleet.HistoryEvent{CommandID: command, Event: event}}
	m.entries = append(m.entries, entry)
	if done {
		m.commands[command] = &fleet.Command{ID: command, State: fleet.CommandDone}
	}
	close(m.more)
	m.more = make(chan struct{})
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

// Entries has lost the first two.
func (m *fakeManager) Entries(after uint64) (entries []agentstore.Entry, lost uint64, more <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	const forgotten = 2
	if after < forgotten && len(m.entries) > forgotten {
		lost = forgotten - after
	}
	return m.entries[min(max(int(after), forgotten), len(m.entries)):], lost, m.more
}

func (m *fakeManager) History(after uint64, most int) ([]agentstore.Entry, error) {
	return []agentstore.Entry{{Serial: after + 1}}, m.record("history %d %d", after, most)
}

func (m *fakeManager) Budgets(context.Context) (Budgets, error) {
	return Budgets{Host: "h1", Stage: "leads"}, m.record("budgets")
}

func (m *fakeManager) WriteOff(_ context.Context, name, by string) error {
	return m.record("write off %s %s", name, by)
}

func (m *fakeManager) ColdStart(_ context.Context, c quota.ColdStartCommand) error {
	return m.record("rise %+v", c)
}

func (m *fakeManager) Members() []membership.Member { return []membership.Member{{}} }

// testBounds are those of production with short times.
func testBounds() limits.Control {
	b := limits.ForControl()
	b.CallTimeout = 300 * time.Millisecond
	b.RetryBackoff, b.RetryBackoffMax = time.Millisecond, 2*time.Millisecond
	return b
}

// serve listens on a Unix socket until the test ends, or until the function that it returns is called.
func serve(t *testing.T, m Manager, b limits.Control) (address string, stop func()) {
	t.Helper()
	dir, err := os.MkdirTemp("", "api") // t.TempDir is too long for a socket's path
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	address = "unix:" + filepath.Join(dir, "a.sock")
	return address, serveAt(t, address, m, b)
}

func serveAt(t *testing.T, address string, m Manager, b limits.Control) (stop func()) {
	t.Helper()
	l, err := Listen(address)
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

// TestEveryMethod: each method of the client arrives at the manager's with its arguments, and its result comes back.
func TestEveryMethod(t *testing.T) {
	m := newFakeManager()
	m.commands["a/b c"] = &fleet.Command{ID: "a/b c"}
	address, _ := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	ctx := t.Context()
	if s, err := c.Status(ctx); err != nil || s.Host != "h1" || s.LastSerial != 7 {
		t.Errorf("status: %+v %v", s, err)
	}
	request := CommandRequest{ID: "c1", Kind: fleet.KindDrain, Instances: []string{"a"}, RequestedBy: "me", TimeoutMicros: 5, Immediate: true}
	if got, err := c.Submit(ctx, request); err != nil || got.ID != "c1" || got.Kind != fleet.KindDrain {
		t.Errorf("submit: %+v %v", got, err)
	}
	if diff := cmp.Diff([]CommandRequest{request}, m.requests); diff != "" {
		t.Error(diff)
	}
	if got, err := c.Command(ctx, "a/b c"); err != nil || got.ID != "a/b c" {
		t.Errorf("command: %+v %v", got, err)
	}
	if _, err := c.Command(ctx, "none"); !errors.Is(err, fleet.ErrUnknownCommand) {
		t.Errorf("unknown command: %v", err)
	}
	if all, err := c.Commands(ctx); err != nil || len(all) != 2 || all[0].ID != "c2" {
		t.Errorf("commands: %+v %v", all, err)
	}
	if _, err := c.Steer(ctx, "c?1", "pause", "me & you"); err != nil {
		t.Errorf("steer: %v", err)
	}
	if all, err := c.History(ctx, 3, 9); err != nil || len(all) != 1 || all[0].Serial != 4 {
		t.Errorf("history: %+v %v", all, err)
	}
	if b, err := c.Budgets(ctx); err != nil || b.Host != "h1" || b.Stage != "leads" {
		t.Errorf("budgets: %+v %v", b, err)
	}
	if all, err := c.Members(ctx); err != nil || len(all) != 1 {
		t.Errorf("members: %+v %v", all, err)
	}
	if err := c.WriteOff(ctx, "n/1", "me"); err != nil {
		t.Errorf("write off: %v", err)
	}
	if err := c.ColdStart(ctx, quota.ColdStartCommand{}); err != nil {
		t.Errorf("cold start: %v", err)
	}
	want := []string{"steer c?1 pause me & you", "history 3 9", "budgets", "write off n/1 me", fmt.Sprintf("rise %+v", quota.ColdStartCommand{})}
	if diff := cmp.Diff(want, m.calls); diff != "" {
		t.Error(diff)
	}
}

// TestErrorStatus: each kind of rejection has its status and text, and is not retried unless it is 503.
func TestErrorStatus(t *testing.T) {
	b := testBounds()
	for _, c := range []struct {
		err    error
		status int
		calls  int
	}{
		{fleet.ErrUnknownCommand, 404, 1}, {fmt.Errorf("c1: %w", fleet.ErrIDConflict), 409, 1}, {fleet.ErrUpdateInProgress, 409, 1},
		{fleet.ErrTooManyCommands, 429, 1}, {errors.New("names: none"), 422, 1}, {&StatusError{400, "by: over 100 bytes"}, 400, 1},
		{&StatusError{503, "the agent is busy"}, 503, b.Attempts},
	} {
		m := newFakeManager()
		m.err = c.err
		address, stop := serve(t, m, b)
		factory := NewClientFactory(b, 1)
		for range 100 { // fills the retry budget
			factory.retryBudget.RecordAttempt()
		}
		_, err := factory.Client(address).Submit(t.Context(), CommandRequest{ID: "c1"})
		var rejection *StatusError
		if !errors.As(err, &rejection) || rejection.Status != c.status || rejection.Text != c.err.Error() {
			t.Errorf("%v came as %v", c.err, err)
		}
		var unreachable *UnreachableError
		if retried := errors.As(err, &unreachable); retried != (c.calls > 1) || len(m.requests) != c.calls {
			t.Errorf("%v: %d requests, want %d; %v", c.err, len(m.requests), c.calls, err)
		}
		stop()
	}
}

// TestMalformedRequests: what the server can't take it rejects, and does not pass on.
func TestMalformedRequests(t *testing.T) {
	m := newFakeManager()
	b := testBounds()
	b.CallTimeout = 10 * time.Second // no claim of this test depends on time, and one body is a megabyte
	address := freeLoopbackAddress(t)
	serveAt(t, address, m, b)
	long := `{"id":"` + strings.Repeat("x", b.MessageSize) + `"}`
	for _, c := range []struct {
		method, path, body string
		status             int
		text               string
	}{
		{"GET", "/v2/status", "", 404, "GET /v2/status: nothing here; this agent speaks version 1"},
		{"DELETE", "/v1/status", "", 404, "DELETE /v1/status: nothing here; this agent speaks version 1"},
		{"POST", "/v1/commands", `{"id":"x","weight":3}`, 400, `not an order: json: unknown field "weight"`},
		{"POST", "/v1/commands", long, 400, "not an order: unexpected EOF"},
		{"POST", "/v1/commands", "", 400, "not an order: EOF"},
		{"POST", "/v1/rise", `{"weight":3}`, 400, `not a rise: json: unknown field "weight"`},
		{"GET", "/v1/history?after=-1", "", 400, `after: "-1" is no number`},
		{"GET", "/v1/history?most=0", "", 400, `most: "0" is no number from 1 to 100000`},
		{"GET", "/v1/history?most=100001", "", 400, `most: "100001" is no number from 1 to 100000`},
		{"GET", "/v1/stream?after=x", "", 400, `after: "x" is no number`},
		{"GET", "/v1/stream?most=x", "", 400, `most: "x" is no number from 1 to 100000`},
		{"GET", "/v1/stream?command=none", "", 404, fleet.ErrUnknownCommand.Error()},
	} {
		request, err := http.NewRequestWithContext(t.Context(), c.method, "http://"+address+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		want, _ := json.Marshal(errorBody{c.text})
		if err != nil || response.StatusCode != c.status || strings.TrimSpace(string(raw)) != string(want) {
			t.Errorf("%s %s: %d %s %v", c.method, c.path, response.StatusCode, raw, err)
		}
	}
	if len(m.requests)+len(m.calls) != 0 {
		t.Errorf("passed on: %v %v", m.requests, m.calls)
	}
}

// freeLoopbackAddress returns an address that nobody listened on a moment ago.
func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

// TestListenAddresses: an agent is reached from its own machine alone.
func TestListenAddresses(t *testing.T) {
	for _, address := range []string{"0.0.0.0:0", "example.org:80", "unix:relative", ""} {
		if l, err := Listen(address); err == nil {
			t.Errorf("%q is listened on", address)
			_ = l.Close()
		}
	}
}

// TestFollow: a stream reports of lost entries, brings those of its command in order, and ends with the command.
func TestFollow(t *testing.T) {
	m := newFakeManager()
	m.commands["c1"] = &fleet.Command{ID: "c1"}
	for range 3 {
		m.add("c1", "begun", false)
	}
	address, _ := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	var got []string
	err := c.Follow(t.Context(), "c1", 0, func(e StreamEvent) bool {
		switch {
		case e.LostEntries > 0:
			got = append(got, fmt.Sprintf("lost %d", e.LostEntries))
		case e.Entry != nil:
			got = append(got, fmt.Sprintf("%d %s %s", e.Serial, e.Entry.CommandID, e.Entry.Event))
			if e.Serial == 3 {
				m.add("other", "begun", false)
				m.add("c1", "ended", true)
			}
		case e.Command != nil:
			got = append(got, "command "+string(e.Command.State))
		}
		return true
	})
	want := []string{"lost 2", "3 c1 begun", "5 c1 ended", "command done"}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFollowRejoins: a stream outlives the end of its agent, and each entry comes once.
func TestFollowRejoins(t *testing.T) {
	m := newFakeManager()
	for range 3 {
		m.add("c1", "e", false)
	}
	address, stop := serve(t, m, testBounds())
	c := newClient(t, address, testBounds())
	var serials []uint64
	err := c.Follow(t.Context(), "", 2, func(e StreamEvent) bool {
		if e.Entry == nil {
			return true
		}
		serials = append(serials, e.Serial)
		if e.Serial == 3 {
			stop()
			m.add("c1", "e", false)
			serveAt(t, address, m, testBounds())
		}
		return e.Serial < 4
	})
	if diff := cmp.Diff([]uint64{3, 4}, serials); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestFollowUnknownCommand: a stream that there can't be is not asked for again.
func TestFollowUnknownCommand(t *testing.T) {
	address, _ := serve(t, newFakeManager(), testBounds())
	err := newClient(t, address, testBounds()).Follow(t.Context(), "none", 0, func(StreamEvent) bool { return true })
	var rejection *StatusError
	if !errors.As(err, &rejection) || rejection.Status != http.StatusNotFound {
		t.Errorf("%v", err)
	}
}

// TestHeartbeat: a stream on which nothing happens brings lines all the same, within Bounds.Call.
func TestHeartbeat(t *testing.T) {
	address, _ := serve(t, newFakeManager(), testBounds())
	beats := 0
	err := newClient(t, address, testBounds()).Follow(t.Context(), "", 0, func(e StreamEvent) bool {
		if e != (StreamEvent{}) {
			t.Errorf("%+v", e)
		}
		beats++
		return beats < 2
	})
	if err != nil {
		t.Error(err)
	}
}

// TestStreamsAreLimited: one stream too many is rejected; once another has ended there is place again.
func TestStreamsAreLimited(t *testing.T) {
	b := testBounds()
	b.Watchers = 1
	address, _ := serve(t, newFakeManager(), b)
	open := func() (net.Conn, string) {
		conn, err := net.Dial("unix", strings.TrimPrefix(address, "unix:"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET /v1/stream HTTP/1.1\r\nHost: agent\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return conn, strings.TrimSpace(line)
	}
	first, line := open()
	if line != "HTTP/1.1 200 OK" {
		t.Fatal(line)
	}
	second, line := open()
	if line != "HTTP/1.1 429 Too Many Requests" {
		t.Error(line)
	}
	_ = second.Close()
	_ = first.Close()
	for deadline := time.Now().Add(10 * time.Second); ; {
		conn, line := open()
		_ = conn.Close()
		if line == "HTTP/1.1 200 OK" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal(line)
		}
	}
}

// TestUnreachable: an agent that is not there is named with its address; the end of the context is told.
func TestUnreachable(t *testing.T) {
	address := "unix:" + filepath.Join(t.TempDir(), "none.sock")
	c := newClient(t, address, testBounds())
	_, err := c.Status(t.Context())
	var unreachable *UnreachableError
	if !errors.As(err, &unreachable) || unreachable.Address != address || !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := c.Follow(ctx, "", 0, func(StreamEvent) bool { return true }); !errors.As(err, &unreachable) || !errors.Is(err, context.Canceled) {
		t.Errorf("%v", err)
	}
}

// TestRetryBudget: many requests to an agent that is away cost few retries between them.
func TestRetryBudget(t *testing.T) {
	b := testBounds()
	factory := NewClientFactory(b, 1)
	attempts := 0
	for range 100 {
		for n := 1; ; n++ {
			if _, ok := factory.pause(n); !ok {
				break
			}
			attempts++
		}
	}
	if attempts < 100 || attempts > 150 {
		t.Errorf("%d attempts of 100 requests", attempts)
	}
}

// TestFanOut: results stand in the order of the keys, and no more calls run at a time than there may.
func TestFanOut(t *testing.T) {
	b := testBounds()
	b.FanOut = 3
	var mu sync.Mutex
	running, most := 0, 0
	count := func(change int) {
		mu.Lock()
		defer mu.Unlock()
		running += change
		most = max(most, running)
	}
	keys := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	values, errs := FanOut(t.Context(), b, keys, func(_ context.Context, key int) (int, error) {
		count(1)
		defer count(-1)
		time.Sleep(time.Millisecond)
		if key == 4 {
			return 0, errors.New("four")
		}
		return 10 * key, nil
	})
	for i, key := range keys {
		if failed := errs[i] != nil; failed != (key == 4) || !failed && values[i] != 10*key {
			t.Errorf("%d: %d %v", key, values[i], errs[i])
		}
	}
	if most > 3 {
		t.Errorf("%d calls at a time", most)
	}
}
