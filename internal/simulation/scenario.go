// Package simulation is an event-driven simulation of what milletbarrow balances: hosts, edge nodes that can't be
// changed, the callers behind them, an endpoint registry with a lag, and faults. Play runs one scenario with one
// policy on one seed, event by event on one goroutine, and gives the same result to the byte wherever it runs. It
// does no I/O and reads no clock. Whether the four rules are kept is judged here, from what happened, never by the
// policy.
package simulation

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Units of simulated time.
const (
	Millisecond monotime.Micros = 1000
	Second      monotime.Micros = 1_000_000
)

// Scenario describes one day: hosts, edge nodes, load and faults. The names in its tags are those by which stored
// results are found (see experiment.ResultDir); they never change.
type Scenario struct {
	Name       string
	Duration   monotime.Micros `json:"For"` // how long requests arrive; afterwards those in flight may end
	Hosts      HostConfig
	Nodes      NodeConfig
	Registry   RegistryConfig   `json:"Register"`
	Dependency DependencyConfig `json:"Below"`
	Operations []Operation
	Tenants    []Tenant
	Load       Load
	Faults     []Fault `json:"Troubles"`
}

// HostConfig describes the backends, which are alike but for their speed.
type HostConfig struct {
	Count             int
	ReportedFleetSize int `json:"Told"` // the fleet's size that hosts are configured with; 0: Count
	Cores             int
	SpeedSpread       float64         `json:"Spread"`    // a host's speed lies within 1 ± SpeedSpread
	CollapseMultiple  float64         `json:"Crowd"`     // runs a core beyond which all slow down by the square of the excess
	CollapseAfter     monotime.Micros `json:"FallOver"`  // a host that is overloaded for so long crashes
	ReadWork          monotime.Micros `json:"Read"`      // core time to read one request
	HandshakeWork     monotime.Micros `json:"Handshake"` // core time to open a connection
	MemoryKB          float64         // for queued and running requests; a host that exceeds it crashes
	RequestKB         float64         `json:"HeldKB"` // of one queued request
	RunFactor         float64         // a running request takes so many times as much
	ColdSpeed         float64         `json:"ColdShare"` // speed of a cold process, of 1
	WarmUp            monotime.Micros `json:"ColdFor"`   // time to full speed, linear
	Connections       int             // open at once; a further one is rejected unread
	IdleTimeout       monotime.Micros `json:"IdleFor"`    // an idle connection is closed after so long
	DrainGrace        monotime.Micros `json:"Grace"`      // requests that arrive so long after a shutdown notice are not run
	ExitTimeout       monotime.Micros `json:"Stop"`       // the process is stopped so long after the notice
	AnswerSlack       monotime.Micros `json:"Slack"`      // an answer may be late by so much
	MaxRetryAfter     monotime.Micros `json:"RetryAfter"` // the longest Retry-After that is passed on; 0: none is
	Preemptible       bool            `json:"Stoppable"`  // runs can be taken off the cores
}

// NodeConfig describes the edge nodes and the callers behind them.
type NodeConfig struct {
	Count             int
	Subset            int             // hosts that one node uses; 0: all
	Balance           Balance         // how it chooses a host
	MaxAttempts       int             `json:"Tries"`    // of one request; 0: until its client timeout
	Backoff           monotime.Micros `json:"Pause"`    // before the first retry, with jitter; it doubles with each
	UnresponsiveShare float64         `json:"Deaf"`     // share of the nodes that honour neither "don't retry" nor Retry-After
	HedgeDelay        monotime.Micros `json:"Hedge"`    // a hedged attempt is sent after so long, for idempotent operations; 0: never
	CancelDelay       monotime.Micros `json:"Word"`     // the host is notified so late that a caller has left; negative: never
	NetworkDelay      monotime.Micros `json:"Net"`      // one way
	ClientRetryShare  float64         `json:"Behind"`   // share of the callers that send a failed request again, without a retry mark
	ClientRetryDelay  monotime.Micros `json:"BehindIn"` // mean delay of that
	RefreshInterval   monotime.Micros `json:"Refresh"`  // between two polls of the endpoint registry
	Throttles         bool            // client-side throttling by the share accepted recently (baseline)
	ThrottleWindow    monotime.Micros `json:"Window"` // time constant of that share
}

// Balance is how an edge node chooses among its hosts. Its String is the word of experiment files.
type Balance int

// The balancing policies. All but Oracle know only what this node has in flight itself.
const (
	RoundRobin Balance = iota
	Random
	TwoChoices // of two drawn, the one with fewer in flight
	LeastLoad  // fewest in flight, weighted by the recent latency
	Oracle     // the least true load, as it was a moment ago
)

var balanceNames = []string{"round-robin", "random", "two-choices", "least-load", "oracle"}

func (b Balance) String() string { return balanceNames[b] }

// RegistryConfig describes the endpoint registry.
type RegistryConfig struct {
	Lag monotime.Micros // a change of a host's health is listed so late
}

// DependencyConfig describes the dependency that operations with calls share.
type DependencyConfig struct {
	Slots int             // calls worked on at once; more share them evenly
	Work  monotime.Micros // duration of a call without contention
}

// Operation is one kind of request.
type Operation struct {
	Name             string
	Value            float64         // billed for a success within the objective
	Priority         float64         `json:"Rank"`
	Share            float64         // of all requests
	Work             monotime.Micros // mean core time of a run
	WorkSigma        float64         `json:"Tail"` // sigma of the lognormal distribution of work; 0: constant
	Objective        monotime.Micros
	Timeout          monotime.Micros
	LateValue        float64
	RetrySafety      admission.RetrySafety `json:"Repeat"`
	HintFactor       float64               `json:"Hint"`       // the expected work sent along is the work times this; 0: none is sent
	HintSigma        float64               `json:"HintSpread"` // sigma of a further lognormal factor
	MakesCalls       bool                  `json:"Calls"`
	ValueWithoutCall float64               `json:"SkippedValue"`
}

// Tenant is one part of the callers.
type Tenant struct {
	Name       string
	Share      float64 // of all requests
	Quota      float64 // requests a second, over all hosts; 0: none
	HintFactor float64 `json:"Lies"` // its hints are multiplied by this; 0 means 1
}

// Load describes the rate of requests over the day, open loop. Levels are parts of capacity: all cores at full speed,
// reading included.
type Load struct {
	Level     float64 `json:"At"` // at the start, or the mean
	Shape     Shape
	PeakLevel float64         `json:"To"` // at the end of a ramp or on top of a step
	Period    monotime.Micros // of waves and bursts
	Swing     float64         // of waves and bursts: relative amplitude
	Recorded  []Recorded
}

// Shape is the course of the load over the day.
type Shape int

// The shapes.
const (
	Steady  Shape = iota
	Ramp          // linear from Level to PeakLevel
	Step          // PeakLevel in the middle third, else Level
	Wave          // a sine with Period and Swing
	Bursty        // on and off for exponential times with a mean of Period, by Swing up and down
	DueDate       // rises to PeakLevel at two thirds of the day, and falls off
	Replay        // Load.Recorded
)

var shapeNames = []string{"steady", "ramp", "step", "wave", "bursty", "due-date", "replay"}

// Recorded is one request of a recorded load. Operation and tenant are indexes of the scenario's.
type Recorded struct {
	At                monotime.Micros
	Operation, Tenant int
	Work              monotime.Micros
}

// Default returns a small scenario. What an experiment's file leaves out is as here.
func Default() Scenario {
	return Scenario{
		Name:       "default",
		Duration:   30 * Second,
		Hosts:      defaultHosts(),
		Nodes:      defaultNodes(),
		Registry:   RegistryConfig{Lag: 2 * Second},
		Dependency: DependencyConfig{Slots: 64, Work: 5 * Millisecond},
		Operations: defaultOperations(),
		Load:       Load{Level: 0.8, PeakLevel: 1.2, Period: 5 * Second, Swing: 0.5},
	}
}

func defaultHosts() HostConfig {
	return HostConfig{
		Count:            12,
		Cores:            2,
		SpeedSpread:      0.05,
		CollapseMultiple: 6,
		CollapseAfter:    5 * Second,
		ReadWork:         300,
		HandshakeWork:    400,
		MemoryKB:         256 << 10,
		RequestKB:        64,
		RunFactor:        4,
		ColdSpeed:        0.3,
		WarmUp:           8 * Second,
		Connections:      512,
		IdleTimeout:      10 * Second,
		DrainGrace:       2 * Second,
		ExitTimeout:      3200 * Millisecond,
		AnswerSlack:      60 * Millisecond,
		MaxRetryAfter:    2 * Second,
	}
}

func defaultNodes() NodeConfig {
	return NodeConfig{
		Count:             8,
		Subset:            8,
		MaxAttempts:       3,
		Backoff:           5 * Millisecond,
		UnresponsiveShare: 0.1,
		CancelDelay:       20 * Millisecond,
		NetworkDelay:      500,
		ClientRetryDelay:  500 * Millisecond,
		RefreshInterval:   Second,
		ThrottleWindow:    10 * Second,
	}
}

func defaultOperations() []Operation {
	return []Operation{
		{
			Name:      "reprint",
			Value:     1,
			Priority:  0.1,
			Share:     0.35,
			Work:      25 * Millisecond,
			WorkSigma: 0.8,
			Objective: Second,
			Timeout:   3 * Second,
			LateValue: 0.1,
		},
		{
			Name:      "lookup",
			Value:     3,
			Priority:  0.4,
			Share:     0.4,
			Work:      15 * Millisecond,
			WorkSigma: 0.6,
			Objective: 500 * Millisecond,
			Timeout:   2 * Second,
			LateValue: 0.1,
		},
		{
			Name:        "pay-post",
			Value:       10,
			Priority:    0.9,
			Share:       0.25,
			Work:        20 * Millisecond,
			WorkSigma:   0.5,
			Objective:   Second,
			Timeout:     4 * Second,
			RetrySafety: admission.NonIdempotent,
		},
	}
}

// Capacity returns how many requests a second all hosts can read and run, at full speed.
func (s *Scenario) Capacity() float64 {
	mean, total := 0.0, 0.0
	for _, op := range s.Operations {
		mean, total = mean+op.Share*float64(op.Work), total+op.Share
	}
	return float64(s.Hosts.Count*s.Hosts.Cores) * 1e6 / (mean/total + float64(s.Hosts.ReadWork))
}

// overQuotaValue is the value of a request beyond its tenant's quota, relative to one within it.
const overQuotaValue = 0.3

// AdmissionConfig returns the configuration of a host's policy; cold for a process that replaces another.
func (s *Scenario) AdmissionConfig(cold bool) admission.Config {
	h := &s.Hosts
	t := admission.Config{
		OverQuotaValue:      overQuotaValue,
		FleetSize:           h.fleetSize(),
		Callers:             s.Nodes.Count,
		Cores:               h.Cores,
		MemoryKB:            h.MemoryKB,
		RunFactor:           h.RunFactor,
		IdempotencyKeyKB:    0.2,
		JustStarted:         cold,
		AnswerSlack:         h.AnswerSlack,
		DrainGrace:          h.DrainGrace,
		ColdSpeed:           h.ColdSpeed,
		WarmUp:              max(h.WarmUp, 1),
		CollapseMultiple:    h.CollapseMultiple,
		CollapseAfter:       h.CollapseAfter,
		SharedDependency:    true,
		CallQuota:           float64(s.Dependency.Slots) / float64(h.Count),
		CallQuotaWindow:     Second,
		AbandonedCallLinger: s.Dependency.Work,
		MaxRetryAfter:       h.MaxRetryAfter,
		IdleTimeout:         h.IdleTimeout,
	}
	if h.Preemptible {
		t.Preemption = admission.PreemptionDiscards
	}
	for _, op := range s.Operations {
		t.Operations = append(t.Operations, admission.Operation{
			RetrySafety:      op.RetrySafety,
			Objective:        op.Objective,
			ClientTimeout:    op.Timeout,
			RepeatWindow:     2 * op.Timeout,
			LateValue:        op.LateValue,
			MakesCalls:       op.MakesCalls,
			ValueWithoutCall: op.ValueWithoutCall,
		})
	}
	for _, tn := range s.Tenants {
		t.QuotaPerSecond = append(t.QuotaPerSecond, tn.Quota)
	}
	return t
}
