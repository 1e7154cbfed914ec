package admin

import (
	"time"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/monotime"
)

// Version of the interface; it is the first part of every path.
const Version = 1

// State is an instance's report on itself. Times are in microseconds on the clock of process.Now; counts are since the start.
type State struct {
	Version        int             `json:"version"`
	Name           string          `json:"name"`
	PID            int             `json:"pid"`
	Build          string          `json:"build"`
	Config         string          `json:"config"`               // hash of the configuration that was read at the start
	StartedAt      monotime.Micros `json:"since_us"`             // when it started
	Ready          bool            `json:"ready"`                // health checks are answered with good
	Draining       bool            `json:"draining"`             // it has received a shutdown notice
	GraceEnds      monotime.Micros `json:"grace_ends,omitempty"` // end of the grace period: what arrives later does not run
	StopBy         monotime.Micros `json:"stop_by,omitempty"`    // it has exited by then
	Connections    int             `json:"connections"`          // of edge nodes, open
	ServerInFlight int             `json:"carried"`              // invocations that the server handles
	InFlight       int             `json:"in_hand"`              // invocations that the dispatcher has admitted and not ended
	Arrived        int             `json:"picked"`
	Started        int             `json:"run"`
	Throttled      int             `json:"throttled"`
	Errored        int             `json:"errored"`
	Abandoned      int             `json:"left"`   // whose caller was gone
	Panics         int             `json:"faults"` // of the decision module

	DegradationPolicy string   `json:"ladder,omitempty"` // its name, if there is one
	Level             string   `json:"level,omitempty"`  // in force; full: no load is shed
	Depth             float64  `json:"depth,omitempty"`  // how much of the level's load is shed, 0 to 1
	Shed              int      `json:"shed,omitempty"`   // invocations
	Changes           []string `json:"changes,omitempty"`
	SignalsAt         int64    `json:"clock_us,omitempty"` // when the signals were read, on their own clock
	Signals           string   `json:"signals,omitempty"`  // the latest, as a line of a degradation trace

	ShadowCounts map[string]int `json:"watched,omitempty"` // by kind, where shadow settings would have decided otherwise

	Quotas []quota.Status `json:"shares,omitempty"` // of fleet-wide budgets
}

// Override holds a level of graceful degradation; an empty level lets the signals decide again.
type Override struct {
	Level       string `json:"level"`
	Duration    int64  `json:"for_us"`
	By          string `json:"by"`
	AllowHigher bool   `json:"above"` // the signals may choose a level above it
}

// Notice asks an instance to drain and exit.
type Notice struct {
	Ago int64 `json:"ago_us"` // how long ago it was first notified, in microseconds, from 0 to maxAgo
}

const maxAgo = int64(time.Hour / time.Microsecond)
