package dispatch

import (
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// Parts of the setting AnswerSlack, which is the time by which an answer may miss its deadline.
const (
	defaultTicksPerSlack = 3 // ticks in the slack where the module sets no time for them

	// A request is overdue when its deadline is past by overdueNumerator/overdueDenominator of the slack.
	overdueNumerator   = 2
	overdueDenominator = 3
)

// RunTicks ticks until done is closed. Before each tick it requests a sample of the gauges and waits up to
// SampleTimeout for it; without one the tick uses the latest gauges. requestSample reports whether a sample is
// expected. It is false while an earlier sample is late, so that a silent executor does not delay the ticks.
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

// Tick passes the gauges to the module, nil if they are unknown, and returns the time of the next tick.
func (d *Dispatcher) Tick(gauges []float64) monotime.Micros {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := Now()
	if d.backend == nil {
		return now + d.tickInterval()
	}
	d.lastTick = now
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

// tickInterval returns the time between ticks where the module sets none.
func (d *Dispatcher) tickInterval() monotime.Micros {
	return d.settings.Admission.AnswerSlack / defaultTicksPerSlack
}

// updateGauges stores a sample. Without one the latest gauges remain valid for SampleMaxAge.
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

// answerOverdue answers requests whose deadline is well past. The module answers each in time, so these were lost by a
// defect.
func (d *Dispatcher) answerOverdue(now monotime.Micros) {
	overdueAfter := d.settings.Admission.AnswerSlack * overdueNumerator / overdueDenominator
	for _, req := range d.inFlight {
		if !req.answered && now > req.deadline+overdueAfter {
			slog.Error("overdue", "id", req.id, "late_us", now-req.deadline, "running", req.running)
			d.respond(req, Response{Verdict: Errored})
			_ = d.decide(now, admission.CallerGone{ID: req.id})
		}
	}
}
