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

// Measures holds measurements of how well quotas are used, with real processes. A quota that is divided by demand is
// compared to one of the same size that is divided evenly.
type Measures struct {
	Hosts    int
	Backends int
	Lease    time.Duration
	Margin   time.Duration
	Total    int `json:"Whole"` // units per second of each of the two quotas
	// Moved holds, by division, the seconds from a move of all demand to other backends until 90% of the total is
	// drawn; -1: never.
	Moved map[string][]float64
	// BeforeMove holds, by division, the fraction of the total that is drawn while half of the backends have all
	// demand.
	BeforeMove map[string]float64 `json:"Before"`
	// Lost holds the seconds from the loss of a host until other hosts hold its units, sorted; -1: never.
	Lost []float64
	Dead []DeadAgents
}

// DeadAgents holds what is still drawn with a number of agents dead, once their leases have expired.
type DeadAgents struct {
	Agents int
	Drawn  map[string]float64 // by division: fraction of the total
}

// Divisions of a quota among its holders.
const (
	byDemand = "demand"
	evenly   = "even"
)

var divisions = []string{byDemand, evenly}

const (
	unitsPerBackend = 20   // per second, of each quota
	measurementLoad = 0.45 // fraction of the backends' capacity
)

// Measure starts a trial and takes all measurements, one after the other. It takes several minutes.
func Measure(ctx context.Context, o Options) (m *Measures, err error) {
	n := o.Schedule.Backends
	total := unitsPerBackend * n
	o.Quotas = []Quota{
		{Name: byDemand, Tenant: "acme", Total: total, Floor: 1, Division: byDemand},
		{Name: evenly, Tenant: "zeta", Total: total, Floor: 1, Division: evenly},
	}
	o.Schedule.Load = measurementLoad
	harness, err := Open(o)
	if err != nil {
		return nil, err
	}
	defer func() { _ = harness.Close() }()
	m = &Measures{
		Hosts:      len(harness.hosts),
		Backends:   n,
		Lease:      harness.options.Lease,
		Margin:     harness.options.Margin,
		Total:      total,
		Moved:      map[string][]float64{},
		BeforeMove: map[string]float64{},
	}
	if err := harness.Start(ctx); err != nil {
		return nil, err
	}
	moves := harness.moveDemand(ctx)
	harness.options.Logf("moved demand %d times", len(moves)-1)
	losses, err := harness.killHostsInTurn(ctx)
	if err != nil {
		return nil, err
	}
	harness.options.Logf("killed %d hosts in turn", len(losses))
	spans := harness.killAgentsInTurn(ctx)
	all, err := checker.ReadAll(filepath.Join(harness.site.Dir, "stamps"))
	if err != nil {
		return nil, err
	}
	d := drawLogs{all: all, total: total}
	m.addMoves(d, moves)
	m.addLosses(d, losses)
	m.addDead(d, spans)
	return m, nil
}

// demandPhase is how long all demand stays at one half of the backends.
const demandPhase = 9 * time.Second

// moveDemand moves all demand from one half of the backends to the other and back. It returns the start of each phase
// in microseconds of the boot clock.
func (harness *Harness) moveDemand(ctx context.Context) (at []int64) {
	n := len(harness.site.Backends)
	half := [2][]string{harness.site.Backends[:n/2], harness.site.Backends[n/2:]}
	for i := range 5 {
		at = append(at, int64(process.Now()))
		phase, cancel := context.WithTimeout(ctx, demandPhase)
		harness.sendLoad(phase, 1, half[i%2])
		cancel()
	}
	return at
}

// sendLoad sends the scenario's requests until the context ends. It ignores the outcome, as only the units that holders
// draw are measured.
func (harness *Harness) sendLoad(ctx context.Context, seed uint64, backends []string) {
	s := harness.scenario
	_, _ = loadgen.Run(ctx, loadgen.Options{Scenario: &s, Seed: seed, Backends: backends, Bounds: limits.ForLoad()})
}

// hostLoss is the loss of a host with its agent, its supervisors and its backends.
type hostLoss struct {
	at   int64 // microseconds of the boot clock
	host *host
}

// killHostsInTurn kills one host after the other, and restarts each before the next is killed.
func (harness *Harness) killHostsInTurn(ctx context.Context) (losses []hostLoss, err error) {
	for _, h := range harness.hosts {
		losses = append(losses, hostLoss{harness.killHost(h), h})
		time.Sleep(harness.options.Lease + harness.options.Margin + 4*time.Second)
		if err := harness.startAgent(h); err != nil {
			return nil, err
		}
		if err := harness.waitFor(ctx, 45*time.Second, "return of "+h.name, func() bool {
			_, _ = harness.Tool(ctx, "start", "--host", h.name, "--quiet", "--wait=false", "--within", "30s")
			return harness.fullyGranted(ctx) && harness.readyBackends(ctx) == harness.options.Schedule.Backends
		}); err != nil {
			return nil, err
		}
	}
	return losses, nil
}

// killHost kills all processes of a host and returns the time in microseconds of the boot clock.
func (harness *Harness) killHost(h *host) (at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Kill()
	at = int64(process.Now())
	for _, name := range h.backends {
		record := harness.processesOf(h, name)
		_ = record.Supervisor.Signal(syscall.SIGKILL)
		_ = record.Backend.KillGroup()
	}
	<-h.ended
	return at
}

// deadAgentsSpan is a span in which a number of agents were dead and the leases from before had expired.
type deadAgentsSpan struct {
	agents   int
	from, to int64 // microseconds of the boot clock
}

// killAgentsInTurn kills one agent after the other under load, and returns a span for each number of dead agents.
func (harness *Harness) killAgentsInTurn(ctx context.Context) (spans []deadAgentsSpan) {
	var loading sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	loading.Go(func() {
		for stop.Err() == nil {
			harness.sendLoad(stop, 2, harness.site.Backends)
		}
	})
	for dead := 0; dead <= len(harness.hosts); dead++ {
		if dead > 0 {
			harness.hosts[dead-1].killAgent()
		}
		time.Sleep(2*(harness.options.Lease+harness.options.Margin) + 2*time.Second)
		from := int64(process.Now())
		time.Sleep(3 * time.Second)
		spans = append(spans, deadAgentsSpan{dead, from, int64(process.Now())})
	}
	cancel()
	loading.Wait()
	return spans
}

// drawLogs holds the draw logs of all holders.
type drawLogs struct {
	all   []*checker.Process
	total int // units per second
}

// drawnShare returns the fraction of a quota's total that was drawn in a span, in microseconds of the boot clock.
func (d drawLogs) drawnShare(quota string, from, to int64) float64 {
	return checker.UnitsDrawn(d.all, quota, from, to) * 1e6 / float64(to-from) / float64(d.total)
}

// addMoves computes the time from each move of demand until 90% of the total is drawn again.
func (m *Measures) addMoves(d drawLogs, moves []int64) {
	for _, b := range divisions {
		for _, at := range moves[1:] {
			end := at + demandPhase.Microseconds()
			m.BeforeMove[b] += d.drawnShare(b, end-2_000_000, end-200_000) / float64(len(moves)-1)
			took := -1.0 // never
			for t := at; t+500_000 < end; t += 20_000 {
				if d.drawnShare(b, t, t+500_000) >= 0.9 {
					took = float64(t+500_000-at) / 1e6
					break
				}
			}
			m.Moved[b] = append(m.Moved[b], took)
		}
	}
}

// addLosses computes the time from each loss of a host until the other hosts hold its units. The floors of its backends
// stay reserved and are not counted.
func (m *Measures) addLosses(d drawLogs, losses []hostLoss) {
	for _, l := range losses {
		without := map[string]bool{}
		for _, name := range l.host.backends {
			without[name] = true
		}
		floors := int64(len(l.host.backends))
		if at, ok := checker.HeldSince(d.all, byDemand, without, int64(d.total)-floors, l.at, l.at+30_000_000); ok {
			m.Lost = append(m.Lost, float64(at-l.at)/1e6)
		} else {
			m.Lost = append(m.Lost, -1)
		}
	}
	slices.Sort(m.Lost)
}

// addDead computes the fraction of the total that is still drawn, by the number of dead agents.
func (m *Measures) addDead(d drawLogs, spans []deadAgentsSpan) {
	for _, s := range spans {
		dead := DeadAgents{Agents: s.agents, Drawn: map[string]float64{}}
		for _, b := range divisions {
			dead.Drawn[b] = d.drawnShare(b, s.from, s.to)
		}
		m.Dead = append(m.Dead, dead)
	}
}

// readyBackends returns the number of backends that hold the quota divided by demand, as only ready ones do.
func (harness *Harness) readyBackends(ctx context.Context) (n int) {
	s := harness.quotaState(ctx)
	if s == nil {
		return 0
	}
	for _, b := range s.Quotas {
		if b.Name == byDemand {
			n = len(b.Holders)
		}
	}
	return n
}

// Print writes the measurements as text.
func (m *Measures) Print(w io.Writer) {
	fmt.Fprintf(
		w,
		"%d hosts, %d backends, total %d/s, lease %v, margin %v\n",
		m.Hosts,
		m.Backends,
		m.Total,
		m.Lease,
		m.Margin,
	)
	for _, b := range divisions {
		fmt.Fprintf(
			w,
			"divided by %s: %.2f of the total is drawn with all demand at half of the backends; "+
				"after a move to the other half, 0.9 is drawn again after %.2f s (-1: never)\n",
			b,
			m.BeforeMove[b],
			m.Moved[b],
		)
	}
	fmt.Fprintf(
		w,
		"after the loss of a host, other hosts hold its units after %.2f s (lease and margin are %.2f s)\n",
		m.Lost,
		(m.Lease + m.Margin).Seconds(),
	)
	for _, d := range m.Dead {
		fmt.Fprintf(
			w,
			"%d agents dead: %.2f of the total drawn by demand, %.2f evenly; the floors are %.2f\n",
			d.Agents,
			d.Drawn[byDemand],
			d.Drawn[evenly],
			float64(m.Backends)/float64(m.Total),
		)
	}
}
