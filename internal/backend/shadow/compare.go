package shadow

import (
	"slices"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// compare counts the differences between the actions of both sides on one event. arrived is the ID of the request if
// the event is an arrival, otherwise "".
func (e *Evaluator) compare(arrived string, actions [sideCount][]admission.Action) {
	onPrimary, onShadow := firstStarted(actions[primary]), firstStarted(actions[shadow])
	if onPrimary != "" && onShadow != "" && onPrimary != onShadow {
		e.count(StartOrder)
	}
	for s := range sideCount {
		others := actions[s.other()]
		for _, action := range actions[s] {
			e.compareAction(s, action, others)
			id, final := finalAnswer(action)
			if !final || !e.unanswered[id] {
				continue
			}
			if s == shadow {
				e.unanswered[id] = false
			}
			if difference, differs := compareAnswers(action, finalAnswerTo(id, others), s, id == arrived); differs {
				e.count(difference)
			}
		}
	}
	e.compareState()
}

// count counts a difference.
func (e *Evaluator) count(d Difference) { e.counts.ByDifference[d]++ }

// compareAction records the state that an action sets, and counts an action that the other side has not decided on.
func (e *Evaluator) compareAction(s side, action admission.Action, others []admission.Action) {
	both := slices.Contains(others, action)
	switch a := action.(type) {
	case admission.SetHealth:
		e.healthy[s] = a.Good
	case admission.CloseIdle:
		e.idleTimeout[s] = a.After
	case admission.Advertise:
		if !both {
			e.count(AdvertisedValue)
		}
	case admission.Stop:
		if !both {
			e.count(Preemption)
		}
	case admission.Reuse:
		if !both {
			e.count(Replay)
		}
	}
}

// compareState counts a state that differs. It then sets the shadow's state to the primary's, so that the difference is
// counted once until one of them changes.
func (e *Evaluator) compareState() {
	if e.healthy[primary] != e.healthy[shadow] {
		e.count(Health)
		e.healthy[shadow] = e.healthy[primary]
	}
	if e.idleTimeout[primary] != e.idleTimeout[shadow] {
		e.count(IdleTimeout)
		e.idleTimeout[shadow] = e.idleTimeout[primary]
	}
}

// compareAnswers compares the final answer of side s with the other side's, which is nil if it has none. Two answers
// are compared once, when s is the shadow.
func compareAnswers(answer, other admission.Action, s side, onArrival bool) (d Difference, differs bool) {
	switch {
	case other != nil: // both have answered; see below
	case onArrival && s == primary:
		return OnlyShadowAdmits, true
	case onArrival:
		return OnlyShadowRejects, true
	case s == primary:
		return OnlyShadowKeeps, true
	default:
		return OnlyShadowGivesUp, true
	}
	throttle, ok := answer.(admission.Throttle)
	otherThrottle, otherOK := other.(admission.Throttle)
	switch {
	case s == primary || !ok || !otherOK:
		return 0, false
	case throttle.DontRetry != otherThrottle.DontRetry:
		return RetryElsewhere, true
	}
	return RetryAfter, exceedsByHalf(throttle.RetryAfter, otherThrottle.RetryAfter) ||
		exceedsByHalf(otherThrottle.RetryAfter, throttle.RetryAfter)
}

// exceedsByHalf reports whether a is longer than b by more than half of b.
func exceedsByHalf(a, b monotime.Micros) bool { return a > b*3/2 }

// firstStarted returns the ID of the request that is started first, or "".
func firstStarted(actions []admission.Action) string {
	for _, action := range actions {
		if start, ok := action.(admission.Start); ok {
			return start.ID
		}
	}
	return ""
}

// finalAnswerTo returns the final answer to a request, or nil if there is none among actions.
func finalAnswerTo(id string, actions []admission.Action) admission.Action {
	for _, action := range actions {
		if to, final := finalAnswer(action); final && to == id {
			return action
		}
	}
	return nil
}

// finalAnswer returns the ID of the request to which an action is the final answer; final is false if it is none.
func finalAnswer(action admission.Action) (id string, final bool) {
	switch a := action.(type) {
	case admission.Throttle:
		return a.ID, true
	case admission.Fail:
		return a.ID, true
	}
	return "", false
}
