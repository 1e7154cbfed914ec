package degradation

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Signal identifies a measured quantity that conditions compare with a threshold.
type Signal int

// The signals. Each of them rises with overload.
const (
	Queue      Signal = iota // requests that occupy a core or wait for one, per core
	Cores                    // fraction of the cores in use
	Rejected                 // of the arrivals that no level sheds, the fraction that admission control throttles
	Infeasible               // fraction of the arrivals rejected because they could not meet their deadline
	Late                     // fraction of the successful responses that miss their latency objective
	Retries                  // fraction of the arrivals that are retries
	Memory                   // fraction of the memory in use
	Unknown                  // 1 while the executor's gauges are not known, otherwise 0
	WarmingUp                // 1 while the executor warms up, otherwise 0
	Draining                 // 1 during a graceful shutdown, otherwise 0
	signalCount
)

// signalNames are the names of the signals in traces and printed output, some of which are former ones: recorded traces
// and printed causes keep them. Policy files use policySignalNames.
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

// String returns the signal's name in traces and printed output.
func (s Signal) String() string { return signalNames[s] }

// signalByName returns the signal with a name in traces; ok is false if there is none.
func signalByName(name string) (signal Signal, ok bool) {
	i := slices.Index(signalNames[:], name)
	return Signal(i), i >= 0
}

// Missing is the value of an unknown signal, a NaN. A term that compares it does not hold, so that a missing signal
// contributes neither to entering a level nor to leaving one.
var Missing = math.NaN()

// Signals are the values of all signals at one time.
type Signals [signalCount]float64

// allMissing returns signals that are all Missing.
func allMissing() (signals Signals) {
	for i := range signals {
		signals[i] = Missing
	}
	return signals
}

// String formats the known signals as name=value.
func (s Signals) String() string {
	var known []string
	for i, value := range s {
		if !math.IsNaN(value) {
			known = append(known, fmt.Sprintf("%s=%.3g", Signal(i), value))
		}
	}
	return strings.Join(known, " ")
}
