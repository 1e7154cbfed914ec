package main

import (
	"context"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// Benchmarks of a fleet of real processes:
//
//	go test ./cmd/milletbarrow -run xxx -bench 'Notice|Adopt' -benchtime 5x
//	go test ./cmd/milletbarrow -run xxx -bench Idle -benchtime 1x

func (h *testFleet) up(b *testing.B) *agentapi.Client {
	b.Helper()
	h.startAgent()
	fakes.Until(b, "the agent answers", func() bool { return h.status().Status != nil })
	h.must("start", "--all", "--quiet", "--within", "60s")
	c := agentapi.NewClientFactory(limits.ForControl(), 1).Client("unix:" + h.dir + "/agent.sock")
	b.Cleanup(c.Close)
	return c
}

var drainLine = regexp.MustCompile(`time=(\S+) event=drain `)

// noticeTimes returns, from the instances' logs, when each last received the shutdown notice.
func (h *testFleet) noticeTimes(b *testing.B) (all []time.Time) {
	b.Helper()
	for _, n := range h.names {
		raw, err := os.ReadFile(filepath.Join(h.dir, "keepers", n+".log"))
		found := drainLine.FindAllStringSubmatch(string(raw), -1)
		if err != nil || len(found) == 0 {
			b.Fatalf("%s: no drain event in its log: %v", n, err)
		}
		at, err := time.Parse(time.RFC3339Nano, found[len(found)-1][1])
		if err != nil {
			b.Fatal(err)
		}
		all = append(all, at)
	}
	return all
}

// BenchmarkFleetNotice measures the time from a drain command to SIGTERM in each of sixty instances.
func BenchmarkFleetNotice(b *testing.B) {
	h := newTestFleet(b, 60, "(start-within 60s) (settle 0s)", "", "")
	c := h.up(b)
	latency := hdrhistogram.New(1, 60_000_000, 3)
	for round := 0; b.Loop(); round++ {
		began := time.Now()
		id := "drain" + string(rune('a'+round%26)) + began.Format("150405")
		_, err := c.Submit(context.Background(), agentapi.CommandRequest{ID: id, Kind: fleet.KindDrain, Instances: h.names, RequestedBy: "bench", TimeoutMicros: 60_000_000})
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		h.untilAll(fleet.PhaseExited)
		for _, at := range h.noticeTimes(b) {
			if err := latency.RecordValue(at.Sub(began).Microseconds()); err != nil {
				b.Fatal(err)
			}
		}
		h.must("start", "--all", "--quiet", "--within", "60s")
		b.StartTimer()
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "ms-p50")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "ms-p99")
	b.ReportMetric(float64(latency.Max())/1000, "ms-max")
}

// BenchmarkFleetAdopt measures the time from the start of an agent until it reports all forty instances ready.
func BenchmarkFleetAdopt(b *testing.B) {
	h := newTestFleet(b, 40, "(start-within 60s) (settle 0s)", "", "")
	c := h.up(b)
	latency := hdrhistogram.New(1, 60_000_000, 3)
	for b.Loop() {
		b.StopTimer()
		h.killAgent()
		b.StartTimer()
		began := time.Now()
		h.startAgent()
		fakes.Until(b, "all are adopted", func() bool {
			s, err := c.Status(context.Background())
			return err == nil && !slices.ContainsFunc(s.Instances, func(in agentapi.Instance) bool { return in.Phase != fleet.PhaseReady })
		})
		if err := latency.RecordValue(time.Since(began).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "ms-p50")
	b.ReportMetric(float64(latency.Max())/1000, "ms-max")
}

// BenchmarkFleetIdle measures the CPU time and memory of the agent and its supervisors with sixty idle instances.
func BenchmarkFleetIdle(b *testing.B) {
	h := newTestFleet(b, 60, "(start-within 60s) (settle 0s)", "", "")
	h.up(b)
	const span = 10 * time.Second
	agent, err := process.Of(h.agent.Process.Pid)
	if err != nil {
		b.Fatal(err)
	}
	supervisors := make([]process.Identity, 0, len(h.names))
	for _, n := range h.names {
		l, err := h.supervisorState(n)
		if err != nil {
			b.Fatal(err)
		}
		supervisors = append(supervisors, l.Supervisor)
	}
	cpu := func() (of int64) {
		for _, k := range supervisors {
			of += k.CPU()
		}
		return of
	}
	// A single measurement over the whole span; b.N is not used.
	agentBefore, supervisorsBefore := agent.CPU(), cpu()
	time.Sleep(span)
	share := func(us int64) float64 { return 100 * float64(us) / float64(span.Microseconds()) }
	b.ReportMetric(share(agent.CPU()-agentBefore), "%core-agent")
	b.ReportMetric(share(cpu()-supervisorsBefore), "%core-60-keepers")
	private := 0.0
	for _, k := range supervisors {
		private += float64(privateKB(k.PID))
	}
	b.ReportMetric(float64(agent.ResidentKB())/1024, "MB-agent")
	b.ReportMetric(private/1024/float64(len(supervisors)), "MB-private-a-keeper")
}

// privateKB returns the memory that a process shares with no other.
func privateKB(pid int) (kb int64) {
	raw, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "smaps_rollup"))
	for line := range strings.Lines(string(raw)) {
		f := strings.Fields(line)
		if len(f) == 3 && strings.HasPrefix(f[0], "Private_") {
			n := int64(0)
			for _, c := range f[1] {
				n = n*10 + int64(c-'0')
			}
			kb += n
		}
	}
	return kb
}
