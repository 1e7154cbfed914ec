package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// The grace of the case: the backends run with the former one, the files of the next release have the other.
const (
	formerGraceMs = 2500
	newGraceMs    = 2000
)

// playGrace prepares a release: the configuration files of six backends are replaced, with a shorter grace that holds
// from the next start on. Before the rolling update begins, the agent dies, with the processes that it has beside the
// backends, and is started again. The rule: each backend that leaves answers all it has read before it is stopped, which
// is stop_ms after its notice.
func playGrace(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	const stopMs = 4000
	operations := []operation{{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"}}
	f.graceMs = formerGraceMs
	if err := f.begin(6, operations, stopMs); err != nil {
		return false, err
	}
	if err := f.tool("start", "--all", "--within", "20s"); err != nil {
		return false, err
	}
	f.graceMs = newGraceMs
	if err := f.configure(stopMs); err != nil {
		return false, err
	}
	s.Record.say("the backends run with a grace of %d ms; files with %d ms wait for the next start", formerGraceMs, newGraceMs)
	if s.Trouble {
		f.agent.signal(syscall.SIGKILL)
		for _, b := range f.backends {
			f.kill(f.state(b.name).Keeper.PID)
		}
		f.agent.end()
		s.Record.say("the agent and the processes beside the backends are killed")
		time.Sleep(500 * time.Millisecond)
		if err := f.startAgent(); err != nil {
			return false, err
		}
		s.Record.say("the agent is started again")
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	s.Record.say("the agent sees all backends ready")

	var load sync.WaitGroup
	stopLoad := make(chan struct{})
	for _, b := range f.backends {
		load.Go(func() { b.lookups(160*time.Millisecond, 900, 7*time.Second, stopLoad) })
	}
	time.Sleep(2 * time.Second)
	if err := f.tool("rolling-update", "b1", "b2", "b3", "b4", "b5", "--within", "60s"); err != nil {
		s.Record.say("the tool: %v", err)
	}
	close(stopLoad)
	load.Wait()
	time.Sleep(3 * time.Second)
	lost, hosts, total := 0, 0, 0
	for _, b := range f.backends {
		n, all := b.lostAtEnds(s)
		s.Record.say("%s: %d lost; %s", b.name, n, counts(all))
		lost += n
		total += len(all)
		if n > 0 {
			hosts++
		}
	}
	s.Record.say("%d of %d requests that backends had read got no final answer before they were stopped, on %d of 5 backends",
		lost, total, hosts)
	fmt.Printf("%d of %d requests lost, on %d of 5 backends\n", lost, total, hosts)
	return lost > 0, nil
}
