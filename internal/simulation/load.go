package simulation

import (
	"math"
	"math/rand/v2"
)

// Arrival is one request of a day, as its caller wants it.
type Arrival struct {
	At                      Micros
	Node, Operation, Tenant int
	Work                    float64 // core time, microseconds
	Hint                    Micros  // 0: none is given
}

// Stream is the load of a day, one request after the other: open loop, the same for the same scenario and seed, whoever
// answers. The model plays it, and load sends it over sockets.
type Stream struct {
	s       *Scenario
	r       *rand.Rand
	at      float64
	most    float64   // requests a microsecond, at the most
	shares  []float64 // of operations, summed up
	onUntil Micros    // of a bursty load
	on      bool
	told    int // of a recorded load
}

// NewStream begins a day's load.
func NewStream(s *Scenario, seed uint64) *Stream {
	st := &Stream{s: s, r: rand.New(rand.NewPCG(seed, 1)), most: s.Capacity() / 1e6 * s.top()}
	sum := 0.0
	for _, op := range s.Operations {
		sum += op.Share
		st.shares = append(st.shares, sum)
	}
	return st
}

// top is the highest that the load's shape and bursts reach, of capacity.
func (s *Scenario) top() float64 {
	top := s.Load.At
	switch s.Load.Shape {
	case Ramp, Step, DueDate:
		top = max(s.Load.At, s.Load.To)
	case Wave, Bursty:
		top = s.Load.At * (1 + s.Load.Swing)
	}
	for _, t := range s.Troubles {
		if t.Kind == Burst || t.Kind == TenantBurst {
			top *= max(1, t.Factor)
		}
	}
	return top
}

// during tells whether a trouble is on.
func (t *Trouble) during(now Micros) bool { return now >= t.At && now < t.At+max(t.For, 1) }

// weight is how much more a tenant asks for at a time.
func (s *Scenario) weight(tenant int, now Micros) float64 {
	x := s.Tenants[tenant].Share
	for i := range s.Troubles {
		if t := &s.Troubles[i]; t.Kind == TenantBurst && t.Tenant == tenant && t.during(now) {
			x *= t.Factor
		}
	}
	return x
}

// level is the load at a time, of capacity.
func (st *Stream) level(now Micros) float64 {
	l := &st.s.Load
	x, part := l.At, float64(now)/float64(st.s.For)
	switch l.Shape {
	case Ramp:
		x += (l.To - l.At) * part
	case Step:
		if part >= 1.0/3 && part < 2.0/3 {
			x = l.To
		}
	case Wave:
		x *= 1 + l.Swing*math.Sin(2*math.Pi*float64(now)/float64(l.Period))
	case Bursty:
		for st.onUntil <= now {
			st.on = !st.on
			st.onUntil += Micros(st.r.ExpFloat64()*float64(l.Period)) + 1
		}
		if st.on {
			x *= 1 + l.Swing
		} else {
			x *= 1 - l.Swing
		}
	case DueDate:
		if part < 2.0/3 {
			x += (l.To - l.At) * part * 1.5
		} else {
			x = l.To - (l.To-l.At)*(part-2.0/3)*3
		}
	}
	for i := range st.s.Troubles {
		if t := &st.s.Troubles[i]; t.Kind == Burst && t.during(now) {
			x *= t.Factor
		}
	}
	if len(st.s.Tenants) > 0 { // a tenant's burst adds to the whole
		usual, present := 0.0, 0.0
		for i, t := range st.s.Tenants {
			usual, present = usual+t.Share, present+st.s.weight(i, now)
		}
		x *= present / max(usual, 1e-9)
	}
	return x
}

func pick(x float64, n int, upTo func(int) float64) int {
	for i := range n {
		if x < upTo(i) {
			return i
		}
	}
	return n - 1
}

// Next is the next request; false: the day is over. A Poisson stream of the highest rate is thinned to that of the moment.
func (st *Stream) Next() (a Arrival, more bool) {
	s := st.s
	if s.Load.Shape == Replay {
		if st.told >= len(s.Load.Recorded) {
			return a, false
		}
		r := s.Load.Recorded[st.told]
		st.told++
		a = Arrival{At: r.At, Node: st.r.IntN(s.Nodes.Count), Operation: r.Operation, Tenant: r.Tenant, Work: float64(r.Work)}
		st.hint(&a)
		return a, true
	}
	if st.most <= 0 {
		return a, false
	}
	for {
		st.at += st.r.ExpFloat64() / st.most
		if st.at >= float64(s.For) { // also where it is beyond all numbers
			return a, false
		}
		if a.At = Micros(st.at); st.r.Float64()*st.most <= st.level(a.At)*s.Capacity()/1e6 {
			break
		}
	}
	a.Node = st.r.IntN(s.Nodes.Count)
	a.Operation = pick(st.r.Float64()*st.shares[len(st.shares)-1], len(st.shares), func(i int) float64 { return st.shares[i] })
	if len(s.Tenants) > 0 {
		sum, to := 0.0, 0.0
		for i := range s.Tenants {
			sum += s.weight(i, a.At)
		}
		a.Tenant = pick(st.r.Float64()*sum, len(s.Tenants), func(i int) float64 { to += s.weight(i, a.At); return to })
	}
	op := &s.Operations[a.Operation]
	a.Work = float64(op.Work) * math.Exp(op.Tail*st.r.NormFloat64()-op.Tail*op.Tail/2)
	st.hint(&a)
	return a, true
}

// hint draws what is told of the work, and holds the work within bounds.
func (st *Stream) hint(a *Arrival) {
	op := &st.s.Operations[a.Operation]
	lie := op.Hint * math.Exp(op.HintSpread*st.r.NormFloat64())
	a.Work = min(max(a.Work, 50), 60e6)
	if op.Hint <= 0 {
		return
	}
	if len(st.s.Tenants) > 0 && st.s.Tenants[a.Tenant].Lies > 0 {
		lie *= st.s.Tenants[a.Tenant].Lies
	}
	a.Hint = max(1, Micros(a.Work*lie))
}
