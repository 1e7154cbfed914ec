package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
	"milletbarrow/monotime"
)

func play(t testing.TB, s *Scenario, p *Policy, seed uint64) *Result {
	t.Helper()
	r, err := Play(s, p, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func module(t testing.TB) *Policy {
	t.Helper()
	p, err := PolicyNamed(Module)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// shortDay is a day of a few seconds, for tests of single aspects.
func shortDay() Scenario {
	day := Default()
	day.Duration = 6 * Second
	day.Hosts.Count, day.Nodes.Count, day.Hosts.WarmUp = 4, 4, 2*Second
	return day
}

// TestDays compares what each policy does on one day with the golden file, to the last digit: the simulation may not
// change unnoticed.
func TestDays(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 1.1
	day.Faults = []Fault{{Kind: Slow, At: 2 * Second, Duration: Second, Share: 0.25, Factor: 4}, {Kind: Release, At: 3 * Second, BatchShare: 0.3}}
	for _, p := range Policies() {
		r := play(t, &day, &p, 7)
		tr.Say("%-12s value %.6f attempts %d runs %d events %d rules %v", p.Name, r.Value(), r.Attempts, r.Runs, r.Events, r.BreachesByRule)
		for _, op := range r.Operations {
			tr.Say("    %-9s asks %d in time %d ends %v", op.Name, op.Requests, op.InTime, op.Outcomes)
		}
	}
}

// TestSameSeedSameResult: the same scenario, policy and seed give the same bytes; another seed does not.
func TestSameSeedSameResult(t *testing.T) {
	day := shortDay()
	day.Nodes.ClientRetryShare, day.Nodes.HedgeDelay = 0.5, 200*Millisecond
	day.Faults = []Fault{{Kind: Death, At: 2 * Second, Duration: Second, Share: 0.5}}
	text := func(seed uint64) []byte {
		raw, err := json.Marshal(play(t, &day, module(t), seed))
		if err != nil {
			t.Fatal(err)
		}
		return raw
	}
	if a, b := text(3), text(3); !bytes.Equal(a, b) {
		t.Error("two runs of one seed differ")
	}
	if a, b := text(3), text(4); bytes.Equal(a, b) {
		t.Error("two seeds give the same day")
	}
}

// TestPoliciesMeetTheSameLoad: what is requested does not depend on which policy answers.
func TestPoliciesMeetTheSameLoad(t *testing.T) {
	day := shortDay()
	day.Load.Shape = Bursty
	a := play(t, &day, module(t), 5)
	for _, p := range Policies() {
		if b := play(t, &day, &p, 5); a.Offered != b.Offered || a.Requests != b.Requests {
			t.Errorf("%s: %d requests of value %g, the module had %d of value %g", p.Name, b.Requests, b.Offered, a.Requests, a.Offered)
		}
	}
}

// TestModuleKeepsRulesUnderFaults: the module keeps the four rules under each fault, alone and with others.
func TestModuleKeepsRulesUnderFaults(t *testing.T) {
	kinds := []Fault{
		{Kind: Death, Duration: Second, Share: 0.5}, {Kind: Slow, Duration: 2 * Second, Share: 0.5, Factor: 8}, {Kind: Gray, Duration: 2 * Second, Share: 0.5, Factor: 200},
		{Kind: Release, BatchShare: 0.4}, {Kind: Burst, Duration: Second, Factor: 3}, {Kind: TenantBurst, Duration: 2 * Second, Factor: 5},
		{Kind: NoisyNeighbour, Duration: 2 * Second, Share: 0.5, Factor: 2}, {Kind: Partition, Duration: Second, Share: 0.5}, {Kind: AgentUnavailable, Duration: Second},
		{Kind: DependencySlow, Duration: 2 * Second, Factor: 20}, {Kind: ClockSkew, Duration: Second, Share: 0.5, Factor: 3600},
		{Kind: Release, BatchShare: 0.4, LostNotices: 0.5},
	}
	for _, first := range kinds {
		for seed := range uint64(3) {
			day := shortDay()
			day.Load.Level = 1.2
			day.Operations[1].MakesCalls, day.Operations[0].RetrySafety = true, admission.IdempotencyKeyed
			day.Nodes.ClientRetryShare, day.Nodes.MaxAttempts = 0.3, 0
			day.Tenants = []Tenant{{Name: "a", Share: 0.5, Quota: 200}, {Name: "b", Share: 0.5, Quota: 200}}
			first.At = Second
			second := kinds[(seed*5+uint64(first.Kind))%uint64(len(kinds))]
			second.At = 2 * Second
			day.Faults = []Fault{first, second}
			if r := play(t, &day, module(t), seed); r.BreachCount() > 0 {
				t.Errorf("%v with %v, seed %d: %v %v", first.Kind, second.Kind, seed, r.BreachesByRule, r.Breaches[0])
			}
		}
	}
}

// TestReleaseByFleet: a release by fleet.Machine takes every host through one new incarnation, with never more down
// than the batch and those that crashed, also where agents are unavailable for a while and notices are lost.
func TestReleaseByFleet(t *testing.T) {
	for seed := range uint64(4) {
		day := shortDay()
		day.Duration, day.Hosts.Count, day.Load.Level = 30*Second, 10, 0.4
		day.Faults = []Fault{{Kind: Release, At: 2 * Second, BatchShare: 0.2, ByFleet: true, LostNotices: float64(seed) * 0.1}, {Kind: AgentUnavailable, At: 5 * Second, Duration: 4 * Second}}
		r := play(t, &day, module(t), seed)
		for sec, row := range r.Heat {
			out := 0
			for _, use := range row {
				if use == Down {
					out++
				}
			}
			if out > 2 {
				t.Errorf("seed %d: %d are down at %d s, two may be", seed, out, sec+1)
			}
		}
		if r.Incarnations != 20 || r.BreachCount() > 0 || r.RejectedReleases > 0 {
			t.Errorf("seed %d: %d incarnations of 10 hosts, wanted 20; %d lost notices, %d rejected releases, %v", seed, r.Incarnations, r.LostNotices, r.RejectedReleases, r.Breaches)
		}
	}
}

// alteredBackend plants a fault in the module's decisions.
type alteredBackend struct {
	*admission.Backend
	alter func(now monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action)
}

func (f alteredBackend) Decide(now monotime.Micros, ev admission.Event, out []admission.Action) []admission.Action {
	ev, more := f.alter(now, ev, out)
	if ev == nil {
		return more
	}
	out = f.Backend.Decide(now, ev, out)
	_, out = f.alter(now, nil, out)
	return out
}

// TestAuditFindsPlantedFaults: the audit finds each kind of breach, planted in the module's own decisions.
func TestAuditFindsPlantedFaults(t *testing.T) {
	runs := map[string]bool{}
	faults := []struct {
		name  string
		rule  int
		alter func(now monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action)
	}{
		{"a second answer", 1, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			for _, act := range out {
				if a, ok := act.(admission.Throttle); ok && ev == nil {
					return ev, append(out, a)
				}
			}
			return ev, out
		}},
		{"a lost answer", 1, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if ev != nil {
				return ev, out
			}
			return ev, slices.DeleteFunc(out, func(act admission.Action) bool { _, throttles := act.(admission.Throttle); return throttles })
		}},
		{"a run that came after the grace", 3, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if _, notice := ev.(admission.DrainNotice); notice {
				return nil, out
			}
			return ev, out
		}},
		{"a throttle for what runs", 2, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			for _, act := range out {
				if a, ok := act.(admission.Start); ok && ev == nil && !runs[a.ID] {
					runs[a.ID] = true
					return ev, append(out, admission.Throttle{ID: a.ID})
				}
			}
			return ev, out
		}},
		{"all that comes is started", 4, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if a, ok := ev.(admission.Arrived); ok {
				return nil, append(out, admission.Start{ID: a.ID})
			}
			return ev, out
		}},
	}
	for _, f := range faults {
		day := shortDay()
		day.Load.Level = 1.5
		day.Hosts.CollapseAfter = Second
		day.Faults = []Fault{{Kind: Release, At: Second, BatchShare: 0.5}}
		p := &Policy{Name: f.name, New: func(t admission.Config, seed uint64) Decider { return alteredBackend{admission.New(t, seed), f.alter} }}
		if r := play(t, &day, p, 1); r.BreachesByRule[f.rule] == 0 {
			t.Errorf("%s: rule %d was to be seen broken: %v %v", f.name, f.rule, r.BreachesByRule, r.Breaches)
		}
	}
}

// TestProcessorSharingMean: with one core, no reading and no limit, the mean duration of a run is that of a
// processor-sharing queue, work / (1 - load), whatever the spread of the work.
func TestProcessorSharingMean(t *testing.T) {
	none, err := PolicyNamed("none")
	if err != nil {
		t.Fatal(err)
	}
	for _, tail := range []float64{0, 1} {
		for _, load := range []float64{0.3, 0.6} {
			day := Default()
			day.Duration = 1000 * Second
			day.Hosts.Count, day.Hosts.Cores, day.Hosts.SpeedSpread, day.Hosts.ReadWork, day.Hosts.HandshakeWork, day.Hosts.CollapseMultiple = 1, 1, 0, 0, 0, 1000
			day.Nodes.Count, day.Nodes.NetworkDelay = 1, 0
			day.Operations = []Operation{{Name: "a", Value: 1, Share: 1, Work: 20 * Millisecond, WorkSigma: tail, Objective: 100 * Second, Timeout: 100 * Second}}
			day.Load.Level = load
			r := play(t, &day, none, 1)
			h, err := r.Operations[0].Histogram()
			if err != nil {
				t.Fatal(err)
			}
			want := 20_000 / (1 - load)
			if got := h.Mean(); math.Abs(got-want) > 0.06*want {
				t.Errorf("spread %g, load %g: %.0f us in the mean, the queue's is %.0f", tail, load, got, want)
			}
		}
	}
}

// TestEdgeCases: days at the bounds of what a scenario can be.
func TestEdgeCases(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 0
	r := play(t, &day, module(t), 1)
	tr.Say("without arrivals: %d asks, %d broken", r.Requests, r.BreachCount())

	day = shortDay()
	day.Faults = []Fault{{Kind: Death, At: 3 * Second, Duration: Second, Share: 1}}
	r = play(t, &day, module(t), 1)
	tr.Say("all hosts die with everything in hand: %d deaths, every ask ended: %t, broken %d", r.Deaths, countOutcomes(r) == r.Requests, r.BreachCount())

	day = shortDay()
	day.Duration, day.Hosts.Count, day.Nodes.Count, day.Load.Level = 2*Second, 10_000, 50, 0.01
	day.Faults = []Fault{{Kind: Death, At: Second, Duration: Second / 2, Share: 1}}
	r = play(t, &day, module(t), 1)
	tr.Say("10,000 die at once: %d deaths, every ask ended: %t, up at the end of the day: %d", r.Deaths, countOutcomes(r) == r.Requests, r.Seconds[1].HostsUp)

	for _, alter := range []func(*Scenario){
		func(s *Scenario) { s.Hosts.MemoryKB = 1 }, func(s *Scenario) { s.Operations = nil }, func(s *Scenario) { s.Hosts.DrainGrace = s.Hosts.ExitTimeout },
		func(s *Scenario) { s.Operations[0].Timeout = 1 }, func(s *Scenario) { s.Faults = []Fault{{Kind: TenantBurst, Factor: 2}} },
		func(s *Scenario) { s.Hosts.Count = 0 }, func(s *Scenario) { s.Load.Recorded = []Recorded{{At: 2, Work: 1}, {At: 1, Work: 1}} },
	} {
		day = shortDay()
		alter(&day)
		_, err := Play(&day, module(t), 1, nil)
		tr.Say("%v", err)
	}
}

func countOutcomes(r *Result) (n int) {
	for _, op := range r.Operations {
		for _, c := range op.Outcomes {
			n += c
		}
	}
	return n
}

// TestEventQueueOrder: events are returned by time, and those of one time in the order in which they were scheduled,
// whichever way they were queued.
func TestEventQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue{lanes: make([]lane, 3)}
		now, put := monotime.Micros(0), 0
		var last event
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				e := event{at: now + monotime.Micros(rapid.IntRange(0, 20).Draw(t, "in"))}
				if n := rapid.IntRange(0, 5).Draw(t, "lane"); n < 4 {
					q.pushLane(n, e)
				} else {
					q.push(e)
				}
				put++
				continue
			}
			e, ok := q.next()
			if ok != (put > 0) {
				t.Fatalf("%d are in it, next says %t", put, ok)
			}
			if !ok {
				continue
			}
			put--
			if e.at < now {
				t.Fatalf("an event of %d at %d", e.at, now)
			}
			if e.at == last.at && e.seq < last.seq {
				t.Fatalf("%v after %v", e, last)
			}
			now, last = e.at, e
		}
	})
}

// TestEveryRequestEnds: whatever breaks, each request ends once, values add up, and seconds add up to the day.
func TestEveryRequestEnds(t *testing.T) {
	all := Policies()
	rapid.Check(t, func(t *rapid.T) {
		day := shortDay()
		day.Duration = 2 * Second
		day.Load.Level = rapid.Float64Range(0, 2).Draw(t, "load")
		day.Load.Shape = Shape(rapid.IntRange(0, int(DueDate)).Draw(t, "shape"))
		day.Nodes.MaxAttempts = rapid.IntRange(0, 4).Draw(t, "max attempts")
		day.Nodes.UnresponsiveShare = rapid.Float64Range(0, 1).Draw(t, "unresponsive share")
		day.Nodes.HedgeDelay = monotime.Micros(rapid.IntRange(0, 100_000).Draw(t, "hedge"))
		day.Nodes.CancelDelay = monotime.Micros(rapid.IntRange(-1, 50_000).Draw(t, "cancel delay"))
		day.Nodes.Subset = rapid.IntRange(0, 5).Draw(t, "subset")
		day.Operations[0].MakesCalls = rapid.Bool().Draw(t, "calls")
		day.Hosts.Connections = rapid.IntRange(1, 10).Draw(t, "connections")
		for range rapid.IntRange(0, 3).Draw(t, "faults") {
			day.Faults = append(day.Faults, Fault{
				Kind: []FaultKind{Death, Slow, Gray, Release, Burst, Partition, DependencySlow}[rapid.IntRange(0, 6).Draw(t, "kind")],
				At:   monotime.Micros(rapid.IntRange(0, 2_000_000).Draw(t, "at")), Duration: monotime.Micros(rapid.IntRange(1, 1_000_000).Draw(t, "for")),
				Share: rapid.Float64Range(0, 1).Draw(t, "share"), Factor: rapid.Float64Range(0.1, 10).Draw(t, "factor"), BatchShare: 0.3,
			})
		}
		p := all[rapid.IntRange(0, len(all)-1).Draw(t, "policy")]
		r, err := Play(&day, &p, rapid.Uint64().Draw(t, "seed"), nil)
		if err != nil {
			t.Fatal(err)
		}
		billed, offered := 0.0, 0.0
		for _, sec := range r.Seconds {
			billed, offered = billed+sec.Billed, offered+sec.Offered
		}
		switch {
		case countOutcomes(r) != r.Requests+r.ClientRetries:
			t.Fatalf("%d requests, %d sent again, %d outcomes", r.Requests, r.ClientRetries, countOutcomes(r))
		case math.Abs(billed-r.Billed) > 1e-6 || math.Abs(offered-r.Offered) > 1e-6 || r.Billed > r.Offered+1e-6:
			t.Fatalf("billed %g by seconds %g, offered %g by seconds %g", r.Billed, billed, r.Offered, offered)
		case p.Name == Module && r.BreachCount() > 0:
			t.Fatalf("%v", r.Breaches[0])
		}
	})
}

// TestReplayed: a trace tells the course of one request.
func TestReplayed(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 1.5
	course := &Trace{Request: 900, Host: -1, MaxLines: 20}
	if _, err := Play(&day, module(t), 2, course); err != nil {
		t.Fatal(err)
	}
	for _, line := range course.Lines {
		tr.Say("%s", line)
	}
	few := &Trace{Host: 1, MaxLines: 3}
	if _, err := Play(&day, module(t), 2, few); err != nil {
		t.Fatal(err)
	}
	tr.Say("%d lines of host 1, and more: %t", len(few.Lines), few.Omitted > 0)
}

func ExamplePlay() {
	day := Default()
	day.Duration, day.Load.Level = 2*Second, 0.5
	p, _ := PolicyNamed("pool")
	r, err := Play(&day, p, 1, nil)
	fmt.Println(err, r.BreachCount(), r.Value() > 0.99)
	// Output: <nil> 0 true
}
