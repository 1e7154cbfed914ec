package admin

import (
	"fmt"
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Version is the version of the interface. It is the first segment of every path.
const Version = 1

// URL paths of the calls.
const (
	statePath    = "/v1/state"
	drainPath    = "/v1/leave"
	overridePath = "/v1/level"
	quotaPath    = "/v1/share" // GET: the quota request; POST: the response to it
)

// State is the status of an instance. Times are on the clock of process.Now; counters start at 0 with the process.
type State struct {
	Version        int             `json:"version"`
	Name           string          `json:"name"`
	PID            int             `json:"pid"`
	Build          string          `json:"build"`
	Config         string          `json:"config"`               // hash of the configuration that was loaded at startup
	StartedAt      monotime.Micros `json:"since_us"`             // when the instance started
	Ready          bool            `json:"ready"`                // health checks report it as healthy
	Draining       bool            `json:"draining"`             // it has received a shutdown notice
	GraceEnds      monotime.Micros `json:"grace_ends,omitempty"` // later arrivals do not run; 0: not draining
	StopBy         monotime.Micros `json:"stop_by,omitempty"`    // deadline for the exit; 0: not draining
	Grace          monotime.Micros `json:"grace_us,omitempty"`   // from a notice to GraceEnds; 0: not reported
	ExitTimeout    monotime.Micros `json:"stop_us,omitempty"`    // from a notice to StopBy; 0: not reported
	Connections    int             `json:"connections"`          // open connections from edge nodes
	ServerInFlight int             `json:"carried"`              // invocations in flight at the server
	InFlight       int             `json:"in_hand"`              // invocations in flight at the dispatcher
	Arrived        int             `json:"picked"`
	Started        int             `json:"run"`
	Throttled      int             `json:"throttled"`
	Errored        int             `json:"errored"`
	Abandoned      int             `json:"left"`   // callers that canceled or disconnected before the answer
	Panics         int             `json:"faults"` // recovered panics of the decision module

	// Graceful degradation, if a policy is configured.
	DegradationPolicy string   `json:"ladder,omitempty"` // name of the policy; "": none is configured
	Level             string   `json:"level,omitempty"`  // name of the level in force
	Depth             float64  `json:"depth,omitempty"`  // share of the level's load that is shed, 0 to 1
	Shed              int      `json:"shed,omitempty"`   // number of invocations that were shed
	Changes           []string `json:"changes,omitempty"`
	SignalsAt         int64    `json:"clock_us,omitempty"` // when Signals was measured, in microseconds
	Signals           string   `json:"signals,omitempty"`  // the latest signals, as a line of a degradation trace

	// ShadowCounts has the counters of a shadow configuration, keyed by the names of package shadow; nil without one.
	ShadowCounts map[string]int `json:"watched,omitempty"`

	Quotas []quota.Status `json:"shares,omitempty"` // leases of fleet-wide quotas in force
}

// Override forces a level of graceful degradation for a limited time.
type Override struct {
	Level       string `json:"level"`  // name of the level; "": ends the override
	Duration    int64  `json:"for_us"` // microseconds
	By          string `json:"by"`     // name of the operator
	AllowHigher bool   `json:"above"`  // the signals may still select a higher level
}

// Notice is a shutdown notice: the instance drains and exits.
type Notice struct {
	Ago int64 `json:"ago_us"` // microseconds since the first notice when it was sent, 0 to maxAgo
	// NotifiedAt is the time of the first notice on the host's clock, so that the time on the way counts; 0: not given,
	// as by earlier releases.
	NotifiedAt monotime.Micros `json:"at_us,omitempty"`
}

// sinceFirst returns the time since the first notice, or an error if the notice is outside the range.
func (n Notice) sinceFirst(now monotime.Micros) (time.Duration, error) {
	if n.Ago < 0 || n.Ago > maxAgo {
		return 0, fmt.Errorf("ago_us: %d is outside the range 0 to %d", n.Ago, maxAgo)
	}
	ago := monotime.Micros(n.Ago)
	if n.NotifiedAt == 0 {
		return ago.Duration(), nil
	}
	since := now - n.NotifiedAt
	if since < 0 || since > monotime.Micros(maxAgo) {
		return 0, fmt.Errorf("at_us: %d is %d us ago, outside the range 0 to %d", n.NotifiedAt, since, maxAgo)
	}
	return max(ago, since).Duration(), nil
}

// maxAgo is the maximum of Notice.Ago, in microseconds.
const maxAgo = int64(time.Hour / time.Microsecond)
