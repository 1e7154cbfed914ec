package dispatch

import "time"

// RunTicks ticks until done is closed. Before each tick it asks for a sample of the gauges and waits for it a
// little while; a sample that is late still makes a tick, with the gauges known before. Ask tells whether a
// sample is on its way; one that was late already is not waited for again, so that a silent farm does not
// stretch the time between two ticks.
func (d *Dispatcher) RunTicks(done <-chan struct{}, ask func() bool, sampled <-chan []float64) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	sleep := func(span time.Duration, wake <-chan []float64) (gauges []float64, over bool) {
		timer.Reset(span)
		select {
		case <-timer.C:
		case gauges = <-wake:
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
		case gauges = <-sampled: // one that came late, for want of a newer
		default:
		}
		for asked := Now(); ask(); asked = Now() {
			newer, over := sleep(d.bounds.SampleWait, sampled)
			if over {
				return
			}
			if Now()-asked > Micros(d.bounds.HeldUp.Microseconds()) {
				continue // the process was held up meanwhile, and this is from before
			}
			if newer != nil {
				gauges = newer
			}
			break
		}
		next = d.Tick(gauges)
	}
}
