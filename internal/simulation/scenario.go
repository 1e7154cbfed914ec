// Package simulation is our own emulator of what milletbarrow balances: hosts, edge nodes that nobody can change, callers
// behind them, a register that lags, and troubles. One Run plays one scenario with one policy on one seed, event by
// event, on one goroutine, and is the same to the byte wherever it runs. It does no I/O and holds no clock of the
// machine. Whether the four rules hold is judged here, from what happened, never by the policy.
package simulation

import (
	"fmt"
	"math"

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
	For        Micros // requests come for so long; afterwards what is under way may end
	Hosts      HostTerms
	Nodes      NodeTerms
	Register   RegisterTerms
	Below      BelowTerms
	Operations []Operation
	Tenants    []Tenant
	Load       Load
	Troubles   []Trouble
}

// HostTerms describe the backends.
type HostTerms struct {
	Count       int
	Told        int // the fleet's size as hosts are told it; 0: Count
	Cores       int
	Spread      float64 // a host's speed lies within 1 more or less this part
	Crowd       float64 // runs a core that it bears; beyond them all slow down
	FallOver    Micros  // beyond the crowd for so long, it falls over
	Read        Micros  // core time to read one request
	Handshake   Micros  // core time to open a connection
	MemoryKB    float64 // held and running work; beyond it the host dies
	HeldKB      float64 // of one request that waits
	RunFactor   float64 // a running one takes so many times as much
	ColdShare   float64 // speed at the start of a life
	ColdFor     Micros  // until full speed, evenly
	Connections int     // open at once; a further one is turned away unread
	IdleFor     Micros  // one that rests longer is closed
	Grace       Micros  // after a shutdown notice
	Stop        Micros  // the end of the process, after the notice
	Slack       Micros  // an answer may leave so much before the last moment
	RetryAfter  Micros  // the longest advice to stay away that is passed on; 0: none is
	Stoppable   bool    // runs can be taken off the cores
}

// NodeTerms describe the edge nodes and the callers behind them.
type NodeTerms struct {
	Count     int
	Subset    int     // hosts that one node knows; 0: all
	Balance   Balance // how it chooses
	Tries     int     // of one request; 0: until its time is over
	Pause     Micros  // before a retry, with jitter; it doubles
	Deaf      float64 // part of the nodes that heed neither "don't retry" nor when to come back
	Hedge     Micros  // a copy goes to a second host after so long; 0: never. Idempotent operations alone
	Word      Micros  // a caller's leaving is told to the host so late; negative: never
	Net       Micros  // one way
	Behind    float64 // part of the callers that ask anew, unmarked, after an answer that is no success
	BehindIn  Micros  // so long after
	Refresh   Micros  // between two looks at the endpoint registry
	Throttles bool    // nodes throttle by themselves, from the share accepted of late (baseline)
	Window    Micros  // what they remember for that
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

// RegisterTerms describe the list of hosts.
type RegisterTerms struct {
	Lag Micros // a change of a host's health is seen so late
}

// BelowTerms describe the dependency that operations with calls share.
type BelowTerms struct {
	Slots int    // calls worked on at once; more of them share these evenly
	Work  Micros // of one call with nobody else there
}

// Operation is one kind of request.
type Operation struct {
	Name         string
	Value        float64 // billed when it succeeds within its objective
	Rank         float64
	Share        float64 // of all requests
	Work         Micros  // mean core time
	Tail         float64 // sigma of the lognormal spread; 0: all alike
	Objective    Micros
	Timeout      Micros
	LateValue    float64
	Repeat       admission.RetrySafety
	Hint         float64 // the hint given is the work times this; 0: none is given
	HintSpread   float64 // sigma of a further lognormal factor
	Calls        bool
	SkippedValue float64
}

// Tenant is one part of the callers.
type Tenant struct {
	Name  string
	Share float64 // of all requests
	Quota float64 // a second, over all hosts; 0: none
	Lies  float64 // its hints are multiplied by this; 0 stands for 1
}

// Load says how many requests come, open loop.
type Load struct {
	At       float64 // of capacity: all cores at full speed, reading counted
	Shape    Shape
	To       float64 // of a ramp's end or a step's top, of capacity
	Period   Micros  // of waves and bursts
	Swing    float64 // of waves and bursts: so much more and less, as a part
	Recorded []Recorded
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

// Trouble is one thing that breaks.
type Trouble struct {
	Kind   Kind
	At     Micros
	For    Micros
	Share  float64 // of the hosts, nodes or notices concerned
	Factor float64 // slower, or more, by so much
	Tenant int     // of a tenant's burst
	Width  float64 // part of the hosts that a release takes at once
	Fleet  bool    // a release goes by the real fleet's machine
	Lost   float64 // part of a release's notices that never arrive; the end comes all the same
}

// Kind is what breaks.
type Kind int

// The troubles. Those with a span end after it.
const (
	Death       Kind = iota // hosts die at once, and come back cold after the span
	Slow                    // hosts' cores are slower by the factor
	Gray                    // the same for what comes from half of the nodes alone: their way there takes longer
	Release                 // all hosts are replaced in waves
	Burst                   // the load grows by the factor
	TenantBurst             // one tenant's does
	Neighbour               // others take 1 - 1/factor of the cores, now and then
	Cut                     // between a share of the nodes and half of the hosts nothing passes
	AgentGone               // no wave of a release goes on
	BelowSlow               // the dependency is slower by the factor
	Skew                    // hosts' clocks stand off by the factor, in seconds, all day
)

var kindNames = []string{
	"death", "slow", "gray", "release", "burst", "tenant-burst", "neighbour", "cut", "agent-gone", "below-slow", "skew",
}

func (k Kind) String() string { return kindNames[k] }

// Default is a scenario of the operators' kind, small: what a file leaves out stands as here.
func Default() Scenario {
	return Scenario{
		Name: "default", For: 30 * Second,
		Hosts: HostTerms{
			Count: 12, Cores: 2, Spread: 0.05, Crowd: 6, FallOver: 5 * Second, Read: 300, Handshake: 400, MemoryKB: 256 << 10,
			HeldKB: 64, RunFactor: 4, ColdShare: 0.3, ColdFor: 8 * Second, Connections: 512, IdleFor: 10 * Second,
			Grace: 2 * Second, Stop: 3200 * Millisecond, Slack: 60 * Millisecond, RetryAfter: 2 * Second,
		},
		Nodes: NodeTerms{
			Count: 8, Subset: 8, Tries: 3, Pause: 5 * Millisecond, Deaf: 0.1, Word: 20 * Millisecond, Net: 500,
			BehindIn: 500 * Millisecond, Refresh: Second, Window: 10 * Second,
		},
		Register: RegisterTerms{Lag: 2 * Second},
		Below:    BelowTerms{Slots: 64, Work: 5 * Millisecond},
		Operations: []Operation{
			{Name: "reprint", Value: 1, Rank: 0.1, Share: 0.35, Work: 25 * Millisecond, Tail: 0.8, Objective: Second, Timeout: 3 * Second, LateValue: 0.1},
			{Name: "lookup", Value: 3, Rank: 0.4, Share: 0.4, Work: 15 * Millisecond, Tail: 0.6, Objective: 500 * Millisecond, Timeout: 2 * Second, LateValue: 0.1},
			{Name: "pay-post", Value: 10, Rank: 0.9, Share: 0.25, Work: 20 * Millisecond, Tail: 0.5, Objective: Second, Timeout: 4 * Second, Repeat: admission.NonIdempotent},
		},
		Load: Load{At: 0.8, To: 1.2, Period: 5 * Second, Swing: 0.5},
	}
}

// Check tells the first thing that can't be: a scenario that nobody could play.
func (s *Scenario) Check() error {
	for _, check := range []func() error{s.checkHosts, s.checkAround, s.checkOperations, s.checkRecorded, s.checkTroubles} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkHosts() error {
	h, n := &s.Hosts, &s.Nodes
	switch {
	case s.For <= 0 || s.For > 24*3600*Second:
		return s.bad("for", "%d us, wanted above 0 to a day", s.For)
	case h.Count < 1 || h.Count > MostHosts:
		return s.bad("hosts.count", "%d, wanted 1 to %d", h.Count, MostHosts)
	case n.Count < 1 || n.Count > MostNodes:
		return s.bad("nodes.count", "%d, wanted 1 to %d", n.Count, MostNodes)
	case h.Cores < 1 || h.Spread < 0 || h.Spread >= 1 || h.Crowd < 1:
		return s.bad("hosts", "cores %d, spread %g, crowd %g", h.Cores, h.Spread, h.Crowd)
	case h.Grace >= h.Stop:
		return s.bad("hosts.grace", "%d us does not lie before the stop, %d us", h.Grace, h.Stop)
	case h.MemoryKB < h.HeldKB*h.RunFactor:
		return s.bad("hosts.memory", "%g KB hold no single run of %g KB", h.MemoryKB, h.HeldKB*h.RunFactor)
	}
	return nil
}

// checkAround looks at what surrounds the hosts: names, edge nodes, load and the tier below.
func (s *Scenario) checkAround() error {
	switch {
	case len(s.Operations) == 0 || len(s.Operations) > MostNames || len(s.Tenants) > MostNames:
		return s.bad("operation", "%d operations and %d tenants, wanted 1 to %d, and %d at the most", len(s.Operations), len(s.Tenants), MostNames, MostNames)
	case s.Nodes.Refresh <= 0 || s.Hosts.ColdFor < 0 || s.Nodes.Net < 0:
		return s.bad("nodes.refresh", "a span that must lie above 0 does not")
	case s.Load.At < 0 || s.Load.At > 100 || math.IsNaN(s.Load.At):
		return s.bad("load.at", "%g of capacity", s.Load.At)
	case (s.Load.Shape == Wave || s.Load.Shape == Bursty) && s.Load.Period <= 0:
		return s.bad("load.period", "a wave needs one")
	case s.Below.Slots < 1 || s.Below.Work < 0:
		return s.bad("below", "%d slots of %d us", s.Below.Slots, s.Below.Work)
	}
	return nil
}

// bad names the field that cannot be used.
func (s *Scenario) bad(field, format string, args ...any) error {
	return fmt.Errorf("scenario %s: %s: %s", s.Name, field, fmt.Sprintf(format, args...))
}

func (s *Scenario) checkOperations() error {
	total := 0.0
	for _, op := range s.Operations {
		total += op.Share
		if op.Work <= 0 || op.Objective <= 0 || op.Timeout < op.Objective || op.Share < 0 {
			return s.bad("operation "+op.Name, "work %d us, objective %d us, timeout %d us, share %g: work above 0, the objective within the timeout", op.Work, op.Objective, op.Timeout, op.Share)
		}
	}
	if total <= 0 {
		return s.bad("operation", "no operation has a share")
	}
	return nil
}

func (s *Scenario) checkRecorded() error {
	for i, r := range s.Load.Recorded {
		if r.Operation >= len(s.Operations) || r.Operation < 0 || r.Work <= 0 || i > 0 && r.At < s.Load.Recorded[i-1].At {
			return s.bad("load.recorded", "line %d: operation %d, work %d us, at %d us", i+1, r.Operation, r.Work, r.At)
		}
	}
	return nil
}

func (s *Scenario) checkTroubles() error {
	for _, t := range s.Troubles {
		if t.At < 0 || t.At > s.For || t.Share < 0 || t.Share > 1 || t.Factor < 0 {
			return s.bad("trouble "+t.Kind.String(), "at %d us, share %g, factor %g", t.At, t.Share, t.Factor)
		}
		if t.Kind == TenantBurst && (t.Tenant < 0 || t.Tenant >= len(s.Tenants)) {
			return s.bad("trouble "+t.Kind.String(), "tenant %d of %d", t.Tenant, len(s.Tenants))
		}
	}
	return nil
}

// Bounds of a scenario.
const (
	MostHosts = 20_000
	MostNodes = 20_000
	MostNames = 64
)

// Capacity is how many requests a second all hosts can read and run, at full speed.
func (s *Scenario) Capacity() float64 {
	mean, total := 0.0, 0.0
	for _, op := range s.Operations {
		mean, total = mean+op.Share*float64(op.Work), total+op.Share
	}
	return float64(s.Hosts.Count*s.Hosts.Cores) * 1e6 / (mean/total + float64(s.Hosts.Read))
}

// overShare is what work beyond its tenant's quota is worth, beside work within it.
const overShare = 0.3

// Terms are what a host's policy is told of the deployment, cold for one that replaces another.
func (s *Scenario) Terms(cold bool) admission.Config {
	h := &s.Hosts
	t := admission.Config{
		OverQuotaValue: overShare, FleetSize: h.told(), Callers: s.Nodes.Count, Cores: h.Cores, MemoryKB: h.MemoryKB, RunFactor: h.RunFactor,
		IdempotencyKeyKB: 0.2, JustStarted: cold, AnswerSlack: h.Slack, DrainGrace: h.Grace, ColdSpeed: h.ColdShare, WarmUp: max(h.ColdFor, 1),
		CollapseMultiple: h.Crowd, CollapseAfter: h.FallOver, SharedDependency: true, CallQuota: float64(s.Below.Slots) / float64(h.Count),
		CallQuotaWindow: Second, AbandonedCallLinger: s.Below.Work, MaxRetryAfter: h.RetryAfter, IdleTimeout: h.IdleFor,
	}
	if h.Stoppable {
		t.Preemption = admission.PreemptionDiscards
	}
	for _, op := range s.Operations {
		t.Operations = append(t.Operations, admission.Operation{
			RetrySafety: op.Repeat, Objective: op.Objective, ClientTimeout: op.Timeout, RepeatWindow: 2 * op.Timeout,
			LateValue: op.LateValue, MakesCalls: op.Calls, ValueWithoutCall: op.SkippedValue,
		})
	}
	for _, tn := range s.Tenants {
		t.QuotaPerSecond = append(t.QuotaPerSecond, tn.Quota)
	}
	return t
}
