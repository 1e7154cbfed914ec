package watch

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/admit"
	"milletbarrow/standin"
)

// terms are a small deployment; shape changes it.
func terms(shape func(*admit.Terms)) admit.Terms {
	t := admit.Terms{
		Operations: []admit.Operation{
			{Objective: 1_800_000, ClientTimeout: 4_500_000, Value: 1},
			{Objective: 1_800_000, ClientTimeout: 4_500_000, Value: 10, Repeat: admit.Tokened, Window: 20_000_000},
		},
		Fleet: 3, Callers: 200, Cores: 2, MemoryKB: 20_000, RunFactor: 4, KeyKB: 50, AnswerSlack: 60_000,
		DrainGrace: 2_000_000, ColdShare: 0.3, ColdFor: 9_000_000, FallMultiple: 6, FallOver: 3_000_000,
		MaxRetryAfter: 1_000_000, Round: 5_000, IdleFor: 30_000_000,
	}
	shape(&t)
	return t
}

// pair is an instance that decides and one that watches, on one made-up clock.
type pair struct {
	real    *admit.Backend
	watcher *Watcher
	now     admit.Micros
	running []string
	actions []string // as the first decided
}

func newPair(first, second admit.Terms) *pair {
	p := &pair{real: admit.New(first, 7), now: 1_000_000}
	p.watcher = New(second, 7, p.now)
	p.tell(admit.Opened{})
	return p
}

func (p *pair) tell(ev admit.Event) {
	acts := p.real.Decide(p.now, ev, nil)
	for _, act := range acts {
		p.actions = append(p.actions, fmt.Sprintf("%d %T%+v", p.now, act, act))
		if a, ok := act.(admit.Start); ok {
			p.running = append(p.running, a.ID)
		}
	}
	p.watcher.Saw(p.now, ev, acts)
}

func (p *pair) end(id string, how admit.Outcome) {
	p.running = slices.DeleteFunc(p.running, func(other string) bool { return other == id })
	p.tell(admit.Finished{ID: id, Outcome: how, Took: 1})
}

func (p *pair) tick(onCores float64) {
	p.now += 20_000
	p.tell(admit.Reading{Token: 1, CoreUse: min(1, onCores/2), OnCores: onCores, MemoryShare: 0.1, Connections: 5})
}

// course draws a course of events and tells both of them.
func course(t *rapid.T, p *pair) {
	arrived := 0
	p.now += 10_000
	for range rapid.IntRange(20, 200).Draw(t, "events") {
		p.now += admit.Micros(rapid.IntRange(0, 30_000).Draw(t, "later"))
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0, 1, 2, 3, 4, 5:
			arrived++
			a := admit.Arrived{
				ID: fmt.Sprint("i", arrived), Operation: rapid.IntRange(0, 1).Draw(t, "operation"), KB: 30,
				Rank: rapid.Float64Range(0, 0.99).Draw(t, "rank"), Retry: rapid.Bool().Draw(t, "retry"),
				Waited: admit.Micros(rapid.IntRange(0, 1_200_000).Draw(t, "waited")),
				Budget: admit.Micros(rapid.IntRange(1, 4_000_000).Draw(t, "budget")),
			}
			if arrived > 3 && a.Operation == 1 && rapid.IntRange(0, 3).Draw(t, "repeat") == 0 {
				a.Earlier = fmt.Sprint("i", rapid.IntRange(1, arrived-1).Draw(t, "of"))
			}
			p.tell(a)
		case 6:
			if len(p.running) > 0 {
				how := []admit.Outcome{admit.OK, admit.Errored, admit.Unrunnable}
				p.end(rapid.SampledFrom(p.running).Draw(t, "which"), rapid.SampledFrom(how).Draw(t, "how"))
			}
		case 7:
			p.tell(admit.CallerGone{ID: fmt.Sprint("i", rapid.IntRange(1, arrived+1).Draw(t, "gone"))})
		default:
			p.tick(float64(rapid.IntRange(0, 12).Draw(t, "on cores")))
		}
	}
	if rapid.Bool().Draw(t, "drains") {
		p.tell(admit.DrainNotice{Left: 3_000_000})
		for range 160 {
			p.tick(3)
		}
	}
	for len(p.running) > 0 {
		p.end(p.running[0], admit.OK)
	}
	for range 400 { // all is due by then
		p.tick(0)
		for len(p.running) > 0 {
			p.end(p.running[0], admit.OK)
		}
	}
}

// TestSameSettings: whatever happens, settings watched that are those in force decide nothing otherwise.
func TestSameSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := terms(func(s *admit.Terms) {
			s.Unmarked = rapid.Bool().Draw(t, "unmarked")
			s.Preemption = rapid.SampledFrom([]admit.Preemption{admit.CannotStop, admit.StopPauses}).Draw(t, "preemption")
			s.FreeValue = rapid.SampledFrom([]admit.FreeValue{admit.NoValue, admit.TrafficWeight}).Draw(t, "value")
		})
		p := newPair(settings, settings)
		course(t, p)
		for k, n := range p.watcher.Counts().By {
			if n > 0 {
				t.Errorf("%d times %v", n, Kind(k))
			}
		}
	})
}

// TestOtherSettings: whatever is watched, nothing stays in hand once all is over, and the second instance does not fail.
func TestOtherSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(terms(func(*admit.Terms) {}), terms(func(s *admit.Terms) {
			s.Unmarked = true
			s.Operations[0].Objective /= admit.Micros(rapid.IntRange(1, 9).Draw(t, "objective"))
			s.Operations[1].Repeat = admit.Idempotent
			s.MemoryKB /= float64(rapid.IntRange(1, 100).Draw(t, "memory"))
			s.FreeValue, s.Preemption = admit.TrafficWeight, admit.StopPauses
			s.Callers = rapid.IntRange(1, 100_000).Draw(t, "callers")
		}))
		course(t, p)
		if c := p.watcher.Counts(); c.Faults > 0 || len(p.watcher.hand) > 0 {
			t.Errorf("%v, %d in hand", c, len(p.watcher.hand))
		}
	})
}

// TestKinds: each kind is counted where one setting makes the difference, and no other kind is.
func TestKinds(t *testing.T) {
	tr := standin.NewTrace(t)
	arrive := func(p *pair, n, operation int, budget admit.Micros) {
		p.now += 1000
		p.tell(admit.Arrived{ID: fmt.Sprint("i", n), Operation: operation, KB: 30, Budget: budget, Rank: 0.1})
	}
	crowd := func(p *pair) { // cores that are full, with a line
		p.tick(2)
		for n := range 12 {
			arrive(p, n, n%2, 2_250_000)
		}
		p.tick(8)
		p.tick(8)
	}
	none := func(*admit.Terms) {}
	play := func(name string, first, second func(*admit.Terms), how func(*pair)) {
		p := newPair(terms(first), terms(second))
		how(p)
		tr.Say("%s: %v", name, p.watcher.Counts())
	}
	play("the same", none, none, crowd)
	play("no mark: unusual waits", none, func(s *admit.Terms) { s.Unmarked = true }, func(p *pair) {
		for n := range 300 {
			p.tick(9)
			arrive(p, n, 0, []admit.Micros{2_250_000, 4_500_000 - admit.Micros(n*7919%2_000_000)}[n%2])
		}
	})
	play("a smaller memory", none, func(s *admit.Terms) { s.MemoryKB = 200 }, crowd)
	play("a larger memory", func(s *admit.Terms) { s.MemoryKB = 200 }, none, crowd)
	play("other billed values", none, func(s *admit.Terms) { s.Operations[0].Value = 100 }, func(p *pair) {
		for n := range 5 { // two run, one of each waits, and one more
			arrive(p, n, n%2, 4_000_000)
		}
		p.tick(2)
		p.end("i0", admit.OK)
	})
	play("a shorter objective", none, func(s *admit.Terms) { s.Operations[0].Objective = 400_000 }, crowd)
	play("a longer objective", func(s *admit.Terms) { s.Operations[0].Objective = 400_000 }, none, crowd)
	play("repeats known by key", func(s *admit.Terms) { s.Operations[1].Repeat = admit.Idempotent }, none, func(p *pair) {
		arrive(p, 1, 1, 4_000_000)
		p.now += 1000
		p.tell(admit.Arrived{ID: "i2", Operation: 1, KB: 30, Budget: 4_000_000, Earlier: "i1"})
	})
	play("runs can be paused", none, func(s *admit.Terms) { s.Preemption = admit.StopPauses }, func(p *pair) {
		arrive(p, 1, 0, 100_000)
		p.tick(2)
		for range 10 {
			p.tick(2)
		}
	})
	play("a free value", none, func(s *admit.Terms) { s.FreeValue = admit.TrafficWeight }, crowd)
	play("callers by the hundred", func(s *admit.Terms) { s.Callers = 3 }, none, func(p *pair) {
		for range 100 {
			p.tick(1)
		}
		arrive(p, 1, 0, 4_000_000)
		p.tick(1)
	})
}

// BenchmarkSaw is what watching adds to an event, with some ten in hand.
func BenchmarkSaw(b *testing.B) {
	settings := terms(func(*admit.Terms) {})
	for _, watched := range []bool{false, true} {
		b.Run(fmt.Sprint("watched=", watched), func(b *testing.B) {
			real, w, now := admit.New(settings, 7), New(settings, 7, 0), admit.Micros(0)
			real.Decide(0, admit.Opened{}, nil)
			var acts []admit.Action
			tell := func(ev admit.Event) {
				if acts = real.Decide(now, ev, acts[:0]); watched {
					w.Saw(now, ev, acts)
				}
			}
			ids := make([]string, 16)
			for n := range ids {
				ids[n] = fmt.Sprint("i", n)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += 10_000
				if id := ids[n%len(ids)]; n%len(ids) < 10 {
					tell(admit.Finished{ID: id, Outcome: admit.OK, Took: 1})
					tell(admit.Arrived{ID: id, KB: 30, Hint: 20_000, Budget: 4_000_000, Rank: 0.5})
				} else {
					tell(admit.Reading{Token: 1, CoreUse: 0.7, OnCores: 2})
				}
			}
		})
	}
}
