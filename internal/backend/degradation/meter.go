package degradation

import (
	"math"

	"milletbarrow/monotime"
)

// Counter identifies a kind of event that a SignalMeter counts.
type Counter int

// The counters.
const (
	Arrivals        Counter = iota // arrived requests, except those that a level sheds
	RetriedArrivals                // arrivals that are retries
	Rejections                     // arrivals that admission control throttled
	Successes                      // successful responses
	LateSuccesses                  // successful responses that missed their latency objective
	counterCount
)

const (
	// countTimeConstant is the time constant of the exponential decay of the counts.
	countTimeConstant = monotime.Second
	// minDenominator is the smallest decayed count that is used as the denominator of a fraction.
	minDenominator = 4.0
)

// SignalMeter computes the signals from counted events and the executor's gauges. Counts decay exponentially. A
// fraction whose denominator is too small is missing. It is not safe for concurrent use.
type SignalMeter struct {
	counts       [counterCount]float64
	decayedAt    monotime.Micros // time up to which the counts have decayed
	cores        float64         // number of the executor's cores, at least 1
	warmingUntil monotime.Micros // end of the executor's warm-up; 0: not warming up
	draining     bool            // a graceful shutdown has begun
}

// NewSignalMeter returns a meter for an executor with the given number of cores; less than 1 is taken as 1.
func NewSignalMeter(cores int) *SignalMeter { return &SignalMeter{cores: float64(max(1, cores))} }

// decay applies the decay of the counts since decayedAt.
func (m *SignalMeter) decay(now monotime.Micros) {
	if now <= m.decayedAt {
		return
	}
	factor := math.Exp(-float64(now-m.decayedAt) / float64(countTimeConstant))
	for i := range m.counts {
		m.counts[i] *= factor
	}
	m.decayedAt = now
}

// Count adds one event to a counter.
func (m *SignalMeter) Count(now monotime.Micros, counter Counter) {
	m.decay(now)
	m.counts[counter]++
}

// SetWarmingUntil sets the end of the executor's warm-up.
func (m *SignalMeter) SetWarmingUntil(until monotime.Micros) { m.warmingUntil = until }

// SetDraining marks the start of a graceful shutdown.
func (m *SignalMeter) SetDraining() { m.draining = true }

// Signals returns the signals at now. The gauges are onCores, the number of requests that occupy a core or wait for
// one, and the fractions coreUse and memory. A negative gauge is missing; if known is false, all three are.
func (m *SignalMeter) Signals(now monotime.Micros, onCores, coreUse, memory float64, known bool) Signals {
	m.decay(now)
	gauge := func(value float64) float64 {
		if !known || value < 0 {
			return Missing
		}
		return value
	}
	return Signals{
		Queue:      gauge(onCores) / m.cores,
		Cores:      gauge(coreUse),
		Rejected:   m.fraction(Rejections, Arrivals),
		Infeasible: Missing, // admission control does not report its reason for throttling
		Late:       m.fraction(LateSuccesses, Successes),
		Retries:    m.fraction(RetriedArrivals, Arrivals),
		Memory:     gauge(memory),
		Unknown:    indicator(!known),
		WarmingUp:  indicator(now < m.warmingUntil),
		Draining:   indicator(m.draining),
	}
}

// fraction returns the ratio of part to total, at most 1, or Missing if total is below minDenominator.
func (m *SignalMeter) fraction(part, total Counter) float64 {
	if m.counts[total] < minDenominator {
		return Missing
	}
	return min(1, m.counts[part]/m.counts[total])
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
