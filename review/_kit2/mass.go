package main

import (
	"fmt"
	"sync"
	"time"
)

// playMass drains all backends of a host at once, or restarts them, while long runs are under way.
//
// Settings in the environment: N backends (100); RESTART=1 restarts them.
func playMass(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	n := envInt("N", 100)
	operations := []operation{
		{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"},
		{Name: "year-statement", Aim: 8000, Timeout: 8300, Repeat: "idempotent"},
	}
	if err := f.begin(n, operations, 3200); err != nil {
		return false, err
	}
	if err := f.tool("start", "--all", "--within", "40s"); err != nil {
		return false, err
	}
	var load sync.WaitGroup
	stop := make(chan struct{})
	for _, b := range f.backends {
		load.Go(func() {
			ticker := time.NewTicker(150 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				b.edge.send(&request{ID: newID(), Class: "bill-lookup", Body: []byte("work=300"), Cost: 300, Wait: 7 * time.Second})
				if n%5 == 0 {
					b.edge.send(&request{ID: newID(), Class: "year-statement", Body: []byte("work=5000"), Cost: 5000, Wait: 8300 * time.Millisecond})
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	word := "drain"
	if envInt("RESTART", 0) == 1 {
		word = "restart"
	}
	at := time.Now()
	err = f.tool(word, "--all", "--within", "20s")
	s.Record.say("drain %.2f s: %v", time.Since(at).Seconds(), err)
	close(stop)
	load.Wait()
	time.Sleep(time.Second)
	total, failed, hosts := 0, 0, 0
	for _, b := range f.backends {
		m := b.machine
		m.mu.Lock()
		lost := 0
		for _, r := range sorted(m) {
			if r.Written.IsZero() {
				continue
			}
			if len(r.Answers) == 0 && !(r.Written.After(r.EndedAt.Add(-crossing))) {
				lost++
				s.Record.request(b.name, r)
			}
			if len(r.Answers) > 0 && r.Answers[0].Code == 3 {
				failed++
			}
		}
		if lost > 0 {
			hosts++
		}
		total += lost
		m.mu.Unlock()
	}
	fmt.Println("lost", total, "on", hosts, "backends; failed answers", failed)
	return total > 0, nil
}
