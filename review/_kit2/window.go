package main

import (
	"sync"
	"time"
)

// The stop times of the case: the first configuration has the former one, the new configuration the other.
const (
	formerStopMs = 3500
	newStopMs    = 6000
)

// playWindow has a fleet of six backends under an agent get a new configuration with a longer stop_ms, by the rolling
// update that docs/fleet.md names for it: five of them in some 21 s, one at a time. Later one backend, on a slow host, is
// drained under load. The rule: it answers all it has read before it is stopped, which is stop_ms after the notice.
func playWindow(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	stop := newStopMs
	if s.Trouble {
		stop = formerStopMs
	}
	operations := []operation{{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"}}
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

	return f.drainSlow(f.backends[0])
}

// The work of a lookup in ms: 440 on the yardstick, on cores of half its speed; on the slow host 4.3 times as long.
const (
	usualWork    = 880
	slowWork     = 3800
	slowInterval = 750 * time.Millisecond // some five runs on six cores
)

// drainSlow drains one backend, whose host is slow, under load.
func (f *fleetSite) drainSlow(b *fleetBackend) (broken bool, err error) {
	s := f.setup
	var load sync.WaitGroup
	stopLoad := make(chan struct{})
	load.Go(func() { b.lookups(slowInterval, slowWork, 7*time.Second, stopLoad) })
	for _, other := range f.backends[1:] {
		load.Go(func() { other.lookups(200*time.Millisecond, usualWork, 7*time.Second, stopLoad) })
	}
	time.Sleep(6 * time.Second)
	s.Record.say("fleet drain %s", b.name)
	done := make(chan error, 1)
	go func() { done <- f.tool("drain", b.name, "--within", "25s") }()
	instance := f.state(b.name).Instance.PID
	notice, err := f.awaitNotice(b.name)
	if err != nil {
		return false, err
	}
	ended := awaitEnd(instance, notice.Add((newStopMs+1000)*time.Millisecond))
	close(stopLoad)
	load.Wait()
	if err := <-done; err != nil {
		s.Record.say("the tool: %v", err)
	}
	return b.judgeDrain(s, notice, ended, newStopMs)
}
