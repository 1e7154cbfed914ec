package degradation

import "math"

// Counter is something that a meter counts.
type Counter int

// The counts.
const (
	Arrivals        Counter = iota // those that a level sheds left out
	RetriedArrivals                // of them, retries
	Rejections                     // of them, throttled by the module
	Successes                      // succeeded
	LateSuccesses                  // of them, past their latency objective
	counterCount
)

// SignalMeter makes signals of what a front counts and of the farm's gauges. What is counted loses weight by e in a
// second, so that a share is of late; a share of too little is missing.
type SignalMeter struct {
	sums         [counterCount]float64
	decayedAt    Micros
	cores        float64
	warmingUntil Micros // until then
	draining     bool
}

const (
	decayTime      = 1_000_000 // microseconds in which a count loses weight by e
	minDenominator = 4.0       // of a share's whole; of less nothing is said
)

// NewSignalMeter is one for so many cores, at least 1.
func NewSignalMeter(cores int) *SignalMeter { return &SignalMeter{cores: float64(max(1, cores))} }

func (m *SignalMeter) decay(now Micros) {
	if now <= m.decayedAt {
		return
	}
	keep := math.Exp(-float64(now-m.decayedAt) / decayTime)
	for i := range m.sums {
		m.sums[i] *= keep
	}
	m.decayedAt = now
}

// Count counts one.
func (m *SignalMeter) Count(now Micros, c Counter) {
	m.decay(now)
	m.sums[c]++
}

// SetWarmingUntil tells that the farm is cold until then.
func (m *SignalMeter) SetWarmingUntil(until Micros) { m.warmingUntil = until }

// SetDraining tells that the notice has come.
func (m *SignalMeter) SetDraining() { m.draining = true }

// Signals makes the signals of now. Gauges that are not known, or below 0, are missing.
func (m *SignalMeter) Signals(now Micros, onCores, coreUse, memory float64, known bool) (s Signals) {
	m.decay(now)
	gauge := func(v, by float64) float64 {
		if !known || v < 0 {
			return Missing
		}
		return v / by
	}
	share := func(part, whole Counter) float64 {
		if m.sums[whole] < minDenominator {
			return Missing
		}
		return min(1, m.sums[part]/m.sums[whole])
	}
	yes := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	s[Queue], s[Cores], s[Memory] = gauge(onCores, m.cores), gauge(coreUse, 1), gauge(memory, 1)
	s[Rejected], s[Late], s[Retries] = share(Rejections, Arrivals), share(LateSuccesses, Successes), share(RetriedArrivals, Arrivals)
	s[Infeasible] = Missing // the module does not tell why it throttles
	s[Unknown], s[WarmingUp], s[Draining] = yes(!known), yes(now < m.warmingUntil), yes(m.draining)
	return s
}
