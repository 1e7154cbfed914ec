package dispatch

import (
	"fmt"
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/process"
)

// reduction is what levels of reduced service add to a gate; nil without a ladder. The gate's lock guards it.
type reduction struct {
	ladder *degradation.Policy
	mover  *degradation.Controller
	drawer *degradation.Shedder
	meter  *degradation.SignalMeter
	last   []degradation.Change // the latest, oldest first
	shed   int                  // invocations, since the start
	at     degradation.Micros   // of the latest signals
	raw    degradation.Signals
}

// mostChanges are kept for who inspects.
const mostChanges = 16

// SetDegradationPolicy has the gate follow a ladder from now on. An error names what of it this deployment does not have.
func (g *Dispatcher) SetDegradationPolicy(l *degradation.Policy) error {
	drawer, err := degradation.NewShedder(l, g.sheet.Operations, g.sheet.Tenants, g.seed)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r := &reduction{ladder: l, mover: degradation.NewController(l), drawer: drawer, meter: degradation.NewSignalMeter(g.sheet.Admission.Cores)}
	if g.reduced != nil { // another ladder: the level in force goes on
		r.mover, r.meter, r.last, r.shed = g.reduced.mover.WithPolicy(l), g.reduced.meter, g.reduced.last, g.reduced.shed
	}
	g.reduced = r
	return nil
}

// shedFor is above 0 if a level sheds an invocation that comes now: what advice is to be at the least, as admit has it.
func (g *Dispatcher) shedFor(inv *Invocation, t *Request) admission.Micros {
	r := g.reduced
	if r == nil {
		return 0
	}
	now := degradation.Micros(process.Now())
	level := r.mover.Level()
	if t.earlier != "" || !r.drawer.ShouldShed(level, r.mover.Depth(now), inv.Operation, inv.Tenant, inv.Rank, degradation.Micros(inv.ExpectedWork)) {
		r.meter.Count(now, degradation.Arrivals)
		if inv.Retry {
			r.meter.Count(now, degradation.RetriedArrivals)
		}
		return 0
	}
	r.shed++
	return 1 // advice is about this backend, not about the operation: a longer one would keep away what is not shed
}

// count has the meter count something of an invocation that was not shed.
func (r *reduction) count(c degradation.Counter) {
	if r != nil {
		r.meter.Count(degradation.Micros(process.Now()), c)
	}
}

// step moves along the ladder with each tick.
func (g *Dispatcher) step(reading admission.Reading) {
	r := g.reduced
	if r == nil {
		return
	}
	now := degradation.Micros(process.Now()) // setting the wall clock must not move a level
	if g.drained {
		r.meter.SetDraining()
	}
	wanting := reading.OnCores
	if wanting >= 0 { // the farm knows of the runs alone; what is held here wants a core too
		for _, t := range g.hand {
			if !t.running && !t.answered {
				wanting++
			}
		}
	}
	s := r.meter.Signals(now, wanting, reading.CoreUse, reading.MemoryShare, len(g.gauges) > 0)
	r.at, r.raw = now, s
	if c, changed := r.mover.Update(now, s); changed {
		g.changed(c)
	}
}

func (g *Dispatcher) changed(c degradation.Change) {
	r := g.reduced
	if r.last = append(r.last, c); len(r.last) > mostChanges {
		r.last = r.last[1:]
	}
	slog.Warn("level", "from", r.ladder.LevelName(c.From), "to", r.ladder.LevelName(c.To), "collapse", c.Collapse,
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
func (g *Dispatcher) DegradationStatus() (d DegradationStatus, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.reduced
	if r == nil {
		return d, false
	}
	n := r.mover.Level()
	d = DegradationStatus{
		Policy: r.ladder.Name, Level: r.ladder.LevelName(n), Number: n, Depth: r.mover.Depth(degradation.Micros(process.Now())), Shed: r.shed, At: r.at, Signals: r.raw,
	}
	for _, c := range r.last {
		d.Changes = append(d.Changes, fmt.Sprintf("%d: %v", c.At, c))
	}
	return d, true
}

// OverrideLevel holds a level by its name for a while; see levels.Mover.
func (g *Dispatcher) OverrideLevel(name string, span time.Duration, by string, above bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.reduced
	if r == nil {
		return fmt.Errorf("no ladder is in force")
	}
	for n := range len(r.ladder.Levels) + 1 {
		if r.ladder.LevelName(n) == name {
			now := degradation.Micros(process.Now())
			return r.mover.Override(now, n, now+degradation.Micros(span.Microseconds()), by, above)
		}
	}
	return fmt.Errorf("level: %q is none of ladder %s", name, r.ladder.Name)
}

// ClearOverride lets the signals decide again.
func (g *Dispatcher) ClearOverride() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reduced != nil {
		g.reduced.mover.ClearOverride()
	}
}
