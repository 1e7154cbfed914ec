// Package simulation is our own emulator of what milletbarrow balances: hosts, edge nodes that nobody can change, callers
// behind them, a register that lags, and troubles. One Run plays one scenario with one policy on one seed, event by
// event, on one goroutine, and is the same to the byte wherever it runs. It does no I/O and holds no clock of the
// machine. Whether the four rules hold is judged here, from what happened, never by the policy.
package simulation

import (
	"milletbarrow/admission"
)

// Micros is a point of modelled time, or a span, in whole microseconds.
type Micros = admission.Micros

// Second and millisecond in modelled time.
const (
	Millisecond Micros = 1000
	Second      Micros = 1_000_000
)

// Scenario is one day: what there is, what is asked of it, and what breaks.
type Scenario struct {
	Name       string
	Duration   Micros `json:"For"` // requests come for so long; afterwards what is under way may end
	Hosts      HostConfig
	Nodes      NodeConfig
	Registry   RegistryConfig   `json:"Register"`
	Dependency DependencyConfig `json:"Below"`
	Operations []Operation
	Tenants    []Tenant
	Load       Load
	Faults     []Fault `json:"Troubles"`
}

// HostConfig describe the backends.
type HostConfig struct {
	Count             int
	ReportedFleetSize int `json:"Told"` // the fleet's size as hosts are told it; 0: Count
	Cores             int
	SpeedSpread       float64 `json:"Spread"`    // a host's speed lies within 1 more or less this part
	CollapseMultiple  float64 `json:"Crowd"`     // runs a core that it bears; beyond them all slow down
	CollapseAfter     Micros  `json:"FallOver"`  // beyond the crowd for so long, it falls over
	ReadWork          Micros  `json:"Read"`      // core time to read one request
	HandshakeWork     Micros  `json:"Handshake"` // core time to open a connection
	MemoryKB          float64 // held and running work; beyond it the host dies
	RequestKB         float64 `json:"HeldKB"` // of one request that waits
	RunFactor         float64 // a running one takes so many times as much
	ColdSpeed         float64 `json:"ColdShare"` // speed at the start of a life
	WarmUp            Micros  `json:"ColdFor"`   // until full speed, evenly
	Connections       int     // open at once; a further one is turned away unread
	IdleTimeout       Micros  `json:"IdleFor"`    // one that rests longer is closed
	DrainGrace        Micros  `json:"Grace"`      // after a shutdown notice
	ExitTimeout       Micros  `json:"Stop"`       // the end of the process, after the notice
	AnswerSlack       Micros  `json:"Slack"`      // an answer may leave so much before the last moment
	MaxRetryAfter     Micros  `json:"RetryAfter"` // the longest advice to stay away that is passed on; 0: none is
	Preemptible       bool    `json:"Stoppable"`  // runs can be taken off the cores
}

// NodeConfig describe the edge nodes and the callers behind them.
type NodeConfig struct {
	Count             int
	Subset            int     // hosts that one node knows; 0: all
	Balance           Balance // how it chooses
	MaxAttempts       int     `json:"Tries"`    // of one request; 0: until its time is over
	Backoff           Micros  `json:"Pause"`    // before a retry, with jitter; it doubles
	UnresponsiveShare float64 `json:"Deaf"`     // part of the nodes that heed neither "don't retry" nor when to come back
	HedgeDelay        Micros  `json:"Hedge"`    // a copy goes to a second host after so long; 0: never. Idempotent operations alone
	CancelDelay       Micros  `json:"Word"`     // a caller's leaving is told to the host so late; negative: never
	NetworkDelay      Micros  `json:"Net"`      // one way
	ClientRetryShare  float64 `json:"Behind"`   // part of the callers that ask anew, unmarked, after an answer that is no success
	ClientRetryDelay  Micros  `json:"BehindIn"` // so long after
	RefreshInterval   Micros  `json:"Refresh"`  // between two looks at the endpoint registry
	Throttles         bool    // nodes throttle by themselves, from the share accepted of late (baseline)
	ThrottleWindow    Micros  `json:"Window"` // what they remember for that
}

// Balance is how an edge node chooses among its hosts.
type Balance int

// The ways to choose. All but RoundRobin and Random know only what this node has open itself.
const (
	RoundRobin Balance = iota
	Random
	TwoChoices // of two drawn, the one with fewer open
	LeastLoad  // fewest open, weighted by how long answers take of late
	Oracle     // the host with the least true work, as it was a moment ago
)

var balanceNames = []string{"round-robin", "random", "two-choices", "least-load", "oracle"}

func (b Balance) String() string { return balanceNames[b] }

// RegistryConfig describe the list of hosts.
type RegistryConfig struct {
	Lag Micros // a change of a host's health is seen so late
}

// DependencyConfig describe the dependency that operations with calls share.
type DependencyConfig struct {
	Slots int    // calls worked on at once; more of them share these evenly
	Work  Micros // of one call with nobody else there
}

// Operation is one kind of request.
type Operation struct {
	Name             string
	Value            float64 // billed when it succeeds within its objective
	Priority         float64 `json:"Rank"`
	Share            float64 // of all requests
	Work             Micros  // mean core time
	WorkSigma        float64 `json:"Tail"` // sigma of the lognormal spread; 0: all alike
	Objective        Micros
	Timeout          Micros
	LateValue        float64
	RetrySafety      admission.RetrySafety `json:"Repeat"`
	HintFactor       float64               `json:"Hint"`       // the hint given is the work times this; 0: none is given
	HintSigma        float64               `json:"HintSpread"` // sigma of a further lognormal factor
	MakesCalls       bool                  `json:"Calls"`
	ValueWithoutCall float64               `json:"SkippedValue"`
}

// Tenant is one part of the callers.
type Tenant struct {
	Name       string
	Share      float64 // of all requests
	Quota      float64 // a second, over all hosts; 0: none
	HintFactor float64 `json:"Lies"` // its hints are multiplied by this; 0 stands for 1
}

// Load says how many requests come, open loop.
type Load struct {
	Level     float64 `json:"At"` // of capacity: all cores at full speed, reading counted
	Shape     Shape
	PeakLevel float64 `json:"To"` // of a ramp's end or a step's top, of capacity
	Period    Micros  // of waves and bursts
	Swing     float64 // of waves and bursts: so much more and less, as a part
	Recorded  []Recorded
}

// Shape is how the load runs over the day.
type Shape int

// The shapes.
const (
	Steady  Shape = iota
	Ramp          // evenly from At to To
	Step          // To in the middle third, At else
	Wave          // a sine of Period and Swing
	Bursty        // on and off, exponential with a mean of Period, Swing up and down
	DueDate       // a morning that rises to To at two thirds of the day, and falls off
	Replay        // what was recorded
)

var shapeNames = []string{"steady", "ramp", "step", "wave", "bursty", "due-date", "replay"}

// Recorded is one request of a recorded load.
type Recorded struct {
	At                Micros
	Operation, Tenant int
	Work              Micros
}

// Default is a scenario of the operators' kind, small: what a file leaves out stands as here.
func Default() Scenario {
	return Scenario{
		Name: "default", Duration: 30 * Second,
		Hosts: HostConfig{
			Count: 12, Cores: 2, SpeedSpread: 0.05, CollapseMultiple: 6, CollapseAfter: 5 * Second, ReadWork: 300, HandshakeWork: 400, MemoryKB: 256 << 10,
			RequestKB: 64, RunFactor: 4, ColdSpeed: 0.3, WarmUp: 8 * Second, Connections: 512, IdleTimeout: 10 * Second,
			DrainGrace: 2 * Second, ExitTimeout: 3200 * Millisecond, AnswerSlack: 60 * Millisecond, MaxRetryAfter: 2 * Second,
		},
		Nodes: NodeConfig{
			Count: 8, Subset: 8, MaxAttempts: 3, Backoff: 5 * Millisecond, UnresponsiveShare: 0.1, CancelDelay: 20 * Millisecond, NetworkDelay: 500,
			ClientRetryDelay: 500 * Millisecond, RefreshInterval: Second, ThrottleWindow: 10 * Second,
		},
		Registry:   RegistryConfig{Lag: 2 * Second},
		Dependency: DependencyConfig{Slots: 64, Work: 5 * Millisecond},
		Operations: []Operation{
			{Name: "reprint", Value: 1, Priority: 0.1, Share: 0.35, Work: 25 * Millisecond, WorkSigma: 0.8, Objective: Second, Timeout: 3 * Second, LateValue: 0.1},
			{Name: "lookup", Value: 3, Priority: 0.4, Share: 0.4, Work: 15 * Millisecond, WorkSigma: 0.6, Objective: 500 * Millisecond, Timeout: 2 * Second, LateValue: 0.1},
			{Name: "pay-post", Value: 10, Priority: 0.9, Share: 0.25, Work: 20 * Millisecond, WorkSigma: 0.5, Objective: Second, Timeout: 4 * Second, RetrySafety: admission.NonIdempotent},
		},
		Load: Load{Level: 0.8, PeakLevel: 1.2, Period: 5 * Second, Swing: 0.5},
	}
}

// Capacity is how many requests a second all hosts can read and run, at full speed.
func (s *Scenario) Capacity() float64 {
	mean, total := 0.0, 0.0
	for _, op := range s.Operations {
		mean, total = mean+op.Share*float64(op.Work), total+op.Share
	}
	return float64(s.Hosts.Count*s.Hosts.Cores) * 1e6 / (mean/total + float64(s.Hosts.ReadWork))
}

// overQuotaValue is what work beyond its tenant's quota is worth, beside work within it.
const overQuotaValue = 0.3

// AdmissionConfig are what a host's policy is told of the deployment, cold for one that replaces another.
func (s *Scenario) AdmissionConfig(cold bool) admission.Config {
	h := &s.Hosts
	t := admission.Config{
		OverQuotaValue: overQuotaValue, FleetSize: h.fleetSize(), Callers: s.Nodes.Count, Cores: h.Cores, MemoryKB: h.MemoryKB, RunFactor: h.RunFactor,
		IdempotencyKeyKB: 0.2, JustStarted: cold, AnswerSlack: h.AnswerSlack, DrainGrace: h.DrainGrace, ColdSpeed: h.ColdSpeed, WarmUp: max(h.WarmUp, 1),
		CollapseMultiple: h.CollapseMultiple, CollapseAfter: h.CollapseAfter, SharedDependency: true, CallQuota: float64(s.Dependency.Slots) / float64(h.Count),
		CallQuotaWindow: Second, AbandonedCallLinger: s.Dependency.Work, MaxRetryAfter: h.MaxRetryAfter, IdleTimeout: h.IdleTimeout,
	}
	if h.Preemptible {
		t.Preemption = admission.PreemptionDiscards
	}
	for _, op := range s.Operations {
		t.Operations = append(t.Operations, admission.Operation{
			RetrySafety: op.RetrySafety, Objective: op.Objective, ClientTimeout: op.Timeout, RepeatWindow: 2 * op.Timeout,
			LateValue: op.LateValue, MakesCalls: op.MakesCalls, ValueWithoutCall: op.ValueWithoutCall,
		})
	}
	for _, tn := range s.Tenants {
		t.QuotaPerSecond = append(t.QuotaPerSecond, tn.Quota)
	}
	return t
}
