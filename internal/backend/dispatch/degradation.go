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

// degradationState is the part of a Dispatcher that exists with a degradation policy. Dispatcher.mu guards it.
type degradationState struct {
	policy        *degradation.Policy
	controller    *degradation.Controller
	shedder       *degradation.Shedder
	meter         *degradation.SignalMeter
	recentChanges []degradation.Change // oldest first
	shedCount     int                  // requests shed since the start
	signalsAt     monotime.Micros      // when signals was measured, on degradationNow's clock; 0: not yet
	signals       degradation.Signals  // the latest
}

// maxRecentChanges bounds the changes of the level that the status lists.
const maxRecentChanges = 16

// minShedAdvice is the Retry-After of a request that a level sheds. A caller applies it to the backend as a whole, so a
// longer one would also keep away requests that are not shed.
const minShedAdvice monotime.Micros = 1

// degradationNow returns the time of the degradation controller, which adjustments of the wall clock do not change.
func degradationNow() monotime.Micros { return process.Now() }

// SetDegradationPolicy puts a policy in force, or replaces the present one and leaves its level in force. It returns a
// *degradation.UnknownNameError if the policy names an operation or a tenant that the deployment does not have.
func (d *Dispatcher) SetDegradationPolicy(policy *degradation.Policy) error {
	shedder, err := degradation.NewShedder(policy, d.settings.Operations, d.settings.Tenants, d.seed)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	state := &degradationState{policy: policy, shedder: shedder}
	if old := d.degradation; old != nil {
		state.controller = old.controller.WithPolicy(policy)
		state.meter = old.meter
		state.recentChanges = old.recentChanges
		state.shedCount = old.shedCount
	} else {
		state.controller = degradation.NewController(policy)
		state.meter = degradation.NewSignalMeter(d.settings.Admission.Cores)
	}
	d.degradation = state
	return nil
}

// shedAdvice returns the minimum Retry-After of a request that the level in force sheds, or 0 if it does not shed it.
func (d *Dispatcher) shedAdvice(inv *Invocation, req *Request) monotime.Micros {
	state := d.degradation
	if state == nil {
		return 0
	}
	now := degradationNow()
	level := state.controller.Level()
	depth := state.controller.Depth(now)
	if req.original == "" &&
		state.shedder.ShouldShed(level, depth, inv.Operation, inv.Tenant, inv.Rank, inv.ExpectedWork) {
		state.shedCount++
		return minShedAdvice
	}
	state.meter.Count(now, degradation.Arrivals)
	if inv.Retry {
		state.meter.Count(now, degradation.RetriedArrivals)
	}
	return 0
}

// countSuccess counts a successful answer, and counts it as late if it missed the latency objective.
func (d *Dispatcher) countSuccess(req *Request) {
	d.degradation.count(degradation.Successes)
	if Now() > req.objectiveAt {
		d.degradation.count(degradation.LateSuccesses)
	}
}

// count counts an event of a request that is not shed. A nil state counts nothing.
func (state *degradationState) count(counter degradation.Counter) {
	if state != nil {
		state.meter.Count(degradationNow(), counter)
	}
}

// updateLevel measures the signals and lets the controller update the level.
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
	if demand >= 0 { // queued requests demand a core too, and the executor knows only of runs
		demand += float64(d.queued())
	}
	state.signals = state.meter.Signals(now, demand, reading.CoreUse, reading.MemoryShare, len(d.gauges) > 0)
	state.signalsAt = now
	if change, changed := state.controller.Update(now, state.signals); changed {
		state.recordChange(change)
	}
}

// queued returns the number of requests that wait to be started.
func (d *Dispatcher) queued() (n int) {
	for _, req := range d.inFlight {
		if !req.running && !req.answered {
			n++
		}
	}
	return n
}

// recordChange logs a change of the level and adds it to the recent ones.
func (state *degradationState) recordChange(change degradation.Change) {
	state.recentChanges = append(state.recentChanges, change)
	if len(state.recentChanges) > maxRecentChanges {
		state.recentChanges = state.recentChanges[1:]
	}
	slog.Warn("degradation_level",
		"from", state.policy.LevelName(change.From),
		"to", state.policy.LevelName(change.To),
		"collapse", change.Collapse,
		"cause", change.Cause,
		"signals", change.Signals.String())
}

// DegradationStatus is the state of graceful degradation.
type DegradationStatus struct {
	Policy  string              // name of the policy
	Level   string              // name of the level in force
	Number  int                 // number of the level in force; 0: full service
	Depth   float64             // part of the level's load that is shed, 0 to 1
	Shed    int                 // requests shed since the start
	Changes []string            // the latest changes of the level, oldest first
	At      monotime.Micros     // when Signals was measured, on the clock of process.Now
	Signals degradation.Signals // unsmoothed
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
		Policy:  state.policy.Name,
		Level:   state.policy.LevelName(level),
		Number:  level,
		Depth:   state.controller.Depth(degradationNow()),
		Shed:    state.shedCount,
		At:      state.signalsAt,
		Signals: state.signals,
	}
	for _, change := range state.recentChanges {
		status.Changes = append(status.Changes, fmt.Sprintf("%d: %v", change.At, change))
	}
	return status, true
}

// OverrideLevel puts the level of that name in force for duration, on behalf of the operator by; see
// degradation.Controller.Override. An error is ErrNoPolicy or a *degradation.OverrideError.
func (d *Dispatcher) OverrideLevel(name string, duration time.Duration, by string, allowAbove bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	state := d.degradation
	if state == nil {
		return ErrNoPolicy
	}
	for level := range len(state.policy.Levels) + 1 {
		if state.policy.LevelName(level) == name {
			now := degradationNow()
			return state.controller.Override(now, level, now+monotime.FromDuration(duration), by, allowAbove)
		}
	}
	return &degradation.OverrideError{
		Field:   "level",
		Problem: fmt.Sprintf("degradation policy %s has no level %q", state.policy.Name, name),
	}
}

// ClearOverride ends an override, so that the signals determine the level again.
func (d *Dispatcher) ClearOverride() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.degradation != nil {
		d.degradation.controller.ClearOverride()
	}
}
