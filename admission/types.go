// Package admission decides, for one backend, which invocations it takes, runs,
// throttles or fails. This file is its interface; admit.go decides.
package admission

// Micros is a point or a span of time in whole microseconds.
type Micros int64

// Repeat says what may happen to a second try of an operation.
type Repeat int

// The three kinds of operation.
const (
	Idempotent Repeat = iota
	Tokened
	NonIdempotent
)

// Preemption says what stopping a run does.
type Preemption int

// How running work can be stopped.
const (
	CannotStop Preemption = iota
	StopDiscards
	StopPauses
)

// FreeValue is the meaning callers give to the value of Advertise.
type FreeValue int

// The meanings a deployment can give to the free value.
const (
	NoValue FreeValue = iota
	CallerAllowance
	TrafficWeight
)

// Outcome is how a run or a call below ended.
type Outcome int

// Outcomes of runs and calls. Full, Unreachable, Void and Unrunnable prove that nothing ran.
const (
	OK Outcome = iota
	Errored
	Full
	TimedOut
	Unreachable
	Reset
	Canceled
	Void
	Unrunnable // nobody's work: the invocation was none
)

// Operation is what the deployment says of one kind of invocation.
type Operation struct {
	Repeat        Repeat
	Value         float64 // billed value, for each unit of work where Terms.ByWork; 0: not told
	Objective     Micros  // latency objective: answer wanted by
	Stretch       float64 // the objective grows by this multiple of the invocation's own work
	ClientTimeout Micros
	Window        Micros  // how long after arrival a tokened invocation can recur
	LateValue     float64 // share of the billed value left after the objective
	Calls         bool    // may call below
	SkippedValue  float64 // share of the billed value left when a call is skipped; 0: skipping not allowed
}

// Terms are the deployment's terms for one backend.
type Terms struct {
	Operations     []Operation
	QuotaPerSecond []float64 // by tenant, over the whole fleet
	OverShareValue float64   // what an invocation beyond its tenant's share is worth
	Fleet          int
	Callers        int
	Cores          int
	MemoryKB       float64
	RunFactor      float64 // running memory over held memory
	KeyKB          float64
	JustStarted    bool
	Preemption     Preemption
	FreeValue      FreeValue
	AnswerSlack    Micros
	DrainGrace     Micros
	ColdShare      float64
	ColdFor        Micros
	FallMultiple   float64
	FallOver       Micros
	SharedBelow    bool    // one dependency serves every backend
	CallShare      float64 // mean calls in hand that are ours
	CallsOver      Micros
	Linger         Micros // an abandoned call may stay below this long
	MaxRetryAfter  Micros // 0: the advice to stay away is not passed on
	Round          Micros // least time between two batches
	ByWork         bool   // values are billed for each unit of work
	Follows        bool   // starts are proposed, one at a time, and happen with Launched
	Unmarked       bool   // further tries bear no mark
	IdleFor        Micros // callers close connections idle for so long
}

// Event is what happened: one of the types below.
type Event any

// Opened is the first event of a life.
type Opened struct{}

// Arrived: an invocation has been read and is held.
type Arrived struct {
	ID        string
	Operation int
	Tenant    int
	Rank      float64
	Retry     bool
	Hint      Micros // expected work on a standard core; 0: none given
	Waited    Micros // since it reached the machine
	Budget    Micros // how long its caller still waits; 0: not told
	KB        float64
	Earlier   string // the remembered invocation that this one repeats, where its operation is tokened
	Shed      Micros // a level of reduced service sheds it, and may do so for so long; 0: it does not
	Share     Share  // how it stands to its tenant's share of the fleet's budget, where there is one
}

// Share is how an invocation stands to what its tenant may have of this backend.
type Share int8

// A share that is not told is guessed from the quota and the fleet's size.
const (
	NotTold Share = iota
	Within
	Beyond
)

// Launched: another has started what this instance holds; see Terms.Follows.
type Launched struct{ ID string }

// Finished: a run, or a reuse, has ended.
type Finished struct {
	ID      string
	Outcome Outcome
	Took    Micros
}

// CallerGone: nobody waits for this invocation any more.
type CallerGone struct{ ID string }

// NeedsCall: a run waits for a call below.
type NeedsCall struct{ ID string }

// CallReturned: how a call below ended.
type CallReturned struct {
	ID      string
	Outcome Outcome
	Took    Micros
}

// DrainNotice: the process is stopped after Left.
type DrainNotice struct{ Left Micros }

// Reading carries the gauges with a timer; a gauge the deployment lacks is -1.
type Reading struct {
	Token       int64
	CoreUse     float64
	OnCores     float64
	MemoryShare float64
	Connections float64
}

// Action is what is to be done: one of the types below.
type Action any

// Start runs a held invocation or resumes a paused one.
type Start struct{ ID string }

// Stop takes running work off the cores.
type Stop struct{ ID string }

// Throttle turns an invocation away.
type Throttle struct {
	ID        string
	RetryIn   Micros // stay away from this backend for so long
	DontRetry bool   // do not try another backend either
}

// Fail answers with an error.
type Fail struct{ ID string }

// Call makes the call that a run waits for.
type Call struct {
	ID     string
	Within Micros
}

// SkipCall goes on without the call.
type SkipCall struct{ ID string }

// Remember keeps an invocation in the table of repeats.
type Remember struct {
	ID  string
	For Micros
}

// Forget drops its entry from that table.
type Forget struct{ ID string }

// Reuse answers a repeat with the result of the invocation it repeats.
type Reuse struct{ ID string }

// SetHealth answers health checks from now on.
type SetHealth struct{ Good, FromStore bool }

// Advertise sets the free value.
type Advertise struct{ Value float64 }

// CloseIdle closes, from now on, connections that have carried nothing for so long.
type CloseIdle struct{ After Micros }

// Wake asks for a Reading at a point in time.
type Wake struct {
	At    Micros
	Token int64
}

// Log adds a line to the operator's report.
type Log struct{ Text string }
