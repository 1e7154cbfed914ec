package dispatch

import (
	"log/slog"
	"time"

	"milletbarrow/admission"
	"milletbarrow/monotime"
)

// RunTicks ticks until done is closed. Before each tick it requests a sample of the gauges and waits a little for it; if
// the sample is late the tick goes by the gauges known before. requestSample reports whether a sample is on its way. One
// that was late already is not waited for again, so that a silent executor does not stretch the time between two ticks.
func (d *Dispatcher) RunTicks(done <-chan struct{}, requestSample func() bool, sampled <-chan []float64) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sleep := func(span time.Duration, samples <-chan []float64) (gauges []float64, over bool) {
		timer.Reset(span)
		select {
		case <-timer.C:
		case gauges = <-samples:
		case <-done:
			over = true
		}
		return gauges, over
	}
	next := Now()
	for {
		if _, over := sleep(time.Duration(next-Now())*time.Microsecond, nil); over {
			return
		}
		var gauges []float64
		select {
		case gauges = <-sampled: // a late one, unless a newer one comes
		default:
		}
		for requested := Now(); requestSample(); requested = Now() {
			newer, over := sleep(d.bounds.SampleTimeout, sampled)
			if over {
				return
			}
			if Now()-requested > monotime.FromDuration(d.bounds.StallThreshold) {
				continue // the process was suspended meanwhile, and the sample is from before
			}
			if newer != nil {
				gauges = newer
			}
			break
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

// tickInterval is the time between ticks where the module sets none.
func (d *Dispatcher) tickInterval() monotime.Micros { return d.settings.Admission.AnswerSlack / 3 }

// updateGauges takes in a sample. Without one the gauges known before hold for SampleMaxAge.
func (d *Dispatcher) updateGauges(now monotime.Micros, gauges []float64) {
	if gauges != nil {
		d.gauges, d.gaugesAt = append(d.gauges[:0], gauges...), now
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
	for _, req := range d.inFlight {
		if !req.answered && now > req.deadline+d.settings.Admission.AnswerSlack*2/3 {
			slog.Error("overdue", "id", req.id, "late_us", now-req.deadline, "running", req.running)
			d.respond(req, Response{Verdict: Errored})
			_ = d.decide(now, admission.CallerGone{ID: req.id})
		}
	}
}
