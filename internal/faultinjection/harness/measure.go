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

// Measures are how well quotas are used, with real processes: one that is divided by demand, and beside it one of the
// same size that is divided evenly.
type Measures struct {
	Hosts      int
	Backends   int
	Lease      time.Duration
	Margin     time.Duration
	Total      int                  `json:"Whole"` // units a second, of each of both
	Moved      map[string][]float64 // by division: seconds from when all demand moved to other backends until 90% of the total is drawn; -1: never
	BeforeMove map[string]float64   `json:"Before"` // by division: part of the total that is drawn while half of the backends have all demand
	Lost       []float64            // seconds from the loss of a host until others hold its units, sorted; -1: never
	Dead       []DeadAgents
}

// DeadAgents is what is still drawn with some agents dead, once leases are over.
type DeadAgents struct {
	Agents int
	Drawn  map[string]float64 // by division: part of the total
}

// Divisions of a quota among its holders.
const (
	byDemand = "demand"
	evenly   = "even"
)

var divisions = []string{byDemand, evenly}

const (
	unitsPerBackend = 20   // a second, of each quota
	measuredLoad    = 0.45 // as a part of the backends' capacity
)

// Measure runs it all; it takes some minutes.
func Measure(ctx context.Context, o Options) (m *Measures, err error) {
	n := o.Schedule.Backends
	total := unitsPerBackend * n
	o.Quotas = []Quota{
		{Name: byDemand, Tenant: "acme", Total: total, Floor: 1, Division: byDemand},
		{Name: evenly, Tenant: "zeta", Total: total, Floor: 1, Division: evenly},
	}
	o.Schedule.Load = measuredLoad
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
	harness.options.Logf("demand moved %d times", len(moves)-1)
	losses, err := harness.killHostsInTurn(ctx)
	if err != nil {
		return nil, err
	}
	harness.options.Logf("%d hosts were lost", len(losses))
	spans := harness.killAgentsInTurn(ctx)
	all, err := checker.ReadAll(filepath.Join(harness.site.Dir, "stamps"))
	if err != nil {
		return nil, err
	}
	d := draws{all: all, total: total}
	m.addMoves(d, moves)
	m.addLosses(d, losses)
	m.addDead(d, spans)
	return m, nil
}

// demandPhase is how long demand stays at one half of the backends.
const demandPhase = 9 * time.Second

// moveDemand moves all demand from one half of the backends to the other; the times are microseconds of the boot clock.
func (harness *Harness) moveDemand(ctx context.Context) (at []int64) {
	n := len(harness.site.Backends)
	half := [2][]string{harness.site.Backends[:n/2], harness.site.Backends[n/2:]}
	for i := range 5 {
		at = append(at, int64(process.Now()))
		phase, cancel := context.WithTimeout(ctx, demandPhase)
		harness.load(phase, 1, half[i%2])
		cancel()
	}
	return at
}

// load sends the scenario's requests until the context ends; what is measured is what the holders draw.
func (harness *Harness) load(ctx context.Context, seed uint64, backends []string) {
	s := harness.scenario
	_, _ = loadgen.Run(ctx, loadgen.Options{Scenario: &s, Seed: seed, Backends: backends, Bounds: limits.ForLoad()})
}

// hostLoss is a host that died with its agent, its supervisors and its backends.
type hostLoss struct {
	at   int64 // microseconds of the machine's clock
	host *host
}

// killHostsInTurn kills one host after the other; each comes back before the next.
func (harness *Harness) killHostsInTurn(ctx context.Context) (losses []hostLoss, err error) {
	for _, h := range harness.hosts {
		losses = append(losses, hostLoss{harness.killHost(h), h})
		time.Sleep(harness.options.Lease + harness.options.Margin + 4*time.Second)
		if err := harness.startAgent(h); err != nil {
			return nil, err
		}
		if err := harness.waitFor(ctx, 45*time.Second, "return of "+h.name, func() bool {
			_, _ = harness.Tool(ctx, "start", "--host", h.name, "--quiet", "--wait=false", "--within", "30s")
			return harness.fullyGranted(ctx) && harness.ready(ctx) == harness.options.Schedule.Backends
		}); err != nil {
			return nil, err
		}
	}
	return losses, nil
}

func (harness *Harness) killHost(h *host) (at int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Kill()
	at = int64(process.Now())
	for _, name := range h.backends {
		l := harness.processesOf(h, name)
		_ = l.Supervisor.Signal(syscall.SIGKILL)
		_ = l.Backend.KillGroup()
	}
	<-h.ended
	return at
}

// deadSpan is a time in which so many agents were dead and no lease was left from before.
type deadSpan struct {
	agents   int
	from, to int64 // microseconds of the machine's clock
}

// killAgentsInTurn kills agents under load, from none to all.
func (harness *Harness) killAgentsInTurn(ctx context.Context) (spans []deadSpan) {
	var loading sync.WaitGroup
	stop, cancel := context.WithCancel(ctx)
	loading.Go(func() {
		for stop.Err() == nil {
			harness.load(stop, 2, harness.site.Backends)
		}
	})
	for dead := 0; dead <= len(harness.hosts); dead++ {
		if dead > 0 {
			harness.hosts[dead-1].killAgent()
		}
		time.Sleep(2*(harness.options.Lease+harness.options.Margin) + 2*time.Second)
		from := int64(process.Now())
		time.Sleep(3 * time.Second)
		spans = append(spans, deadSpan{dead, from, int64(process.Now())})
	}
	cancel()
	loading.Wait()
	return spans
}

// draws are what all holders wrote down.
type draws struct {
	all   []*checker.Process
	total int // units a second
}

// rate is the part of the total that was drawn in a span, in microseconds of the machine's clock.
func (d draws) rate(budget string, from, to int64) float64 {
	return checker.UnitsDrawn(d.all, budget, from, to) * 1e6 / float64(to-from) / float64(d.total)
}

// addMoves measures how long it takes until nine tenths are drawn again after demand moved.
func (m *Measures) addMoves(d draws, moves []int64) {
	for _, b := range divisions {
		for _, at := range moves[1:] {
			end := at + demandPhase.Microseconds()
			m.BeforeMove[b] += d.rate(b, end-2_000_000, end-200_000) / float64(len(moves)-1)
			took := -1.0 // never
			for t := at; t+500_000 < end; t += 20_000 {
				if d.rate(b, t, t+500_000) >= 0.9 {
					took = float64(t+500_000-at) / 1e6
					break
				}
			}
			m.Moved[b] = append(m.Moved[b], took)
		}
	}
}

// addLosses measures when the other hosts held what a lost one had, but for the floors that stay set aside.
func (m *Measures) addLosses(d draws, losses []hostLoss) {
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

// addDead measures what is still drawn by the number of dead agents.
func (m *Measures) addDead(d draws, spans []deadSpan) {
	for _, s := range spans {
		dead := DeadAgents{Agents: s.agents, Drawn: map[string]float64{}}
		for _, b := range divisions {
			dead.Drawn[b] = d.rate(b, s.from, s.to)
		}
		m.Dead = append(m.Dead, dead)
	}
}

// ready counts the backends that are.
func (harness *Harness) ready(ctx context.Context) (n int) {
	s := harness.quotaState(ctx)
	if s == nil {
		return 0
	}
	for _, b := range s.Budgets {
		if b.Budget == byDemand {
			n = len(b.Holders)
		}
	}
	return n
}

// Print writes them for a person.
func (m *Measures) Print(w io.Writer) {
	fmt.Fprintf(
		w,
		"%d hosts, %d backends, whole %d/s, lease %v, margin %v\n",
		m.Hosts,
		m.Backends,
		m.Total,
		m.Lease,
		m.Margin,
	)
	for _, b := range divisions {
		fmt.Fprintf(
			w,
			"divided by %s: with all demand at half of the backends %.2f of the whole is drawn; moved to the other half, 0.9 is drawn again after %.2f s (-1: never)\n",
			b,
			m.BeforeMove[b],
			m.Moved[b],
		)
	}
	fmt.Fprintf(
		w,
		"a host is lost: others hold its shares after %.2f s (lease and margin are %.2f s)\n",
		m.Lost,
		(m.Lease + m.Margin).Seconds(),
	)
	for _, d := range m.Dead {
		fmt.Fprintf(
			w,
			"%d agents dead: drawn %.2f by demand, %.2f even; the floors are %.2f\n",
			d.Agents,
			d.Drawn[byDemand],
			d.Drawn[evenly],
			float64(m.Backends)/float64(m.Total),
		)
	}
}
