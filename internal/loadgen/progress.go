package loadgen

import (
	"time"
)

// reportProgress reports a snapshot each second until stop is closed.
func (s *sender) reportProgress(stop chan struct{}) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	requests := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		p := Snapshot{
			At: time.Since(s.startedAt).Round(time.Second), Requests: s.report.Requests, InFlight: s.inFlight, Value: s.report.Value(), Connections: len(s.connections), Lag: s.report.MaxLag,
			PerSecond: float64(s.report.Requests - requests),
		}
		requests = s.report.Requests
		if n := len(s.report.Seconds); n > 1 {
			p.LastSecond = s.report.Seconds[n-2]
		}
		s.mu.Unlock()
		if s.options.OnSnapshot != nil {
			s.options.OnSnapshot(p)
		}
	}
}
