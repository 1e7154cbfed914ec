package admission

import (
	"math"

	"milletbarrow/monotime"
)

// queueSmoothing is the time constant of the smoothed run queue.
const queueSmoothing = 200 * monotime.Millisecond

// load is the latest reading of the gauges, and the changes that are known since.
type load struct {
	readAt  monotime.Micros
	onCores float64 // tasks that run or wait for a core
	coreUse float64 // share of the cores in use, 0 to 1
	queue   float64 // smoothed run queue: tasks on the cores and requests that wait

	admittedSince float64 // requests admitted since, less those of them that are over
	startedSince  float64 // runs that came to the cores since, less those that left them
}

// runnable returns the number of tasks that run or wait for a core.
func (l *load) runnable() float64 { return l.onCores + l.startedSince }

// readGauges takes a reading and decides what the passing of time brings about.
func (b *Backend) readGauges(now monotime.Micros, reading Reading, out []Action) []Action {
	b.accountRuns(now, reading)
	b.accountCalls(now)
	b.updateLoad(now, reading)
	b.expireKeys(now)
	out = b.expire(now, out)
	out = b.checkHealth(now, out)
	out = b.advertise(now, out)
	return b.closeIdle(now, out)
}

// accountRuns attributes the time since the last reading to the runs.
func (b *Backend) accountRuns(now monotime.Micros, reading Reading) {
	elapsed := float64(now - b.load.readAt)
	meanOnCores := (b.load.onCores + reading.OnCores) / 2 //nolint:mnd // the mean of two
	perRun := elapsed / max(1, meanOnCores/float64(b.config.Cores))
	b.runs.clock += perRun
	b.runs.coreTime.add(now, perRun*b.count(running))
	b.runs.unfinished = 0
	for _, req := range b.inFlight.all {
		if req.phase == running {
			b.runs.unfinished += min(b.runs.clock-req.startedAt, req.units*req.cost.perUnit(now))
		}
	}
}

// accountCalls attributes the time since the last reading to the calls.
func (b *Backend) accountCalls(now monotime.Micros) {
	elapsed := float64(now - b.load.readAt)
	b.calls.inFlightTime.add(now, (b.count(inCall)+float64(len(b.calls.lingering)))*elapsed)
	b.calls.spent.add(now, b.count(inCall)*elapsed)
}

// updateLoad takes the gauges. One that the deployment lacks is replaced by what is known here.
func (b *Backend) updateLoad(now monotime.Micros, reading Reading) {
	elapsed := float64(now - b.load.readAt)
	b.load.readAt = now
	b.load.coreUse = reading.CoreUse
	if reading.CoreUse < 0 {
		b.load.coreUse = 1 // the run queue alone says whether the cores are busy
	}
	b.load.onCores = reading.OnCores
	if reading.OnCores < 0 {
		b.load.onCores = b.count(running)
	}
	b.load.queue += b.load.admittedSince // known without smoothing
	target := b.load.onCores + b.count(waiting)
	b.load.queue += (target - b.load.queue) * (1 - math.Exp(-elapsed/float64(queueSmoothing)))
	b.load.admittedSince = 0
	b.load.startedSince = 0
}
