package fleet

import (
	"strconv"

	"milletbarrow/monotime"
)

// Observation is the state of an instance as its supervisor reported it, or as the agent found it without a report.
type Observation struct {
	Incarnation string `json:"run"`              // the incarnation that was observed
	Phase       Phase  `json:"phase"`            // any but PhaseAbsent and PhaseFailed
	NoticeID    string `json:"told"`             // the shutdown notice that the supervisor has accepted; empty: none
	Cause       string `json:"cause,omitempty"`  // of Phase
	Orphaned    bool   `json:"orphan,omitempty"` // PhaseUnknown: the instance runs and its supervisor does not
	Exit        Exit   `json:"end"`              // PhaseExited
	Invocations int    `json:"picked"`           // since the incarnation's start
	Rejected    int    `json:"turned"`           // of Invocations: throttled or answered with an error
	Level       string `json:"level,omitempty"`  // of degradation; empty: not known
	LevelCause  string `json:"why,omitempty"`    // of the latest change of Level
	// NotifiedAt is when the supervisor accepted NoticeID; 0: not known, as from earlier releases.
	NotifiedAt monotime.Micros `json:"told_at,omitempty"`
	// Window is the shutdown window that the instance runs with; zero: not known.
	Window ShutdownWindow `json:"window,omitzero"`
	Detail Detail         `json:"detail,omitempty"` // from a supervisor of another release; empty: none
}

// Detail is a JSON value whose form this release does not know; empty: none. It is passed on unchanged. It is a string
// so that observations stay comparable.
type Detail string

// MarshalJSON returns the value unchanged.
func (d Detail) MarshalJSON() ([]byte, error) { return []byte(d), nil }

// UnmarshalJSON accepts any value; null counts as none.
func (d *Detail) UnmarshalJSON(raw []byte) error {
	if *d = Detail(raw); *d == "null" {
		*d = ""
	}
	return nil
}

// Exit describes how an incarnation ended.
type Exit struct {
	Code       int             `json:"code"`             // exit code; -1 if a signal ended it
	Signal     string          `json:"signal,omitempty"` // the signal that ended it
	KillReason string          `json:"killed,omitempty"` // why the supervisor or the agent killed it; empty: not killed
	Unobserved bool            `json:"unseen,omitempty"` // no supervisor read the exit code
	Uptime     monotime.Micros `json:"lived,omitempty"`  // from the launch to the exit; 0: not known
	DrainTime  monotime.Micros `json:"after,omitempty"`  // from the notice to the exit; 0: no notice
}

func (e Exit) String() string {
	switch {
	case e.KillReason != "":
		return "killed: " + e.KillReason
	case e.Signal != "":
		return "died of signal " + e.Signal
	case e.Unobserved:
		return "ended, its exit code was not seen"
	}
	return "exit code " + strconv.Itoa(e.Code)
}
