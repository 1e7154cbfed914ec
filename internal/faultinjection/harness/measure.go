package harness

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/loadgen"
	"milletbarrow/internal/process"
)

// Measures are how well shares are used, with real processes: one budget that is divided by demand, and beside it one of the
// same size that is divided evenly.
type Measures struct {
	Hosts, Backends int
	Lease, Margin   time.Duration
	Whole           int
	Moved           map[string][]float64 // by division: seconds from when all demand moved to other backends until 90% of the whole is drawn
	Before          map[string]float64   // by division: part of the whole that is drawn while half of the backends have all demand
	Lost            []float64            // seconds from the loss of a host until others hold its shares, sorted
	Dead            []Dead
}

// Dead is what is still drawn with some agents dead, once leases are over.
type Dead struct {
	Agents int
	Drawn  map[string]float64 // by division: part of the whole
}

// Measure plays it all; it takes some minutes.
func Measure(ctx context.Context, o Options) (m *Measures, err error) {
	n := o.Table.Backends
	whole := 20 * n
	o.Budgets = []Budget{
		{Name: "demand", Tenant: "acme", Whole: whole, Floor: 1, Divide: "demand"}, {Name: "even", Tenant: "zeta", Whole: whole, Floor: 1, Divide: "even"},
	}
	o.Table.Load = 0.45
	g, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = g.Close() }()
	m = &Measures{Hosts: len(g.hosts), Backends: n, Lease: g.o.Lease, Margin: g.o.Margin, Whole: whole, Moved: map[string][]float64{}, Before: map[string]float64{}}
	if err := g.Start(ctx); err != nil {
		return nil, err
	}
	var marks []int64
	send := func(d time.Duration, backends []string) {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		s := g.scenario
		_, _ = loadgen.Run(ctx, loadgen.Options{Scenario: &s, Seed: 1, Backends: backends, Bounds: limits.ForLoad()})
	}
	const phase = 9 * time.Second
	half := [2][]string{g.site.Backends[:n/2], g.site.Backends[n/2:]}
	for i := range 5 { // demand moves from one half of the backends to the other
		marks = append(marks, process.Now())
		send(phase, half[i%2])
	}
	o.Say("demand moved %d times", len(marks)-1)
	// A host is lost with its agent, its keepers and its backends, and comes back.
	type loss struct {
		at   int64
		host *host
	}
	var lost []loss
	for _, h := range g.hosts {
		h.mu.Lock()
		_ = h.cmd.Process.Kill()
		at := process.Now()
		for _, name := range h.names {
			l := g.life(h, name)
			_ = l.Keeper.Signal(syscall.SIGKILL)
			_ = l.Instance.KillGroup()
		}
		<-h.ended
		h.mu.Unlock()
		lost = append(lost, loss{at, h})
		time.Sleep(g.o.Lease + g.o.Margin + 4*time.Second)
		if err := g.startAgent(h); err != nil {
			return nil, err
		}
		if err := g.until(ctx, 45*time.Second, "return of "+h.name, func() bool {
			_, _ = g.Tool(ctx, "start", "--host", h.name, "--quiet", "--wait=false", "--within", "30s")
			return g.wholeNow(ctx) && g.ready(ctx) == n
		}); err != nil {
			return nil, err
		}
	}
	o.Say("%d hosts were lost", len(lost))
	// Agents die, from none to all, under load.
	type span struct {
		agents   int
		from, to int64
	}
	var spans []span
	var loading sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	loading.Go(func() {
		for stop.Err() == nil {
			s := g.scenario
			_, _ = loadgen.Run(stop, loadgen.Options{Scenario: &s, Seed: 2, Backends: g.site.Backends, Bounds: limits.ForLoad()})
		}
	})
	for dead := 0; dead <= len(g.hosts); dead++ {
		if dead > 0 {
			g.hosts[dead-1].killAgent()
		}
		time.Sleep(2*(g.o.Lease+g.o.Margin) + 2*time.Second)
		from := process.Now()
		time.Sleep(3 * time.Second)
		spans = append(spans, span{dead, from, process.Now()})
	}
	cancel()
	loading.Wait()
	all, err := checker.ReadAll(filepath.Join(g.site.Dir, "stamps"))
	if err != nil {
		return nil, err
	}
	rate := func(budget string, from, to int64) float64 {
		return checker.Drawn(all, budget, from, to) * 1e6 / float64(to-from) / float64(whole)
	}
	for _, b := range []string{"demand", "even"} {
		for i, at := range marks {
			end := at + phase.Microseconds()
			if i == 0 {
				continue
			}
			m.Before[b] += rate(b, end-2_000_000, end-200_000) / float64(len(marks)-1)
			took := -1.0 // never
			for t := at; t+500_000 < end; t += 20_000 {
				if rate(b, t, t+500_000) >= 0.9 {
					took = float64(t+500_000-at) / 1e6
					break
				}
			}
			m.Moved[b] = append(m.Moved[b], took)
		}
	}
	for _, l := range lost {
		without := map[string]bool{}
		for _, name := range l.host.names {
			without[name] = true
		}
		floors := int64(len(l.host.names)) // they stay set aside
		if at, ok := checker.HeldSince(all, "demand", without, int64(whole)-floors, l.at, l.at+30_000_000); ok {
			m.Lost = append(m.Lost, float64(at-l.at)/1e6)
		} else {
			m.Lost = append(m.Lost, -1)
		}
	}
	slices.Sort(m.Lost)
	for _, s := range spans {
		d := Dead{Agents: s.agents, Drawn: map[string]float64{}}
		for _, b := range []string{"demand", "even"} {
			d.Drawn[b] = rate(b, s.from, s.to)
		}
		m.Dead = append(m.Dead, d)
	}
	return m, nil
}

// ready counts the backends that are.
func (g *Ground) ready(ctx context.Context) (n int) {
	s := g.budgets(ctx)
	if s == nil {
		return 0
	}
	for _, b := range s.Budgets {
		if b.Budget == "demand" {
			n = len(b.Holders)
		}
	}
	return n
}

// Print tells of them.
func (m *Measures) Print(w io.Writer) {
	fmt.Fprintf(w, "%d hosts, %d backends, whole %d/s, lease %v, margin %v\n", m.Hosts, m.Backends, m.Whole, m.Lease, m.Margin)
	for _, b := range []string{"demand", "even"} {
		fmt.Fprintf(w, "divided by %s: with all demand at half of the backends %.2f of the whole is drawn; moved to the other half, 0.9 is drawn again after %.2f s (-1: never)\n",
			b, m.Before[b], m.Moved[b])
	}
	fmt.Fprintf(w, "a host is lost: others hold its shares after %.2f s (lease and margin are %.2f s)\n", m.Lost, (m.Lease + m.Margin).Seconds())
	for _, d := range m.Dead {
		fmt.Fprintf(w, "%d agents dead: drawn %.2f by demand, %.2f even; the floors are %.2f\n", d.Agents, d.Drawn["demand"], d.Drawn["even"], float64(m.Backends)/float64(m.Whole))
	}
}
