// Package simulation is a discrete-event simulation of the system that milletbarrow balances: hosts, edge nodes that
// can't be changed, the callers behind them, an endpoint registry with a lag, and faults. Play simulates a scenario
// with a policy and a seed, event by event on one goroutine. Its result is the same to the byte on all machines. The
// package does no I/O and reads no clock. It checks the four rules against the simulated events, never against reports
// of the policy; see Audit.
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

// Scenario describes one simulated day: hosts, edge nodes, load and faults. Its field names and tags are part of the
// keys of stored results (see experiment.ResultDir) and must not change.
type Scenario struct {
	Name       string
	Duration   monotime.Micros `json:"For"` // time during which requests arrive; those in flight may end later
	Hosts      HostConfig
	Nodes      NodeConfig
	Registry   RegistryConfig   `json:"Register"`
	Dependency DependencyConfig `json:"Below"`
	Operations []Operation
	Tenants    []Tenant
	Load       Load
	Faults     []Fault `json:"Troubles"`
}

// HostConfig describes the hosts. They differ only in speed.
type HostConfig struct {
	Count             int
	ReportedFleetSize int `json:"Told"` // fleet size that the hosts are configured with; 0: Count
	Cores             int
	SpeedSpread       float64         `json:"Spread"`    // a host's speed lies within 1 ± SpeedSpread
	CollapseMultiple  float64         `json:"Crowd"`     // runs per core beyond which throughput falls by the square
	CollapseAfter     monotime.Micros `json:"FallOver"`  // a host crashes after an overload of this duration
	ReadWork          monotime.Micros `json:"Read"`      // core time to read one request
	HandshakeWork     monotime.Micros `json:"Handshake"` // core time to open a connection
	MemoryKB          float64         // for queued and running requests; a host that exceeds it crashes
	RequestKB         float64         `json:"HeldKB"` // memory of one queued request
	RunFactor         float64         // memory of a running request, relative to RequestKB
	ColdSpeed         float64         `json:"ColdShare"` // speed of a cold process, relative to 1
	WarmUp            monotime.Micros `json:"ColdFor"`   // time from ColdSpeed to full speed, linear
	Connections       int             // maximum of open connections; further ones are rejected
	IdleTimeout       monotime.Micros `json:"IdleFor"`    // an idle connection is closed after this time
	DrainGrace        monotime.Micros `json:"Grace"`      // requests that arrive later after the notice are not run
	ExitTimeout       monotime.Micros `json:"Stop"`       // the process is stopped this long after the notice
	AnswerSlack       monotime.Micros `json:"Slack"`      // an answer may be late by this much
	MaxRetryAfter     monotime.Micros `json:"RetryAfter"` // the longest Retry-After that is sent; 0: none
	Preemptible       bool            `json:"Stoppable"`  // runs can be preempted
}

// NodeConfig describes the edge nodes and the callers behind them.
type NodeConfig struct {
	Count             int
	Subset            int             // number of hosts that a node uses; 0: all
	Balance           Balance         // how a node chooses a host
	MaxAttempts       int             `json:"Tries"`    // per request; 0: no limit before its client timeout
	Backoff           monotime.Micros `json:"Pause"`    // before the first retry, with jitter; doubles each time
	UnresponsiveShare float64         `json:"Deaf"`     // share of the nodes that ignore "don't retry" and Retry-After
	HedgeDelay        monotime.Micros `json:"Hedge"`    // an idempotent request is hedged after this time; 0: never
	CancelDelay       monotime.Micros `json:"Word"`     // delay of the notice that a caller has left; negative: none
	NetworkDelay      monotime.Micros `json:"Net"`      // one way
	ClientRetryShare  float64         `json:"Behind"`   // share of the callers that resend a failed request, unmarked
	ClientRetryDelay  monotime.Micros `json:"BehindIn"` // mean delay before it is sent again
	RefreshInterval   monotime.Micros `json:"Refresh"`  // interval between polls of the endpoint registry
	Throttles         bool            // client-side throttling by the share accepted recently (baseline)
	ThrottleWindow    monotime.Micros `json:"Window"` // time constant of that share
}

// Balance is how an edge node chooses among its hosts. String returns its word in experiment files.
type Balance int

// The balancing policies. All but Oracle know only the attempts that the node itself has in flight.
const (
	RoundRobin Balance = iota
	Random
	TwoChoices // the one with fewer in flight of two random hosts
	LeastLoad  // the lowest number in flight, weighted by recent latency
	Oracle     // the lowest true load, by a recent sample
)

var balanceNames = []string{"round-robin", "random", "two-choices", "least-load", "oracle"}

// String returns the word of the balancing policy in experiment files.
func (b Balance) String() string { return balanceNames[b] }

// RegistryConfig describes the endpoint registry.
type RegistryConfig struct {
	Lag monotime.Micros // delay from a change of a host's health to the endpoint list
}

// DependencyConfig describes the shared dependency of the operations that make calls.
type DependencyConfig struct {
	Slots int             // calls processed at full speed at once; more calls share the slots evenly
	Work  monotime.Micros // duration of a call at full speed
}

// Operation is one kind of request.
type Operation struct {
	Name             string
	Value            float64         // value of a success within the objective
	Priority         float64         `json:"Rank"`
	Share            float64         // share of all requests
	Work             monotime.Micros // mean core time of a run
	WorkSigma        float64         `json:"Tail"` // sigma of the lognormal distribution of work; 0: constant
	Objective        monotime.Micros
	Timeout          monotime.Micros
	LateValue        float64
	RetrySafety      admission.RetrySafety `json:"Repeat"`
	HintFactor       float64               `json:"Hint"`       // expected work sent, relative to the work; 0: none
	HintSigma        float64               `json:"HintSpread"` // sigma of a further lognormal factor
	MakesCalls       bool                  `json:"Calls"`
	ValueWithoutCall float64               `json:"SkippedValue"`
}

// Tenant is one tenant of the callers.
type Tenant struct {
	Name       string
	Share      float64 // share of all requests
	Quota      float64 // requests per second, over all hosts; 0: none
	HintFactor float64 `json:"Lies"` // factor of the expected work that its requests send; 0 means 1
}

// Load describes the rate of requests over the day, open loop. Levels are fractions of capacity, which is the rate that
// all cores can read and run at full speed.
type Load struct {
	Level     float64 `json:"At"` // at the start, or the mean
	Shape     Shape
	PeakLevel float64         `json:"To"` // at the end of a ramp, in the step or at the peak of DueDate
	Period    monotime.Micros // of Wave and Bursty
	Swing     float64         // of Wave and Bursty: relative amplitude
	Recorded  []Recorded
}

// Shape is the shape of the load over the day.
type Shape int

// The shapes.
const (
	Steady  Shape = iota
	Ramp          // linear from Level to PeakLevel
	Step          // PeakLevel in the middle third of the day, otherwise Level
	Wave          // a sine with Period and Swing
	Bursty        // alternates between 1+Swing and 1-Swing times Level, for exponential times of mean Period
	DueDate       // rises to PeakLevel at two thirds of the day, then falls to Level
	Replay        // Load.Recorded
)

var shapeNames = []string{"steady", "ramp", "step", "wave", "bursty", "due-date", "replay"}

// Recorded is one request of a recorded load. Operation and Tenant are indexes into the scenario's.
type Recorded struct {
	At                monotime.Micros
	Operation, Tenant int
	Work              monotime.Micros
}

// Default returns a small scenario. It has the defaults of experiment files.
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

// Capacity returns the number of requests per second that all hosts can read and run at full speed.
func (s *Scenario) Capacity() float64 {
	mean, total := 0.0, 0.0
	for _, op := range s.Operations {
		mean, total = mean+op.Share*float64(op.Work), total+op.Share
	}
	return float64(s.Hosts.Count*s.Hosts.Cores) * 1e6 / (mean/total + float64(s.Hosts.ReadWork))
}

// overQuotaValue is the value of a request beyond its tenant's quota, relative to one within it.
const overQuotaValue = 0.3

// AdmissionConfig returns the configuration of a host's policy. cold is true for a process that replaces another.
func (s *Scenario) AdmissionConfig(cold bool) admission.Config {
	h := &s.Hosts
	config := admission.Config{
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
		config.Preemption = admission.PreemptionDiscards
	}
	for _, op := range s.Operations {
		config.Operations = append(config.Operations, admission.Operation{
			RetrySafety:      op.RetrySafety,
			Objective:        op.Objective,
			ClientTimeout:    op.Timeout,
			RepeatWindow:     2 * op.Timeout,
			LateValue:        op.LateValue,
			MakesCalls:       op.MakesCalls,
			ValueWithoutCall: op.ValueWithoutCall,
		})
	}
	for _, tenant := range s.Tenants {
		config.QuotaPerSecond = append(config.QuotaPerSecond, tenant.Quota)
	}
	return config
}
