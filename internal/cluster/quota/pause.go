package quota

import (
	"milletbarrow/monotime"
)

// ElapsedPause names a pause of a cold start that has lasted as long as it was to.
type ElapsedPause struct {
	Limit  LimitName `json:"budget"`
	ID     string    `json:"id"`
	Number uint64    `json:"number"`
}

// runningPause is a pause, and when this leader first saw it.
type runningPause struct {
	ElapsedPause
	since monotime.Micros
}

// ElapsedPauses lists the pauses of cold starts that have lasted as long as they are to, by the leader's own clock: from
// when this leader first saw them, so that each leader times them in full.
func (t *LeaseTracker) ElapsedPauses(now monotime.Micros, s *State) (elapsed []ElapsedPause) {
	for _, limit := range sortedKeys(s.ColdStarts) {
		start := s.ColdStarts[limit]
		if start.Pause == 0 {
			delete(t.pauses, limit)
			continue
		}
		pause := ElapsedPause{Limit: limit, ID: start.ID, Number: start.PauseNumber}
		if seen, known := t.pauses[limit]; !known || seen.ElapsedPause != pause {
			if t.pauses == nil {
				t.pauses = map[LimitName]runningPause{}
			}
			t.pauses[limit] = runningPause{pause, now}
		} else if now-seen.since >= start.Pause {
			elapsed = append(elapsed, pause)
		}
	}
	return elapsed
}
