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

const (
	// longPollTimeout is how long a request for a report may wait for a change.
	longPollTimeout = 10 * time.Second
	// requestTimeout bounds a request with its response, of which a long poll is the longest.
	requestTimeout = 2 * longPollTimeout
	// arrivalsInterval is the least time between two reports that differ in the number of arrivals alone.
	arrivalsInterval = monotime.Second
)

// Report is what a supervisor reports about its instance. Agents of other releases read its JSON.
type Report struct {
	Version     int               `json:"version"`
	Serial      int               `json:"serial"` // grows with each change that is published
	Observation fleet.Observation `json:"sight"`
	State       *admin.State      `json:"state,omitempty"` // the instance's latest answer; nil: none yet
	Record      State             `json:"life"`
}

// ActionRequest is a request of the agent to perform an action. Agents of other releases write its JSON.
type ActionRequest struct {
	ActionID    string           `json:"step"`
	Incarnation string           `json:"run"`
	Action      fleet.ActionKind `json:"what"`  // fleet.ActionNotify or fleet.ActionKill
	Cause       string           `json:"cause"` // of a kill
}

// reportKey has the parts of a report whose change is published at once.
type reportKey struct {
	phase    fleet.Phase
	cause    string
	noticeID string
	level    string
}

// publishedReport is what the waiting requests were last woken for.
type publishedReport struct {
	reportKey
	arrivals int
	at       monotime.Micros
}

// publishIfChanged publishes the report if its key has changed, or its number of arrivals and arrivalsInterval has
// passed. The caller holds s.mu.
func (s *supervisor) publishIfChanged(now monotime.Micros) {
	phase, cause := s.monitor.Phase(now)
	current := publishedReport{
		reportKey: reportKey{phase: phase, cause: cause, noticeID: s.record.NoticeID},
		at:        now,
	}
	if s.lastState != nil {
		current.arrivals = s.lastState.Arrived
		current.level = s.lastState.Level
	}
	last := s.lastPublished
	arrivalsDue := last.arrivals != current.arrivals && now-last.at >= arrivalsInterval
	if last.reportKey != current.reportKey || arrivalsDue {
		s.lastPublished = current
		s.publish()
	}
}

// publish wakes the requests that wait for a change of the report. The caller holds s.mu.
func (s *supervisor) publish() {
	s.serial++
	close(s.changed)
	s.changed = make(chan struct{})
}

// report returns the present report, and a channel that is closed at its next change.
func (s *supervisor) report() (Report, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Report{
		Version:     stateVersion,
		Serial:      s.serial,
		Observation: s.observation(process.Now()),
		State:       s.lastState,
		Record:      s.record,
	}, s.changed
}

// observation returns what the agent's state machine gets to know of the instance. The caller holds s.mu.
func (s *supervisor) observation(now monotime.Micros) fleet.Observation {
	o := fleet.Observation{Incarnation: s.record.Incarnation, NoticeID: s.record.NoticeID}
	if s.record.Ended {
		o.Phase = fleet.PhaseExited
		o.Exit = s.record.End
	} else {
		o.Phase, o.Cause = s.monitor.Phase(now)
	}
	if state := s.lastState; state != nil {
		o.Invocations = state.Arrived
		o.Rejected = state.Throttled + state.Errored
		o.Level = state.Level
		if n := len(state.Changes); n > 0 {
			o.LevelCause = state.Changes[n-1]
		}
	}
	return o
}

// handler returns the handler of the supervisor's socket.
func (s *supervisor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.handleReport)
	mux.HandleFunc("POST /v1/order", s.handleAction)
	return mux
}

// handleReport answers with the first report whose serial is above the parameter "after", or with the present one
// after longPollTimeout.
func (s *supervisor) handleReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // not a number: answered as 0
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
	s.markExitFetched()
}

// handleAction performs a notice or a kill. It rejects other actions, and those on another incarnation.
func (s *supervisor) handleAction(w http.ResponseWriter, r *http.Request) {
	var request ActionRequest
	body := io.LimitReader(r.Body, int64(s.options.Bounds.MessageSize))
	if err := json.NewDecoder(body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if request.Incarnation != s.options.Incarnation {
		text := fmt.Sprintf("run: found incarnation %q, expected %q", request.Incarnation, s.options.Incarnation)
		http.Error(w, text, http.StatusConflict)
		return
	}
	switch request.Action {
	case fleet.ActionNotify:
		_ = s.takeNotice(request.ActionID) // the error is logged, and the instance is notified all the same
	case fleet.ActionKill:
		s.kill(request.Cause)
	default:
		text := fmt.Sprintf("what: found %q, expected %q or %q", request.Action, fleet.ActionNotify, fleet.ActionKill)
		http.Error(w, text, http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
