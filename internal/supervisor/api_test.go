package supervisor

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
)

// TestInvalidAndRepeatedActionRequestsChangeNothing checks that requests on another incarnation, unknown actions and
// malformed requests change nothing, and that the first of two notices is recorded.
func TestInvalidAndRepeatedActionRequestsChangeNothing(t *testing.T) {
	s := newClaimedSupervisor(t)
	send := func(body string) int {
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/order", strings.NewReader(body))
		s.handler().ServeHTTP(w, r)
		return w.Code
	}
	for _, test := range []struct {
		name     string
		body     string
		status   int
		noticeID string // recorded after the request
	}{
		{"notice for another incarnation", `{"step":"s0","run":"r1","what":"tell"}`, http.StatusConflict, ""},
		{"kill of another incarnation", `{"step":"s0","run":"r1","what":"kill"}`, http.StatusConflict, ""},
		{"unknown action", `{"step":"s0","run":"r2","what":"unknown"}`, http.StatusBadRequest, ""},
		{"incomplete JSON", `{"step":`, http.StatusBadRequest, ""},
		{"first notice", `{"step":"s1","run":"r2","what":"tell"}`, http.StatusAccepted, "s1"},
		{"second notice", `{"step":"s2","run":"r2","what":"tell"}`, http.StatusAccepted, "s1"},
	} {
		if got := send(test.body); got != test.status {
			t.Errorf("%s: status %d, want %d", test.name, got, test.status)
		}
		written, err := ReadState(s.paths.State)
		if err != nil || written.NoticeID != test.noticeID || s.monitor.KillCause != "" {
			t.Errorf("%s: written %+v, killed %q, %v", test.name, written, s.monitor.KillCause, err)
		}
	}
}

// TestReportWaitsForChange checks that a request for a report newer than the current one waits for the next change
// and gets that report.
func TestReportWaitsForChange(t *testing.T) {
	s := newClaimedSupervisor(t)
	server := httptest.NewServer(s.handler())
	defer server.Close()
	get := func(ctx context.Context, after string) (Report, error) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/v1/report?after="+after, nil)
		if err != nil {
			return Report{}, err
		}
		response, err := server.Client().Do(request)
		if err != nil {
			return Report{}, err
		}
		defer response.Body.Close()
		var r Report
		return r, json.NewDecoder(response.Body).Decode(&r)
	}
	short, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	if r, err := get(short, "0"); err == nil {
		t.Fatalf("got a report without a change: %+v", r)
	}
	if r, err := get(t.Context(), "-1"); err != nil || r.Serial != 0 || r.Record.Incarnation != "r2" {
		t.Fatalf("current report: %+v, %v", r, err)
	}
	time.AfterFunc(20*time.Millisecond, func() { s.recordExit(fleet.Exit{Code: 7}) })
	r, err := get(t.Context(), "0")
	if err != nil || r.Serial != 1 || r.Observation.Phase != fleet.PhaseExited || r.Observation.Exit.Code != 7 {
		t.Errorf("after the exit: %+v, %v", r, err)
	}
	fakes.Take(t, "the exit to be fetched", s.exitFetched)
}
