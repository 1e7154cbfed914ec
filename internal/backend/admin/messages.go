package admin

import (
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Version of the interface; it is the first part of every path.
const Version = 1

// Paths of the calls.
const (
	statePath    = "/v1/state"
	drainPath    = "/v1/leave"
	overridePath = "/v1/level"
	quotaPath    = "/v1/share" // GET: the quota request; POST: the response to it
)

// State is the status of an instance. Times are on the clock of process.Now; counts are since the start.
type State struct {
	Version        int             `json:"version"`
	Name           string          `json:"name"`
	PID            int             `json:"pid"`
	Build          string          `json:"build"`
	Config         string          `json:"config"`               // hash of the configuration that was read at the start
	StartedAt      monotime.Micros `json:"since_us"`             // when the instance started
	Ready          bool            `json:"ready"`                // health checks are answered with good
	Draining       bool            `json:"draining"`             // it has received a shutdown notice
	GraceEnds      monotime.Micros `json:"grace_ends,omitempty"` // later arrivals do not run; 0: not draining
	StopBy         monotime.Micros `json:"stop_by,omitempty"`    // latest time of its exit; 0: not draining
	Connections    int             `json:"connections"`          // open connections of edge nodes
	ServerInFlight int             `json:"carried"`              // invocations in flight at the server
	InFlight       int             `json:"in_hand"`              // invocations in flight at the dispatcher
	Arrived        int             `json:"picked"`
	Started        int             `json:"run"`
	Throttled      int             `json:"throttled"`
	Errored        int             `json:"errored"`
	Abandoned      int             `json:"left"`   // invocations whose caller left before the answer
	Panics         int             `json:"faults"` // of the decision module

	// Graceful degradation, if there is a policy.
	DegradationPolicy string   `json:"ladder,omitempty"` // name of the policy; "": there is none
	Level             string   `json:"level,omitempty"`  // name of the level in force
	Depth             float64  `json:"depth,omitempty"`  // part of the level's load that is shed, 0 to 1
	Shed              int      `json:"shed,omitempty"`   // invocations that were shed
	Changes           []string `json:"changes,omitempty"`
	SignalsAt         int64    `json:"clock_us,omitempty"` // when Signals was measured, in microseconds
	Signals           string   `json:"signals,omitempty"`  // the latest signals, as a line of a degradation trace

	// ShadowCounts has the counts of a shadow configuration by the names of package shadow; nil without one.
	ShadowCounts map[string]int `json:"watched,omitempty"`

	Quotas []quota.Status `json:"shares,omitempty"` // leases of fleet-wide quotas in force
}

// Override puts a level of graceful degradation in force.
type Override struct {
	Level       string `json:"level"`  // name of the level; "": end the override
	Duration    int64  `json:"for_us"` // microseconds
	By          string `json:"by"`     // the operator
	AllowHigher bool   `json:"above"`  // the signals may choose a level above it
}

// Notice asks an instance to drain and exit.
type Notice struct {
	Ago int64 `json:"ago_us"` // microseconds since the first notice, 0 to maxAgo
}

// maxAgo bounds Notice.Ago, in microseconds.
const maxAgo = int64(time.Hour / time.Microsecond)
