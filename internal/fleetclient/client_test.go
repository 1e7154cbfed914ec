package fleetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
)

// TestExecuteSubmitsEachHostsInstances checks that every host receives its own instances, that the report counts all
// outcomes, and that its hosts are in the order of the fleet file.
func TestExecuteSubmitsEachHostsInstances(t *testing.T) {
	client, agents := fakeFleet(t)
	report := client.Execute(t.Context(), request("s1", fleet.KindStart, client), allInstances(t, client), true)
	if got := hostsOf(report); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("hosts %v", got)
	}
	for host, agent := range agents {
		got := agent.commands["s1"]
		if !slices.Equal(got.Names, []string{host + "1", host + "2"}) || got.RequestedBy != "tester" {
			t.Errorf("host %s received %+v", host, got)
		}
	}
	if report.Counts[fleet.OutcomeSucceeded] != 6 || report.Open != 0 || report.Verdict() != VerdictSucceeded {
		t.Errorf("report %+v, verdict %d", report, report.Verdict())
	}
}

// TestExecuteDistinguishesUnreachableFromRejected checks that a report distinguishes an agent that does not answer from
// one that rejects the command.
func TestExecuteDistinguishesUnreachableFromRejected(t *testing.T) {
	client, _ := fakeFleet(t, "b")
	report := client.Execute(t.Context(), request("s1", fleet.KindStart, client), allInstances(t, client), true)
	if h := report.Hosts[1]; h.Reached || h.Rejected || h.Error == "" || report.Verdict() != VerdictUnreachable {
		t.Errorf("unreachable: %+v, verdict %d", h, report.Verdict())
	}
	client, _ = fakeFleet(t)
	report = client.Execute(t.Context(), request(rejectedID, fleet.KindStart, client), allInstances(t, client), true)
	if h := report.Hosts[1]; !h.Reached || !h.Rejected || h.Error != "not accepted" {
		t.Errorf("rejected: %+v", h)
	}
	if report.Verdict() != VerdictPartial {
		t.Errorf("rejected: verdict %d", report.Verdict())
	}
}

// TestVerdictIsTheWorstOfAllHosts checks that a report has the worst verdict of its hosts, and that a command that
// waits for an operator does not count as timed out.
func TestVerdictIsTheWorstOfAllHosts(t *testing.T) {
	command := func(state fleet.CommandState, outcomes ...fleet.Outcome) HostReport {
		command := &fleet.Command{State: state, Results: map[string]fleet.Result{}}
		for i, outcome := range outcomes {
			command.Results[fmt.Sprint("n", i)] = fleet.Result{Outcome: outcome}
		}
		return HostReport{Reached: true, Command: command}
	}
	done := command(fleet.CommandDone, fleet.OutcomeSucceeded, fleet.OutcomeSkipped)
	failed := command(fleet.CommandDone, fleet.OutcomeFailed)
	timedOut := command(fleet.CommandDone, fleet.OutcomeTimedOut)
	open := command(fleet.CommandOpen)
	paused := command(fleet.CommandPaused)
	rejected := HostReport{Reached: true, Rejected: true}
	unreachable := HostReport{}
	for _, test := range []struct {
		name   string
		report Report
		want   Verdict
	}{
		{"all done", Report{Hosts: []HostReport{done, done}}, VerdictSucceeded},
		{"one failed", Report{Hosts: []HostReport{failed, done}}, VerdictPartial},
		{"one rejected", Report{Hosts: []HostReport{rejected, done}}, VerdictPartial},
		{"one timed out", Report{Hosts: []HostReport{timedOut, failed, done}}, VerdictTimedOut},
		{"one unreachable", Report{Hosts: []HostReport{timedOut, unreachable, done}}, VerdictUnreachable},
		{"open", Report{Hosts: []HostReport{open}, Open: 1}, VerdictTimedOut},
		{"open and paused", Report{Hosts: []HostReport{paused}, Open: 1}, VerdictPartial},
		{"open and stopped", Report{Hosts: []HostReport{open}, Open: 1, Reason: "host a: unreachable"}, VerdictPartial},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.report.Verdict(); got != test.want {
				t.Errorf("verdict %d, want %d", got, test.want)
			}
		})
	}
}

// TestReportJSONHasDocumentedFields checks the JSON of a report, which the fleet commands print with --json.
func TestReportJSONHasDocumentedFields(t *testing.T) {
	report := Report{
		ID:     "x",
		Kind:   fleet.KindStart,
		Hosts:  []HostReport{{Host: "a", Error: "no", Reached: true, Rejected: true}},
		Reason: "why not",
	}
	report.count()
	encoded, err := json.Marshal(&report)
	const want = `{"id":"x","kind":"start",` +
		`"hosts":[{"host":"a","error":"no","reached":true,"refused":true}],` +
		`"counts":{},"open":0,"why":"why not"}`
	if err != nil || string(encoded) != want {
		t.Errorf("%s, %v\nwant %s", encoded, err, want)
	}
}

// TestRollingUpdateStopsAtFailedHost checks that a host begins after the one before has completed, that a failed host
// stops the update, and that the report has the hosts on which it has not begun.
func TestRollingUpdateStopsAtFailedHost(t *testing.T) {
	client, agents := fakeFleet(t)
	var mu sync.Mutex
	var order []string
	for host, agent := range agents {
		agent.settle = func(command *fleet.Command) {
			mu.Lock()
			defer mu.Unlock()
			order = append(order, host)
			outcome := fleet.OutcomeSucceeded
			if host == "b" {
				outcome = fleet.OutcomeFailed
			}
			setOutcomes(command, outcome)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	report := client.RollingUpdate(ctx, request("u1", fleet.KindRollingUpdate, client), allInstances(t, client), 1)
	if !slices.Equal(order, []string{"a", "b"}) {
		t.Errorf("order %v, want a and b only", order)
	}
	if !strings.Contains(report.Reason, "host b") || report.Verdict() != VerdictPartial {
		t.Errorf("reason %q, verdict %d", report.Reason, report.Verdict())
	}
	if got := hostsOf(report); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("hosts %v", got)
	}
	if last := report.Hosts[2]; !last.Rejected || !last.Reached || last.Command != nil {
		t.Errorf("host after the failed one: %+v", last)
	}
}

// TestRollingUpdateWithQuotaBeginsOnAllHosts checks that all hosts receive an update with a quota at once, also if one
// of them fails: the agents limit it among themselves.
func TestRollingUpdateWithQuotaBeginsOnAllHosts(t *testing.T) {
	client, agents := fakeFleet(t)
	update := request("u1", fleet.KindRollingUpdate, client)
	update.Budget = "out"
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	agents["a"].settle = func(command *fleet.Command) { setOutcomes(command, fleet.OutcomeFailed) }
	report := client.RollingUpdate(ctx, update, allInstances(t, client), 1)
	for host, agent := range agents {
		if agent.commands["u1"] == nil {
			t.Errorf("host %s has not received the update", host)
		}
	}
	if report.Reason != "" || report.Verdict() != VerdictPartial {
		t.Errorf("reason %q, verdict %d", report.Reason, report.Verdict())
	}
}

// TestRollingUpdateStopsAtTimeout checks that the end of the context stops an update whose first host never completes,
// and that the report has a reason.
func TestRollingUpdateStopsAtTimeout(t *testing.T) {
	client, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandOpen }
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	report := client.RollingUpdate(ctx, request("u1", fleet.KindRollingUpdate, client), allInstances(t, client), 1)
	if report.Reason == "" || agents["b"].Command("u1") != nil {
		t.Errorf("reason %q, host b %+v", report.Reason, agents["b"].Command("u1"))
	}
}

// TestFollowEndsAtAutomaticPause checks that the client does not wait for a command that waits for an operator.
func TestFollowEndsAtAutomaticPause(t *testing.T) {
	client, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandPaused }
	agents["a"].history = []agentstore.Entry{{
		Serial:       1,
		HistoryEvent: fleet.HistoryEvent{CommandID: "u1", Event: "pause"},
	}}
	var seen []string
	client.OnProgress = func(host string, e agentapi.StreamEvent) {
		if e.Entry != nil {
			seen = append(seen, host+" "+e.Entry.Event)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	report := client.Execute(ctx, request("u1", fleet.KindRollingUpdate, client), allInstances(t, client)[:2], true)
	if ctx.Err() != nil || report.Hosts[0].Command.State != fleet.CommandPaused || !slices.Contains(seen, "a pause") {
		t.Errorf("%+v, seen %v, %v", report.Hosts[0], seen, ctx.Err())
	}
}

// TestOnlyKnownRemovesHostsWithoutTheCommand checks that OnlyKnown keeps the hosts that have the command, and that a
// report without hosts has a reason.
func TestOnlyKnownRemovesHostsWithoutTheCommand(t *testing.T) {
	client, agents := fakeFleet(t)
	agents["b"].commands["x"] = &fleet.Command{
		ID:      "x",
		State:   fleet.CommandDone,
		Results: map[string]fleet.Result{"b1": {Outcome: fleet.OutcomeSucceeded}},
	}
	watch := func(id string) *Report {
		report := &Report{ID: id}
		for _, host := range []string{"a", "b", "c"} {
			report.Hosts = append(report.Hosts, client.Watch(t.Context(), host, id))
		}
		return report.OnlyKnown()
	}
	report := watch("x")
	if !slices.Equal(hostsOf(report), []string{"b"}) || report.Reason != "" {
		t.Errorf("known to b: %+v", report)
	}
	if report.Counts[fleet.OutcomeSucceeded] != 1 {
		t.Errorf("known to b: counts %v", report.Counts)
	}
	report = watch("y")
	if len(report.Hosts) != 0 || report.Reason == "" || report.Verdict() != VerdictPartial {
		t.Errorf("known to none: %+v", report)
	}
}

// TestHistoryMergesHostsByTime checks that History returns the latest entries of all hosts in the order of their times,
// and the errors of the hosts whose query failed.
func TestHistoryMergesHostsByTime(t *testing.T) {
	client, agents := fakeFleet(t, "c")
	entry := func(serial uint64, unixMicros int64, event string) agentstore.Entry {
		return agentstore.Entry{Serial: serial, UnixMicros: unixMicros, HistoryEvent: fleet.HistoryEvent{Event: event}}
	}
	agents["a"].history = []agentstore.Entry{entry(1, 10, "first"), entry(2, 40, "fourth")}
	agents["b"].history = []agentstore.Entry{entry(1, 20, "second"), entry(2, 30, "third")}
	events := func(limit int, keep func(Entry) bool) (events []string) {
		entries, missing := client.History(t.Context(), limit, keep)
		if len(missing) != 1 || missing["c"] == "" {
			t.Errorf("missing %v", missing)
		}
		for _, e := range entries {
			events = append(events, e.Host+" "+e.Entry.Event)
		}
		return events
	}
	every := func(Entry) bool { return true }
	if got := events(10, every); !slices.Equal(got, []string{"a first", "b second", "b third", "a fourth"}) {
		t.Errorf("all: %v", got)
	}
	if got := events(2, every); !slices.Equal(got, []string{"b third", "a fourth"}) {
		t.Errorf("the latest two: %v", got)
	}
	ofHostB := func(e Entry) bool { return e.Host == "b" }
	if got := events(10, ofHostB); !slices.Equal(got, []string{"b second", "b third"}) {
		t.Errorf("of one host: %v", got)
	}
}

// TestStatusAndMembersListUnreachableHosts checks that a host whose query failed is in the list with its error.
func TestStatusAndMembersListUnreachableHosts(t *testing.T) {
	client, _ := fakeFleet(t, "b")
	for i, s := range client.Status(t.Context()) {
		if missing := i == 1; (s.Status == nil) != missing || (s.Error != "") != missing {
			t.Errorf("status %+v", s)
		}
	}
	for i, m := range client.Members(t.Context()) {
		if missing := i == 1; (len(m.Seen) == 0) != missing || (m.Error != "") != missing {
			t.Errorf("members %+v", m)
		}
	}
}

// TestQuotaCallsTryHostsInTurn checks that a quota call ends at the first agent that accepts or rejects it, and that
// its error otherwise joins those of all hosts.
func TestQuotaCallsTryHostsInTurn(t *testing.T) {
	client, agents := fakeFleet(t, "a")
	if err := client.WriteOff(t.Context(), "n3"); err != nil {
		t.Fatal(err)
	}
	got := agents["b"].quotaCalls
	if !slices.Equal(got, []string{"write off n3 by tester"}) || len(agents["c"].quotaCalls) != 0 {
		t.Errorf("b %v, c %v", got, agents["c"].quotaCalls)
	}
	if b, err := client.Budgets(t.Context()); err != nil || b.Host != "b" {
		t.Errorf("budgets %+v, %v", b, err)
	}
	agents["b"].quotaErr = &agentapi.StatusError{Status: http.StatusConflict, Text: "not accepted"}
	err := client.ColdStart(t.Context(), quota.ColdStartCommand{ID: "r1"})
	status, ok := errors.AsType[*agentapi.StatusError](err)
	if !ok || status.Status != http.StatusConflict || len(agents["c"].quotaCalls) != 0 {
		t.Errorf("rejection: %v, c %v", err, agents["c"].quotaCalls)
	}
	agents["b"].quotaErr = &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: "no leader"}
	if err := client.WriteOff(t.Context(), "n4"); err != nil || len(agents["c"].quotaCalls) != 1 {
		t.Errorf("after an agent without a leader: %v, c %v", err, agents["c"].quotaCalls)
	}
	agents["c"].quotaErr = agents["b"].quotaErr
	err = client.WriteOff(t.Context(), "n5")
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 3 {
		t.Fatalf("no agent succeeds: %v", err)
	}
	for i, host := range []string{"a", "b", "c"} {
		one, ok := errors.AsType[*HostError](joined.Unwrap()[i])
		if !ok || one.Host != host || !strings.HasPrefix(one.Error(), host+": ") {
			t.Fatalf("error %d of %v is %v, want that of host %s", i, err, joined.Unwrap()[i], host)
		}
		if !strings.Contains(err.Error(), one.Error()) {
			t.Errorf("error %v lacks %v", err, one)
		}
	}
}

// TestNewIDIsDistinctAndValid checks that an id has the kind and the time and that two ids differ.
func TestNewIDIsDistinctAndValid(t *testing.T) {
	now := time.Date(2026, 12, 1, 16, 0, 0, 0, time.UTC)
	first, second := NewID(fleet.KindStart, now), NewID(fleet.KindStart, now)
	if !strings.HasPrefix(first, "start-20261201T160000-") || first == second || fleet.CheckName(first) != nil {
		t.Errorf("%q, %q", first, second)
	}
}

// TestExecuteQueriesStateAfterTimeout checks that the report has the last state of a command that outlives the context.
func TestExecuteQueriesStateAfterTimeout(t *testing.T) {
	client, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandOpen }
	ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
	defer cancel()
	time.AfterFunc(200*time.Millisecond, func() {
		agents["a"].mu.Lock()
		defer agents["a"].mu.Unlock()
		agents["a"].commands["u1"] = &fleet.Command{ID: "u1", State: fleet.CommandOpen, Cause: "changed since"}
	})
	report := client.Execute(ctx, request("u1", fleet.KindStart, client), allInstances(t, client)[:2], true)
	if h := report.Hosts[0]; h.Command == nil || h.Command.Cause != "changed since" || !h.Reached {
		t.Errorf("%+v", h)
	}
}
