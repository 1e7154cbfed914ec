package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/fleetclient"
)

// TestRollingUpdateThroughAgentCrashes updates forty instances under load while the agent is killed repeatedly at
// seeded times, one instance ignores SIGTERM and one is suspended. It checks every answer, launch and stop against the
// records of callers, executors and supervisors.
func TestRollingUpdateThroughAgentCrashes(t *testing.T) {
	const count, maxUnavailable, seed = 40, 8, 20261201
	grace, stop := 2*time.Second, 3200*time.Millisecond
	dir := t.TempDir()
	// n7 is started by a shell that ignores SIGTERM; the instance receives the notice only on its admin socket.
	wrapper := filepath.Join(dir, "start")
	script := fmt.Sprintf("#!/bin/sh\ncase \"$*\" in */n7.json*) trap '' TERM; %[1]s \"$@\" & wait $!;; *) exec %[1]s \"$@\";; esac\n", program)
	if err := os.WriteFile(wrapper, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	h := newTestFleet(t, count, "(start-within 30s) (settle 300ms)", fmt.Sprintf("(width %d) (least-share 0.75) (stall 30s)", maxUnavailable), wrapper)
	h.startAgent()
	fakes.Until(t, "the agent answers", func() bool { return h.status().Status != nil })
	h.must("start", "--all", "--quiet", "--within", "60s")
	h.untilAll(fleet.PhaseReady)

	loads := make([]*fakes.Caller, 0, len(h.names))
	for i, n := range h.names {
		loads = append(loads, fakes.NewCaller(h.addresses[n], i+1, 50*time.Millisecond, 3*time.Second, time.Duration(i%4)*150*time.Millisecond))
	}
	client := h.command("wave", "--all", "--id", "release", "--within", "150s", "--json", "--quiet")
	var report bytes.Buffer
	client.Stdout = &report
	if err := client.Start(); err != nil {
		t.Fatal(err)
	}
	clientEnded := make(chan error, 1)
	go func() { clientEnded <- client.Wait() }()
	unresponsive, err := h.supervisorState("n23")
	if err != nil {
		t.Fatal(err)
	}
	suspended := time.Now()
	if err := unresponsive.Instance.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}

	random := rand.New(rand.NewPCG(seed, 0))
	kills := 0
	for over := false; !over; {
		select {
		case err := <-clientEnded:
			over = true
			if err != nil {
				t.Errorf("the client: %v", err)
			}
		case <-time.After(time.Duration(100+random.IntN(1200)) * time.Millisecond):
			if kills < 12 {
				h.killAgent()
				kills++
				time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond) // the agent stays down for a while
				h.startAgent()
			}
		}
	}
	var sent []*fakes.SentRequest
	byInstance := map[string][]*fakes.SentRequest{}
	for i, l := range loads {
		byInstance[h.names[i]] = l.Stop()
		sent = append(sent, byInstance[h.names[i]]...)
	}
	h.untilAll(fleet.PhaseReady)
	t.Logf("the agent was killed %d times; %d invocations", kills, len(sent))
	if kills < 5 {
		t.Errorf("the agent was killed %d times only", kills)
	}

	incarnations := h.incarnations()
	var r fleetclient.Report
	if err := json.Unmarshal(report.Bytes(), &r); err != nil {
		t.Fatalf("%v: %s", err, report.String())
	}
	checkReport(t, h, &r, incarnations)
	checkStops(t, incarnations, stop)
	checkAnswers(t, byInstance, incarnations, suspended)
	checkLaunches(t, h, byInstance, incarnations, grace)
	checkUnavailable(t, incarnations, h.readyTimes(), maxUnavailable)
}

// checkReport checks the result that the client reports for each instance against its supervisor's log.
func checkReport(t *testing.T, h *testFleet, r *fleetclient.Report, incarnations map[string][]*incarnation) {
	t.Helper()
	results := r.Hosts[0].Command.Results
	for _, n := range h.names {
		all := incarnations[n]
		if len(all) != 2 {
			t.Errorf("%s had %d incarnations, want 2: a notice or a launch was lost or duplicated", n, len(all))
			continue
		}
		want := fleet.OutcomeSucceeded
		if strings.HasPrefix(all[0].outcome, "killed") {
			want = fleet.OutcomeKilled
		}
		if got := results[n]; got.Outcome != want || want == fleet.OutcomeKilled != (n == "n23") {
			t.Errorf("%s: the report says %+v, its supervisor %q", n, got, all[0].outcome)
		}
	}
	if len(results) != len(h.names) {
		t.Errorf("%d results for %d instances", len(results), len(h.names))
	}
}

// checkStops checks that every first incarnation got a shutdown notice and ended within its window.
func checkStops(t *testing.T, incarnations map[string][]*incarnation, stop time.Duration) {
	t.Helper()
	const tolerance = 300 * time.Millisecond // a busy machine may observe the end late
	for n, all := range incarnations {
		if l := all[0]; l.notified.IsZero() || l.ended.IsZero() || l.ended.Sub(l.notified) > stop+tolerance {
			t.Errorf("%s: notified %v, ended %v after it", n, l.notified, l.ended.Sub(l.notified))
		}
	}
}

// checkAnswers checks that each invocation has exactly one final answer in time. Exceptions are those sent to the
// suspended instance, and a few sent shortly before the end of an incarnation: a process that got too little CPU time
// may have ended before it read them. From outside, an unread invocation looks like one that was read and lost.
func checkAnswers(t *testing.T, by map[string][]*fakes.SentRequest, incarnations map[string][]*incarnation, suspended time.Time) {
	const tolerance, unreadWindow = 500 * time.Millisecond, 300 * time.Millisecond
	killed := incarnations["n23"][0].ended
	codes, lost, unread := map[byte]int{}, 0, 0
	nearEnd := func(n string, s *fakes.SentRequest) bool {
		return slices.ContainsFunc(incarnations[n], func(l *incarnation) bool { return s.At.After(l.ended.Add(-unreadWindow)) && s.At.Before(l.ended) })
	}
	for n, sent := range by {
		for _, s := range sent {
			switch {
			case s.NeverSent:
			case n == "n23" && s.Answers == 0 && s.At.After(suspended.Add(-3*time.Second)) && s.At.Before(killed):
				lost++ // a suspended process does not answer
			case s.Broken && s.Answers == 0 && nearEnd(n, s):
				unread++
			case s.Answers != 1 || s.WrongResult || s.Answered.After(s.Due.Add(tolerance)):
				t.Errorf("%s: %+v", n, *s)
			default:
				codes[s.Code]++
			}
		}
	}
	t.Logf("answers by code %v; %d lost with the suspended instance, %d unread at the end of an incarnation", codes, lost, unread)
	if unread > 5 { // of about 13,000: the tolerance for a busy machine; more is a defect
		t.Errorf("%d invocations were unread at the end of an incarnation", unread)
	}
	if codes[1] == 0 {
		t.Error("nothing succeeded")
	}
}

// checkLaunches checks that nothing that arrived after an instance's grace period was launched, and nothing twice.
func checkLaunches(t *testing.T, h *testFleet, by map[string][]*fakes.SentRequest, incarnations map[string][]*incarnation, grace time.Duration) {
	const allowance = 50 * time.Millisecond // granted by the platform's rule
	late, after := 0, 0
	for n, sent := range by {
		started, twice := h.executors[n].Started()
		if twice > 0 {
			t.Errorf("%s: %d runs were launched twice", n, twice)
		}
		for _, s := range sent {
			for _, l := range incarnations[n] {
				if !l.notified.IsZero() && s.At.After(l.notified.Add(grace+allowance)) && s.At.Before(l.ended) {
					after++
					if at, ran := started[s.ID]; ran && at.Before(l.ended) {
						late++
						t.Errorf("%s: %s arrived %v after the notice and was launched", n, s.ID, s.At.Sub(l.notified))
					}
				}
			}
		}
	}
	t.Logf("%d arrived after a grace period, %d of them were launched", after, late)
	if after < 20 {
		t.Errorf("only %d arrived after a grace period, want at least 20 for the check to be meaningful", after)
	}
}

// readyTimes returns, from the history, when each instance became ready.
func (h *testFleet) readyTimes() map[string][]time.Time {
	out := h.must("history", "--json", "--most", "20000")
	var all struct{ Entries []fleetclient.Entry }
	if err := json.Unmarshal([]byte(out), &all); err != nil {
		h.t.Fatal(err)
	}
	ready := map[string][]time.Time{}
	for _, e := range all.Entries {
		if e.Entry.Event == "ready" {
			ready[e.Entry.Name] = append(ready[e.Entry.Name], time.UnixMicro(e.Entry.UnixMicros))
		}
	}
	return ready
}

// checkUnavailable checks that the rolling update never had more instances unavailable at once than it may. An instance
// is unavailable from the notice in its supervisor's log until the history shows it ready again.
func checkUnavailable(t *testing.T, incarnations map[string][]*incarnation, ready map[string][]time.Time, maxUnavailable int) {
	t.Helper()
	type edge struct {
		at    time.Time
		delta int
	}
	var edges []edge
	for n, all := range incarnations {
		if len(all) < 2 {
			continue
		}
		readyAgain := time.Time{}
		for _, at := range ready[n] {
			if at.After(all[1].launched) && readyAgain.IsZero() {
				readyAgain = at
			}
		}
		if readyAgain.IsZero() {
			t.Errorf("%s did not become ready after %v", n, all[1].launched)
			continue
		}
		edges = append(edges, edge{all[0].notified, 1}, edge{readyAgain, -1})
	}
	slices.SortFunc(edges, func(a, b edge) int { return a.at.Compare(b.at) })
	unavailable, most := 0, 0
	for _, e := range edges {
		unavailable += e.delta
		most = max(most, unavailable)
	}
	t.Logf("at most %d were unavailable at once, the limit is %d", most, maxUnavailable)
	if most > maxUnavailable || most < 2 {
		t.Errorf("%d were unavailable at once, the limit is %d", most, maxUnavailable)
	}
}
