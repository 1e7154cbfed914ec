package degradation

import "math"

// Count is something that a meter counts.
type Count int

// The counts.
const (
	Arrivals   Count = iota // those that a level sheds left out
	Marked                  // of them, retries
	TurnedAway              // of them, throttled by the module
	Answers                 // succeeded
	Tardy                   // of them, past their latency objective
	counts
)

// Meter makes signals of what a front counts and of the farm's gauges. What is counted loses weight by e in a
// second, so that a share is of late; a share of too little is missing.
type Meter struct {
	sums   [counts]float64
	at     Micros
	cores  float64
	cold   Micros // until then
	drains bool
}

const (
	meterSpan  = 1_000_000 // microseconds in which a count loses weight by e
	meterLeast = 4.0       // of a share's whole; of less nothing is said
)

// NewMeter is one for so many cores, at least 1.
func NewMeter(cores int) *Meter { return &Meter{cores: float64(max(1, cores))} }

func (m *Meter) fade(now Micros) {
	if now <= m.at {
		return
	}
	keep := math.Exp(-float64(now-m.at) / meterSpan)
	for i := range m.sums {
		m.sums[i] *= keep
	}
	m.at = now
}

// Add counts one.
func (m *Meter) Add(now Micros, c Count) {
	m.fade(now)
	m.sums[c]++
}

// Warms tells that the farm is cold until then.
func (m *Meter) Warms(until Micros) { m.cold = until }

// Drains tells that the notice has come.
func (m *Meter) Drains() { m.drains = true }

// Read makes the signals of now. Gauges that are not known, or below 0, are missing.
func (m *Meter) Read(now Micros, onCores, coreUse, memory float64, known bool) (s Signals) {
	m.fade(now)
	gauge := func(v, by float64) float64 {
		if !known || v < 0 {
			return Missing
		}
		return v / by
	}
	share := func(part, whole Count) float64 {
		if m.sums[whole] < meterLeast {
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
	s[Turned], s[Late], s[Retries] = share(TurnedAway, Arrivals), share(Tardy, Answers), share(Marked, Arrivals)
	s[Hopeless] = Missing // the module does not tell why it throttles
	s[Unknown], s[Cold], s[Draining] = yes(!known), yes(now < m.cold), yes(m.drains)
	return s
}
