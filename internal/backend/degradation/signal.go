package degradation

import (
	"fmt"
	"math"
	"strings"
)

// Signal is a measured quantity that a condition may compare.
type Signal int

// The signals. Each grows with overload.
const (
	Queue      Signal = iota // requests that want a core, per core
	Cores                    // fraction of the cores in use
	Rejected                 // fraction of the arrivals that the admission control throttles; those that a level sheds are left out
	Infeasible               // fraction of the arrivals rejected because they could not end in time
	Late                     // fraction of the answers that miss their latency objective
	Retries                  // fraction of the arrivals that are retries
	Memory                   // fraction of the memory in use
	Unknown                  // 1 while the gauges are not known
	WarmingUp                // 1 while the executor warms up
	Draining                 // 1 during a graceful shutdown
	signalCount
)

var signalNames = [signalCount]string{"queue", "cores", "turned", "hopeless", "late", "retries", "memory", "unknown", "cold", "draining"}

func (s Signal) String() string { return signalNames[s] }

// Missing is the value of an unknown signal, a NaN. No term that compares it holds, so that it neither enters a level nor
// leaves one.
var Missing = math.NaN()

// Signals are the values of all signals at one time.
type Signals [signalCount]float64

// String prints the known signals.
func (s Signals) String() string {
	var known []string
	for n, v := range s {
		if !math.IsNaN(v) {
			known = append(known, fmt.Sprintf("%s=%.3g", Signal(n), v))
		}
	}
	return strings.Join(known, " ")
}

// signalByName returns the index of a signal, or -1.
func signalByName(name string) int {
	for s, n := range signalNames {
		if n == name {
			return s
		}
	}
	return -1
}
