package admission

import "milletbarrow/monotime"

const (
	// busyCoreUse is the share of the cores in use from which they count as busy.
	busyCoreUse = 0.85

	// The threshold of the lowest and of the highest priority is this many runs per core,
	lowestThresholdPerCore  = 1.0
	highestThresholdPerCore = 2.5
	// and this many more whatever the number of cores, as the queue of few cores varies more by chance.
	lowestThresholdBurst  = 2.0
	highestThresholdBurst = 4.0
)

// busy reports whether CPU use is above busyCoreUse and the run queue is at least as long as the number of cores.
func (b *Backend) busy() bool { return b.load.coreUse >= busyCoreUse && b.coresFull() }

// coresFull reports whether there are at least as many runs on the cores as cores.
func (b *Backend) coresFull() bool { return b.load.runnable() >= float64(b.config.Cores) }

// runQueue returns the smoothed run queue, corrected by the requests admitted and ended since the last reading.
func (b *Backend) runQueue() float64 { return b.load.queue + b.load.admittedSince }

// threshold returns the run queue above which a request of this priority, 0 to 1, is rejected while the cores are busy.
func (b *Backend) threshold(now monotime.Micros, priority float64) float64 {
	cores := float64(b.config.Cores)
	lowest := min(lowestThresholdPerCore*cores+lowestThresholdBurst, b.maxRuns(now))
	highest := max(lowest, min(highestThresholdPerCore*cores+highestThresholdBurst, b.maxRuns(now)))
	return lowest + (highest-lowest)*priority
}
