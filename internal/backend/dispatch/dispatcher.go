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
func Now() Micros { return base + Micros(time.Since(began).Microseconds()) }

// began carries the machine's own clock: setting the wall clock an hour back must not hold the ticks for an hour, nor an
// hour ahead make all that is in hand due.
var (
	began = time.Now()
	base  = Micros(began.UnixMicro())
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

var outcomes = [...]admission.Outcome{
	RunSucceeded: admission.OK, RunErrored: admission.Errored, RunCancelled: admission.Canceled, NeverRan: admission.NeverRan,
	Unrunnable: admission.Unrunnable,
}

// Request stands for an invocation that Pick lets run.
type Request struct {
	id       string
	due      Micros
	want     Micros          // past it an answer is late
	words    chan Response   // at most Run and one final word
	shed     Micros          // a level sheds it
	drew     int             // the budget that a unit was drawn of for it, or -1
	key      idempotency.Key // by which its repeats are known; without a token there are none
	earlier  string          // the one that it repeats
	running  bool
	answered bool // the final word is out, or none is owed
}

// FinalResponse brings the final word, if it comes before the run ends.
func (t *Request) FinalResponse() <-chan Response { return t.words }

// Dispatcher serves one backend. Its methods may be called from any goroutine.
type Dispatcher struct {
	sheet  *config.Settings
	seed   uint64
	bounds limits.Bounds

	mu      sync.Mutex
	backend *admission.Backend // nil until Open
	hand    map[string]*Request
	acts    []admission.Action
	wake    Micros
	token   int64
	good    bool   // as health checks are to be answered
	idle    Micros // connections may be idle for so long; 0: as long as the callers like
	drained bool   // the notice has come
	stops   Micros // and the process is stopped then
	closes  Micros // what arrives later does not run; 0: no notice has come
	module  Micros // the end of the grace as the module has it
	gauges  []float64
	asOf    Micros
	ticked  Micros        // the last tick, or the opening
	tick    chan struct{} // closed at the next tick; nil while nobody waits for it
	counts  Counts
	reduced *reduction         // nil without a ladder
	shares  *shares            // nil without fleet-wide budgets
	watched *watched           // nil without settings to be watched
	kept    *idempotency.Table // nil where no operation is tokened
	ripe    []string           // repeats of what has ended, to be answered
	ripens  bool               // somebody does so
	cold    bool               // the farm was, at the opening
	opened  Micros             // as the module has it
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
func (g *Dispatcher) Counts() (Counts, int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts, len(g.hand)
}

// New makes a gate that throttles everything until Open.
func New(sheet *config.Settings, seed uint64, bounds limits.Bounds) *Dispatcher {
	g := &Dispatcher{sheet: sheet, seed: seed, bounds: bounds, hand: map[string]*Request{}}
	for _, op := range sheet.Admission.Operations {
		if op.RetrySafety == admission.IdempotencyKeyed && g.kept == nil {
			g.kept = idempotency.New(bounds.Kept, bounds.Result)
		}
	}
	return g
}

// Open starts deciding: the farm is there and came up so long ago, cold or warm. Later calls change nothing.
// Only a cold farm's past matters: its warming has gone on for so long. One that has been warm for an hour
// must not make the module believe that it has seen no caller for an hour.
func (g *Dispatcher) Open(cold bool, ago Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.backend != nil {
		return
	}
	g.cold = cold
	t := g.terms(g.sheet)
	g.backend = admission.New(t, g.seed)
	g.ticked = Now()
	if !cold {
		ago = 0
	} else if g.reduced != nil {
		g.reduced.meter.SetWarmingUntil(degradation.Micros(process.Now()) + degradation.Micros(max(0, t.WarmUp-ago)))
	}
	g.opened = Now() - min(ago, t.WarmUp)
	g.openWatch()
	g.decide(g.opened, admission.Opened{})
	if g.drained { // the farm came up during the drain
		g.notice(Now())
	}
}

// terms are settings as the module is told them: as cold as the farm was, and with a grace that is shorter, as a
// notice may be heard late.
func (g *Dispatcher) terms(sheet *config.Settings) admission.Config {
	t := sheet.Admission
	t.JustStarted = g.cold
	t.IdempotencyKeyKB = 0 // what is remembered lies in this process's memory, where its table is bounded; the settings' is the farm's
	t.DrainGrace = max(0, t.DrainGrace-Micros(g.bounds.NoticeLate.Microseconds()))
	return t
}

// Admit takes an invocation in and blocks until it is to run, or is throttled or errored, or its caller has
// left. The ticket is nil unless the verdict is Run; then Report must follow once the run has ended.
func (g *Dispatcher) Admit(inv Invocation) (Response, *Request) {
	g.catchUp()
	t := g.enter(inv)
	var word Response
	select {
	case word = <-t.words:
	case <-inv.CallerLeft:
		g.Abandon(t)
		word = <-t.words
	}
	if word.Verdict != Admitted {
		return word, nil
	}
	return word, t
}

// catchUp waits a little for the next tick if the last is long past. It guards against what a process finds
// that was held up: a crowd of arrivals, to be decided by gauges from before, while the ends of runs and the
// gauges of now stand unread on the link. The next sample follows those ends.
func (g *Dispatcher) catchUp() {
	g.mu.Lock()
	if g.backend == nil || Now()-g.ticked <= Micros(g.bounds.HeldUp.Microseconds()) {
		g.mu.Unlock()
		return
	}
	if g.tick == nil {
		g.tick = make(chan struct{})
	}
	tick := g.tick
	g.mu.Unlock()
	late := time.NewTimer(2 * g.bounds.SampleWait)
	defer late.Stop()
	select {
	case <-tick:
	case <-late.C:
	}
}

func (g *Dispatcher) enter(inv Invocation) *Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := Now()
	t := &Request{id: inv.ID, drew: -1, due: inv.ArrivedAt + inv.CallerTimeout, words: make(chan Response, 2)}
	if inv.Operation < len(g.sheet.Admission.Operations) {
		t.want = inv.ArrivedAt + g.sheet.Admission.Operations[inv.Operation].Objective
	}
	never := func(w Response) *Request { // it is in nobody's hand: its caller's leaving must not end another of its id
		t.answered = true
		t.words <- w
		return t
	}
	tokened := g.name(inv, t)
	away := Response{Verdict: Throttled, RetryAfter: g.sheet.Admission.MaxRetryAfter}
	if t.earlier != "" { // that has run, or may yet: others must not be invited to run it too
		away = Response{Verdict: Errored}
	}
	switch {
	case g.hand[inv.ID] != nil || g.kept != nil && g.kept.Contains(inv.ID):
		// Ids are new with every try; this one is not, and must not end the other, nor have it forgotten.
		return never(Response{Verdict: Errored})
	case g.backend == nil:
		return never(Response{Verdict: Throttled})
	case g.closes != 0 && g.closes <= min(now, inv.ArrivedAt) && min(now, inv.ArrivedAt) <= g.module: // see Drain
		return never(away)
	case tokened && (inv.IdempotencyKey == "" || now-inv.ArrivedAt > g.readLate()): // what it repeats cannot be known, or may be forgotten
		return never(Response{Verdict: Errored})
	case tokened && t.earlier == "" && !g.kept.HasCapacity(): // its repeats would run again
		g.counts.CacheFull++
		return never(away)
	}
	g.hand[inv.ID] = t
	g.counts.Arrived++
	if t.due <= now {
		g.counts.Expired++
	}
	t.shed = g.shedFor(&inv, t)
	fault := g.decide(now, admission.Arrived{
		ID: inv.ID, Operation: inv.Operation, Tenant: inv.Tenant, Priority: inv.Rank, Retry: inv.Retry,
		ExpectedWork: inv.ExpectedWork, QueueTime: max(0, now-inv.ArrivedAt),
		TimeLeft: max(1, t.due-now), // a wait that is used up is due at once; 0 would mean that none was told
		MemoryKB: inv.MemoryKB, RepeatOf: t.earlier, ShedFor: t.shed, Quota: g.draw(&inv, t),
	})
	if fault != nil {
		g.answer(t, Response{Verdict: Errored})
	}
	return t
}

// Abandon tells that the caller left; its run goes on.
func (g *Dispatcher) Abandon(t *Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !t.answered {
		g.answer(t, Response{Verdict: Abandoned})
		g.decide(Now(), admission.CallerGone{ID: t.id})
	}
}

// Complete tells how a run ended and what it brought. It returns whether the answer is still owed: if not, it was the
// final response's or nobody waits for one. The result may be kept.
func (g *Dispatcher) Complete(t *Request, end Outcome, result []byte) (owed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if owed = !t.answered; owed && end == RunSucceeded {
		g.reduced.count(degradation.Successes)
		if Now() > t.want {
			g.reduced.count(degradation.LateSuccesses)
		}
	}
	t.answered = true
	if end == NeverRan || end == Unrunnable {
		g.giveBack(t)
	}
	delete(g.hand, t.id)
	g.ended(t, end, result)
	g.decide(Now(), admission.Finished{ID: t.id, Outcome: outcomes[end]})
	return owed
}

// Tick brings the gauges, or nil if they are not known, and names the time of the next tick.
func (g *Dispatcher) Tick(gauges []float64) Micros {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := Now()
	if g.backend == nil {
		return now + g.sheet.Admission.AnswerSlack/3
	}
	g.ticked = now
	if g.kept != nil {
		g.kept.EvictExpired(now, g.readLate(), Micros(g.bounds.Sweep.Microseconds()))
	}
	if g.tick != nil {
		defer close(g.tick)
		g.tick = nil
	}
	g.counts.Ticks++
	if gauges == nil {
		g.counts.Unsampled++
	}
	if gauges != nil {
		g.gauges, g.asOf = append(g.gauges[:0], gauges...), now
	} else if now-g.asOf > Micros(g.bounds.SampleOld.Microseconds()) {
		g.gauges = g.gauges[:0]
	}
	r := g.sheet.Reading(g.gauges)
	r.Token = g.token
	g.step(r)
	g.wake = 0
	g.decide(now, r)
	g.overdue(now)
	if g.wake <= now {
		g.wake = now + g.sheet.Admission.AnswerSlack/3
	}
	return g.wake
}

// overdue guards the one answer against a fault of our own: what is still in hand well after it was due has
// been lost sight of.
func (g *Dispatcher) overdue(now Micros) {
	for _, t := range g.hand {
		if !t.answered && now > t.due+g.sheet.Admission.AnswerSlack*2/3 {
			slog.Error("overdue", "id", t.id, "late_us", now-t.due, "running", t.running)
			g.answer(t, Response{Verdict: Errored})
			g.decide(now, admission.CallerGone{ID: t.id})
		}
	}
}

// Drain gives notice: the process is stopped after left, and what arrives after grace does not run. The module
// counts the deployment's grace from the notice on. Where the notice came late, or a second one brings the end
// forward, the gate itself throttles what arrives after it; else the module has ended its grace before. Both go by
// when an invocation reached the machine, not by when it was read: one that is read late would else fall between.
func (g *Dispatcher) Drain(left, grace Micros) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.drained = true
	now := Now()
	if end := max(1, now+grace); g.closes == 0 || end < g.closes {
		g.closes = end
	}
	g.stops = now + left
	if g.backend != nil {
		g.notice(now)
	}
}

// notice tells the module, which counts its grace from now on.
func (g *Dispatcher) notice(now Micros) {
	g.module = now + g.terms(g.sheet).DrainGrace
	g.decide(now, admission.DrainNotice{Left: g.stops - now})
}

// Healthy tells how health checks are to be answered.
func (g *Dispatcher) Healthy() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend != nil && g.good && !g.drained
}

// IdleTimeout is how long connections may carry nothing; 0 leaves it to the callers.
func (g *Dispatcher) IdleTimeout() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.idle >= g.sheet.Admission.IdleTimeout {
		return 0
	}
	return time.Duration(g.idle) * time.Microsecond
}

// answer gives t its final word, once.
func (g *Dispatcher) answer(t *Request, w Response) {
	if t.answered {
		return
	}
	t.answered = true
	t.words <- w
	if !t.running {
		g.giveBack(t)
	}
	if t.earlier != "" {
		g.kept.RemoveWaiter(t.earlier, t.id)
	}
	switch w.Verdict {
	case Throttled:
		g.counts.Throttled++
		if t.shed == 0 {
			g.reduced.count(degradation.Rejections)
		}
	case Errored:
		g.counts.Errored++
	case Abandoned:
		g.counts.Abandoned++
	case Replayed:
		g.counts.Replayed++
		g.reduced.count(degradation.Successes)
		if Now() > t.want {
			g.reduced.count(degradation.LateSuccesses)
		}
	}
	if !t.running {
		delete(g.hand, t.id)
	}
}

// decide hands the module what happened and carries out what it wants. A panic in it is logged and returned;
// whatever was in hand stays there and is answered when it falls due.
func (g *Dispatcher) decide(now Micros, ev admission.Event) (err error) {
	if g.backend == nil {
		return nil
	}
	defer func() {
		if r := recover(); r != nil {
			g.counts.Panics++
			err = fmt.Errorf("%v", r)
			slog.Error("fault", "in", fmt.Sprintf("%T", ev), "text", err, "stack", string(debug.Stack()))
		}
	}()
	g.acts = g.backend.Decide(now, ev, g.acts[:0])
	for _, act := range g.acts {
		g.carryOut(act)
	}
	g.saw(now, ev)
	g.ripen()
	return nil
}

func (g *Dispatcher) carryOut(act admission.Action) {
	switch a := act.(type) {
	case admission.Start:
		if t := g.hand[a.ID]; t != nil && !t.running && !t.answered {
			t.running = true
			g.counts.Started++
			t.words <- Response{Verdict: Admitted}
		}
	case admission.Throttle:
		if t := g.hand[a.ID]; t != nil {
			g.answer(t, Response{Verdict: Throttled, RetryAfter: a.RetryAfter, DontRetry: a.DontRetry})
		}
	case admission.Fail:
		if t := g.hand[a.ID]; t != nil {
			g.answer(t, Response{Verdict: Errored})
		}
	case admission.Remember:
		g.remember(a)
	case admission.Forget:
		g.ripe = append(g.ripe, g.kept.Forget(a.ID)...)
	case admission.Reuse:
		g.reuse(a.ID)
	case admission.SetHealth:
		if g.good != a.Good {
			g.good = a.Good
			slog.Info("health", "good", a.Good)
		}
	case admission.CloseIdle:
		g.idle = a.After
		slog.Info("idle", "after_us", a.After)
	case admission.Wake:
		g.wake, g.token = a.At, a.Token
	case admission.Log:
		slog.Info("module", "text", a.Text)
	default: // nothing here can do it; terms refuses the deployments that would need it
		slog.Error("fault", "in", fmt.Sprintf("%T", act), "text", "no way to carry it out")
	}
}
