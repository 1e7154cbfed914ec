package admission

import (
	"math"

	"milletbarrow/monotime"
)

const (
	// infrequentInterval is the mean interval between two requests of one caller above which idle connections are
	// closed early.
	infrequentInterval = 8 * monotime.Second
	// infrequentExitInterval replaces it once connections are closed early, so that the decision does not oscillate.
	infrequentExitInterval = infrequentInterval / 2
	// earlyIdleTimeout is the idle timeout while connections are closed early.
	earlyIdleTimeout = 50 * monotime.Millisecond
	// minRateObservation is the time since the start before which the arrival rate is too uncertain to act on.
	minRateObservation = monotime.Second
	// tableCallersPerCore is the number of callers per core that fit into any connection table.
	tableCallersPerCore = 16

	// The backend is saturated if more than saturatedShare of the recent arrivals are throttled. Fewer arrivals than
	// minSaturatedArrivals count as that many.
	saturatedShare       = 0.9
	minSaturatedArrivals = 10.0
	// saturationHold is how long connections are kept open after saturation.
	saturationHold = 60 * monotime.Second
)

// idleConnectionState holds whether idle connections are closed early.
type idleConnectionState struct {
	closingEarly   bool
	saturatedUntil monotime.Micros
}

// closeIdle shortens the idle timeout if many callers send requests infrequently, because their idle connections would
// fill the connection table. In saturation connections are kept: a new connection rarely brings a request that is
// admitted, and a full table turns further callers away at no cost.
func (b *Backend) closeIdle(now monotime.Micros, out []Action) []Action {
	if b.arrivals.throttled.read(now) > saturatedShare*max(b.arrivals.recent.read(now), minSaturatedArrivals) {
		b.idle.saturatedUntil = now + saturationHold
	}
	closing := b.hasInfrequentCallers(now) && now >= b.idle.saturatedUntil
	if now-b.openedAt < minRateObservation || !b.mayCloseIdle() || b.idle.closingEarly == closing {
		return out
	}
	b.idle.closingEarly = closing
	if closing {
		return append(out, CloseIdle{After: earlyIdleTimeout})
	}
	return append(out, CloseIdle{After: b.config.IdleTimeout})
}

// mayCloseIdle reports whether there are more callers than fit into any connection table, and their connections stay
// open longer than earlyIdleTimeout.
func (b *Backend) mayCloseIdle() bool {
	return b.config.IdleTimeout > earlyIdleTimeout && b.config.Callers > tableCallersPerCore*b.config.Cores
}

// hasInfrequentCallers reports whether the mean interval between two requests of one caller exceeds infrequentInterval.
func (b *Backend) hasInfrequentCallers(now monotime.Micros) bool {
	age := float64(now - b.openedAt)
	window := float64(arrivalWindow)
	rate := max(1, b.arrivals.recent.read(now)) / (window * (1 - math.Exp(-age/window))) // requests per microsecond
	interval := float64(b.config.Callers) / rate
	if b.idle.closingEarly {
		return interval > float64(infrequentExitInterval)
	}
	return interval > float64(infrequentInterval)
}
