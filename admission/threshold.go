package admission

import "milletbarrow/monotime"

const (
	// busyCoreUse is the share of the cores in use at or above which they count as busy.
	busyCoreUse = 0.85

	// The run queue thresholds of the lowest and of the highest priority are a number of tasks per core plus a
	// constant, because the queue of a host with few cores varies more.
	lowestThresholdPerCore  = 1.0
	highestThresholdPerCore = 2.5
	lowestThresholdBurst    = 2.0
	highestThresholdBurst   = 4.0
)

// busy reports whether CPU use is at least busyCoreUse and all cores have a runnable task.
func (b *Backend) busy() bool { return b.load.coreUse >= busyCoreUse && b.coresFull() }

// coresFull reports whether there are at least as many runnable tasks as cores.
func (b *Backend) coresFull() bool { return b.load.runnable() >= float64(b.config.Cores) }

// runQueue returns the smoothed run queue plus the net change by admitted and ended requests since the last reading.
func (b *Backend) runQueue() float64 { return b.load.smoothedQueue + b.load.admittedSinceReading }

// threshold returns the run queue above which a request of the given priority is rejected while the cores are busy.
func (b *Backend) threshold(now monotime.Micros, priority float64) float64 {
	cores := float64(b.config.Cores)
	lowest := min(lowestThresholdPerCore*cores+lowestThresholdBurst, b.maxRuns(now))
	highest := max(lowest, min(highestThresholdPerCore*cores+highestThresholdBurst, b.maxRuns(now)))
	return lowest + (highest-lowest)*priority
}
