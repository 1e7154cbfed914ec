package admission

import (
	"math"

	"milletbarrow/monotime"
)

// queueSmoothing is the time constant of the smoothed run queue.
const queueSmoothing = 200 * monotime.Millisecond

// loadStats is the latest gauge reading and the changes known since.
type loadStats struct {
	readAt           monotime.Micros
	measuredRunnable float64 // number of tasks that run or wait for a core
	coreUse          float64 // share of the cores in use, 0 to 1
	smoothedQueue    float64 // smoothed run queue: runnable tasks and waiting requests

	admittedSinceReading float64 // requests admitted since the reading, minus admitted requests that ended
	startedSinceReading  float64 // runs that became runnable since the reading, minus those that no longer are
}

// runnable returns the number of tasks that run or wait for a core.
func (l *loadStats) runnable() float64 { return l.measuredRunnable + l.startedSinceReading }

// handleReading updates the statistics from a reading and makes the decisions that depend on time.
func (b *Backend) handleReading(now monotime.Micros, reading Reading, out []Action) []Action {
	b.accountRuns(now, reading)
	b.accountCalls(now)
	b.updateLoad(now, reading)
	b.expireKeys(now)
	out = b.expire(now, out)
	out = b.checkHealth(now, out)
	out = b.advertise(now, out)
	return b.closeIdle(now, out)
}

// accountRuns adds the time since the last reading to the run statistics.
func (b *Backend) accountRuns(now monotime.Micros, reading Reading) {
	elapsed := float64(now - b.load.readAt)
	meanRunnable := (b.load.measuredRunnable + reading.OnCores) / 2 //nolint:mnd // the mean of two
	perRun := elapsed / max(1, meanRunnable/float64(b.config.Cores))
	b.runs.virtualTime += perRun
	b.runs.coreTime.add(now, perRun*b.count(running))
	b.runs.unfinishedCoreTime = 0
	for _, req := range b.inFlight.all {
		if req.phase == running {
			expected := req.units * req.cost.coreTimePerUnit(now)
			b.runs.unfinishedCoreTime += min(b.runs.virtualTime-req.startVirtualTime, expected)
		}
	}
}

// accountCalls adds the time since the last reading to the call statistics.
func (b *Backend) accountCalls(now monotime.Micros) {
	elapsed := float64(now - b.load.readAt)
	b.calls.inFlightTime.add(now, (b.count(callInFlight)+float64(len(b.calls.lingering)))*elapsed)
	b.calls.recentTime.add(now, b.count(callInFlight)*elapsed)
}

// updateLoad updates the load from the gauges. A gauge that is not available is replaced by an estimate.
func (b *Backend) updateLoad(now monotime.Micros, reading Reading) {
	elapsed := float64(now - b.load.readAt)
	b.load.readAt = now
	b.load.coreUse = reading.CoreUse
	if reading.CoreUse < 0 {
		b.load.coreUse = 1 // the run queue alone decides whether the cores are busy
	}
	b.load.measuredRunnable = reading.OnCores
	if reading.OnCores < 0 {
		b.load.measuredRunnable = b.count(running)
	}
	b.load.smoothedQueue += b.load.admittedSinceReading // counted exactly, so not smoothed
	target := b.load.measuredRunnable + b.count(waiting)
	b.load.smoothedQueue += (target - b.load.smoothedQueue) * (1 - math.Exp(-elapsed/float64(queueSmoothing)))
	b.load.admittedSinceReading = 0
	b.load.startedSinceReading = 0
}
