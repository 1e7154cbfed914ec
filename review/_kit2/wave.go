package main

import (
	"fmt"
	"sync"
	"time"
)

// playWave takes forty backends under load through a rolling update while the agent alone is killed and started again.
func playWave(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	operations := []operation{
		{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"},
		{Name: "year-statement", Aim: 4500, Timeout: 5000, Repeat: "idempotent"},
	}
	if err := f.begin(40, operations, 4000); err != nil {
		return false, err
	}
	if err := f.tool("start", "--all", "--within", "30s"); err != nil {
		return false, err
	}
	var load sync.WaitGroup
	stop := make(chan struct{})
	for _, b := range f.backends {
		load.Go(func() {
			ticker := time.NewTicker(200 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				b.edge.send(&request{ID: newID(), Class: "bill-lookup", Body: []byte("work=300"), Cost: 300, Wait: 7 * time.Second})
				if n%5 == 0 {
					b.edge.send(&request{ID: newID(), Class: "year-statement", Body: []byte("work=3000"), Cost: 3000, Wait: 5 * time.Second})
				}
			}
		})
	}
	done := make(chan error, 1)
	go func() {
		done <- f.tool("rolling-update", "--all", "--max-unavailable", "8", "--min-ready-share", "0.5", "--within", "70s")
	}()
	end := time.Now().Add(45 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(500+s.Random.IntN(1500)) * time.Millisecond)
		s.Record.say("kill the agent")
		f.agent.end()
		time.Sleep(time.Duration(s.Random.IntN(2500)) * time.Millisecond)
		if err := f.startAgent(); err != nil {
			return false, err
		}
	}
	close(stop)
	load.Wait()
	time.Sleep(8 * time.Second)
	for _, b := range f.backends {
		m := b.machine
		m.mu.Lock()
		all := sorted(m)
		lost := 0
		for _, r := range all {
			if !r.Written.IsZero() && !answeredInTime(r) {
				lost++
				s.Record.request(b.name, r)
			}
		}
		if lost > 0 {
			broken = true
			s.Record.say("FAULT %s lost %d", b.name, lost)
			fmt.Println(b.name, counts(all))
		}
		m.mu.Unlock()
	}
	return broken, nil
}
