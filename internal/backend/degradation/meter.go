package degradation

import (
	"math"

	"milletbarrow/monotime"
)

// Counter names an event that a SignalMeter counts.
type Counter int

// The counters.
const (
	Arrivals        Counter = iota // without those that a level sheds
	RetriedArrivals                // of them, retries
	Rejections                     // of them, throttled by the admission control
	Successes                      // succeeded
	LateSuccesses                  // of them, past their latency objective
	counterCount
)

// SignalMeter measures the signals from counted events and the executor's gauges. Counts decay by a factor of e each
// second; a fraction of too small a count is missing. Not safe for concurrent use.
type SignalMeter struct {
	sums         [counterCount]float64
	decayedAt    monotime.Micros
	cores        float64
	warmingUntil monotime.Micros // the executor warms up until then
	draining     bool
}

const (
	decayTime      = 1_000_000 // microseconds
	minDenominator = 4.0       // the smallest count that a fraction is taken of
)

// NewSignalMeter returns a meter for an executor of that many cores, at least 1.
func NewSignalMeter(cores int) *SignalMeter { return &SignalMeter{cores: float64(max(1, cores))} }

// decay reduces the counts by the time since the last event.
func (m *SignalMeter) decay(now monotime.Micros) {
	if now <= m.decayedAt {
		return
	}
	keep := math.Exp(-float64(now-m.decayedAt) / decayTime)
	for i := range m.sums {
		m.sums[i] *= keep
	}
	m.decayedAt = now
}

// Count counts an event.
func (m *SignalMeter) Count(now monotime.Micros, counter Counter) {
	m.decay(now)
	m.sums[counter]++
}

// SetWarmingUntil sets until when the executor warms up.
func (m *SignalMeter) SetWarmingUntil(until monotime.Micros) { m.warmingUntil = until }

// SetDraining sets that a graceful shutdown has begun.
func (m *SignalMeter) SetDraining() { m.draining = true }

// Signals returns the signals of now. Gauges that are not known, or below 0, are missing; onCores counts requests, coreUse
// and memory are fractions.
func (m *SignalMeter) Signals(now monotime.Micros, onCores, coreUse, memory float64, known bool) (s Signals) {
	m.decay(now)
	gauge := func(v, by float64) float64 {
		if !known || v < 0 {
			return Missing
		}
		return v / by
	}
	fraction := func(part, total Counter) float64 {
		if m.sums[total] < minDenominator {
			return Missing
		}
		return min(1, m.sums[part]/m.sums[total])
	}
	yes := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	s[Queue], s[Cores], s[Memory] = gauge(onCores, m.cores), gauge(coreUse, 1), gauge(memory, 1)
	s[Rejected], s[Late], s[Retries] = fraction(Rejections, Arrivals), fraction(LateSuccesses, Successes), fraction(RetriedArrivals, Arrivals)
	s[Infeasible] = Missing // the module does not report why it throttles
	s[Unknown], s[WarmingUp], s[Draining] = yes(!known), yes(now < m.warmingUntil), yes(m.draining)
	return s
}
