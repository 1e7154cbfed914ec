package simulation

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"milletbarrow/admission"
	"milletbarrow/internal/backend/degradation"
)

// Policy is what is measured: what a host decides with, and how nodes choose where that is part of it.
type Policy struct {
	Name      string
	New       func(t admission.Config, seed uint64) Decider
	Ladder    *degradation.Policy // levels of reduced service before the module; nil: none
	Balance   *Balance            // instead of the scenario's
	Throttles bool                // nodes throttle by themselves
	Shares    Shares              // where hosts have their part of the tenants' quotas from
	SeesWork  bool                // hints are the true work: an oracle's
	About     string
	Source    string
}

func (p *Policy) balance(s *Scenario) Balance {
	if p.Balance != nil {
		return *p.Balance
	}
	return s.Nodes.Balance
}

func (p *Policy) throttles(s *Scenario) bool { return p.Throttles || s.Nodes.Throttles }

// Module is the name of the policy that is admit, unchanged.
const Module = "milletbarrow"

// Policies are all there are: the module first, then the baselines, which serve nobody, and the oracle.
func Policies() []Policy {
	two, least, oracle := TwoChoices, LeastLoad, Oracle
	short := pooled(func(*pool) {})
	return []Policy{
		{
			Name: Module, About: "the module, unchanged",
			New:    func(t admission.Config, seed uint64) Decider { return admission.New(t, seed) },
			Source: "docs/design.md",
		},
		{Name: "pool", New: short, About: "a run a core, and a line of four a core, in turn", Source: "the ordinary thread pool"},
		{
			Name: "none", New: pooled(func(p *pool) { p.limit, p.line = 1<<30, 0 }), About: "all that comes is run at once",
			Source: "no admission",
		},
		{
			Name: "fixed", New: pooled(func(p *pool) { p.limit, p.line = 4*p.t.Cores, 0 }),
			About: "four runs a core, no line", Source: "a fixed limit of concurrency",
		},
		{
			Name: "aimd", New: pooled(func(p *pool) { p.limit, p.line, p.adapt = 4*p.t.Cores, 0, aimd }),
			About:  "a limit that grows by one a round of successes and falls by a tenth when one is late",
			Source: "Jacobson, Congestion Avoidance and Control, 1988; as a limit of concurrency",
		},
		{
			Name: "gradient", New: pooled(func(p *pool) { p.limit, p.line, p.adapt = 4*p.t.Cores, 0, gradient }),
			About:  "a limit that follows the long-term by the present time of a run, with room for a root of itself",
			Source: "the gradient limit, Performance Under Load, Netflix Technology Blog, 2018",
		},
		{
			Name: "codel", New: pooled(func(p *pool) { p.line, p.delay = 64*p.t.Cores, 100*Millisecond }),
			About:  "newest first once the line has not been empty for 100 ms; what waited longer than allowed is turned away",
			Source: "Nichols and Jacobson, Controlling Queue Delay, 2012; adaptive LIFO, Maurer, Fail at Scale, 2015",
		},
		{
			Name: "client", New: short, Throttles: true, About: "pool, and nodes that throttle by the share accepted of late",
			Source: "Handling Overload, Site Reliability Engineering, 2016",
		},
		{
			Name: "two-choices", New: short, Balance: &two, About: "pool, and nodes that take the emptier of two hosts",
			Source: "Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 1996",
		},
		{
			Name: "least-load", New: short, Balance: &least, About: "pool, and nodes that weigh what they have open by how long it takes",
			Source: "weighted least load",
		},
		{
			Name: "oracle", Balance: &oracle, SeesWork: true, About: "sees each host's true work 0.1 s late, and the work of what comes; by value for its work",
			New:    pooled(func(p *pool) { p.line, p.dear = 1<<20, true }),
			Source: "not to be had: what stands between the module and the possible",
		},
	}
}

// pooled makes a baseline of a thread pool, a run a core and a queue of four a core unless shape sets it otherwise.
func pooled(shape func(*pool)) func(admission.Config, uint64) Decider {
	return func(t admission.Config, _ uint64) Decider {
		p := &pool{t: t, by: map[string]*poolJob{}, drainAt: never, stopAt: never}
		p.tick = max(min(20*Millisecond, t.AnswerSlack/3), Millisecond)
		p.limit, p.line = t.Cores, 4*t.Cores
		shape(p)
		return p
	}
}

// PolicyNamed finds a policy, or tells which there are.
func PolicyNamed(name string) (*Policy, error) {
	all := Policies()
	if i := slices.IndexFunc(all, func(p Policy) bool { return p.Name == name }); i >= 0 {
		return &all[i], nil
	}
	var names []string
	for _, p := range all {
		names = append(names, p.Name)
	}
	return nil, fmt.Errorf("no policy %q, there are %s", name, strings.Join(names, ", "))
}

const never = Micros(1 << 60)

// pool is the frame of the baselines. It keeps the four rules as the module must: else a comparison would be with
// something that nobody may run.
type pool struct {
	t               admission.Config
	limit, line     int // runs at once, and how many wait
	adapt           func(p *pool, now Micros, took Micros, late bool)
	delay           Micros // of controlled delay; 0: in turn
	dear            bool   // by value for its work
	by              map[string]*poolJob
	waits           []*poolJob
	all             []*poolJob
	running         int
	tick            Micros
	drainAt, stopAt Micros
	emptyAt         Micros  // the line was empty last
	long, now       float64 // times of runs, long-term and at present
	size            float64 // the limit, exactly
	round           int
}

type poolJob struct {
	id                  string
	arrived, due, begun Micros
	want                Micros
	worth               float64
	work                Micros
	runs, answered      bool
}

func (p *pool) Decide(now admission.Micros, ev admission.Event, out []admission.Action) []admission.Action {
	switch e := ev.(type) {
	case admission.Opened:
		p.emptyAt = now
		return append(out, admission.Wake{At: now + p.tick, Token: 1})
	case admission.Reading:
		return append(p.fill(now, p.sweep(now, out)), admission.Wake{At: now + p.tick, Token: 1})
	case admission.DrainNotice:
		p.drainAt, p.stopAt = now, now+e.Left
		return p.sweep(now, append(out, admission.SetHealth{}))
	case admission.Arrived:
		out = p.arrive(now, e, out)
	case admission.Finished:
		if j := p.by[e.ID]; j != nil {
			p.drop(j)
			if p.adapt != nil && e.Outcome == admission.OK {
				p.adapt(p, now, now-j.begun, now > j.want)
			}
		}
	case admission.CallerGone:
		if j := p.by[e.ID]; j != nil {
			j.answered = true
			if !j.runs {
				p.drop(j)
			}
		}
	case admission.NeedsCall:
		if j := p.by[e.ID]; j != nil && !j.answered {
			return append(out, admission.Call{ID: e.ID, Timeout: max(1000, min(j.due, p.last())-now)})
		}
	case admission.CallReturned:
		if j := p.by[e.ID]; j != nil && e.Outcome != admission.OK && !j.answered {
			j.answered = true
			return append(out, admission.Fail{ID: e.ID})
		}
	}
	return p.fill(now, out)
}

func (p *pool) last() Micros { return p.stopAt - 3*p.tick }

func (p *pool) arrive(now Micros, a admission.Arrived, out []admission.Action) []admission.Action {
	op := &p.t.Operations[a.Operation]
	if now-a.QueueTime > p.drainAt+p.t.DrainGrace || now >= p.last() || a.ShedFor > 0 {
		return append(out, admission.Throttle{ID: a.ID})
	}
	if p.running >= p.limit && len(p.waits) >= p.line && !p.dear {
		return append(out, admission.Throttle{ID: a.ID})
	}
	j := &poolJob{id: a.ID, arrived: now - a.QueueTime, due: now + a.TimeLeft, work: a.ExpectedWork}
	j.want = min(j.due, j.arrived+op.Objective)
	j.worth = (a.Priority + 0.01) / float64(max(a.ExpectedWork, 1000))
	p.by[a.ID] = j
	p.all = append(p.all, j)
	p.waits = append(p.waits, j)
	return out
}

func (p *pool) drop(j *poolJob) {
	delete(p.by, j.id)
	is := func(o *poolJob) bool { return o == j }
	p.all = slices.DeleteFunc(p.all, is)
	if j.runs {
		p.running--
	} else {
		p.waits = slices.DeleteFunc(p.waits, is)
	}
}

// fill starts what may run: in turn, the newest first under delay, or the dearest for its work.
func (p *pool) fill(now Micros, out []admission.Action) []admission.Action {
	for p.running < p.limit && len(p.waits) > 0 {
		k := 0
		switch {
		case p.dear:
			for i, j := range p.waits {
				if j.worth > p.waits[k].worth {
					k = i
				}
			}
		case p.delay > 0 && now-p.emptyAt > p.delay:
			k = len(p.waits) - 1
		}
		j := p.waits[k]
		if p.dear && now+j.work > j.want || now+p.tick >= j.due {
			p.drop(j)
			out = append(out, admission.Throttle{ID: j.id})
			continue
		}
		p.waits = slices.Delete(p.waits, k, k+1)
		j.runs, j.begun = true, now
		p.running++
		out = append(out, admission.Start{ID: j.id})
	}
	if len(p.waits) == 0 {
		p.emptyAt = now
	}
	return out
}

// sweep answers what can wait no longer; under delay, what has waited longer than allowed: 5 ms while the line does not
// empty, else 100.
func (p *pool) sweep(now Micros, out []admission.Action) []admission.Action {
	for _, j := range slices.Clone(p.all) {
		allowed := p.delay
		if now-p.emptyAt > p.delay {
			allowed = p.delay / 20
		}
		due := now+p.tick >= min(j.due, p.last())
		switch {
		case j.answered:
		case j.runs && due:
			j.answered = true
			out = append(out, admission.Fail{ID: j.id})
		case !j.runs && (due || p.delay > 0 && now-j.arrived > allowed || p.dear && now+j.work > j.want):
			p.drop(j)
			out = append(out, admission.Throttle{ID: j.id})
		}
	}
	return out
}

// bears is what a host is set up to bear at the most: nobody lets a limit grow past that.
func (p *pool) bears() float64 { return 0.8 * p.t.CollapseMultiple * float64(p.t.Cores) }

func aimd(p *pool, _, _ Micros, late bool) {
	if late {
		p.limit = max(p.t.Cores, p.limit*9/10)
		p.round = 0
	} else if p.round++; p.round >= p.limit && p.running >= p.limit/2 {
		p.limit, p.round = min(p.limit+1, int(p.bears())), 0
	}
}

func gradient(p *pool, _, took Micros, _ bool) {
	x := float64(took)
	if p.long == 0 {
		p.long, p.now, p.size = x, x, float64(p.limit)
	}
	p.now += (x - p.now) * 0.1
	p.long += (x - p.long) * 0.002
	if p.long > 2*p.now { // after a long crowd the usual is forgotten faster
		p.long *= 0.95
	}
	g := max(0.5, min(1, 1.5*p.long/p.now))
	if p.running >= p.limit/2 {
		p.size = p.size*0.8 + 0.2*(p.size*g+math.Sqrt(p.size))
	}
	p.limit = int(max(float64(p.t.Cores), min(p.size, p.bears())))
}
