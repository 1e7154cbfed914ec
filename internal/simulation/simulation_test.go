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

// play returns the result of a scenario.
func play(t testing.TB, s *Scenario, p *Policy, seed uint64) *Result {
	t.Helper()
	r, err := Play(s, p, seed, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// module returns the policy that uses admission.Backend.
func module(t testing.TB) *Policy {
	t.Helper()
	p, err := PolicyNamed(Module)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// shortDay returns a scenario of a few seconds.
func shortDay() Scenario {
	day := Default()
	day.Duration = 6 * Second
	day.Hosts.Count, day.Nodes.Count, day.Hosts.WarmUp = 4, 4, 2*Second
	return day
}

// TestPoliciesOnOneDayMatchGoldenFile compares the result of each policy with the golden file, to the last digit. It
// guards against unintended changes of the simulation, which would make results incomparable with stored ones.
func TestPoliciesOnOneDayMatchGoldenFile(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 1.1
	day.Faults = []Fault{{Kind: Slow, At: 2 * Second, Duration: Second, Share: 0.25, Factor: 4}, {Kind: Release, At: 3 * Second, BatchShare: 0.3}}
	for _, p := range Policies() {
		r := play(t, &day, &p, 7)
		tr.Say("%-12s value %.6f attempts %d runs %d events %d breaches by rule %v", p.Name, r.Value(), r.Attempts, r.Runs, r.Events, r.BreachesByRule)
		for _, op := range r.Operations {
			tr.Say("    %-9s requests %d in time %d outcomes %v", op.Name, op.Requests, op.InTime, op.Outcomes)
		}
	}
}

// TestPlayGivesSameBytesForSameSeed checks that the same scenario, policy and seed give the same bytes, and another
// seed does not.
func TestPlayGivesSameBytesForSameSeed(t *testing.T) {
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
		t.Error("two runs with the same seed differ")
	}
	if a, b := text(3), text(4); bytes.Equal(a, b) {
		t.Error("runs with different seeds are equal")
	}
}

// TestOfferedLoadIsIndependentOfPolicy checks that the requests of a day do not depend on the policy, as results could
// not be compared otherwise.
func TestOfferedLoadIsIndependentOfPolicy(t *testing.T) {
	day := shortDay()
	day.Load.Shape = Bursty
	a := play(t, &day, module(t), 5)
	for _, p := range Policies() {
		if b := play(t, &day, &p, 5); a.Offered != b.Offered || a.Requests != b.Requests {
			t.Errorf("%s: %d requests of value %g, the module had %d of value %g", p.Name, b.Requests, b.Offered, a.Requests, a.Offered)
		}
	}
}

// TestModuleKeepsRulesUnderFaults checks that the module keeps the four rules under each fault, in combination with
// others.
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

// TestFleetReleaseReplacesEveryHostWithinBatchSize checks that a release by fleet.Machine restarts each host once and
// that no more hosts than the batch size are down at once, although agents are unavailable for a while and shutdown
// notices are lost.
func TestFleetReleaseReplacesEveryHostWithinBatchSize(t *testing.T) {
	for seed := range uint64(4) {
		day := shortDay()
		day.Duration, day.Hosts.Count, day.Load.Level = 30*Second, 10, 0.4
		day.Faults = []Fault{{Kind: Release, At: 2 * Second, BatchShare: 0.2, ByFleet: true, LostNotices: float64(seed) * 0.1}, {Kind: AgentUnavailable, At: 5 * Second, Duration: 4 * Second}}
		r := play(t, &day, module(t), seed)
		for sec, row := range r.Heat {
			down := 0
			for _, use := range row {
				if use == Down {
					down++
				}
			}
			if down > 2 {
				t.Errorf("seed %d: %d hosts are down at %d s, wanted at most 2", seed, down, sec+1)
			}
		}
		if r.Incarnations != 20 || r.BreachCount() > 0 || r.RejectedReleases > 0 {
			t.Errorf("seed %d: %d incarnations of 10 hosts, wanted 20; %d lost notices, %d rejected releases, %v", seed, r.Incarnations, r.LostNotices, r.RejectedReleases, r.Breaches)
		}
	}
}

// alteredDecider changes the decisions of the module. It calls alter with each event before the decision, and with a
// nil event and the actions after it. If alter returns no event, the module does not see the event.
type alteredDecider struct {
	*admission.Backend
	alter func(now monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action)
}

func (d alteredDecider) Decide(now monotime.Micros, ev admission.Event, out []admission.Action) []admission.Action {
	ev, more := d.alter(now, ev, out)
	if ev == nil {
		return more
	}
	out = d.Backend.Decide(now, ev, out)
	_, out = d.alter(now, nil, out)
	return out
}

// TestAuditDetectsAlteredDecisions checks that the audit detects breaches of each rule that altered decisions of the
// module cause.
func TestAuditDetectsAlteredDecisions(t *testing.T) {
	runs := map[string]bool{}
	tests := []struct {
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
		{"a missing answer", 1, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if ev != nil {
				return ev, out
			}
			return ev, slices.DeleteFunc(out, func(act admission.Action) bool { _, throttles := act.(admission.Throttle); return throttles })
		}},
		{"a run of a request that arrived after the grace period", 3, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if _, notice := ev.(admission.DrainNotice); notice {
				return nil, out
			}
			return ev, out
		}},
		{"a rejection of a running request", 2, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			for _, act := range out {
				if a, ok := act.(admission.Start); ok && ev == nil && !runs[a.ID] {
					runs[a.ID] = true
					return ev, append(out, admission.Throttle{ID: a.ID})
				}
			}
			return ev, out
		}},
		{"every request is started", 4, func(_ monotime.Micros, ev admission.Event, out []admission.Action) (admission.Event, []admission.Action) {
			if a, ok := ev.(admission.Arrived); ok {
				return nil, append(out, admission.Start{ID: a.ID})
			}
			return ev, out
		}},
	}
	for _, test := range tests {
		day := shortDay()
		day.Load.Level = 1.5
		day.Hosts.CollapseAfter = Second
		day.Faults = []Fault{{Kind: Release, At: Second, BatchShare: 0.5}}
		p := &Policy{Name: test.name, New: func(config admission.Config, seed uint64) Decider {
			return alteredDecider{admission.New(config, seed), test.alter}
		}}
		if r := play(t, &day, p, 1); r.BreachesByRule[test.rule] == 0 {
			t.Errorf("%s: no breach of rule %d was found: %v %v", test.name, test.rule, r.BreachesByRule, r.Breaches)
		}
	}
}

// TestMeanRunDurationMatchesProcessorSharing compares the mean duration of runs with the theory. With one core, no time
// to read requests and no concurrency limit it must be that of a processor-sharing queue, work / (1 - load), whatever
// the distribution of the work.
func TestMeanRunDurationMatchesProcessorSharing(t *testing.T) {
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
				t.Errorf("sigma of work %g, load %g: the mean is %.0f us, wanted %.0f", tail, load, got, want)
			}
		}
	}
}

// TestScenariosAtLimitsEndOrAreRejected checks that scenarios at the limits end with every request answered or failed,
// and that scenarios beyond them are rejected with the invalid field.
func TestScenariosAtLimitsEndOrAreRejected(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 0
	r := play(t, &day, module(t), 1)
	tr.Say("without arrivals: %d requests, %d breaches", r.Requests, r.BreachCount())

	day = shortDay()
	day.Faults = []Fault{{Kind: Death, At: 3 * Second, Duration: Second, Share: 1}}
	r = play(t, &day, module(t), 1)
	tr.Say("all hosts crash with requests in flight: %d deaths, every request ended: %t, %d breaches", r.Deaths, countOutcomes(r) == r.Requests, r.BreachCount())

	day = shortDay()
	day.Duration, day.Hosts.Count, day.Nodes.Count, day.Load.Level = 2*Second, 10_000, 50, 0.01
	day.Faults = []Fault{{Kind: Death, At: Second, Duration: Second / 2, Share: 1}}
	r = play(t, &day, module(t), 1)
	tr.Say("10,000 hosts crash at once: %d deaths, every request ended: %t, up at the end of the day: %d", r.Deaths, countOutcomes(r) == r.Requests, r.Seconds[1].HostsUp)

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

// countOutcomes returns the number of outcomes of all operations.
func countOutcomes(r *Result) (n int) {
	for _, op := range r.Operations {
		for _, c := range op.Outcomes {
			n += c
		}
	}
	return n
}

// TestEventQueueReturnsEventsInScheduledOrder checks that events are returned by time, and events at the same time in
// the order in which they were scheduled, both from the heap and from lanes.
func TestEventQueueReturnsEventsInScheduledOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue{lanes: make([]lane, 3)}
		now, queued := monotime.Micros(0), 0
		var last event
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "put") {
				e := event{at: now + monotime.Micros(rapid.IntRange(0, 20).Draw(t, "in"))}
				if n := rapid.IntRange(0, 5).Draw(t, "lane"); n < 4 {
					q.pushLane(n, e)
				} else {
					q.push(e)
				}
				queued++
				continue
			}
			e, ok := q.next()
			if ok != (queued > 0) {
				t.Fatalf("%d events are queued, next returned %t", queued, ok)
			}
			if !ok {
				continue
			}
			queued--
			if e.at < now {
				t.Fatalf("an event at %d was returned at %d", e.at, now)
			}
			if e.at == last.at && e.sequence < last.sequence {
				t.Fatalf("%v was returned after %v", e, last)
			}
			now, last = e.at, e
		}
	})
}

// TestEveryRequestEndsUnderFaults checks that under any faults each request ends once, that the values per second add
// up to those of the day, and that the module keeps the four rules.
func TestEveryRequestEndsUnderFaults(t *testing.T) {
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

// TestTraceRecordsStepsOfRequest checks the lines of a trace of one request, and that a trace of one host is limited to
// MaxLines.
func TestTraceRecordsStepsOfRequest(t *testing.T) {
	tr := fakes.NewTrace(t)
	day := shortDay()
	day.Load.Level = 1.5
	requestTrace := &Trace{Request: 900, Host: -1, MaxLines: 20}
	if _, err := Play(&day, module(t), 2, requestTrace); err != nil {
		t.Fatal(err)
	}
	for _, line := range requestTrace.Lines {
		tr.Say("%s", line)
	}
	hostTrace := &Trace{Host: 1, MaxLines: 3}
	if _, err := Play(&day, module(t), 2, hostTrace); err != nil {
		t.Fatal(err)
	}
	tr.Say("%d lines of host 1, and more: %t", len(hostTrace.Lines), hostTrace.Omitted > 0)
}

// ExamplePlay simulates two seconds with the thread pool baseline.
func ExamplePlay() {
	day := Default()
	day.Duration, day.Load.Level = 2*Second, 0.5
	p, _ := PolicyNamed("pool")
	r, err := Play(&day, p, 1, nil)
	fmt.Println(err, r.BreachCount(), r.Value() > 0.99)
	// Output: <nil> 0 true
}
