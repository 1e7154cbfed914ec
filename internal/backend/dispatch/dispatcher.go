// Package dispatch serialises events into the decision module and carries out the actions that it returns. A
// Dispatcher owns the requests in flight, the lock around the module and the clock of decisions. It decides nothing
// itself and does no I/O.
//
// Invariants, each with the test that holds it:
//   - A request starts at most once and gets one final response: TestRequestIsAnsweredOnce.
//   - Every request is answered, even if the module loses it: TestOverdueRequestIsAnswered,
//     TestTickAnswersOverdueRequests.
//   - A request with the ID of another one in flight or cached changes nothing:
//     TestAbandonedDuplicateLeavesRunningRequest, TestAbandonedDuplicateLeavesQueuedRequest,
//     TestDuplicateOfCachedIDIsRejected.
//   - A quota unit is refunded unless its request ran: TestQuotaUnitIsRefundedUnlessRun.
//   - The grace period of a shutdown is never extended: TestSecondNoticeNeverExtendsGrace.
package dispatch

import (
	"sync"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// Dispatcher serves one backend. Its methods may be called from any goroutine.
type Dispatcher struct {
	settings *config.Settings
	seed     uint64 // of the module's and the shedder's random draws
	bounds   limits.Bounds

	// mu guards all fields below, what they point to (the decision module, the result cache, the degradation
	// controller, the quota holder, the shadow) and the fields of each Request. Unexported methods expect it to be
	// held, except Admit's helpers awaitFreshTick and register, which lock it.
	mu sync.Mutex

	backend  *admission.Backend  // the decision module; nil until Open
	inFlight map[string]*Request // by request ID
	actions  []admission.Action  // of the latest decision; the slice is reused
	counts   Counts

	// State that the module sets by its actions.
	nextTick    monotime.Micros // 0: the module has set no time
	timerToken  int64           // passed back with the next reading
	healthy     bool            // how health checks are to be answered
	idleTimeout monotime.Micros // of connections; the configured timeout or more: the callers close them

	// Opening.
	startedCold bool            // the executor was warming up at Open
	openedAt    monotime.Micros // the time of Open that the module was given

	// Graceful shutdown; see Drain.
	draining       bool
	stopAt         monotime.Micros // the process is stopped then; 0: not draining
	graceEnd       monotime.Micros // later arrivals do not run; 0: not draining
	moduleGraceEnd monotime.Micros // the end of the module's own grace period; 0: the module has had no notice

	// Gauges and ticks.
	gauges   []float64       // the latest sample; empty: unknown
	gaugesAt monotime.Micros // when the latest sample came; 0: none yet
	lastTick monotime.Micros // or Open, until the first tick
	tickDone chan struct{}   // closed at the next tick; nil while no arrival waits for it

	// Repeats of requests with an idempotency key.
	results          *idempotency.Table // nil if no operation is keyed
	readyRepeats     []string           // IDs of repeats whose original has ended
	answeringRepeats bool               // answerRepeats is running; it must not be re-entered

	degradation *degradationState // nil without a degradation policy
	quotas      *quotaState       // nil without fleet-wide quotas
	shadow      *shadowState      // nil without a shadow configuration
}

// Counts are totals since the start.
type Counts struct {
	Arrived   int // requests passed to the module
	Expired   int // arrived requests whose deadline had passed before
	Started   int
	Throttled int
	Errored   int
	Abandoned int // requests whose caller left before the answer
	Replayed  int // requests answered with the result of an earlier run
	CacheFull int // requests throttled because the result cache was full
	Ticks     int
	Unsampled int // ticks without a fresh sample of the gauges
	Panics    int // of the module
}

// New returns a dispatcher that throttles everything until Open.
func New(settings *config.Settings, seed uint64, bounds limits.Bounds) *Dispatcher {
	d := &Dispatcher{settings: settings, seed: seed, bounds: bounds, inFlight: map[string]*Request{}}
	for _, op := range settings.Admission.Operations {
		if op.RetrySafety == admission.IdempotencyKeyed && d.results == nil {
			d.results = idempotency.New(bounds.IdempotencyCacheSize, bounds.ResultSize)
		}
	}
	return d
}

// Open starts to admit requests: the executor is ready, and started that long ago, warming up (cold) or warm. Later
// calls change nothing. The time since the start matters only for a cold executor, as the part of the warm-up that is
// over. For a warm one the module opens now: it must not conclude that no request arrived since the executor started.
func (d *Dispatcher) Open(cold bool, ago monotime.Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backend != nil {
		return
	}
	d.startedCold = cold
	cfg := d.moduleConfig(d.settings)
	d.backend = admission.New(cfg, d.seed)
	d.lastTick = Now()
	if !cold {
		ago = 0
	} else if d.degradation != nil {
		d.degradation.meter.SetWarmingUntil(process.Now() + max(0, cfg.WarmUp-ago))
	}
	d.openedAt = Now() - min(ago, cfg.WarmUp)
	d.startShadow()
	_ = d.decide(d.openedAt, admission.Opened{})
	if d.draining { // the shutdown notice came before the executor was ready
		d.notifyModule(Now())
	}
}

// moduleConfig adapts settings for the module.
func (d *Dispatcher) moduleConfig(settings *config.Settings) admission.Config {
	cfg := settings.Admission
	cfg.JustStarted = d.startedCold
	// The setting is about the executor's memory; results are cached in this process, in a table that is bounded.
	cfg.IdempotencyKeyKB = 0
	// The notice may arrive late, and the grace period must not end later for that.
	cfg.DrainGrace = max(0, cfg.DrainGrace-monotime.FromDuration(d.bounds.NoticeDelay))
	return cfg
}

// Counts returns the totals since the start, and the number of requests in flight.
func (d *Dispatcher) Counts() (counts Counts, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts, len(d.inFlight)
}

// Healthy reports whether health checks are to be answered with good.
func (d *Dispatcher) Healthy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backend != nil && d.healthy && !d.draining
}

// IdleTimeout returns how long a connection may be idle before the server closes it; 0 leaves that to the callers.
func (d *Dispatcher) IdleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleTimeout >= d.settings.Admission.IdleTimeout {
		return 0
	}
	return d.idleTimeout.Duration()
}
