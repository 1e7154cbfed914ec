// Package dispatch is the blocking face of the decision module: pick, report, tick. It holds the one lock, the
// one clock and all that is known of the invocations in hand; it decides nothing and does no I/O.
package dispatch

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/backend/idempotency"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// Micros is a point of Unix time, or a span, in whole microseconds.
type Micros = admission.Micros

// Now is the one clock.
func Now() Micros { return clockBase + Micros(time.Since(clockStart).Microseconds()) }

// clockStart carries the machine's own clock: setting the wall clock an hour back must not hold the ticks for an hour, nor an
// hour ahead make all that is in hand due.
var (
	clockStart = time.Now()
	clockBase  = Micros(clockStart.UnixMicro())
)

// FromWallClock is the gate's time of a point that the wall clock has just told of: however that clock stands, the two of now are
// the same moment.
func FromWallClock(at Micros) Micros { return Now() - (Micros(time.Now().UnixMicro()) - at) }

// Invocation is what a front has read of one.
type Invocation struct {
	ID                string
	Operation, Tenant int
	Rank, MemoryKB    float64
	Retry             bool
	ExpectedWork      Micros          // expected; 0 if not told
	ArrivedAt         Micros          // when it reached the machine
	CallerTimeout     Micros          // its caller waits so long from then
	CallerLeft        <-chan struct{} // closed once its caller is known to have gone
	IdempotencyKey    string          // of a tokened operation: by which its repeats are known
}

// Verdict is what becomes of an invocation.
type Verdict int

// The verdicts. Run is the only one that is not final; after Left no answer is owed.
const (
	Admitted Verdict = iota
	Throttled
	Errored
	Abandoned
	Replayed // succeeded as one that it repeats did, without a run of its own
)

// Response is a verdict with what the caller is told.
type Response struct {
	Verdict    Verdict
	RetryAfter Micros // stay away from this backend for so long
	DontRetry  bool   // do not try another either
	Result     []byte // of the run that it repeats
}

// Outcome is how a run ended, or why it no longer matters.
type Outcome int

// The outcomes of a run.
const (
	RunSucceeded Outcome = iota
	RunErrored
	RunCancelled
	NeverRan
	Unrunnable // the farm knows of no such work: no caller's invocation
)

var moduleOutcomes = [...]admission.Outcome{
	RunSucceeded: admission.OK, RunErrored: admission.Errored, RunCancelled: admission.Canceled, NeverRan: admission.NeverRan,
	Unrunnable: admission.Unrunnable,
}

// Request stands for an invocation that Pick lets run.
type Request struct {
	id          string
	deadline    Micros
	objectiveAt Micros          // past it an answer is late
	responses   chan Response   // at most Run and one final word
	shedAdvice  Micros          // a level sheds it
	drawnBudget int             // the budget that a unit was drawn of for it, or -1
	key         idempotency.Key // by which its repeats are known; without a token there are none
	original    string          // the one that it repeats
	running     bool
	answered    bool // the final word is out, or none is owed
}

// FinalResponse brings the final word, if it comes before the run ends.
func (t *Request) FinalResponse() <-chan Response { return t.responses }

// Dispatcher serves one backend. Its methods may be called from any goroutine.
type Dispatcher struct {
	sheet  *config.Settings
	seed   uint64
	bounds limits.Bounds

	mu               sync.Mutex
	backend          *admission.Backend // nil until Open
	inFlight         map[string]*Request
	actions          []admission.Action
	nextTick         Micros
	timerToken       int64
	healthy          bool   // as health checks are to be answered
	idleTimeout      Micros // connections may be idle for so long; 0: as long as the callers like
	draining         bool   // the notice has come
	stopAt           Micros // and the process is stopped then
	graceEnd         Micros // what arrives later does not run; 0: no notice has come
	moduleGraceEnd   Micros // the end of the grace as the module has it
	gauges           []float64
	gaugesAt         Micros
	lastTick         Micros        // the last tick, or the opening
	tickDone         chan struct{} // closed at the next tick; nil while nobody waits for it
	counts           Counts
	degradation      *degradationState  // nil without a ladder
	quotas           *quotaState        // nil without fleet-wide budgets
	shadow           *shadowState       // nil without settings to be watched
	results          *idempotency.Table // nil where no operation is tokened
	readyRepeats     []string           // repeats of what has ended, to be answered
	answeringRepeats bool               // somebody does so
	startedCold      bool               // the farm was, at the opening
	openedAt         Micros             // as the module has it
}

// Counts are what has passed since the start.
type Counts struct {
	Arrived, Expired            int // invocations, and those whose caller had stopped waiting when they were read
	Started, Throttled, Errored int
	Abandoned                   int // callers known to have gone
	Replayed, CacheFull         int // answered with an earlier result, and throttled as no more could be remembered
	Ticks, Unsampled, Panics    int // ticks, those that had no fresh sample, panics of the module
}

// Counts tells what has passed, and how many invocations are held or on the farm.
func (d *Dispatcher) Counts() (Counts, int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts, len(d.inFlight)
}

// New makes a gate that throttles everything until Open.
func New(sheet *config.Settings, seed uint64, bounds limits.Bounds) *Dispatcher {
	d := &Dispatcher{sheet: sheet, seed: seed, bounds: bounds, inFlight: map[string]*Request{}}
	for _, op := range sheet.Admission.Operations {
		if op.RetrySafety == admission.IdempotencyKeyed && d.results == nil {
			d.results = idempotency.New(bounds.Kept, bounds.Result)
		}
	}
	return d
}

// Open starts deciding: the farm is there and came up so long ago, cold or warm. Later calls change nothing.
// Only a cold farm's past matters: its warming has gone on for so long. One that has been warm for an hour
// must not make the module believe that it has seen no caller for an hour.
func (d *Dispatcher) Open(cold bool, ago Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.backend != nil {
		return
	}
	d.startedCold = cold
	t := d.moduleTerms(d.sheet)
	d.backend = admission.New(t, d.seed)
	d.lastTick = Now()
	if !cold {
		ago = 0
	} else if d.degradation != nil {
		d.degradation.meter.SetWarmingUntil(degradation.Micros(process.Now()) + degradation.Micros(max(0, t.WarmUp-ago)))
	}
	d.openedAt = Now() - min(ago, t.WarmUp)
	d.startShadow()
	d.decide(d.openedAt, admission.Opened{})
	if d.draining { // the farm came up during the drain
		d.notifyModule(Now())
	}
}

// moduleTerms are settings as the module is told them: as cold as the farm was, and with a grace that is shorter, as a
// notice may be heard late.
func (d *Dispatcher) moduleTerms(sheet *config.Settings) admission.Config {
	t := sheet.Admission
	t.JustStarted = d.startedCold
	t.IdempotencyKeyKB = 0 // what is remembered lies in this process's memory, where its table is bounded; the settings' is the farm's
	t.DrainGrace = max(0, t.DrainGrace-Micros(d.bounds.NoticeLate.Microseconds()))
	return t
}

// Admit takes an invocation in and blocks until it is to run, or is throttled or errored, or its caller has
// left. The ticket is nil unless the verdict is Run; then Report must follow once the run has ended.
func (d *Dispatcher) Admit(inv Invocation) (Response, *Request) {
	d.awaitFreshTick()
	t := d.register(inv)
	var word Response
	select {
	case word = <-t.responses:
	case <-inv.CallerLeft:
		d.Abandon(t)
		word = <-t.responses
	}
	if word.Verdict != Admitted {
		return word, nil
	}
	return word, t
}

// awaitFreshTick waits a little for the next tick if the last is long past. It guards against what a process finds
// that was held up: a crowd of arrivals, to be decided by gauges from before, while the ends of runs and the
// gauges of now stand unread on the link. The next sample follows those ends.
func (d *Dispatcher) awaitFreshTick() {
	d.mu.Lock()
	if d.backend == nil || Now()-d.lastTick <= Micros(d.bounds.HeldUp.Microseconds()) {
		d.mu.Unlock()
		return
	}
	if d.tickDone == nil {
		d.tickDone = make(chan struct{})
	}
	tick := d.tickDone
	d.mu.Unlock()
	late := time.NewTimer(2 * d.bounds.SampleWait)
	defer late.Stop()
	select {
	case <-tick:
	case <-late.C:
	}
}

func (d *Dispatcher) register(inv Invocation) *Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	t := &Request{id: inv.ID, drawnBudget: -1, deadline: inv.ArrivedAt + inv.CallerTimeout, responses: make(chan Response, 2)}
	if inv.Operation < len(d.sheet.Admission.Operations) {
		t.objectiveAt = inv.ArrivedAt + d.sheet.Admission.Operations[inv.Operation].Objective
	}
	never := func(w Response) *Request { // it is in nobody's hand: its caller's leaving must not end another of its id
		t.answered = true
		t.responses <- w
		return t
	}
	tokened := d.identify(inv, t)
	away := Response{Verdict: Throttled, RetryAfter: d.sheet.Admission.MaxRetryAfter}
	if t.original != "" { // that has run, or may yet: others must not be invited to run it too
		away = Response{Verdict: Errored}
	}
	switch {
	case d.inFlight[inv.ID] != nil || d.results != nil && d.results.Contains(inv.ID):
		// Ids are new with every try; this one is not, and must not end the other, nor have it forgotten.
		return never(Response{Verdict: Errored})
	case d.backend == nil:
		return never(Response{Verdict: Throttled})
	case d.graceEnd != 0 && d.graceEnd <= min(now, inv.ArrivedAt) && min(now, inv.ArrivedAt) <= d.moduleGraceEnd: // see Drain
		return never(away)
	case tokened && (inv.IdempotencyKey == "" || now-inv.ArrivedAt > d.maxReadDelay()): // what it repeats cannot be known, or may be forgotten
		return never(Response{Verdict: Errored})
	case tokened && t.original == "" && !d.results.HasCapacity(): // its repeats would run again
		d.counts.CacheFull++
		return never(away)
	}
	d.inFlight[inv.ID] = t
	d.counts.Arrived++
	if t.deadline <= now {
		d.counts.Expired++
	}
	t.shedAdvice = d.shedAdvice(&inv, t)
	fault := d.decide(now, admission.Arrived{
		ID: inv.ID, Operation: inv.Operation, Tenant: inv.Tenant, Priority: inv.Rank, Retry: inv.Retry,
		ExpectedWork: inv.ExpectedWork, QueueTime: max(0, now-inv.ArrivedAt),
		TimeLeft: max(1, t.deadline-now), // a wait that is used up is due at once; 0 would mean that none was told
		MemoryKB: inv.MemoryKB, RepeatOf: t.original, ShedFor: t.shedAdvice, Quota: d.acquireUnit(&inv, t),
	})
	if fault != nil {
		d.respond(t, Response{Verdict: Errored})
	}
	return t
}

// Abandon tells that the caller left; its run goes on.
func (d *Dispatcher) Abandon(t *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !t.answered {
		d.respond(t, Response{Verdict: Abandoned})
		d.decide(Now(), admission.CallerGone{ID: t.id})
	}
}

// Complete tells how a run ended and what it brought. It returns whether the answer is still owed: if not, it was the
// final response's or nobody waits for one. The result may be kept.
func (d *Dispatcher) Complete(t *Request, end Outcome, result []byte) (owed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if owed = !t.answered; owed && end == RunSucceeded {
		d.degradation.count(degradation.Successes)
		if Now() > t.objectiveAt {
			d.degradation.count(degradation.LateSuccesses)
		}
	}
	t.answered = true
	if end == NeverRan || end == Unrunnable {
		d.refundUnit(t)
	}
	delete(d.inFlight, t.id)
	d.recordResult(t, end, result)
	d.decide(Now(), admission.Finished{ID: t.id, Outcome: moduleOutcomes[end]})
	return owed
}

// Tick brings the gauges, or nil if they are not known, and names the time of the next tick.
func (d *Dispatcher) Tick(gauges []float64) Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	if d.backend == nil {
		return now + d.sheet.Admission.AnswerSlack/3
	}
	d.lastTick = now
	if d.results != nil {
		d.results.EvictExpired(now, d.maxReadDelay(), Micros(d.bounds.Sweep.Microseconds()))
	}
	if d.tickDone != nil {
		defer close(d.tickDone)
		d.tickDone = nil
	}
	d.counts.Ticks++
	if gauges == nil {
		d.counts.Unsampled++
	}
	if gauges != nil {
		d.gauges, d.gaugesAt = append(d.gauges[:0], gauges...), now
	} else if now-d.gaugesAt > Micros(d.bounds.SampleOld.Microseconds()) {
		d.gauges = d.gauges[:0]
	}
	r := d.sheet.Reading(d.gauges)
	r.Token = d.timerToken
	d.updateLevel(r)
	d.nextTick = 0
	d.decide(now, r)
	d.answerOverdue(now)
	if d.nextTick <= now {
		d.nextTick = now + d.sheet.Admission.AnswerSlack/3
	}
	return d.nextTick
}

// answerOverdue guards the one answer against a fault of our own: what is still in hand well after it was due has
// been lost sight of.
func (d *Dispatcher) answerOverdue(now Micros) {
	for _, t := range d.inFlight {
		if !t.answered && now > t.deadline+d.sheet.Admission.AnswerSlack*2/3 {
			slog.Error("overdue", "id", t.id, "late_us", now-t.deadline, "running", t.running)
			d.respond(t, Response{Verdict: Errored})
			d.decide(now, admission.CallerGone{ID: t.id})
		}
	}
}

// Drain gives notice: the process is stopped after left, and what arrives after grace does not run. The module
// counts the deployment's grace from the notice on. Where the notice came late, or a second one brings the end
// forward, the gate itself throttles what arrives after it; else the module has ended its grace before. Both go by
// when an invocation reached the machine, not by when it was read: one that is read late would else fall between.
func (d *Dispatcher) Drain(left, grace Micros) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	now := Now()
	if end := max(1, now+grace); d.graceEnd == 0 || end < d.graceEnd {
		d.graceEnd = end
	}
	d.stopAt = now + left
	if d.backend != nil {
		d.notifyModule(now)
	}
}

// notifyModule tells the module, which counts its grace from now on.
func (d *Dispatcher) notifyModule(now Micros) {
	d.moduleGraceEnd = now + d.moduleTerms(d.sheet).DrainGrace
	d.decide(now, admission.DrainNotice{Left: d.stopAt - now})
}

// Healthy tells how health checks are to be answered.
func (d *Dispatcher) Healthy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.backend != nil && d.healthy && !d.draining
}

// IdleTimeout is how long connections may carry nothing; 0 leaves it to the callers.
func (d *Dispatcher) IdleTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleTimeout >= d.sheet.Admission.IdleTimeout {
		return 0
	}
	return time.Duration(d.idleTimeout) * time.Microsecond
}

// respond gives t its final word, once.
func (d *Dispatcher) respond(t *Request, w Response) {
	if t.answered {
		return
	}
	t.answered = true
	t.responses <- w
	if !t.running {
		d.refundUnit(t)
	}
	if t.original != "" {
		d.results.RemoveWaiter(t.original, t.id)
	}
	switch w.Verdict {
	case Throttled:
		d.counts.Throttled++
		if t.shedAdvice == 0 {
			d.degradation.count(degradation.Rejections)
		}
	case Errored:
		d.counts.Errored++
	case Abandoned:
		d.counts.Abandoned++
	case Replayed:
		d.counts.Replayed++
		d.degradation.count(degradation.Successes)
		if Now() > t.objectiveAt {
			d.degradation.count(degradation.LateSuccesses)
		}
	}
	if !t.running {
		delete(d.inFlight, t.id)
	}
}

// decide hands the module what happened and carries out what it wants. A panic in it is logged and returned;
// whatever was in hand stays there and is answered when it falls due.
func (d *Dispatcher) decide(now Micros, ev admission.Event) (err error) {
	if d.backend == nil {
		return nil
	}
	defer func() {
		if r := recover(); r != nil {
			d.counts.Panics++
			err = fmt.Errorf("%v", r)
			slog.Error("fault", "in", fmt.Sprintf("%T", ev), "text", err, "stack", string(debug.Stack()))
		}
	}()
	d.actions = d.backend.Decide(now, ev, d.actions[:0])
	for _, act := range d.actions {
		d.perform(act)
	}
	d.observeShadow(now, ev)
	d.answerRepeats()
	return nil
}

func (d *Dispatcher) perform(act admission.Action) {
	switch a := act.(type) {
	case admission.Start:
		if t := d.inFlight[a.ID]; t != nil && !t.running && !t.answered {
			t.running = true
			d.counts.Started++
			t.responses <- Response{Verdict: Admitted}
		}
	case admission.Throttle:
		if t := d.inFlight[a.ID]; t != nil {
			d.respond(t, Response{Verdict: Throttled, RetryAfter: a.RetryAfter, DontRetry: a.DontRetry})
		}
	case admission.Fail:
		if t := d.inFlight[a.ID]; t != nil {
			d.respond(t, Response{Verdict: Errored})
		}
	case admission.Remember:
		d.remember(a)
	case admission.Forget:
		d.readyRepeats = append(d.readyRepeats, d.results.Forget(a.ID)...)
	case admission.Reuse:
		d.awaitOriginal(a.ID)
	case admission.SetHealth:
		if d.healthy != a.Good {
			d.healthy = a.Good
			slog.Info("health", "good", a.Good)
		}
	case admission.CloseIdle:
		d.idleTimeout = a.After
		slog.Info("idle", "after_us", a.After)
	case admission.Wake:
		d.nextTick, d.timerToken = a.At, a.Token
	case admission.Log:
		slog.Info("module", "text", a.Text)
	default: // nothing here can do it; terms refuses the deployments that would need it
		slog.Error("fault", "in", fmt.Sprintf("%T", act), "text", "no way to carry it out")
	}
}
