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
	// longPollTimeout is how long a report request may wait for a change.
	longPollTimeout = 10 * time.Second
	// requestTimeout is the timeout for reading a request and for writing its response. It exceeds longPollTimeout.
	requestTimeout = 2 * longPollTimeout
	// arrivalsInterval is the minimum time between two published reports that differ only in the number of arrivals.
	arrivalsInterval = monotime.Second
)

// Report is a supervisor's report on its instance. Agents of other releases read it as JSON.
type Report struct {
	Version     int               `json:"version"`
	Serial      int               `json:"serial"` // increases with each published change
	Observation fleet.Observation `json:"sight"`
	State       *admin.State      `json:"state,omitempty"` // the instance's latest response; nil: none yet
	Record      State             `json:"life"`
}

// ActionRequest is an agent's request to perform an action. Agents of other releases write it as JSON.
type ActionRequest struct {
	ActionID    string           `json:"step"`
	Incarnation string           `json:"run"`
	Action      fleet.ActionKind `json:"what"`  // fleet.ActionNotify or fleet.ActionKill
	Cause       string           `json:"cause"` // why the instance is killed; only for fleet.ActionKill
}

// reportKey has the parts of a report of which each change is published at once.
type reportKey struct {
	phase    fleet.Phase
	cause    string
	noticeID string
	level    string
	window   fleet.ShutdownWindow
}

// publishedReport has the parts of the latest published report with which the next one is compared.
type publishedReport struct {
	reportKey
	arrivals int
	at       monotime.Micros
}

// publishIfChanged publishes the report if its key has changed, or if its number of arrivals has changed and
// arrivalsInterval has passed. The caller holds s.mu.
func (s *supervisor) publishIfChanged(now monotime.Micros) {
	phase, cause := s.monitor.Phase(now)
	current := publishedReport{
		reportKey: reportKey{
			phase:    phase,
			cause:    cause,
			noticeID: s.record.NoticeID,
			window:   s.record.Window,
		},
		at: now,
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

// publish increases the serial of the report and wakes the requests that wait for a change. The caller holds s.mu.
func (s *supervisor) publish() {
	s.serial++
	close(s.changed)
	s.changed = make(chan struct{})
}

// report returns the current report, and a channel that is closed at the next change.
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

// observation returns the observation of the instance for the agent's state machine. The caller holds s.mu.
func (s *supervisor) observation(now monotime.Micros) fleet.Observation {
	o := fleet.Observation{
		Incarnation: s.record.Incarnation,
		NoticeID:    s.record.NoticeID,
		NotifiedAt:  s.record.NotifiedAt,
		Window:      s.record.Window,
	}
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

// handler returns the HTTP handler for the supervisor's socket.
func (s *supervisor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", s.handleReport)
	mux.HandleFunc("POST /v1/order", s.handleAction)
	return mux
}

// handleReport responds with the first report whose serial exceeds the parameter "after", or with the current report
// after longPollTimeout.
func (s *supervisor) handleReport(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after")) // 0 if it is not a number
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
	_ = http.NewResponseController(w).Flush() // without it, the response is sent when this function returns
	s.markExitFetched()
}

// handleAction performs a requested shutdown notice or kill. It rejects other actions, and actions on another
// incarnation.
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
		_ = s.acceptNotice(request.ActionID) // the error is logged, and the instance is notified all the same
	case fleet.ActionKill:
		s.kill(request.Cause)
	default:
		text := fmt.Sprintf("what: found %q, expected %q or %q", request.Action, fleet.ActionNotify, fleet.ActionKill)
		http.Error(w, text, http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}
