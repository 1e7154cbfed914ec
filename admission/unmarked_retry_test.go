package admission

import (
	"fmt"
	"strings"
	"testing"

	"milletbarrow/monotime"
)

// If callers do not mark retries, requests with an unusual deadline count as retries. As this recognises only some of
// them, the limit on the share of retries is halved: at priority 0.9 from 0.46.
func TestUnusualDeadlinesCountAsRetriesIfUnmarked(t *testing.T) {
	for _, unmarked := range []bool{false, true} {
		t.Run(fmt.Sprintf("unmarked=%t", unmarked), func(t *testing.T) {
			tr := newTrace(t, func(config *Config) { config.RetriesUnmarked = unmarked })
			firstTimeLeft := 2500 * monotime.Millisecond
			for n := range monotime.Micros(60) {
				tr.arriveAndEnd(fmt.Sprint("first", n), firstTimeLeft-n*300)
				tr.now += 20 * monotime.Millisecond
			}
			retriesAmongFirst := tr.backend.arrivals.retries.read(tr.now)
			tr.advance(400, 1, 9)
			tr.arrive("before", idempotentOperation, 0.9, withTimeLeft(firstTimeLeft))
			for n := range monotime.Micros(40) { // the rest of five seconds differs from one retry to the next
				timeLeft := 4900*monotime.Millisecond - n*73*monotime.Millisecond
				tr.backend.Decide(tr.now, Arrived{ID: fmt.Sprint("later", n), TimeLeft: timeLeft, MemoryKB: 1}, nil)
			}
			tr.arrive("after", idempotentOperation, 0.9, withTimeLeft(firstTimeLeft))

			if retriesAmongFirst != 0 {
				t.Errorf("%.2f first attempts counted as retries, want 0", retriesAmongFirst)
			}
			wantDontRetry := 0
			if unmarked {
				wantDontRetry = 1
				share := tr.backend.arrivals.retries.read(tr.now) / tr.backend.arrivals.recent.read(tr.now)
				if share < 0.3 || share > 0.46 {
					t.Errorf("share of retries %.2f, want 0.3 to 0.46", share)
				}
			}
			if dontRetry := strings.Count(tr.text.String(), "DontRetry:true"); dontRetry != wantDontRetry {
				t.Errorf("%d throttles with DontRetry, want %d\n%s", dontRetry, wantDontRetry, &tr.text)
			}
		})
	}
}
