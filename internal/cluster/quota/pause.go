package quota

import "milletbarrow/monotime"

// runningPause is a pause of a cold start with the time at which this leader first saw it.
type runningPause struct {
	ElapsedPause
	since monotime.Micros
}

// ElapsedPauses returns the pauses of cold starts whose duration has passed. Each leader times a pause in full by its
// own clock, from when it first saw the pause.
func (t *LeaseTracker) ElapsedPauses(now monotime.Micros, state *State) []ElapsedPause {
	var elapsed []ElapsedPause
	for _, limit := range sortedKeys(state.ColdStarts) {
		start := state.ColdStarts[limit]
		if start.Pause == 0 {
			delete(t.pauses, limit)
			continue
		}
		pause := ElapsedPause{Limit: limit, ID: start.ID, Number: start.PauseNumber}
		if seen, known := t.pauses[limit]; known && seen.ElapsedPause == pause {
			if now-seen.since >= start.Pause {
				elapsed = append(elapsed, pause)
			}
			continue
		}
		if t.pauses == nil {
			t.pauses = map[LimitName]runningPause{}
		}
		t.pauses[limit] = runningPause{ElapsedPause: pause, since: now}
	}
	return elapsed
}
