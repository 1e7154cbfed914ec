package simulation

import (
	"math"
	"math/rand/v2"

	"milletbarrow/monotime"
)

// Arrival is one request of the simulated day, as its caller sends it.
type Arrival struct {
	At                      monotime.Micros // time at which it is sent
	Node, Operation, Tenant int
	Work                    float64         // core time, microseconds
	Hint                    monotime.Micros // expected work, sent with the request; 0: none
}

// Stream generates the requests of a day in order of time. It is open loop: its requests depend on the scenario and the
// seed only, not on the answers. The simulation runs it, and the load generator sends it over sockets. A Stream must
// not be used by several goroutines at once.
type Stream struct {
	scenario         *Scenario
	rand             *rand.Rand
	nextAt           float64
	maxRate          float64         // upper bound of the rate over the day, in requests per microsecond
	cumulativeShares []float64       // by operation: sum of the shares up to and including it
	burstUntil       monotime.Micros // end of the current phase of a bursty load
	burstOn          bool
	replayed         int // number of requests of a recorded load returned so far
}

// NewStream returns the stream of requests of a scenario, from the start of the day.
func NewStream(s *Scenario, seed uint64) *Stream {
	st := &Stream{scenario: s, rand: rand.New(rand.NewPCG(seed, 1)), maxRate: s.Capacity() / 1e6 * s.peakLevel()}
	sum := 0.0
	for _, op := range s.Operations {
		sum += op.Share
		st.cumulativeShares = append(st.cumulativeShares, sum)
	}
	return st
}

// peakLevel returns an upper bound of the load over the day, as a fraction of capacity.
func (s *Scenario) peakLevel() float64 {
	peak := s.Load.Level
	switch s.Load.Shape {
	case Ramp, Step, DueDate:
		peak = max(s.Load.Level, s.Load.PeakLevel)
	case Wave, Bursty:
		peak = s.Load.Level * (1 + s.Load.Swing)
	}
	for _, fault := range s.Faults {
		if fault.Kind == Burst || fault.Kind == TenantBurst {
			peak *= max(1, fault.Factor)
		}
	}
	return peak
}

// activeAt reports whether the fault is in effect at a time.
func (fault *Fault) activeAt(now monotime.Micros) bool {
	return now >= fault.At && now < fault.At+max(fault.Duration, 1)
}

// tenantWeight returns a tenant's share of the load at a time, bursts included. The shares need not add up to 1.
func (s *Scenario) tenantWeight(tenant int, now monotime.Micros) float64 {
	x := s.Tenants[tenant].Share
	for i := range s.Faults {
		if fault := &s.Faults[i]; fault.Kind == TenantBurst && fault.Tenant == tenant && fault.activeAt(now) {
			x *= fault.Factor
		}
	}
	return x
}

// level returns the load at a time, as a fraction of capacity.
func (st *Stream) level(now monotime.Micros) float64 {
	l := &st.scenario.Load
	x, elapsed := l.Level, float64(now)/float64(st.scenario.Duration)
	switch l.Shape {
	case Ramp:
		x += (l.PeakLevel - l.Level) * elapsed
	case Step:
		if elapsed >= 1.0/3 && elapsed < 2.0/3 {
			x = l.PeakLevel
		}
	case Wave:
		x *= 1 + l.Swing*math.Sin(2*math.Pi*float64(now)/float64(l.Period))
	case Bursty:
		for st.burstUntil <= now {
			st.burstOn = !st.burstOn
			st.burstUntil += monotime.Micros(st.rand.ExpFloat64()*float64(l.Period)) + 1
		}
		if st.burstOn {
			x *= 1 + l.Swing
		} else {
			x *= 1 - l.Swing
		}
	case DueDate:
		if elapsed < 2.0/3 {
			x += (l.PeakLevel - l.Level) * elapsed * 1.5
		} else {
			x = l.PeakLevel - (l.PeakLevel-l.Level)*(elapsed-2.0/3)*3
		}
	}
	for i := range st.scenario.Faults {
		if fault := &st.scenario.Faults[i]; fault.Kind == Burst && fault.activeAt(now) {
			x *= fault.Factor
		}
	}
	if len(st.scenario.Tenants) > 0 { // a tenant's burst adds to the total load
		base, current := 0.0, 0.0
		for i, t := range st.scenario.Tenants {
			base, current = base+t.Share, current+st.scenario.tenantWeight(i, now)
		}
		x *= current / max(base, 1e-9)
	}
	return x
}

// pickIndex returns the first of n indexes whose upper bound is greater than x, or the last index if there is none.
func pickIndex(x float64, n int, upperBound func(int) float64) int {
	for i := range n {
		if x < upperBound(i) {
			return i
		}
	}
	return n - 1
}

// Next returns the next request, or false at the end of the day. Arrivals are a Poisson process of the highest rate,
// thinned to the current rate.
func (st *Stream) Next() (a Arrival, more bool) {
	s := st.scenario
	if s.Load.Shape == Replay {
		if st.replayed >= len(s.Load.Recorded) {
			return a, false
		}
		r := s.Load.Recorded[st.replayed]
		st.replayed++
		a = Arrival{
			At:        r.At,
			Node:      st.rand.IntN(s.Nodes.Count),
			Operation: r.Operation,
			Tenant:    r.Tenant,
			Work:      float64(r.Work),
		}
		st.setHint(&a)
		return a, true
	}
	if st.maxRate <= 0 {
		return a, false
	}
	for {
		st.nextAt += st.rand.ExpFloat64() / st.maxRate
		if st.nextAt >= float64(s.Duration) { // true also for +Inf
			return a, false
		}
		if a.At = monotime.Micros(st.nextAt); st.rand.Float64()*st.maxRate <= st.level(a.At)*s.Capacity()/1e6 {
			break
		}
	}
	a.Node = st.rand.IntN(s.Nodes.Count)
	a.Operation = pickIndex(
		st.rand.Float64()*st.cumulativeShares[len(st.cumulativeShares)-1],
		len(st.cumulativeShares),
		func(i int) float64 { return st.cumulativeShares[i] },
	)
	if len(s.Tenants) > 0 {
		sum, cumulative := 0.0, 0.0
		for i := range s.Tenants {
			sum += s.tenantWeight(i, a.At)
		}
		a.Tenant = pickIndex(
			st.rand.Float64()*sum,
			len(s.Tenants),
			func(i int) float64 { cumulative += s.tenantWeight(i, a.At); return cumulative },
		)
	}
	op := &s.Operations[a.Operation]
	a.Work = float64(op.Work) * math.Exp(op.WorkSigma*st.rand.NormFloat64()-op.WorkSigma*op.WorkSigma/2)
	st.setHint(&a)
	return a, true
}

// setHint draws the expected work that is sent with the request, and limits the work to its bounds.
func (st *Stream) setHint(a *Arrival) {
	op := &st.scenario.Operations[a.Operation]
	factor := op.HintFactor * math.Exp(op.HintSigma*st.rand.NormFloat64())
	a.Work = min(max(a.Work, 50), 60e6)
	if op.HintFactor <= 0 {
		return
	}
	if len(st.scenario.Tenants) > 0 && st.scenario.Tenants[a.Tenant].HintFactor > 0 {
		factor *= st.scenario.Tenants[a.Tenant].HintFactor
	}
	a.Hint = max(1, monotime.Micros(a.Work*factor))
}
