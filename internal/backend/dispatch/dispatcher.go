// Package dispatch serialises events into the decision module and carries out the actions that it returns. A Dispatcher
// owns the requests in flight, the lock around the module and the clock of decisions. It decides nothing itself and does
// no I/O.
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
	seed     uint64
	bounds   limits.Bounds

	mu             sync.Mutex         // guards everything below
	backend        *admission.Backend // the decision module; nil until Open
	inFlight       map[string]*Request
	actions        []admission.Action // of the latest decision; reused
	nextTick       monotime.Micros    // as the module has set it
	timerToken     int64              // of the module's timer
	healthy        bool               // as the module wants health checks answered
	idleTimeout    monotime.Micros    // of connections; the configured one or more leaves it to the callers
	draining       bool
	stopAt         monotime.Micros // the process is stopped then; set by Drain
	graceEnd       monotime.Micros // later arrivals do not run; 0 unless draining
	moduleGraceEnd monotime.Micros // the end of the grace as the module knows it
	gauges         []float64
	gaugesAt       monotime.Micros
	lastTick       monotime.Micros // or Open
	tickDone       chan struct{}   // closed at the next tick; nil while nobody waits for it
	counts         Counts
	startedCold    bool            // the executor was warming up at Open
	openedAt       monotime.Micros // as the module knows it

	results          *idempotency.Table // nil if no operation is keyed
	readyRepeats     []string           // ids of repeats whose original has ended
	answeringRepeats bool               // guards answerRepeats against re-entry

	degradation *degradationState // nil without a policy
	quotas      *quotaState       // nil without fleet-wide budgets
	shadow      *shadowState      // nil without a shadow configuration
}

// Counts are totals since the start.
type Counts struct {
	Arrived   int // requests passed to the module
	Expired   int // of them, those whose caller had stopped waiting before
	Started   int
	Throttled int
	Errored   int
	Abandoned int // by callers that left
	Replayed  int // answered with the result of an earlier run
	CacheFull int // throttled because no more results could be cached
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

// Open starts to admit requests: the executor is there and started that long ago, warming up (cold) or warm. Later calls
// change nothing. Only the time since a cold start matters, as the warm-up has lasted for so long. An executor that has
// been warm for an hour must not make the module believe that no caller came for an hour.
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
	if d.draining { // the executor came up after the notice
		d.notifyModule(Now())
	}
}

// moduleConfig adapts settings for the module.
func (d *Dispatcher) moduleConfig(settings *config.Settings) admission.Config {
	cfg := settings.Admission
	cfg.JustStarted = d.startedCold
	// Results are cached in this process, in a table that is bounded; the setting is about the executor's memory.
	cfg.IdempotencyKeyKB = 0
	// The notice may arrive late, and the grace must not end later for that.
	cfg.DrainGrace = max(0, cfg.DrainGrace-monotime.FromDuration(d.bounds.NoticeDelay))
	return cfg
}

// Counts returns the totals since the start, and how many requests are in flight.
func (d *Dispatcher) Counts() (Counts, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts, len(d.inFlight)
}

// Healthy reports how health checks are to be answered.
func (d *Dispatcher) Healthy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backend != nil && d.healthy && !d.draining
}

// IdleTimeout is how long a connection may be idle before the server closes it; 0 leaves that to the callers.
func (d *Dispatcher) IdleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleTimeout >= d.settings.Admission.IdleTimeout {
		return 0
	}
	return time.Duration(d.idleTimeout) * time.Microsecond
}
