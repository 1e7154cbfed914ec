// Package shadow evaluates another configuration beside the one in force. A second decision module, the shadow, gets
// every event of the first, the primary, and the differences between their decisions are counted. No action of the
// shadow is carried out. The package does no I/O and has no clock.
//
// Invariants, each with the test that holds it:
//   - A shadow with the primary's configuration differs in nothing, and no request is left at the end:
//     TestEqualConfigurationsNeverDiffer.
//   - Each answer is compared once: TestEachAnswerIsComparedOnce.
//   - A state that differs is counted once until both sides agree again: TestDifferentStateIsCountedOnce.
//   - A request runs for the shadow only if the primary has started it: TestShadowStartsNothingItself.
package shadow

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// side is one of the two modules, as an index.
type side int

const (
	primary side = iota
	shadow
	sideCount
)

// other returns the other side.
func (s side) other() side { return sideCount - 1 - s }

// Evaluator is a shadow module with the counts of its differences. It is not safe for concurrent use.
type Evaluator struct {
	module  *admission.Backend // nil after a panic
	actions []admission.Action // of the shadow's latest decision; the slice is reused

	// unanswered has the requests in flight that the primary has not answered, by ID. The value is true while the
	// shadow has not answered the request either. It is nil after a panic.
	unanswered map[string]bool

	counts      Counts
	healthy     [sideCount]bool            // as each side last set it
	idleTimeout [sideCount]monotime.Micros // as each side last set it
	timerToken  int64                      // of the shadow's timer; passed back with the next reading
}

// New starts a shadow with another configuration. now is the time at which the primary opened, or a later one; requests
// that the primary has in flight then are not compared.
func New(cfg admission.Config, seed uint64, now monotime.Micros) *Evaluator {
	cfg.ConfirmStarts = true
	e := &Evaluator{
		module:      admission.New(cfg, seed),
		unanswered:  map[string]bool{},
		healthy:     [sideCount]bool{true, true},
		idleTimeout: [sideCount]monotime.Micros{cfg.IdleTimeout, cfg.IdleTimeout},
	}
	e.decide(now, admission.Opened{})
	return e
}

// Counts returns the totals so far.
func (e *Evaluator) Counts() Counts { return e.counts }

// Observe passes an event of the primary to the shadow and counts the differences between the actions of both.
func (e *Evaluator) Observe(now monotime.Micros, event admission.Event, actions []admission.Action) {
	if _, opened := event.(admission.Opened); opened || e.counts.Panics > 0 {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			e.counts.Panics++
			e.unanswered = nil
			e.module = nil
		}
	}()
	arrived := ""
	switch ev := event.(type) {
	case admission.Arrived:
		arrived = ev.ID
		e.unanswered[arrived] = true
		e.counts.Arrivals++
	case admission.Reading:
		ev.Token = e.timerToken
		event = ev
	}
	e.decide(now, event)
	e.compare(arrived, [sideCount][]admission.Action{actions, e.actions})
	e.follow(now, actions)
	switch ev := event.(type) {
	case admission.Finished:
		delete(e.unanswered, ev.ID)
	case admission.CallerGone:
		delete(e.unanswered, ev.ID)
	}
}

// follow adapts the shadow to the primary's actions, which are carried out: a request that the primary started runs
// for the shadow too, and one that the primary answered ends for both.
func (e *Evaluator) follow(now monotime.Micros, actions []admission.Action) {
	for _, action := range actions {
		if start, ok := action.(admission.Start); ok {
			e.decide(now, admission.Launched(start))
		}
		if id, final := finalAnswer(action); final {
			if e.unanswered[id] {
				e.decide(now, admission.CallerGone{ID: id})
			}
			delete(e.unanswered, id)
		}
	}
}

// decide passes an event to the shadow's module.
func (e *Evaluator) decide(now monotime.Micros, event admission.Event) {
	e.actions = e.module.Decide(now, event, e.actions[:0])
	for _, action := range e.actions {
		if wake, ok := action.(admission.Wake); ok {
			e.timerToken = wake.Token
		}
	}
}
