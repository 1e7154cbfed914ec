package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/process"
)

// degradationState is what levels of reduced service add to a gate; nil without a ladder. The gate's lock guards it.
type degradationState struct {
	policy        *degradation.Policy
	controller    *degradation.Controller
	shedder       *degradation.Shedder
	meter         *degradation.SignalMeter
	recentChanges []degradation.Change // the latest, oldest first
	shedCount     int                  // invocations, since the start
	signalsAt     degradation.Micros   // of the latest signals
	signals       degradation.Signals
}

// maxRecentChanges are kept for who inspects.
const maxRecentChanges = 16

// SetDegradationPolicy has the gate follow a ladder from now on. An error names what of it this deployment does not have.
func (d *Dispatcher) SetDegradationPolicy(l *degradation.Policy) error {
	drawer, err := degradation.NewShedder(l, d.sheet.Operations, d.sheet.Tenants, d.seed)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &degradationState{policy: l, controller: degradation.NewController(l), shedder: drawer, meter: degradation.NewSignalMeter(d.sheet.Admission.Cores)}
	if d.degradation != nil { // another ladder: the level in force goes on
		r.controller, r.meter, r.recentChanges, r.shedCount = d.degradation.controller.WithPolicy(l), d.degradation.meter, d.degradation.recentChanges, d.degradation.shedCount
	}
	d.degradation = r
	return nil
}

// shedAdvice is above 0 if a level sheds an invocation that comes now: what advice is to be at the least, as admit has it.
func (d *Dispatcher) shedAdvice(inv *Invocation, t *Request) admission.Micros {
	r := d.degradation
	if r == nil {
		return 0
	}
	now := degradation.Micros(process.Now())
	level := r.controller.Level()
	if t.original != "" || !r.shedder.ShouldShed(level, r.controller.Depth(now), inv.Operation, inv.Tenant, inv.Rank, degradation.Micros(inv.ExpectedWork)) {
		r.meter.Count(now, degradation.Arrivals)
		if inv.Retry {
			r.meter.Count(now, degradation.RetriedArrivals)
		}
		return 0
	}
	r.shedCount++
	return 1 // advice is about this backend, not about the operation: a longer one would keep away what is not shed
}

// count has the meter count something of an invocation that was not shed.
func (r *degradationState) count(c degradation.Counter) {
	if r != nil {
		r.meter.Count(degradation.Micros(process.Now()), c)
	}
}

// updateLevel moves along the ladder with each tick.
func (d *Dispatcher) updateLevel(reading admission.Reading) {
	r := d.degradation
	if r == nil {
		return
	}
	now := degradation.Micros(process.Now()) // setting the wall clock must not move a level
	if d.draining {
		r.meter.SetDraining()
	}
	wanting := reading.OnCores
	if wanting >= 0 { // the farm knows of the runs alone; what is held here wants a core too
		for _, t := range d.inFlight {
			if !t.running && !t.answered {
				wanting++
			}
		}
	}
	s := r.meter.Signals(now, wanting, reading.CoreUse, reading.MemoryShare, len(d.gauges) > 0)
	r.signalsAt, r.signals = now, s
	if c, changed := r.controller.Update(now, s); changed {
		d.recordLevelChange(c)
	}
}

func (d *Dispatcher) recordLevelChange(c degradation.Change) {
	r := d.degradation
	if r.recentChanges = append(r.recentChanges, c); len(r.recentChanges) > maxRecentChanges {
		r.recentChanges = r.recentChanges[1:]
	}
	slog.Warn("level", "from", r.policy.LevelName(c.From), "to", r.policy.LevelName(c.To), "collapse", c.Collapse,
		"cause", c.Cause, "signals", c.Signals.String())
}

// DegradationStatus tells how service is reduced.
type DegradationStatus struct {
	Policy  string
	Level   string
	Number  int
	Depth   float64
	Shed    int
	Changes []string // the latest, oldest first
	At      degradation.Micros
	Signals degradation.Signals // as they were measured
}

// DegradationStatus tells how service is reduced; ok is false without a ladder.
func (d *Dispatcher) DegradationStatus() (status DegradationStatus, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.degradation
	if r == nil {
		return status, false
	}
	n := r.controller.Level()
	status = DegradationStatus{
		Policy: r.policy.Name, Level: r.policy.LevelName(n), Number: n, Depth: r.controller.Depth(degradation.Micros(process.Now())), Shed: r.shedCount, At: r.signalsAt, Signals: r.signals,
	}
	for _, c := range r.recentChanges {
		status.Changes = append(status.Changes, fmt.Sprintf("%d: %v", c.At, c))
	}
	return status, true
}

// OverrideLevel holds a level by its name for a while; see levels.Mover.
func (d *Dispatcher) OverrideLevel(name string, span time.Duration, by string, above bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.degradation
	if r == nil {
		return fmt.Errorf("no ladder is in force")
	}
	for n := range len(r.policy.Levels) + 1 {
		if r.policy.LevelName(n) == name {
			now := degradation.Micros(process.Now())
			return r.controller.Override(now, n, now+degradation.Micros(span.Microseconds()), by, above)
		}
	}
	return fmt.Errorf("level: %q is none of ladder %s", name, r.policy.Name)
}

// ClearOverride lets the signals decide again.
func (d *Dispatcher) ClearOverride() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.degradation != nil {
		d.degradation.controller.ClearOverride()
	}
}
