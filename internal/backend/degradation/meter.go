package degradation

import (
	"math"

	"milletbarrow/monotime"
)

// Counter names an event that a SignalMeter counts.
type Counter int

// The counters.
const (
	Arrivals        Counter = iota // arrived requests, without those that a level sheds
	RetriedArrivals                // arrivals that are retries
	Rejections                     // arrivals that the admission control throttled
	Successes                      // successful responses
	LateSuccesses                  // successful responses that missed their latency objective
	counterCount
)

const (
	// countTimeConstant is the time in which a count decays by a factor of e.
	countTimeConstant = monotime.Second
	// minDenominator is the smallest decayed count that a fraction is computed of.
	minDenominator = 4.0
)

// SignalMeter measures the signals from counted events and the executor's gauges. Counts decay exponentially; a
// fraction of too small a count is missing. It is not safe for concurrent use.
type SignalMeter struct {
	counts       [counterCount]float64
	decayedAt    monotime.Micros // time that the counts are of
	cores        float64         // of the executor, at least 1
	warmingUntil monotime.Micros // end of the executor's warm-up; 0: not warming up
	draining     bool            // a graceful shutdown has begun
}

// NewSignalMeter returns a meter for an executor with a number of cores; less than 1 counts as 1.
func NewSignalMeter(cores int) *SignalMeter { return &SignalMeter{cores: float64(max(1, cores))} }

// decay reduces the counts by the time since the last event.
func (m *SignalMeter) decay(now monotime.Micros) {
	if now <= m.decayedAt {
		return
	}
	keep := math.Exp(-float64(now-m.decayedAt) / float64(countTimeConstant))
	for i := range m.counts {
		m.counts[i] *= keep
	}
	m.decayedAt = now
}

// Count counts an event.
func (m *SignalMeter) Count(now monotime.Micros, counter Counter) {
	m.decay(now)
	m.counts[counter]++
}

// SetWarmingUntil sets until when the executor warms up.
func (m *SignalMeter) SetWarmingUntil(until monotime.Micros) { m.warmingUntil = until }

// SetDraining records that a graceful shutdown has begun.
func (m *SignalMeter) SetDraining() { m.draining = true }

// Signals returns the signals of now. onCores counts requests; coreUse and memory are fractions. A gauge below 0 is
// missing, as are all three unless they are known.
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
		Infeasible: Missing, // the admission control does not report why it throttles
		Late:       m.fraction(LateSuccesses, Successes),
		Retries:    m.fraction(RetriedArrivals, Arrivals),
		Memory:     gauge(memory),
		Unknown:    indicator(!known),
		WarmingUp:  indicator(now < m.warmingUntil),
		Draining:   indicator(m.draining),
	}
}

// fraction returns the ratio of two counts, at most 1, or Missing if the total is below minDenominator.
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
