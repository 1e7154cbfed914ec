// Package shadow counts where other settings would have decided otherwise: a second instance of the module is
// told all that happens to the first and what the first decided. It does no I/O, has no clock, owns the second
// instance and its counts, and hands on nothing that it decides.
package shadow

import (
	"fmt"
	"slices"

	"milletbarrow/admission"
)

// Difference is a way in which a decision differs.
type Difference int

// The kinds. Each is counted once an invocation and event, but Health, Connections and Value, once a change.
const (
	OnlyShadowAdmits  Difference = iota // taken, where it was throttled or errored on arrival
	OnlyShadowRejects                   // throttled or errored on arrival, where it was taken
	RetryElsewhere                      // throttled by both, but with the other word on trying elsewhere
	RetryAfter                          // with advice to stay away that differs by more than half
	StartOrder                          // another invocation started first
	OnlyShadowGivesUp                   // given up later on, where it was kept
	OnlyShadowKeeps                     // kept on, where it was given up later on
	Preemption                          // taken off the cores, where it went on, or the other way
	Replay                              // answered as a repeat from a kept key, where it was new work, or the other way
	Health                              // health checks answered otherwise
	IdleTimeout                         // connections rest for another time
	AdvertisedValue                     // another free value is sent, or one where none was, or the other way
	differenceCount
)

var differenceNames = [differenceCount]string{
	"let_in", "turned_away", "words", "advice", "order", "given_up", "kept_on", "paused", "repeated", "health",
	"connections", "value",
}

func (k Difference) String() string { return differenceNames[k] }

// Counts are what has passed.
type Counts struct {
	ByDifference [differenceCount]int
	Arrivals     int // invocations that both were told of
	Panics       int // panics of the second instance; after the first it decides nothing more
}

// Map has the counts that are not 0 by name, with arrivals and faults.
func (c Counts) Map() map[string]int {
	m := map[string]int{"arrivals": c.Arrivals, "faults": c.Panics}
	for k, n := range c.ByDifference {
		if n > 0 {
			m[Difference(k).String()] = n
		}
	}
	return m
}

// Evaluator is the second instance. It is for one goroutine at a time.
type Evaluator struct {
	shadow      *admission.Backend
	actions     []admission.Action
	unanswered  map[string]bool // what the first has in hand and not answered: the second has not either; bounded as the first is
	counts      Counts
	healthy     [2]bool             // health as last sent by the first and the second
	idleTimeout [2]admission.Micros // connections as well
	timerToken  int64               // of the second's timer
}

// New begins with the settings to be watched; now is the first instance's opening or, where it has been open for
// long, any later time: what it had in hand before is not compared.
func New(t admission.Config, seed uint64, now admission.Micros) *Evaluator {
	t.ConfirmStarts = true
	w := &Evaluator{shadow: admission.New(t, seed), unanswered: map[string]bool{}, healthy: [2]bool{true, true}}
	w.idleTimeout = [2]admission.Micros{t.IdleTimeout, t.IdleTimeout}
	w.decide(now, admission.Opened{})
	return w
}

// Counts tells what has passed.
func (w *Evaluator) Counts() Counts { return w.counts }

// Observe tells of an event and of what the first instance decided at it.
func (w *Evaluator) Observe(now admission.Micros, ev admission.Event, real []admission.Action) {
	if _, opens := ev.(admission.Opened); opens || w.counts.Panics > 0 {
		return
	}
	defer func() {
		if r := recover(); r != nil {
			w.counts.Panics++
			w.unanswered, w.shadow = nil, nil
		}
	}()
	id := ""
	switch e := ev.(type) {
	case admission.Arrived:
		id = e.ID
		w.unanswered[id] = true
		w.counts.Arrivals++
	case admission.Reading:
		e.Token = w.timerToken
		ev = e
	}
	w.decide(now, ev)
	w.compare(id, [2][]admission.Action{real, w.actions})
	// What really happened: what was started runs for the second instance too, and whoever has its final answer
	// is over for both.
	for _, act := range real {
		if a, starts := act.(admission.Start); starts {
			w.decide(now, admission.Launched{ID: a.ID})
		}
		if id, final := finalAnswer(act); final {
			if w.unanswered[id] {
				w.decide(now, admission.CallerGone{ID: id})
			}
			delete(w.unanswered, id)
		}
	}
	switch e := ev.(type) {
	case admission.Finished:
		delete(w.unanswered, e.ID)
	case admission.CallerGone:
		delete(w.unanswered, e.ID)
	}
}

func (w *Evaluator) decide(now admission.Micros, ev admission.Event) {
	w.actions = w.shadow.Decide(now, ev, w.actions[:0])
	for _, act := range w.actions {
		if a, ok := act.(admission.Wake); ok {
			w.timerToken = a.Token
		}
	}
}

// compare counts by kind; arrived is the invocation that has just come, if one has.
func (w *Evaluator) compare(arrived string, acts [2][]admission.Action) {
	count := func(k Difference) { w.counts.ByDifference[k]++ }
	if a, b := firstStarted(acts[0]), firstStarted(acts[1]); a != "" && b != "" && a != b {
		count(StartOrder)
	}
	for side := range acts {
		for _, act := range acts[side] {
			same := slices.Contains(acts[1-side], act)
			switch a := act.(type) {
			case admission.SetHealth:
				w.healthy[side] = a.Good
			case admission.CloseIdle:
				w.idleTimeout[side] = a.After
			case admission.Advertise:
				if !same {
					count(AdvertisedValue)
				}
			case admission.Stop:
				if !same {
					count(Preemption)
				}
			case admission.Reuse:
				if !same {
					count(Replay)
				}
			}
			id, final := finalAnswer(act)
			if !final || !w.unanswered[id] {
				continue
			}
			other := finalAnswerTo(id, acts[1-side])
			if side == 1 {
				w.unanswered[id] = false // the second has answered it
			}
			if kind, yes := compareAnswers(act, other, side, id == arrived); yes {
				count(kind)
			}
		}
	}
	w.compareState()
}

// compareAnswers tells how the answer of one side differs from the other's, which is nil where there is none. Two answers are
// compared once, from the second's side.
func compareAnswers(act, other admission.Action, side int, onArrival bool) (k Difference, yes bool) {
	if other == nil {
		alone := [2][2]Difference{{OnlyShadowKeeps, OnlyShadowGivesUp}, {OnlyShadowAdmits, OnlyShadowRejects}}
		n := 0
		if onArrival {
			n = 1
		}
		return alone[n][side], true
	}
	a, throttles := act.(admission.Throttle)
	b, both := other.(admission.Throttle)
	switch {
	case side == 0 || !throttles || !both:
		return 0, false
	case a.DontRetry != b.DontRetry:
		return RetryElsewhere, true
	}
	return RetryAfter, a.RetryAfter > b.RetryAfter*3/2 || b.RetryAfter > a.RetryAfter*3/2
}

// compareState counts what is no invocation's, once until both agree again.
func (w *Evaluator) compareState() {
	if w.healthy[0] != w.healthy[1] {
		w.counts.ByDifference[Health]++
		w.healthy[1] = w.healthy[0]
	}
	if w.idleTimeout[0] != w.idleTimeout[1] {
		w.counts.ByDifference[IdleTimeout]++
		w.idleTimeout[1] = w.idleTimeout[0]
	}
}

// firstStarted is the invocation that is started first.
func firstStarted(acts []admission.Action) string {
	for _, act := range acts {
		if a, ok := act.(admission.Start); ok {
			return a.ID
		}
	}
	return ""
}

// finalAnswerTo is the final answer to an invocation among what was decided, or nil.
func finalAnswerTo(id string, acts []admission.Action) admission.Action {
	for _, act := range acts {
		if to, final := finalAnswer(act); final && to == id {
			return act
		}
	}
	return nil
}

// finalAnswer tells whose final answer an action is.
func finalAnswer(act admission.Action) (id string, final bool) {
	switch a := act.(type) {
	case admission.Throttle:
		return a.ID, true
	case admission.Fail:
		return a.ID, true
	}
	return "", false
}

// String is the counts in a fixed order, for logs.
func (c Counts) String() string {
	s := fmt.Sprintf("arrivals=%d", c.Arrivals)
	for k, n := range c.ByDifference {
		if n > 0 {
			s += fmt.Sprintf(" %v=%d", Difference(k), n)
		}
	}
	if c.Panics > 0 {
		s += fmt.Sprintf(" faults=%d", c.Panics)
	}
	return s
}
