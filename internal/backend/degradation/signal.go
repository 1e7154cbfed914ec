package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Signal is a measured quantity that a condition may compare.
type Signal int

// The signals. Each grows with overload.
const (
	Queue      Signal = iota // requests that occupy a core or wait for one, per core
	Cores                    // fraction of the cores in use
	Rejected                 // fraction of the arrivals that no level sheds, but admission control throttles
	Infeasible               // fraction of the arrivals rejected because they could not meet their deadline
	Late                     // fraction of the responses that miss their latency objective
	Retries                  // fraction of the arrivals that are retries
	Memory                   // fraction of the memory in use
	Unknown                  // 1 while the gauges are not known, else 0
	WarmingUp                // 1 while the executor warms up, else 0
	Draining                 // 1 during a graceful shutdown, else 0
	signalCount
)

// signalNames has the names of the signals in policies, traces and printed output.
var signalNames = [signalCount]string{
	Queue:      "queue",
	Cores:      "cores",
	Rejected:   "turned",
	Infeasible: "hopeless",
	Late:       "late",
	Retries:    "retries",
	Memory:     "memory",
	Unknown:    "unknown",
	WarmingUp:  "cold",
	Draining:   "draining",
}

// String returns the signal's name in policies and traces.
func (s Signal) String() string { return signalNames[s] }

// signalByName returns the signal of a name; ok is false if there is none.
func signalByName(name string) (signal Signal, ok bool) {
	i := slices.Index(signalNames[:], name)
	return Signal(i), i >= 0
}

// Missing is the value of an unknown signal, a NaN. A term that compares it does not hold, so that it neither enters a
// level nor leaves one.
var Missing = math.NaN()

// Signals are the values of all signals at one time.
type Signals [signalCount]float64

// allMissing returns signals of which none is known.
func allMissing() (signals Signals) {
	for i := range signals {
		signals[i] = Missing
	}
	return signals
}

// String prints the known signals.
func (s Signals) String() string {
	var known []string
	for i, value := range s {
		if !math.IsNaN(value) {
			known = append(known, fmt.Sprintf("%s=%.3g", Signal(i), value))
		}
	}
	return strings.Join(known, " ")
}
