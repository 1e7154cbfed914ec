package shadow

import (
	"slices"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// compare counts the differences between the actions of both sides on one event; arrived is the request that has just
// arrived, if one has.
func (e *Evaluator) compare(arrived string, actions [sideCount][]admission.Action) {
	if a, b := firstStarted(actions[primary]), firstStarted(actions[shadow]); a != "" && b != "" && a != b {
		e.count(StartOrder)
	}
	for s := range sideCount {
		for _, action := range actions[s] {
			e.compareAction(s, action, actions[s.other()])
			id, final := finalAnswer(action)
			if !final || !e.unanswered[id] {
				continue
			}
			other := finalAnswerTo(id, actions[s.other()])
			if s == shadow {
				e.unanswered[id] = false
			}
			if difference, differs := compareAnswers(action, other, s, id == arrived); differs {
				e.count(difference)
			}
		}
	}
	e.compareState()
}

func (e *Evaluator) count(d Difference) { e.counts.ByDifference[d]++ }

// compareAction records the state that an action sets, and counts one that the other side has not decided on.
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

// compareState counts states that differ, once until both agree again.
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

// compareAnswers compares the final answer of one side with the other's, nil if there is none. Two answers are compared
// once, from the shadow's side.
func compareAnswers(answer, other admission.Action, s side, onArrival bool) (d Difference, differs bool) {
	switch {
	case other != nil:
	case onArrival && s == primary:
		return OnlyShadowAdmits, true
	case onArrival:
		return OnlyShadowRejects, true
	case s == primary:
		return OnlyShadowKeeps, true
	default:
		return OnlyShadowGivesUp, true
	}
	a, throttles := answer.(admission.Throttle)
	b, both := other.(admission.Throttle)
	switch {
	case s == primary || !throttles || !both:
		return 0, false
	case a.DontRetry != b.DontRetry:
		return RetryElsewhere, true
	}
	return RetryAfter, moreThanHalf(a.RetryAfter, b.RetryAfter) || moreThanHalf(b.RetryAfter, a.RetryAfter)
}

// moreThanHalf reports whether a time is longer than another by more than half of it.
func moreThanHalf(a, b monotime.Micros) bool { return a > b*3/2 }

// firstStarted returns the request that is started first, or "".
func firstStarted(actions []admission.Action) string {
	for _, action := range actions {
		if start, ok := action.(admission.Start); ok {
			return start.ID
		}
	}
	return ""
}

// finalAnswerTo returns the final answer to a request among actions, or nil.
func finalAnswerTo(id string, actions []admission.Action) admission.Action {
	for _, action := range actions {
		if to, final := finalAnswer(action); final && to == id {
			return action
		}
	}
	return nil
}

// finalAnswer returns the request that an action answers finally, if it does.
func finalAnswer(action admission.Action) (id string, final bool) {
	switch a := action.(type) {
	case admission.Throttle:
		return a.ID, true
	case admission.Fail:
		return a.ID, true
	}
	return "", false
}
