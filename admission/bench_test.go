package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// BenchmarkStream is one arrival with its end and its share of readings, all cores busy and so many in flight:
//
//	go test ./admission -run xxx -bench Stream
func BenchmarkStream(b *testing.B) {
	for _, inFlight := range []int{6, 64, 512} {
		for _, hints := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/hints=%t", inFlight, hints), func(b *testing.B) {
				const cores = 2
				config := Config{
					Operations: []Operation{{Objective: 60_000_000, ClientTimeout: 90_000_000}, {Objective: 60_000_000, ClientTimeout: 90_000_000, RetrySafety: NonIdempotent}},
					FleetSize:  4, Callers: 8, Cores: cores, MemoryKB: 1e6, RunFactor: 4, AnswerSlack: 60_000, DrainGrace: 1_000_000, CollapseMultiple: 1000, CollapseAfter: 2_000_000, MaxRetryAfter: 1_000_000,
				}
				backend, now, out := New(config, 1), monotime.Micros(1), make([]Action, 0, 64)
				out = backend.Decide(now, Opened{}, out)
				ids := make([]string, 2*inFlight+64)
				for i := range ids {
					ids[i] = fmt.Sprintf("%016x", i)
				}
				var running []string
				next, at := 0, backend.nextReadingAt
				note := func() {
					for _, action := range out {
						if s, ok := action.(Start); ok {
							running = append(running, s.ID)
						}
					}
					out = out[:0]
				}
				step := func(arrives, ends bool) {
					now += 500
					if now >= at {
						at = now + 20_000
						out = backend.Decide(now, Reading{Token: readingToken, CoreUse: 0.8, OnCores: cores, MemoryShare: -1, Connections: -1}, out)
						note()
					}
					if arrives {
						a := Arrived{ID: ids[next%len(ids)], Operation: next % 2, Priority: 0.5, MemoryKB: 20, TimeLeft: 80_000_000}
						if hints {
							a.ExpectedWork = monotime.Micros(500 + next*7919%2000)
						}
						next++
						out = backend.Decide(now, a, out)
						note()
					}
					if ends && len(running) > 0 {
						id := running[0]
						running = append(running[:0], running[1:]...)
						out = backend.Decide(now, Finished{ID: id, Outcome: OK, Took: 1000}, out)
						note()
					}
				}
				for range 4000 { // until it has learnt what a run takes
					step(true, true)
				}
				for len(backend.inFlight.all) < inFlight {
					step(true, false)
				}
				b.ReportAllocs()
				for b.Loop() { // one ends, then one comes; a step in which nothing runs yet brings a reading nearer
					for len(backend.inFlight.all) >= inFlight {
						step(false, true)
					}
					step(true, false)
				}
			})
		}
	}
}
