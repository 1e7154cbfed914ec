package quota

import "milletbarrow/monotime"

// runningPause is a pause of a cold start and the time at which this leader first saw it.
type runningPause struct {
	ElapsedPause
	since monotime.Micros
}

// ElapsedPauses returns the pauses of cold starts whose duration has passed. Each leader times a pause in full by its
// own clock, from the time at which it first saw the pause.
func (t *LeaseTracker) ElapsedPauses(now monotime.Micros, state *State) []ElapsedPause {
	var elapsed []ElapsedPause
	for _, limit := range sortedKeys(state.ColdStarts) {
		coldStart := state.ColdStarts[limit]
		if coldStart.Pause == 0 {
			delete(t.pauses, limit)
			continue
		}
		pause := ElapsedPause{Limit: limit, ID: coldStart.ID, Number: coldStart.PauseNumber}
		if seen, known := t.pauses[limit]; known && seen.ElapsedPause == pause {
			if now-seen.since >= coldStart.Pause {
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
