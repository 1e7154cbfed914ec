package gate

import "time"

// Beat ticks until done is closed. Before each tick it asks for a sample of the gauges and waits for it a
// little while; a sample that is late still makes a tick, with the gauges known before.
func (g *Gate) Beat(done <-chan struct{}, ask func(), sampled <-chan []float64) {
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
		select { // a late one of the tick before
		case <-sampled:
		default:
		}
		ask()
		gauges, over := sleep(g.bounds.SampleWait, sampled)
		if over {
			return
		}
		next = g.Tick(gauges)
	}
}
