package admission

import (
	"math"

	"milletbarrow/monotime"
)

// maxCalls is the part of the call quota that is used: the slower calls are of late, the less. A dependency
// that is crowded, hangs or is gone shows here alike. If calls differ much in length, capacity is given away.
func (b *Backend) maxCalls(now monotime.Micros) float64 {
	return b.config.CallQuota * min(1, slowCallsFrom*b.calls.usual(now)/b.calls.recent(now))
}

// expectedCallTime is how long an invocation would be at its call, with those that wait before it.
func (b *Backend) expectedCallTime(now monotime.Micros, op *Operation) float64 {
	if !op.MakesCalls || op.ValueWithoutCall > 0 {
		return 0
	}
	return b.calls.recent(now) * (1 + b.count(atCall)/max(1, math.Floor(b.maxCalls(now))))
}

// needsCall takes a run off the cores until its call has returned.
func (b *Backend) needsCall(now monotime.Micros, inv *invocation, out []Action) []Action {
	b.setPhase(inv, atCall)
	inv.nextCallAt, inv.callAt = now, b.runs.clock
	b.load.startedSince--
	if b.count(atCall) > callsWaitPerCore*float64(b.config.Cores) {
		out = b.giveUpCall(now, inv, out)
	}
	return out
}

// startCalls makes the calls that runs wait for, in order, within this backend's call quota.
func (b *Backend) startCalls(now monotime.Micros, out []Action) []Action {
	c := &b.calls
	for len(c.lingering) > 0 && c.lingering[0] <= now {
		c.lingering = c.lingering[1:]
	}
	if b.inFlight.counts[atCall] == 0 {
		return out
	}
	calls, limit := b.count(inCall)+float64(len(c.lingering)), b.maxCalls(now)
	for _, inv := range b.inFlight.all {
		if inv.phase != atCall || inv.answered || inv.nextCallAt > now {
			continue
		}
		full := calls >= max(1, math.Floor(limit)) ||
			c.meanInFlight.read(now) > callQuotaUsed*limit*c.meanInFlight.window
		if b.config.SharedDependency && full {
			break
		}
		if inv.callAttempts == 0 {
			c.first.add(now, 1)
		} else {
			c.retried.add(now, 1)
		}
		inv.callAttempts++
		b.setPhase(inv, inCall)
		calls++
		timeout := min(inv.deadline, b.answerBy()) - now
		if c.ended.read(now) > 0 {
			timeout = min(timeout, monotime.Micros(8*c.usual(now))+inv.op.Objective/8)
		}
		out = append(out, Call{ID: inv.id, Timeout: max(timeout, 1000)})
	}
	return out
}

func (b *Backend) callReturned(now monotime.Micros, e CallReturned, out []Action) []Action {
	inv := b.inFlight.byID[e.ID]
	if inv == nil || inv.phase != inCall {
		return out
	}
	if e.Outcome == OK {
		b.calls.took.add(now, float64(e.Took))
		b.calls.ended.add(now, 1)
		b.calls.succeeded.add(now, 1)
		b.resume(inv)
		return out
	}
	if e.Outcome == TimedOut {
		b.calls.lingering = append(b.calls.lingering, now+b.config.AbandonedCallLinger)
	}
	b.setPhase(inv, atCall)
	if inv.answered {
		return out
	}
	if inv.op.RetrySafety == Idempotent && inv.callAttempts < maxCallAttempts &&
		b.calls.retried.read(now)+1 <= callRetryBudget*b.calls.first.read(now) {
		inv.nextCallAt = now + b.tick<<inv.callAttempts
		return out
	}
	return b.giveUpCall(now, inv, out)
}

// resume puts a run back on the cores; its time at the call is not core time.
func (b *Backend) resume(inv *invocation) {
	b.setPhase(inv, running)
	b.load.startedSince++
	inv.callAttempts = 0
	inv.startedAt += b.runs.clock - inv.callAt
}

// giveUpCall skips a call where that is allowed, else it ends the invocation with don't retry or an error.
func (b *Backend) giveUpCall(now monotime.Micros, inv *invocation, out []Action) []Action {
	if inv.op.ValueWithoutCall > 0 {
		b.resume(inv)
		return append(out, SkipCall{inv.id})
	}
	if inv.op.RetrySafety == Idempotent {
		return b.abandon(now, inv, append(out, Throttle{ID: inv.id, DontRetry: true}))
	}
	return b.abandon(now, inv, append(out, Fail{inv.id}))
}
