package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// sparseInterval is the mean time between two requests of one caller from which its idle connections are closed.
	sparseInterval = 8 * monotime.Second
	// keptSparseInterval replaces it once connections are closed early, so that the decision does not alternate.
	keptSparseInterval = sparseInterval / 2
	// sparseIdleTimeout is the idle timeout of sparse callers.
	sparseIdleTimeout = 50 * monotime.Millisecond
	// minRateTime is the time since the start after which the rate of arrivals is known well enough.
	minRateTime = monotime.Second
	// fewCallersPerCore is the number of callers per core that any connection table holds.
	fewCallersPerCore = 16

	// saturatedShare is the share of recent arrivals, minSaturatedArrivals at least, that is throttled in saturation.
	saturatedShare       = 0.9
	minSaturatedArrivals = 10.0
	// saturationTime is how long connections are kept after saturation.
	saturationTime = 60 * monotime.Second
)

// idleConnectionState says whether idle connections are closed early.
type idleConnectionState struct {
	closing        bool
	saturatedUntil monotime.Micros
}

// closeIdle has idle connections closed early where many callers come rarely: each of their connections then takes a
// place in the table for longer than its use is worth. In saturation connections are kept, as a new one hardly ever
// brings a request that is admitted, and a full table keeps further callers out at no cost.
func (b *Backend) closeIdle(now monotime.Micros, out []Action) []Action {
	if b.arrivals.throttled.read(now) > saturatedShare*max(b.arrivals.recent.read(now), minSaturatedArrivals) {
		b.idle.saturatedUntil = now + saturationTime
	}
	closing := b.hasSparseCallers(now) && now >= b.idle.saturatedUntil
	if now-b.openedAt < minRateTime || !b.mayCloseIdle() || b.idle.closing == closing {
		return out
	}
	b.idle.closing = closing
	if closing {
		return append(out, CloseIdle{After: sparseIdleTimeout})
	}
	return append(out, CloseIdle{After: b.config.IdleTimeout})
}

// mayCloseIdle reports whether there are more callers than any connection table holds, whose connections stay open
// longer than sparseIdleTimeout.
func (b *Backend) mayCloseIdle() bool {
	return b.config.IdleTimeout > sparseIdleTimeout && b.config.Callers > fewCallersPerCore*b.config.Cores
}

// hasSparseCallers reports whether each caller sends a request less often than every sparseInterval, in the mean.
func (b *Backend) hasSparseCallers(now monotime.Micros) bool {
	age := float64(now - b.openedAt)
	window := float64(retryWindow)
	rate := max(1, b.arrivals.recent.read(now)) / (window * (1 - math.Exp(-age/window))) // requests per microsecond
	interval := float64(b.config.Callers) / rate
	if b.idle.closing {
		return interval > float64(keptSparseInterval)
	}
	return interval > float64(sparseInterval)
}
