package shadow

import (
	"slices"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// compare counts the differences between the actions of both sides on one event. arrivedID is the ID of the request if
// the event is an arrival, otherwise "".
func (e *Evaluator) compare(arrivedID string, actions [sideCount][]admission.Action) {
	primaryStart, shadowStart := firstStarted(actions[primary]), firstStarted(actions[shadow])
	if primaryStart != "" && shadowStart != "" && primaryStart != shadowStart {
		e.count(StartOrder)
	}
	for s := range sideCount {
		otherActions := actions[s.other()]
		for _, action := range actions[s] {
			e.compareAction(s, action, otherActions)
			id, final := finalAnswer(action)
			if !final || !e.unanswered[id] {
				continue
			}
			if s == shadow {
				e.unanswered[id] = false
			}
			otherAnswer := finalAnswerTo(id, otherActions)
			if difference, differs := compareAnswers(action, otherAnswer, s, id == arrivedID); differs {
				e.count(difference)
			}
		}
	}
	e.compareState()
}

// count adds one difference to the totals.
func (e *Evaluator) count(d Difference) { e.counts.ByDifference[d]++ }

// compareAction records the state that an action sets, and counts an action that the other side did not take.
func (e *Evaluator) compareAction(s side, action admission.Action, otherActions []admission.Action) {
	inBoth := slices.Contains(otherActions, action)
	switch a := action.(type) {
	case admission.SetHealth:
		e.healthy[s] = a.Good
	case admission.CloseIdle:
		e.idleTimeout[s] = a.After
	case admission.Advertise:
		if !inBoth {
			e.count(AdvertisedValue)
		}
	case admission.Stop:
		if !inBoth {
			e.count(Preemption)
		}
	case admission.Reuse:
		if !inBoth {
			e.count(Replay)
		}
	}
}

// compareState counts each state in which the sides differ. It then sets the shadow's state to the primary's, so that a
// difference is counted once until one of the sides changes its state.
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

// compareAnswers compares the final answer of side s with that of the other side, which is nil if that side gave none.
// If both sides answer, the answers are compared only when s is the shadow, so that a difference is counted once.
func compareAnswers(answer, other admission.Action, s side, onArrival bool) (d Difference, differs bool) {
	switch {
	case other != nil: // both sides answer: compared below
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

// exceedsByHalf reports whether a is more than one and a half times b.
func exceedsByHalf(a, b monotime.Micros) bool { return a > b*3/2 }

// firstStarted returns the ID of the first request that the actions start, or "" if they start none.
func firstStarted(actions []admission.Action) string {
	for _, action := range actions {
		if start, ok := action.(admission.Start); ok {
			return start.ID
		}
	}
	return ""
}

// finalAnswerTo returns the final answer to a request among actions, or nil if there is none.
func finalAnswerTo(id string, actions []admission.Action) admission.Action {
	for _, action := range actions {
		if to, final := finalAnswer(action); final && to == id {
			return action
		}
	}
	return nil
}

// finalAnswer returns the ID of the request that an action answers finally; final is false for any other action.
func finalAnswer(action admission.Action) (id string, final bool) {
	switch a := action.(type) {
	case admission.Throttle:
		return a.ID, true
	case admission.Fail:
		return a.ID, true
	}
	return "", false
}
