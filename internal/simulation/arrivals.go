package simulation

import (
	"math"
	"math/rand/v2"

	"milletbarrow/monotime"
)

// Arrival is one request of a day as its caller sends it.
type Arrival struct {
	At                      monotime.Micros // when it is sent
	Node, Operation, Tenant int
	Work                    float64         // core time, microseconds
	Hint                    monotime.Micros // expected work sent along; 0: none
}

// Stream generates the requests of a day, in order of time: open loop, and the same for the same scenario and seed,
// whatever the answers are. The simulation plays it; the load generator sends it over sockets. A Stream is for one
// goroutine.
type Stream struct {
	scenario         *Scenario
	rand             *rand.Rand
	nextAt           float64
	maxRate          float64         // highest rate of the day, in requests a microsecond
	cumulativeShares []float64       // of the operations, cumulative
	burstUntil       monotime.Micros // of a bursty load: when the present phase ends
	burstOn          bool
	replayed         int // requests of a recorded load so far
}

// NewStream starts the stream of a scenario's day.
func NewStream(s *Scenario, seed uint64) *Stream {
	st := &Stream{scenario: s, rand: rand.New(rand.NewPCG(seed, 1)), maxRate: s.Capacity() / 1e6 * s.peakLevel()}
	sum := 0.0
	for _, op := range s.Operations {
		sum += op.Share
		st.cumulativeShares = append(st.cumulativeShares, sum)
	}
	return st
}

// peakLevel returns an upper bound of the load over the day, as a part of capacity.
func (s *Scenario) peakLevel() float64 {
	top := s.Load.Level
	switch s.Load.Shape {
	case Ramp, Step, DueDate:
		top = max(s.Load.Level, s.Load.PeakLevel)
	case Wave, Bursty:
		top = s.Load.Level * (1 + s.Load.Swing)
	}
	for _, t := range s.Faults {
		if t.Kind == Burst || t.Kind == TenantBurst {
			top *= max(1, t.Factor)
		}
	}
	return top
}

// activeAt reports whether the fault lasts at that time.
func (fault *Fault) activeAt(now monotime.Micros) bool {
	return now >= fault.At && now < fault.At+max(fault.Duration, 1)
}

// tenantWeight returns a tenant's share of the load at a time, with its bursts; the shares need not add up to 1.
func (s *Scenario) tenantWeight(tenant int, now monotime.Micros) float64 {
	x := s.Tenants[tenant].Share
	for i := range s.Faults {
		if fault := &s.Faults[i]; fault.Kind == TenantBurst && fault.Tenant == tenant && fault.activeAt(now) {
			x *= fault.Factor
		}
	}
	return x
}

// level returns the load at a time, as a part of capacity.
func (st *Stream) level(now monotime.Micros) float64 {
	l := &st.scenario.Load
	x, part := l.Level, float64(now)/float64(st.scenario.Duration)
	switch l.Shape {
	case Ramp:
		x += (l.PeakLevel - l.Level) * part
	case Step:
		if part >= 1.0/3 && part < 2.0/3 {
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
		if part < 2.0/3 {
			x += (l.PeakLevel - l.Level) * part * 1.5
		} else {
			x = l.PeakLevel - (l.PeakLevel-l.Level)*(part-2.0/3)*3
		}
	}
	for i := range st.scenario.Faults {
		if fault := &st.scenario.Faults[i]; fault.Kind == Burst && fault.activeAt(now) {
			x *= fault.Factor
		}
	}
	if len(st.scenario.Tenants) > 0 { // a tenant's burst adds to the total load
		usual, present := 0.0, 0.0
		for i, t := range st.scenario.Tenants {
			usual, present = usual+t.Share, present+st.scenario.tenantWeight(i, now)
		}
		x *= present / max(usual, 1e-9)
	}
	return x
}

// pick returns the first of n indexes whose upper bound lies above x, else the last.
func pick(x float64, n int, upTo func(int) float64) int {
	for i := range n {
		if x < upTo(i) {
			return i
		}
	}
	return n - 1
}

// Next returns the next request, and false at the end of the day. A Poisson stream of the highest rate is thinned to
// the rate of the moment.
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
		st.hint(&a)
		return a, true
	}
	if st.maxRate <= 0 {
		return a, false
	}
	for {
		st.nextAt += st.rand.ExpFloat64() / st.maxRate
		if st.nextAt >= float64(s.Duration) { // also where it is infinite
			return a, false
		}
		if a.At = monotime.Micros(st.nextAt); st.rand.Float64()*st.maxRate <= st.level(a.At)*s.Capacity()/1e6 {
			break
		}
	}
	a.Node = st.rand.IntN(s.Nodes.Count)
	a.Operation = pick(
		st.rand.Float64()*st.cumulativeShares[len(st.cumulativeShares)-1],
		len(st.cumulativeShares),
		func(i int) float64 { return st.cumulativeShares[i] },
	)
	if len(s.Tenants) > 0 {
		sum, to := 0.0, 0.0
		for i := range s.Tenants {
			sum += s.tenantWeight(i, a.At)
		}
		a.Tenant = pick(
			st.rand.Float64()*sum,
			len(s.Tenants),
			func(i int) float64 { to += s.tenantWeight(i, a.At); return to },
		)
	}
	op := &s.Operations[a.Operation]
	a.Work = float64(op.Work) * math.Exp(op.WorkSigma*st.rand.NormFloat64()-op.WorkSigma*op.WorkSigma/2)
	st.hint(&a)
	return a, true
}

// hint draws the expected work that is sent along, and keeps the work within bounds.
func (st *Stream) hint(a *Arrival) {
	op := &st.scenario.Operations[a.Operation]
	lie := op.HintFactor * math.Exp(op.HintSigma*st.rand.NormFloat64())
	a.Work = min(max(a.Work, 50), 60e6)
	if op.HintFactor <= 0 {
		return
	}
	if len(st.scenario.Tenants) > 0 && st.scenario.Tenants[a.Tenant].HintFactor > 0 {
		lie *= st.scenario.Tenants[a.Tenant].HintFactor
	}
	a.Hint = max(1, monotime.Micros(a.Work*lie))
}
