package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playChaos gives a host of four backends under load commands at random, while its agent and the processes beside the
// backends are killed and paused. It looks for requests that are lost by a backend that the test did not kill, and for
// two processes of one backend.
//
// Settings in the environment: SECONDS (60); KILLS=1 kills backends too; ADOPT=1 kills the processes beside backends also in
// a drain, which is case 6.
func playChaos(s *setup) (broken bool, err error) {
	f := &fleetSite{setup: s}
	operations := []operation{
		{Name: "bill-lookup", Aim: 2200, Timeout: 7000, Repeat: "idempotent"},
		{Name: "year-statement", Aim: 4500, Timeout: 5000, Repeat: "idempotent"},
	}
	if err := f.begin(4, operations, 6000); err != nil {
		return false, err
	}
	if err := f.tool("start", "--all", "--within", "20s"); err != nil {
		return false, err
	}
	var load sync.WaitGroup
	stop := make(chan struct{})
	for i, b := range f.backends {
		load.Go(func() {
			ticker := time.NewTicker(100 * time.Millisecond)
			defer ticker.Stop()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				b.edge.send(&request{ID: newID(), Class: "bill-lookup", Body: []byte("work=60"), Cost: 60, Wait: 7 * time.Second})
				if n%5 == i {
					b.edge.send(&request{ID: newID(), Class: "year-statement", Body: []byte("work=4000"), Cost: 4000, Wait: 5 * time.Second})
				}
			}
		})
	}
	kills := map[string][]time.Time{}
	var tools sync.WaitGroup
	agentUp := true
	var agentBack time.Time
	begun := time.Now()
	length := time.Duration(envInt("SECONDS", 60)) * time.Second
	for time.Since(begun) < length {
		time.Sleep(time.Duration(100+s.Random.IntN(900)) * time.Millisecond)
		if !agentUp && time.Now().After(agentBack) {
			agentUp = true
			if err := f.startAgent(); err != nil {
				s.Record.say("agent: %v", err)
			}
		}
		b := f.backends[s.Random.IntN(len(f.backends))]
		st := f.state(b.name)
		switch k := s.Random.IntN(14); k {
		case 0, 1:
			if agentUp {
				s.Record.say("kill the agent")
				f.agent.end()
				agentUp = false
				agentBack = time.Now().Add(time.Duration(s.Random.IntN(3000)) * time.Millisecond)
			}
		case 2, 3:
			if !st.Ended && st.Keeper.PID > 1 && (st.Told == "" || envInt("ADOPT", 0) == 1) {
				s.Record.say("kill the supervisor of %s", b.name)
				_ = syscall.Kill(st.Keeper.PID, syscall.SIGKILL)
			}
		case 4:
			if envInt("KILLS", 0) == 1 && !st.Ended && st.Instance.PID > 1 {
				s.Record.say("kill %s", b.name)
				kills[b.name] = append(kills[b.name], time.Now())
				_ = syscall.Kill(st.Instance.PID, syscall.SIGKILL)
			}
		case 5:
			if agentUp {
				s.Record.say("SIGHUP to the agent")
				f.agent.signal(syscall.SIGHUP)
			}
		case 12:
			if !st.Ended && st.Keeper.PID > 1 {
				s.Record.say("pause the supervisor of %s", b.name)
				_ = syscall.Kill(st.Keeper.PID, syscall.SIGSTOP)
				time.AfterFunc(600*time.Millisecond, func() { _ = syscall.Kill(st.Keeper.PID, syscall.SIGCONT) })
			}
		case 13:
			if agentUp {
				s.Record.say("pause the agent")
				f.agent.signal(syscall.SIGSTOP)
				time.Sleep(600 * time.Millisecond)
				f.agent.signal(syscall.SIGCONT)
			}
		case 6, 7, 8, 9, 10:
			word := []string{"drain", "start", "start", "restart", "start"}[k-6]
			tools.Go(func() { _ = f.tool(word, b.name, "--within", "10s") })
		case 11:
			tools.Go(func() { _ = f.tool("rolling-update", "--all", "--within", "30s") })
		}
		out, _ := exec.Command("pgrep", "-fa", f.Dir+"/b").Output()
		seen := map[string]int{}
		for _, line := range strings.Split(string(out), "\n") {
			if strings.Contains(line, " serve ") && !strings.Contains(line, " keeper ") && !strings.Contains(line, " begin ") {
				for _, b := range f.backends {
					if strings.Contains(line, "/"+b.name+".json") {
						seen[b.name]++
					}
				}
			}
		}
		for name, n := range seen {
			if n > 1 {
				s.Record.say("FAULT %d processes of %s: %s", n, name, out)
			}
		}
	}
	close(stop)
	load.Wait()
	tools.Wait()
	time.Sleep(6 * time.Second)
	for _, b := range f.backends {
		m := b.machine
		m.mu.Lock()
		all := sorted(m)
		for _, r := range all {
			if r.Written.IsZero() || answeredInTime(r) || r.Written.After(time.Now().Add(-8*time.Second)) {
				continue
			}
			excused := false
			for _, k := range kills[b.name] {
				excused = excused || r.At.Before(k.Add(300*time.Millisecond)) && r.due().After(k)
			}
			if !excused {
				broken = true
				s.Record.say("FAULT lost on %s", b.name)
				s.Record.request(b.name, r)
			}
		}
		s.Record.say("%s: %s", b.name, counts(all))
		fmt.Println(b.name, counts(all))
		m.mu.Unlock()
	}
	return broken, nil
}
