package admission

import "milletbarrow/monotime"

// finished ends a run or a reuse and learns from what it took.
func (b *Backend) finished(now monotime.Micros, e Finished, out []Action) []Action {
	inv := b.inFlight.byID[e.ID]
	if inv == nil {
		return out
	}
	switch e.Outcome {
	case OK:
		b.feedback.lastProgress = now
	case Unrunnable: // as if never read: what nobody sent must pass neither for load nor for first attempts
		b.arrivals.recent.subtract(now, 1)
		if inv.retry {
			b.arrivals.retries.subtract(now, 1)
		}
		if inv.tenant < len(b.admitted) {
			b.admitted[inv.tenant].subtract(now, 1)
		}
		b.load.startedSince--
		return b.remove(inv, out)
	}
	if inv.phase == inCall {
		b.calls.lingering = append(b.calls.lingering, now+b.config.AbandonedCallLinger)
	}
	if inv.phase.onCores() {
		b.load.startedSince--
		if inv.phase != running {
			b.resume(inv)
		}
		spent, expected := max(1, b.runs.clock-inv.startedAt), inv.units*inv.cost.perUnit(now)
		if e.Outcome == OK {
			inv.cost.coreTime.add(now, spent)
			inv.cost.units.add(now, inv.units)
		} else {
			expected = min(expected, spent) // it may have been cut short
		}
		b.runs.expected.add(now, expected)
		b.runs.ended.add(now, 1)
	}
	if e.Outcome == Canceled && !inv.answered {
		out = append(out, Fail{inv.id})
	}
	return b.remove(inv, out)
}
