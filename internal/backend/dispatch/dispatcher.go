// Package dispatch serializes events to the decision module and carries out the actions that the module returns. A
// Dispatcher owns the requests in flight, the lock around the module and the clock that decisions use. It leaves
// admission decisions to the module, except for early rejections, and does no I/O.
//
// Invariants, each with the tests that check it:
//   - A request starts at most once and gets one final response: TestRequestIsAnsweredOnce.
//   - Every request is answered, even if the module drops it: TestOverdueRequestIsAnswered,
//     TestTickAnswersOverdueRequests.
//   - A request with the ID of a request in flight or in the result cache does not affect that request:
//     TestAbandonedDuplicateLeavesRunningRequest, TestAbandonedDuplicateLeavesQueuedRequest,
//     TestDuplicateOfCachedIDIsRejected.
//   - A non-idempotent request that ran does not run again, even if its caller had left:
//     TestNonIdempotentRequestRunsOnce, TestFullRecentIDsRejectNewWork.
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
	seed     uint64 // of the random numbers of the module and the shedder
	bounds   limits.Bounds

	// mu guards all fields below, what they point to (the decision module, the result cache, the degradation
	// controller, the quota holder, the shadow) and the fields of each Request. Unexported methods require the caller
	// to hold it, except awaitFreshTick and register, which Admit calls and which lock it themselves.
	mu sync.Mutex

	backend  *admission.Backend  // the decision module; nil until Open
	inFlight map[string]*Request // by request ID
	actions  []admission.Action  // from the latest decision; the slice is reused
	counts   Counts

	// State that the module sets through its actions.
	nextTick    monotime.Micros // 0: the module has not set a time
	timerToken  int64           // returned to the module with the next reading
	healthy     bool            // whether health checks succeed
	idleTimeout monotime.Micros // of connections; at the configured timeout or above, callers close them

	// State of Open.
	startedCold bool            // the executor was still warming up at Open
	openedAt    monotime.Micros // opening time that was passed to the module

	// Graceful shutdown; see Drain.
	draining       bool
	stopAt         monotime.Micros // when the process will be stopped; 0: not draining
	graceEnd       monotime.Micros // later arrivals are rejected; 0: not draining
	moduleGraceEnd monotime.Micros // end of the module's own grace period; 0: the module has not been notified

	// Gauges and ticks.
	gauges   []float64       // the latest sample; empty: unknown
	gaugesAt monotime.Micros // when the latest sample was received; 0: none yet
	lastTick monotime.Micros // time of the latest tick; until the first tick, of Open
	tickDone chan struct{}   // closed at the next tick; nil if no arrival waits for it

	// The latest stall: a time longer than StallThreshold between two ticks, in which the process did not run or ran
	// too slowly.
	stallStart monotime.Micros
	stallEnd   monotime.Micros // 0: no stall yet

	// Repeats of requests with an idempotency key.
	results          *idempotency.Table // nil if no operation uses idempotency keys
	readyRepeats     []string           // IDs of repeats whose original has ended
	answeringRepeats bool               // answerRepeats is running and must not be re-entered

	recentIDs *idempotency.RecentIDs // of non-idempotent requests that ran; nil if no operation is non-idempotent

	degradation *degradationState // nil without a degradation policy
	quotas      *quotaState       // nil without fleet-wide quotas
	shadow      *shadowState      // nil without a shadow configuration
}

// Counts are totals since the start.
type Counts struct {
	Arrived   int // requests submitted to the module
	Expired   int // of those, requests whose deadline had already passed
	Started   int
	Throttled int
	Errored   int
	Abandoned int // requests that the caller canceled before the answer
	Replayed  int // requests answered with the result of an earlier run
	CacheFull int // requests rejected because the result cache or the set of recent IDs was full
	Ticks     int
	Unsampled int // ticks without a fresh sample of the gauges
	Panics    int // of the module
}

// New returns a dispatcher that throttles all requests until Open.
func New(settings *config.Settings, seed uint64, bounds limits.Bounds) *Dispatcher {
	d := &Dispatcher{settings: settings, seed: seed, bounds: bounds, inFlight: map[string]*Request{}}
	for _, op := range settings.Admission.Operations {
		switch {
		case op.RetrySafety == admission.IdempotencyKeyed && d.results == nil:
			d.results = idempotency.New(bounds.IdempotencyCacheSize, bounds.ResultSize)
		case op.RetrySafety == admission.NonIdempotent && d.recentIDs == nil:
			d.recentIDs = idempotency.NewRecentIDs(bounds.RecentIDs, d.recentIDRetention())
		}
	}
	return d
}

// Open begins to admit requests once the executor is ready; later calls have no effect. cold reports whether the
// executor is still warming up, and ago is the time since it started. ago matters only for a cold executor, as the
// elapsed part of the warm-up. With a warm executor the module opens now; otherwise it would conclude that no request
// arrived since the executor started.
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
	if d.draining { // the shutdown notice arrived before the executor was ready
		d.notifyModule(Now())
	}
}

// moduleConfig returns the module's configuration for these settings.
func (d *Dispatcher) moduleConfig(settings *config.Settings) admission.Config {
	cfg := settings.Admission
	cfg.JustStarted = d.startedCold
	// The setting is a size in the executor's memory, but results are cached in this process, in a bounded table.
	cfg.IdempotencyKeyKB = 0
	// The notice may arrive with a delay, which must not postpone the end of the grace period.
	cfg.DrainGrace = max(0, cfg.DrainGrace-monotime.FromDuration(d.bounds.NoticeDelay))
	return cfg
}

// Counts returns the totals since the start and the number of requests in flight.
func (d *Dispatcher) Counts() (counts Counts, inFlight int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts, len(d.inFlight)
}

// Healthy reports whether health checks succeed.
func (d *Dispatcher) Healthy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backend != nil && d.healthy && !d.draining
}

// IdleTimeout returns how long a connection may be idle before the server closes it. 0 means that the server closes no
// idle connections and leaves that to the callers.
func (d *Dispatcher) IdleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleTimeout >= d.settings.Admission.IdleTimeout {
		return 0
	}
	return d.idleTimeout.Duration()
}
