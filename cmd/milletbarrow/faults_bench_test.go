package main

import (
	"testing"
	"time"

	"milletbarrow/internal/faultinjection/harness"
	"milletbarrow/internal/faultinjection/schedule"
)

// BenchmarkQuotaRenewal measures the CPU time and memory of an agent that renews the quota leases of 60 idle backends,
// with a quota store of one and of three members. One iteration takes 20 s.
func BenchmarkQuotaRenewal(b *testing.B) {
	for name, hosts := range map[string]int{"alone": 1, "three": 3} {
		b.Run(name, func(b *testing.B) {
			g, err := harness.Open(harness.Options{
				Program: program, Schedule: &schedule.Schedule{Name: name, Hosts: hosts, Backends: 60 * hosts, Span: time.Second}, Lease: 3 * time.Second, Margin: 150 * time.Millisecond,
			})
			if err != nil {
				b.Fatal(err)
			}
			defer g.Close()
			if err := g.Start(b.Context()); err != nil {
				b.Fatal(err)
			}
			agent := g.Processes()[0]
			time.Sleep(4 * time.Second)
			for b.Loop() {
				before := agent.CPU()
				time.Sleep(20 * time.Second)
				b.ReportMetric(float64(agent.CPU()-before)/20e6*100, "%core")
				b.ReportMetric(float64(agent.ResidentKB())/1024, "MB")
			}
		})
	}
}
