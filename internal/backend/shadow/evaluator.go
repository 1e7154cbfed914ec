// Package shadow evaluates a candidate configuration in parallel with the one in force. A second decision module, the
// shadow, receives every event that the first, the primary, receives, and the differences between their decisions are
// counted. Actions of the shadow are not carried out. The package does no I/O and reads no clock.
//
// Invariants, each with the test that checks it:
//   - A shadow with the primary's configuration never differs from it, and no request stays unanswered at the end:
//     TestEqualConfigurationsNeverDiffer.
//   - Each answer is compared once: TestEachAnswerIsComparedOnce.
//   - A difference in state is counted once until both sides agree again: TestDifferentStateIsCountedOnce.
//   - A request runs for the shadow only if the primary has started it: TestShadowStartsNothingItself.
package shadow

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// side identifies one of the two modules; it is used as an index.
type side int

const (
	primary side = iota
	shadow
	sideCount
)

// other returns the other side.
func (s side) other() side { return sideCount - 1 - s }

// Evaluator runs a shadow module and counts its differences from the primary. It is not safe for concurrent use.
type Evaluator struct {
	module  *admission.Backend // nil after a panic
	actions []admission.Action // of the shadow's latest decision; reused by the next one

	// unanswered contains the IDs of the requests in flight that the primary has not answered. The value is true while
	// the shadow has not answered the request either. The map is nil after a panic.
	unanswered map[string]bool

	counts      Counts
	healthy     [sideCount]bool            // as each side last set it
	idleTimeout [sideCount]monotime.Micros // as each side last set it
	timerToken  int64                      // of the shadow's timer, to be passed with the next reading
}

// New starts a shadow with the configuration cfg. now is not before the time at which the primary was opened. Requests
// that the primary has in flight at now are not compared.
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

// Counts returns the totals since New.
func (e *Evaluator) Counts() Counts { return e.counts }

// Observe passes an event to the shadow and counts the differences between its actions and those of the primary. It
// ignores Opened, as New has opened the shadow, and does nothing after a panic of the shadow.
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
	arrivedID := ""
	switch ev := event.(type) {
	case admission.Arrived:
		arrivedID = ev.ID
		e.unanswered[arrivedID] = true
		e.counts.Arrivals++
	case admission.Reading:
		ev.Token = e.timerToken
		event = ev
	}
	e.decide(now, event)
	e.compare(arrivedID, [sideCount][]admission.Action{actions, e.actions})
	e.applyPrimaryActions(now, actions)
	switch ev := event.(type) {
	case admission.Finished:
		delete(e.unanswered, ev.ID)
	case admission.CallerGone:
		delete(e.unanswered, ev.ID)
	}
}

// applyPrimaryActions updates the shadow for the primary's actions, which are carried out: a request that the primary
// starts also runs for the shadow, and one that the primary answers ends for both.
func (e *Evaluator) applyPrimaryActions(now monotime.Micros, actions []admission.Action) {
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

// decide passes an event to the shadow's module and stores its actions and timer token.
func (e *Evaluator) decide(now monotime.Micros, event admission.Event) {
	e.actions = e.module.Decide(now, event, e.actions[:0])
	for _, action := range e.actions {
		if wake, ok := action.(admission.Wake); ok {
			e.timerToken = wake.Token
		}
	}
}
