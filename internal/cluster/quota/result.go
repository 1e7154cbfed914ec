package quota

import (
	"fmt"

	backendquota "milletbarrow/internal/backend/quota"
)

// Event is an entry of the history that agents keep.
type Event struct {
	Limit LimitName `json:"budget"`
	Name  string    `json:"name,omitempty"` // of an instance, or of a host that replicates the state; empty: neither
	Kind  string    `json:"event"`
	Cause string    `json:"cause,omitempty"`
}

// Kinds of events.
const (
	eventLimitChanged        = "budget"
	eventRebalanced          = "division"
	eventGrantEnded          = "share over"
	eventPermitEnded         = "unit over"
	eventStateRegressed      = "ledger is older than its grants"
	eventColdStartBegan      = "rise begins"
	eventColdStartResumed    = "rise goes on"
	eventColdStartHalted     = "rise stopped"
	eventColdStartEnded      = "rise ended"
	eventColdStartDone       = "rise over"
	eventConcurrencyAdjusted = "pace"
)

// Result is the outcome of a command.
type Result struct {
	Serial     uint64                       `json:"serial"`            // of the command
	Answers    []backendquota.LeaseResponse `json:"answers,omitempty"` // to a renewal, in the order of its requests
	Rejection  string                       `json:"no,omitempty"`      // reason; empty: not rejected
	Events     []Event                      `json:"notes,omitempty"`
	ClientKeys []ClientKey                  `json:"lives,omitempty"` // after a renewal: all clients on the host
	Permits    []Permit                     `json:"out,omitempty"`   // after a renewal: all permits of the host
}

func (r *Result) reject(format string, args ...any) { r.Rejection = fmt.Sprintf(format, args...) }

func (r *Result) addEvent(event Event) { r.Events = append(r.Events, event) }
