package admission

import "milletbarrow/monotime"

// busy: the cores are in use, by their gauge, and at least as many runs want one as there are.
func (b *Backend) busy() bool { return b.load.coreUse >= busyCoreUse && b.coresFull() }

// coresFull: at least as many runs are on the cores as there are cores.
func (b *Backend) coresFull() bool { return b.load.runnable() >= float64(b.config.Cores) }

// runQueue is the smoothed run queue with what is known to have come and gone since the last reading.
func (b *Backend) runQueue() float64 { return b.load.queue + b.load.admittedSince }

// threshold rises with priority from little above the cores to below maxRuns. Runs that come together by
// chance double the queue of two cores and hardly move that of many: that alone must not reject.
func (b *Backend) threshold(now monotime.Micros, priority float64) float64 {
	low := min(thresholdLow*float64(b.config.Cores)+burstLow, b.maxRuns(now))
	top := max(low, min(thresholdTop*float64(b.config.Cores)+burstTop, b.maxRuns(now)))
	return low + (top-low)*priority
}
