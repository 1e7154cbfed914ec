package admission

import (
	"fmt"
	"testing"

	"milletbarrow/monotime"
)

// BenchmarkStream measures one arrival, one end of a run and the readings in between, with all cores busy:
//
//	go test ./admission -run xxx -bench Stream
func BenchmarkStream(b *testing.B) {
	for _, inFlight := range []int{6, 64, 512} {
		for _, hints := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/hints=%t", inFlight, hints), func(b *testing.B) {
				s := newStream(inFlight, hints)
				for range 4000 { // until the cost estimate has settled
					s.step(true, true)
				}
				for len(s.backend.inFlight.all) < inFlight {
					s.step(true, false)
				}
				b.ReportAllocs()
				for b.Loop() {
					for len(s.backend.inFlight.all) >= inFlight {
						s.step(false, true) // while nothing runs yet, this advances the time to the next reading
					}
					s.step(true, false)
				}
			})
		}
	}
}

// streamCores is the number of cores of a stream's backend.
const streamCores = 2

// stream passes arrivals and ends of runs to a backend.
type stream struct {
	backend       *Backend
	now           monotime.Micros
	nextReadingAt monotime.Micros
	actions       []Action
	ids           []string // used in rotation
	arrived       int
	hints         bool     // arrivals state their expected work
	running       []string // in order of start
}

func newStream(inFlight int, hints bool) *stream {
	operation := Operation{Objective: 60 * monotime.Second, ClientTimeout: 90 * monotime.Second}
	config := Config{
		Operations:       []Operation{operation, operation},
		FleetSize:        4,
		Callers:          8,
		Cores:            streamCores,
		MemoryKB:         1e6,
		RunFactor:        4,
		AnswerSlack:      60 * monotime.Millisecond,
		DrainGrace:       monotime.Second,
		CollapseMultiple: 1000,
		CollapseAfter:    2 * monotime.Second,
		MaxRetryAfter:    monotime.Second,
	}
	config.Operations[1].RetrySafety = NonIdempotent
	s := &stream{backend: New(config, 1), now: 1, actions: make([]Action, 0, 64), hints: hints}
	s.decide(Opened{})
	s.nextReadingAt = s.backend.nextReadingAt
	for i := range 2*inFlight + 64 {
		s.ids = append(s.ids, fmt.Sprintf("%016x", i))
	}
	return s
}

// decide passes an event to the backend and stores the IDs of started requests.
func (s *stream) decide(event Event) {
	s.actions = s.backend.Decide(s.now, event, s.actions[:0])
	for _, action := range s.actions {
		if start, ok := action.(Start); ok {
			s.running = append(s.running, start.ID)
		}
	}
}

// step advances the time by half a millisecond, with a reading if one is due, and optionally an arrival and the end of
// the oldest run.
func (s *stream) step(arrives, ends bool) {
	s.now += monotime.Millisecond / 2
	if s.now >= s.nextReadingAt {
		s.nextReadingAt = s.now + 20*monotime.Millisecond
		s.decide(Reading{Token: readingToken, CoreUse: 0.8, OnCores: streamCores, MemoryShare: -1, Connections: -1})
	}
	if arrives {
		s.decide(s.nextArrival())
	}
	if ends && len(s.running) > 0 {
		id := s.running[0]
		s.running = append(s.running[:0], s.running[1:]...)
		s.decide(Finished{ID: id, Outcome: OK, Took: monotime.Millisecond})
	}
}

func (s *stream) nextArrival() Arrived {
	arrived := Arrived{
		ID:        s.ids[s.arrived%len(s.ids)],
		Operation: s.arrived % 2,
		Priority:  0.5,
		MemoryKB:  20,
		TimeLeft:  80 * monotime.Second,
	}
	if s.hints {
		arrived.ExpectedWork = monotime.Micros(500 + s.arrived*7919%2000)
	}
	s.arrived++
	return arrived
}
