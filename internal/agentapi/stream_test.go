package agentapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
)

// TestStreamWithoutEntriesSendsHeartbeats checks that a stream without entries consists of empty events.
func TestStreamWithoutEntriesSendsHeartbeats(t *testing.T) {
	address, _ := serve(t, newFakeManager(), testBounds())
	heartbeats := 0
	err := newClient(t, address, testBounds()).Follow(t.Context(), "", 0, func(e StreamEvent) bool {
		if e != (StreamEvent{}) {
			t.Errorf("%+v, want an empty event", e)
		}
		heartbeats++
		return heartbeats < 2
	})
	if err != nil {
		t.Error(err)
	}
}

// TestStreamsAreBounded checks that a stream beyond limits.Control.Watchers is rejected, and that one is accepted once
// another has ended.
func TestStreamsAreBounded(t *testing.T) {
	b := testBounds()
	b.Watchers = 1
	address, _ := serve(t, newFakeManager(), b)
	openStream := func() (conn net.Conn, statusLine string) {
		conn = dial(t, address)
		send(t, conn, "GET /v1/stream HTTP/1.1\r\nHost: agent\r\n\r\n")
		line, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return conn, strings.TrimSpace(line)
	}
	const accepted = "HTTP/1.1 200 OK"
	first, line := openStream()
	if line != accepted {
		t.Fatal(line)
	}
	second, line := openStream()
	if line != "HTTP/1.1 429 Too Many Requests" {
		t.Error(line)
	}
	_ = second.Close()
	_ = first.Close()
	fakes.Until(t, "a stream is accepted", func() bool {
		conn, line := openStream()
		_ = conn.Close()
		return line == accepted
	})
}

// streamTo serves a stream until it ends, for at most a minute, and returns its duration by the fake clock.
func streamTo(t *testing.T, s *server, w http.ResponseWriter, query string) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	start := time.Now()
	s.stream(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/stream"+query, nil))
	return time.Since(start)
}

// newStreamServer returns a server without a listener that allows one stream at a time.
func newStreamServer(m Manager, stopped <-chan struct{}) *server {
	return &server{
		manager: m,
		bounds:  testBounds(),
		streams: make(chan struct{}, 1),
		stopped: stopped,
	}
}

// TestStreamEndsWithClient checks that a stream ends as soon as its request does, even between two heartbeats, and
// then frees its place for another one.
func TestStreamEndsWithClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreamServer(newFakeManager(), nil)
		ctx, cancel := context.WithTimeout(t.Context(), s.bounds.CallTimeout/2)
		defer cancel()
		start := time.Now()
		w := newRecordingWriter(1) // makes the stream end at its second heartbeat at the latest
		s.stream(w, httptest.NewRequestWithContext(ctx, http.MethodGet, "/v1/stream", nil))
		if elapsed := time.Since(start); elapsed != s.bounds.CallTimeout/2 || len(s.streams) != 0 {
			t.Errorf("ended after %v, %d streams are open", elapsed, len(s.streams))
		}
	})
}

// TestStreamEndsWithServer checks that a stream ends at once when the server stops.
func TestStreamEndsWithServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stopped := make(chan struct{})
		s := newStreamServer(newFakeManager(), stopped)
		time.AfterFunc(s.bounds.CallTimeout/2, func() { close(stopped) })
		if elapsed := streamTo(t, s, newRecordingWriter(-1), ""); elapsed != s.bounds.CallTimeout/2 {
			t.Errorf("ended after %v", elapsed)
		}
	})
}

// TestStreamEndsAtFailedHeartbeat checks that a stream ends at a heartbeat that the client does not read, and that
// each line has its own write deadline.
func TestStreamEndsAtFailedHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStreamServer(newFakeManager(), nil)
		w := newRecordingWriter(2)
		if elapsed := streamTo(t, s, w, ""); elapsed != 3*s.bounds.CallTimeout || len(w.flushed) != 2 {
			t.Errorf("ended after %v with the lines %q", elapsed, w.flushed)
		}
		end := time.Now()
		want := []time.Time{end.Add(-s.bounds.CallTimeout), end, end.Add(s.bounds.CallTimeout)}
		if diff := cmp.Diff(want, w.deadlines); diff != "" {
			t.Error(diff)
		}
	})
}

// TestStreamEndsAtFailedLine checks that a stream ends at a report of lost entries or an entry that the client does
// not read.
func TestStreamEndsAtFailedLine(t *testing.T) {
	for _, test := range []struct {
		name      string
		failAfter int // lines
	}{
		{"lost entries", 0},
		{"entry", 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			m := newFakeManager()
			for range 4 {
				m.add("c1", "e", false)
			}
			w := newRecordingWriter(test.failAfter)
			elapsed := streamTo(t, newStreamServer(m, nil), w, "")
			if elapsed != 0 || len(w.deadlines) != test.failAfter+1 {
				t.Errorf("%s: ended after %v and %d lines", test.name, elapsed, len(w.deadlines))
			}
		})
	}
}

// TestStreamSendsAllPages checks that all existing entries are sent at once, even if the manager returns them in
// several pages, and later entries when they are added.
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
		want := []string{"3", "4", "5", "6", "7", "8"}
		if diff := cmp.Diff(want, got); diff != "" || elapsed != s.bounds.CallTimeout {
			t.Errorf("ended after %v: %s", elapsed, diff)
		}
	})
}

// TestStreamOfDeletedCommandEnds checks that the stream of a command ends without a last line once the agent has
// deleted the command.
func TestStreamOfDeletedCommandEnds(t *testing.T) {
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
			t.Errorf("ended after %v with the lines %q", elapsed, w.flushed)
		}
	})
}
