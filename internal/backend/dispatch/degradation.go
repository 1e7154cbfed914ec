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

// degradationState is the state of graceful degradation under a policy. Dispatcher.mu guards it.
type degradationState struct {
	policy        *degradation.Policy
	controller    *degradation.Controller
	shedder       *degradation.Shedder
	meter         *degradation.SignalMeter
	recentChanges []degradation.Change // oldest first
	shedCount     int                  // requests shed since the start
	signalsAt     monotime.Micros      // when signals was measured, on degradationNow's clock; 0: never
	signals       degradation.Signals  // the latest measurement
}

// maxRecentChanges is the maximum number of level changes in the status.
const maxRecentChanges = 16

// minShedRetryAfter is the minimum Retry-After of a shed request. A caller applies a Retry-After to the whole backend,
// so a longer one would also hold back requests that the level does not shed.
const minShedRetryAfter monotime.Micros = 1

// degradationNow returns the time of the degradation controller's clock. Adjustments of the wall clock do not affect
// it.
func degradationNow() monotime.Micros { return process.Now() }

// SetDegradationPolicy applies a policy. If it replaces an earlier policy, the level in force, the counts and the
// recent changes are preserved. It returns a *degradation.UnknownNameError if the policy names an operation or a tenant
// that the deployment does not have.
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

// shedRetryAfter returns the minimum Retry-After of a request that the level in force sheds, or 0 if the request is not
// shed. Repeats are never shed.
func (d *Dispatcher) shedRetryAfter(inv *Invocation, req *Request) monotime.Micros {
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
		return minShedRetryAfter
	}
	state.meter.Count(now, degradation.Arrivals)
	if inv.Retry {
		state.meter.Count(now, degradation.RetriedArrivals)
	}
	return 0
}

// countSuccess counts a successful answer, also as a late one if it missed the latency objective.
func (d *Dispatcher) countSuccess(req *Request) {
	d.degradation.count(degradation.Successes)
	if Now() > req.objectiveAt {
		d.degradation.count(degradation.LateSuccesses)
	}
}

// count increments a counter for a request that was not shed. It does nothing on a nil state.
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
	if demand >= 0 { // queued requests also need a core, and the executor reports only tasks that run
		demand += float64(d.queued())
	}
	state.signals = state.meter.Signals(now, demand, reading.CoreUse, reading.MemoryShare, len(d.gauges) > 0)
	state.signalsAt = now
	if change, changed := state.controller.Update(now, state.signals); changed {
		state.recordChange(change)
	}
}

// queued returns the number of requests in flight that have neither started nor been answered.
func (d *Dispatcher) queued() (n int) {
	for _, req := range d.inFlight {
		if !req.running && !req.answered {
			n++
		}
	}
	return n
}

// recordChange logs a level change and adds it to the recent changes.
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
	Policy  string              // name of the policy in force
	Level   string              // name of the level in force
	Number  int                 // number of the level in force; 0: full service
	Depth   float64             // share of the level's load that is shed, 0 to 1
	Shed    int                 // requests shed since the start
	Changes []string            // the latest level changes, oldest first
	At      monotime.Micros     // when Signals was measured, on the clock of process.Now
	Signals degradation.Signals // unsmoothed
}

// DegradationStatus returns the state of graceful degradation. ok is false if no policy is in force.
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

// OverrideLevel forces the level with the given name for a duration. by names the operator; for allowAbove see
// degradation.Controller.Override. The error is ErrNoPolicy or a *degradation.OverrideError.
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

// ClearOverride ends an override: the signals determine the level again.
func (d *Dispatcher) ClearOverride() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.degradation != nil {
		d.degradation.controller.ClearOverride()
	}
}
