package simulation

import (
	"fmt"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// dayOfSize returns a typical day of 60 s with a number of hosts, and two thirds as many nodes.
func dayOfSize(hosts int) Scenario {
	day := Default()
	day.Duration = 60 * Second
	day.Hosts.Count, day.Nodes.Count, day.Nodes.Subset = hosts, max(1, hosts*2/3), 12
	day.Load.Level = 0.95
	day.Faults = []Fault{
		{Kind: Burst, At: 10 * Second, Duration: 10 * Second, Factor: 1.4},
		{Kind: Slow, At: 25 * Second, Duration: 10 * Second, Share: 0.25, Factor: 4},
		{Kind: Release, At: 40 * Second, BatchShare: 0.15},
	}
	return day
}

// BenchmarkDay simulates 60 s at several sizes, with the module and with the thread pool, whose own cost is small:
//
//	go test ./internal/simulation -run xxx -bench Day -benchtime 1x
func BenchmarkDay(b *testing.B) {
	for _, policy := range []string{"pool", Module} {
		p, err := PolicyNamed(policy)
		if err != nil {
			b.Fatal(err)
		}
		for _, hosts := range []int{10, 33, 100, 330, 1000} {
			b.Run(fmt.Sprintf("%s/%d", policy, hosts), func(b *testing.B) {
				day := dayOfSize(hosts)
				events, requests := 0.0, 0.0
				for b.Loop() {
					r, err := Play(&day, p, 1, nil)
					if err != nil {
						b.Fatal(err)
					}
					events, requests = events+float64(r.Events), requests+float64(r.Requests)
				}
				b.ReportMetric(events/b.Elapsed().Seconds()/1e6, "Mevents/s")
				b.ReportMetric(b.Elapsed().Seconds()*1e9/events, "ns/event")
				b.ReportMetric(requests/float64(b.N), "requests")
			})
		}
	}
}

// idlePolicy starts each request on arrival, so that only the time of the simulation itself is measured.
type idlePolicy struct{}

func (idlePolicy) Decide(now monotime.Micros, ev admission.Event, out []admission.Action) []admission.Action {
	switch e := ev.(type) {
	case admission.Opened, admission.Reading:
		return append(out, admission.Wake{At: now + 20*Millisecond, Token: 1})
	case admission.Arrived:
		return append(out, admission.Start{ID: e.ID})
	}
	return out
}

// BenchmarkBare measures the simulation with a policy that takes almost no time:
//
//	go test ./internal/simulation -run xxx -bench Bare -benchtime 1x
func BenchmarkBare(b *testing.B) {
	day := dayOfSize(330)
	day.Load.Level, day.Faults = 0.5, nil
	p := &Policy{Name: "idler", New: func(admission.Config, uint64) Decider { return idlePolicy{} }}
	events := 0.0
	for b.Loop() {
		r, err := Play(&day, p, 1, nil)
		if err != nil {
			b.Fatal(err)
		}
		events += float64(r.Events)
	}
	b.ReportMetric(events/b.Elapsed().Seconds()/1e6, "Mevents/s")
}
