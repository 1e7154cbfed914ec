package loadgen

import (
	"time"
)

// snapshotInterval is the time between two snapshots.
const snapshotInterval = time.Second

// reportProgress passes a snapshot to Options.OnSnapshot once a second until stop is closed.
func (s *sender) reportProgress(stop chan struct{}) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	previousRequests := 0
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		snapshot := s.snapshot(previousRequests)
		previousRequests = snapshot.Requests
		if s.options.OnSnapshot != nil {
			s.options.OnSnapshot(snapshot)
		}
	}
}

// snapshot returns the current state of the load; previousRequests is Requests of the previous snapshot.
func (s *sender) snapshot(previousRequests int) Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := Snapshot{
		At:          time.Since(s.startedAt).Round(time.Second),
		Requests:    s.report.Requests,
		InFlight:    s.inFlight,
		Value:       s.report.Value(),
		Connections: len(s.connections),
		Lag:         s.report.MaxLag,
		PerSecond:   float64(s.report.Requests - previousRequests),
	}
	if seconds := s.report.Seconds; len(seconds) > 1 {
		snapshot.LastSecond = seconds[len(seconds)-2] // the last one is incomplete
	}
	return snapshot
}
