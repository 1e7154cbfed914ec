package main

import (
	"fmt"
	"sync"
	"time"
)

// The stop times of the case: the first configuration has the former one, the new configuration the other.
const (
	formerStopMs = 3200
	newStopMs    = 10000
)

// playWindow has a fleet of six backends under an agent get a new configuration with a longer stop_ms, by the rolling
// update that docs/fleet.md names for it: five of them in some 21 s, one at a time. Later one backend is drained under load. The rule: it answers all it has read
// before it is stopped, which is stop_ms after the notice.
func playWindow(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	stop := newStopMs
	if s.Trouble {
		stop = formerStopMs
	}
	operations := []operation{
		{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"},
		{Name: "year-statement", Aim: 7000, Timeout: 8300, Repeat: "idempotent"},
	}
	if err := f.begin(6, operations, stop); err != nil {
		return false, err
	}
	if err := f.tool("start", "--all", "--within", "20s"); err != nil {
		return false, err
	}
	s.Record.say("the backends are up, stop_ms is %d", stop)
	if s.Trouble {
		if err := f.configure(newStopMs); err != nil {
			return false, err
		}
		s.Record.say("the configuration files are replaced: stop_ms is %d", newStopMs)
	}
	if err := f.tool("rolling-update", "b1", "b2", "b3", "b4", "b5", "--within", "50s"); err != nil {
		return false, err
	}
	s.Record.say("the rolling update of five is done: they run with stop_ms %d", newStopMs)

	var load sync.WaitGroup
	stopLoad := make(chan struct{})
	for i, b := range f.backends {
		load.Go(func() { f.load(i, b, stopLoad) })
	}
	time.Sleep(3 * time.Second)
	drained := f.backends[0]
	notice := time.Now()
	s.Record.say("fleet drain %s", drained.name)
	done := make(chan error, 1)
	go func() { done <- f.tool("drain", drained.name, "--within", "25s") }()
	time.Sleep(1500 * time.Millisecond)
	close(stopLoad)
	load.Wait()
	if err := <-done; err != nil {
		s.Record.say("the drain's result: %v", err)
	}
	s.Record.say("the drain ended %.2f s after it was asked for", time.Since(notice).Seconds())
	time.Sleep(500 * time.Millisecond)
	m := drained.machine
	m.mu.Lock()
	defer m.mu.Unlock()
	all := sorted(m)
	lost := 0
	for _, r := range all {
		s.Record.request(drained.name, r)
		if !r.Written.IsZero() && !answeredInTime(r) && r.due().Before(notice.Add(newStopMs*time.Millisecond)) {
			lost++
		}
	}
	s.Record.say("%s: %s", drained.name, counts(all))
	s.Record.say("%d requests that %s had read got no final answer before it was stopped", lost, drained.name)
	fmt.Printf("%s: %s\n", drained.name, counts(all))
	return lost > 0, nil
}

// load sends a lookup every 100 ms and a statement, five seconds of work, every second.
func (f *fleetSite) load(from int, b *fleetBackend, stop <-chan struct{}) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		b.edge.send(&request{
			ID: newID(), Class: "bill-lookup", Body: []byte("work=60"), Cost: 60, Wait: 7 * time.Second,
		})
		if n%10 == 5 {
			b.edge.send(&request{
				ID: newID(), Class: "year-statement", Body: []byte("work=5000"), Cost: 5000, Wait: 8300 * time.Millisecond,
			})
		}
	}
}
