package dispatch

import (
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Fractions of the setting AnswerSlack, the time by which an answer may miss its deadline.
const (
	defaultTicksPerSlack = 3 // ticks per slack while the module sets no tick time

	// A request is overdue when more than overdueNumerator/overdueDenominator of the slack has passed since its
	// deadline.
	overdueNumerator   = 2
	overdueDenominator = 3
)

// RunTicks runs the ticks until done is closed. Before each tick it requests a sample of the gauges and waits for it up
// to SampleTimeout; without a sample the tick uses the latest gauges. requestSample reports whether a sample is
// expected. It returns false while an earlier sample is late, so that an unresponsive executor does not delay the
// ticks.
func (d *Dispatcher) RunTicks(done <-chan struct{}, requestSample func() bool, sampled <-chan []float64) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sampler := sampler{bounds: &d.bounds, timer: timer, done: done, request: requestSample, samples: sampled}
	next := Now()
	for {
		if _, stopped := sampler.wait((next - Now()).Duration(), nil); stopped {
			return
		}
		gauges, stopped := sampler.sample()
		if stopped {
			return
		}
		next = d.Tick(gauges)
	}
}

// Tick sends a reading of the gauges to the module, answers overdue requests and returns the time of the next tick.
// gauges is nil without a new sample.
func (d *Dispatcher) Tick(gauges []float64) monotime.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	if d.backend == nil {
		return now + d.tickInterval()
	}
	d.recordTick(now)
	if d.results != nil {
		d.results.EvictExpired(now, d.maxReadDelay(), monotime.FromDuration(d.bounds.SweepInterval))
	}
	if d.tickDone != nil {
		defer close(d.tickDone)
		d.tickDone = nil
	}
	d.counts.Ticks++
	d.updateGauges(now, gauges)
	reading := d.settings.Reading(d.gauges)
	reading.Token = d.timerToken
	d.updateLevel(reading)
	d.nextTick = 0
	_ = d.decide(now, reading)
	d.answerOverdue(now)
	if d.nextTick <= now {
		d.nextTick = now + d.tickInterval()
	}
	return d.nextTick
}

// recordTick records the time of a tick, and a stall if the tick is late.
func (d *Dispatcher) recordTick(now monotime.Micros) {
	if d.stalledAt(now) {
		d.stallStart = d.lastTick
		d.stallEnd = now
	}
	d.lastTick = now
}

// stalledAt reports whether the time since the latest tick is a stall.
func (d *Dispatcher) stalledAt(now monotime.Micros) bool {
	return now-d.lastTick > monotime.FromDuration(d.bounds.StallThreshold)
}

// MaxSignalDelay returns how long a signal that is handled now may have been pending: since the start of the stall if
// the process is in one or has just left it, else 0.
func (d *Dispatcher) MaxSignalDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	justLeft := d.stallEnd != 0 && now-d.stallEnd <= monotime.FromDuration(d.bounds.StallThreshold)
	switch {
	case d.backend == nil: // there are no ticks yet
		return 0
	case d.stalledAt(now):
		return (now - d.lastTick).Duration()
	case justLeft:
		return (now - d.stallStart).Duration()
	}
	return 0
}

// tickInterval returns the time between ticks while the module sets no tick time.
func (d *Dispatcher) tickInterval() monotime.Micros {
	return d.settings.Admission.AnswerSlack / defaultTicksPerSlack
}

// updateGauges stores a sample. Without a new sample the latest gauges remain valid for SampleMaxAge.
func (d *Dispatcher) updateGauges(now monotime.Micros, gauges []float64) {
	if gauges != nil {
		d.gauges = append(d.gauges[:0], gauges...)
		d.gaugesAt = now
		return
	}
	d.counts.Unsampled++
	if now-d.gaugesAt > monotime.FromDuration(d.bounds.SampleMaxAge) {
		d.gauges = d.gauges[:0]
	}
}

// answerOverdue answers the requests that are overdue. The module answers every request in time, so an overdue request
// means that a defect dropped it.
func (d *Dispatcher) answerOverdue(now monotime.Micros) {
	overdueAfter := d.settings.Admission.AnswerSlack * overdueNumerator / overdueDenominator
	for _, req := range d.inFlight {
		if !req.answered && now > req.deadline+overdueAfter {
			slog.Error("overdue request answered with an error",
				"id", req.id, "late_us", now-req.deadline, "running", req.running)
			d.respond(req, Response{Verdict: Errored})
			_ = d.decide(now, admission.CallerGone{ID: req.id})
		}
	}
}
