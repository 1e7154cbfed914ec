package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/process"
	"milletbarrow/monotime"
)

// degradationState is what a degradation policy adds to a dispatcher, guarded by its lock.
type degradationState struct {
	policy        *degradation.Policy
	controller    *degradation.Controller
	shedder       *degradation.Shedder
	meter         *degradation.SignalMeter
	recentChanges []degradation.Change // oldest first
	shedCount     int                  // requests, since the start
	signalsAt     monotime.Micros
	signals       degradation.Signals // the latest
}

// maxRecentChanges is how many changes of the level the status has at most.
const maxRecentChanges = 16

// minShedAdvice is the Retry-After of a request that a level sheds. Advice is about this backend, not about the operation:
// a longer one would keep away requests that are not shed.
const minShedAdvice monotime.Micros = 1

// degradationNow is the clock of the degradation controller. Setting the wall clock must not change a level.
func degradationNow() monotime.Micros { return process.Now() }

// SetDegradationPolicy puts a policy in force, or replaces the present one; the level in force goes on. A name that
// this deployment does not have is a *degradation.UnknownNameError.
func (d *Dispatcher) SetDegradationPolicy(policy *degradation.Policy) error {
	shedder, err := degradation.NewShedder(policy, d.settings.Operations, d.settings.Tenants, d.seed)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	state := &degradationState{policy: policy, shedder: shedder}
	if old := d.degradation; old != nil {
		state.controller, state.meter = old.controller.WithPolicy(policy), old.meter
		state.recentChanges, state.shedCount = old.recentChanges, old.shedCount
	} else {
		state.controller = degradation.NewController(policy)
		state.meter = degradation.NewSignalMeter(d.settings.Admission.Cores)
	}
	d.degradation = state
	return nil
}

// shedAdvice returns the least Retry-After of a request that the level in force sheds, or 0 if it does not shed it.
func (d *Dispatcher) shedAdvice(inv *Invocation, req *Request) monotime.Micros {
	state := d.degradation
	if state == nil {
		return 0
	}
	now := degradationNow()
	level, depth := state.controller.Level(), state.controller.Depth(now)
	if req.original != "" || !state.shedder.ShouldShed(level, depth, inv.Operation, inv.Tenant, inv.Rank, inv.ExpectedWork) {
		state.meter.Count(now, degradation.Arrivals)
		if inv.Retry {
			state.meter.Count(now, degradation.RetriedArrivals)
		}
		return 0
	}
	state.shedCount++
	return minShedAdvice
}

// countSuccess counts a successful answer, and whether it missed the latency objective.
func (d *Dispatcher) countSuccess(req *Request) {
	d.degradation.count(degradation.Successes)
	if Now() > req.objectiveAt {
		d.degradation.count(degradation.LateSuccesses)
	}
}

// count counts an event of a request that no level sheds; nil counts nothing.
func (state *degradationState) count(counter degradation.Counter) {
	if state != nil {
		state.meter.Count(degradationNow(), counter)
	}
}

// updateLevel measures the signals and has the controller change the level.
func (d *Dispatcher) updateLevel(reading admission.Reading) {
	state := d.degradation
	if state == nil {
		return
	}
	now := degradationNow()
	if d.draining {
		state.meter.SetDraining()
	}
	demand := reading.OnCores
	if demand >= 0 { // the executor knows of the runs alone; queued requests want a core too
		demand += float64(d.queued())
	}
	state.signals = state.meter.Signals(now, demand, reading.CoreUse, reading.MemoryShare, len(d.gauges) > 0)
	state.signalsAt = now
	if change, changed := state.controller.Update(now, state.signals); changed {
		state.recordChange(change)
	}
}

// queued is how many requests wait for a start.
func (d *Dispatcher) queued() (n int) {
	for _, req := range d.inFlight {
		if !req.running && !req.answered {
			n++
		}
	}
	return n
}

func (state *degradationState) recordChange(change degradation.Change) {
	state.recentChanges = append(state.recentChanges, change)
	if len(state.recentChanges) > maxRecentChanges {
		state.recentChanges = state.recentChanges[1:]
	}
	slog.Warn("degradation_level", "from", state.policy.LevelName(change.From), "to", state.policy.LevelName(change.To),
		"collapse", change.Collapse, "cause", change.Cause, "signals", change.Signals.String())
}

// DegradationStatus is the state of graceful degradation.
type DegradationStatus struct {
	Policy  string   // its name
	Level   string   // the name of the level in force
	Number  int      // of the level, 0 for full service
	Depth   float64  // how much of the level's rules is in force, 0 to 1
	Shed    int      // requests, since the start
	Changes []string // the latest, oldest first
	At      monotime.Micros
	Signals degradation.Signals // at that time, unsmoothed
}

// DegradationStatus returns the state of graceful degradation; ok is false without a policy.
func (d *Dispatcher) DegradationStatus() (status DegradationStatus, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.degradation
	if state == nil {
		return status, false
	}
	level := state.controller.Level()
	status = DegradationStatus{
		Policy: state.policy.Name, Level: state.policy.LevelName(level), Number: level,
		Depth: state.controller.Depth(degradationNow()), Shed: state.shedCount, At: state.signalsAt, Signals: state.signals,
	}
	for _, change := range state.recentChanges {
		status.Changes = append(status.Changes, fmt.Sprintf("%d: %v", change.At, change))
	}
	return status, true
}

// OverrideLevel holds the level of that name for a while, on behalf of by; see degradation.Controller.Override. An error
// is ErrNoPolicy or a *degradation.OverrideError.
func (d *Dispatcher) OverrideLevel(name string, span time.Duration, by string, allowAbove bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.degradation
	if state == nil {
		return ErrNoPolicy
	}
	for level := range len(state.policy.Levels) + 1 {
		if state.policy.LevelName(level) == name {
			now := degradationNow()
			return state.controller.Override(now, level, now+monotime.FromDuration(span), by, allowAbove)
		}
	}
	return &degradation.OverrideError{Field: "level", Problem: fmt.Sprintf("%q is none of ladder %s", name, state.policy.Name)}
}

// ClearOverride ends an override: the signals decide again.
func (d *Dispatcher) ClearOverride() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.degradation != nil {
		d.degradation.controller.ClearOverride()
	}
}
