// Package shadow evaluates another configuration beside the one in force: a second decision module, the shadow, gets every
// event of the first, the primary, and the ways in which its decisions differ are counted. None of the shadow's actions is
// carried out. It does no I/O and has no clock.
package shadow

import (
	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// side is one of the two modules; it indexes what is known of both.
type side int

const (
	primary side = iota
	shadow
	sideCount
)

// other is the other side.
func (s side) other() side { return sideCount - 1 - s }

// Evaluator is a shadow module with the counts of its differences. Not safe for concurrent use.
type Evaluator struct {
	module      *admission.Backend
	actions     []admission.Action // of the shadow's latest decision; reused
	unanswered  map[string]bool    // requests in flight that the primary has not answered; true: nor has the shadow
	counts      Counts
	healthy     [sideCount]bool            // as each has last set it
	idleTimeout [sideCount]monotime.Micros // as each has last set it
	timerToken  int64                      // of the shadow's timer
}

// New starts a shadow with another configuration. now is when the primary opened, or any later time: requests that it had
// in flight then are not compared.
func New(cfg admission.Config, seed uint64, now monotime.Micros) *Evaluator {
	cfg.ConfirmStarts = true
	e := &Evaluator{
		module: admission.New(cfg, seed), unanswered: map[string]bool{}, healthy: [sideCount]bool{true, true},
		idleTimeout: [sideCount]monotime.Micros{cfg.IdleTimeout, cfg.IdleTimeout},
	}
	e.decide(now, admission.Opened{})
	return e
}

// Counts returns the totals so far.
func (e *Evaluator) Counts() Counts { return e.counts }

// Observe takes in an event and the actions that the primary decided on.
func (e *Evaluator) Observe(now monotime.Micros, event admission.Event, actions []admission.Action) {
	if _, opened := event.(admission.Opened); opened || e.counts.Panics > 0 {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			e.counts.Panics++
			e.unanswered, e.module = nil, nil
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

// follow has the shadow go on from what really happened: what the primary started runs for the shadow too, and a request
// that the primary answered is over for both.
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

// decide passes an event to the shadow.
func (e *Evaluator) decide(now monotime.Micros, event admission.Event) {
	e.actions = e.module.Decide(now, event, e.actions[:0])
	for _, action := range e.actions {
		if wake, ok := action.(admission.Wake); ok {
			e.timerToken = wake.Token
		}
	}
}
