package supervisor

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// longPollTimeout is how long a request for a report may wait for a change.
const longPollTimeout = 10 * time.Second

// Report is what a supervisor reports about its instance. The JSON is spoken between versions.
type Report struct {
	Version     int               `json:"version"`
	Serial      int               `json:"serial"` // grows with each change
	Observation fleet.Observation `json:"sight"`
	State       *admin.State      `json:"state,omitempty"` // the instance's own latest answer
	Record      State             `json:"life"`
}

// ActionRequest asks for a step of an agent's command. The JSON is spoken between versions.
type ActionRequest struct {
	ActionID    string           `json:"step"`
	Incarnation string           `json:"run"`
	Action      fleet.ActionKind `json:"what"` // a notice or a kill
	Cause       string           `json:"cause"`
}

// reportKey is what was last published as a change.
type reportKey struct {
	phase        fleet.Phase
	cause        string
	notifiedStep string
	level        string
	arrivals     int
	at           monotime.Micros
}

// publishIfChanged wakes who waits for a report if something that matters has changed; s.mu is held.
func (s *supervisor) publishIfChanged(now monotime.Micros) {
	const countsInterval monotime.Micros = 1_000_000 // counts alone are no reason to wake the agent more often
	phase, cause := s.monitor.Phase(now)
	key := reportKey{phase: phase, cause: cause, notifiedStep: s.record.NoticeID, at: now}
	if s.lastState != nil {
		key.arrivals, key.level = s.lastState.Arrived, s.lastState.Level
	}
	last := s.lastReported
	countsDue := last.arrivals != key.arrivals && now-last.at >= countsInterval
	last.arrivals, last.at = key.arrivals, key.at
	if last != key || countsDue {
		s.lastReported = key
		s.publish()
	}
}

// publish wakes who waits for a report; s.mu is held.
func (s *supervisor) publish() {
	s.serial++
	close(s.changed)
	s.changed = make(chan struct{})
}

// report returns the report of now, and a channel that is closed at the next change.
func (s *supervisor) report() (Report, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	phase, cause := s.monitor.Phase(process.Now())
	o := fleet.Observation{Incarnation: s.record.Incarnation, Phase: phase, Cause: cause, NoticeID: s.record.NoticeID}
	if state := s.lastState; state != nil {
		o.Invocations, o.Rejected = state.Arrived, state.Throttled+state.Errored
		o.Level = state.Level
		if n := len(state.Changes); n > 0 {
			o.LevelCause = state.Changes[n-1]
		}
	}
	if s.record.Ended {
		o.Phase, o.Cause, o.Exit = fleet.PhaseExited, "", s.record.End
	}
	return Report{Version: stateVersion, Serial: s.serial, Observation: o, State: s.lastState, Record: s.record}, s.changed
}

func (s *supervisor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.handleReport)
	mux.HandleFunc("POST /v1/order", s.handleAction)
	return mux
}

// handleReport answers with a report whose serial is above the parameter after, or with the latest one once
// longPollTimeout has passed.
func (s *supervisor) handleReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // without a number: whatever there is
	timeout := time.NewTimer(longPollTimeout)
	defer timeout.Stop()
	report, changed := s.report()
	for expired := false; report.Serial <= after && !expired; {
		select {
		case <-changed:
		case <-timeout.C:
			expired = true
		case <-r.Context().Done():
			return
		}
		report, changed = s.report()
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(report); err != nil || report.Observation.Phase != fleet.PhaseExited {
		return
	}
	_ = http.NewResponseController(w).Flush() // the response goes out in any case, at the latest when this returns
	s.mu.Lock()
	s.exitFetched = true
	s.mu.Unlock()
}

// handleAction takes a notice or a kill for this incarnation.
func (s *supervisor) handleAction(w http.ResponseWriter, r *http.Request) {
	var request ActionRequest
	body := io.LimitReader(r.Body, int64(s.options.Bounds.MessageSize))
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Incarnation != s.options.Incarnation {
		http.Error(w, fmt.Sprintf("run %q is over; this is %q", request.Incarnation, s.options.Incarnation), http.StatusConflict)
		return
	}
	switch request.Action {
	case fleet.ActionNotify:
		_ = s.takeNotice(request.ActionID) // logged there; the instance is notified all the same
	case fleet.ActionKill:
		s.kill(request.Cause)
	default:
		http.Error(w, fmt.Sprintf("what: %q", request.Action), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
