package fleet

import (
	"strconv"

	"milletbarrow/monotime"
)

// Observation is what the supervisor of an instance reported, or what the agent found in its place.
type Observation struct {
	Incarnation string `json:"run"`   // the incarnation it is about
	Phase       Phase  `json:"phase"` // any but PhaseAbsent and PhaseFailed
	NoticeID    string `json:"told"`  // the shutdown notice that its supervisor has taken; empty: none
	Cause       string `json:"cause,omitempty"`
	Orphaned    bool   `json:"orphan,omitempty"` // PhaseUnknown: it runs and its supervisor does not
	Exit        Exit   `json:"end"`              // PhaseExited
	Invocations int    `json:"picked"`           // invocations since its start
	Rejected    int    `json:"turned"`           // of them, throttled or answered with an error
	Level       string `json:"level,omitempty"`  // of degradation
	LevelCause  string `json:"why,omitempty"`    // cause of the latest change of Level
	Detail      Detail `json:"detail,omitempty"` // what a supervisor of another release may add; empty: nothing
}

// Detail is a JSON value of a form that this release does not know; empty: none. It is passed on as it came. A string,
// so that observations can be compared.
type Detail string

// MarshalJSON returns the value as it came.
func (d Detail) MarshalJSON() ([]byte, error) { return []byte(d), nil }

// UnmarshalJSON takes any value; null is none.
func (d *Detail) UnmarshalJSON(raw []byte) error {
	if *d = Detail(raw); *d == "null" {
		*d = ""
	}
	return nil
}

// Exit is how an incarnation ended.
type Exit struct {
	Code       int             `json:"code"`             // exit code; -1 if a signal ended it
	Signal     string          `json:"signal,omitempty"` // the signal that ended it
	KillReason string          `json:"killed,omitempty"` // why the supervisor or the agent killed it; empty: it did not
	Unobserved bool            `json:"unseen,omitempty"` // nobody was there to read the exit code
	Uptime     monotime.Micros `json:"lived,omitempty"`
	DrainTime  monotime.Micros `json:"after,omitempty"` // from the notice to the exit; 0: no notice
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
