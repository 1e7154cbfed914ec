package admission

import (
	"math"

	"milletbarrow/monotime"
)

// closeIdle: where many callers come back only after long, an idle connection costs more than opening it anew
// and takes capacity from others. While nearly all that is read is throttled, new connections bring hardly
// anything; a full table keeps them out at no cost (from a hung backend too; it costs once overload ends).
func (b *Backend) closeIdle(now monotime.Micros, out []Action) []Action {
	f, config, age := &b.feedback, &b.config, float64(now-b.openedAt)
	rate := max(1, b.arrivals.recent.read(now)) / (retryWindow * (1 - math.Exp(-age/retryWindow)))
	interval, limit := float64(config.Callers)/rate, sparseInterval
	if f.closingIdle { // hysteresis
		limit /= 2
	}
	if b.arrivals.throttled.read(now) > saturatedShare*max(b.arrivals.recent.read(now), saturatedReads) {
		f.saturatedUntil = now + saturatedFor
	}
	closing := interval > limit && now >= f.saturatedUntil
	if age < rateKnownAfter || config.IdleTimeout <= minIdleTimeout ||
		config.Callers <= fewCallers*config.Cores || f.closingIdle == closing {
		return out
	}
	if f.closingIdle = closing; closing {
		return append(out, CloseIdle{minIdleTimeout})
	}
	return append(out, CloseIdle{config.IdleTimeout})
}
