package fleetclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// fakeAgent is an agent whose commands end as soon as they come, or as its settle has it.
type fakeAgent struct {
	host   string
	settle func(*fleet.Command) // sets results and state; nil: all succeed
	budget error                // what quota calls end with

	mu       sync.Mutex
	commands map[string]*fleet.Command
	history  []agentstore.Entry
	more     chan struct{}
	calls    []string // quota calls taken
}

func (a *fakeAgent) Status() agentapi.Status {
	return agentapi.Status{Version: agentapi.Version, Host: a.host, Instances: []agentapi.Instance{
		{Name: a.host + "1", DesiredUp: true, Settled: true}, {Name: a.host + "2", DesiredUp: true, Settled: true},
	}}
}

func (a *fakeAgent) Submit(r agentapi.CommandRequest) (*fleet.Command, error) {
	if r.ID == "refused" {
		return nil, &agentapi.StatusError{Status: 409, Text: "not taken"}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &fleet.Command{
		ID: r.ID, Kind: r.Kind, Names: r.Instances, RequestedBy: r.RequestedBy, State: fleet.CommandDone, Results: map[string]fleet.Result{},
	}
	if a.settle != nil {
		a.settle(c)
	} else {
		for _, name := range r.Instances {
			c.Results[name] = fleet.Result{Outcome: fleet.OutcomeSucceeded}
		}
	}
	a.commands[r.ID] = c
	return c, nil
}

func (a *fakeAgent) Steer(id, _, _ string) (*fleet.Command, error) { return a.Command(id), nil }

func (a *fakeAgent) Command(id string) *fleet.Command {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.commands[id]
}

func (a *fakeAgent) Commands() []*fleet.Command { return nil }

func (a *fakeAgent) Entries(after uint64) ([]agentstore.Entry, uint64, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.history[min(int(after), len(a.history)):], 0, a.more
}

func (a *fakeAgent) History(after uint64, most int) ([]agentstore.Entry, error) {
	entries, _, _ := a.Entries(after)
	return entries[max(0, len(entries)-most):], nil
}

func (a *fakeAgent) called(what string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, what)
	return a.budget
}

func (a *fakeAgent) Budgets(context.Context) (agentapi.Budgets, error) {
	return agentapi.Budgets{Host: a.host}, a.called("budgets")
}

func (a *fakeAgent) WriteOff(_ context.Context, name, by string) error {
	return a.called("write off " + name + " by " + by)
}

func (a *fakeAgent) ColdStart(_ context.Context, r quota.ColdStartCommand) error {
	return a.called("cold start " + r.ID)
}

func (a *fakeAgent) Members() []membership.Member { return []membership.Member{{}} }

// fakeFleet serves an agent each for the hosts a, b and c, with instances a1, a2, b1 and so on; hosts in down have none.
func fakeFleet(t *testing.T, down ...string) (*Client, map[string]*fakeAgent) {
	t.Helper()
	dir, err := os.MkdirTemp("", "fc") // a socket's path has to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	var text strings.Builder
	text.WriteString("(fleet test\n")
	agents := map[string]*fakeAgent{}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup
	t.Cleanup(func() { cancel(); serving.Wait() })
	bounds := limits.ForControl()
	for _, host := range []string{"a", "b", "c"} {
		socket := filepath.Join(dir, host+".sock")
		fmt.Fprintf(&text, " (host %s (agent \"unix:%s\"))\n (group g%s (host %s) (config \"%%n.json\") (range %s 1 2))\n", host, socket, host, host, host)
		if slices.Contains(down, host) {
			continue
		}
		agents[host] = &fakeAgent{host: host, commands: map[string]*fleet.Command{}, more: make(chan struct{})}
		l, err := net.Listen("unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		serving.Go(func() {
			if err := agentapi.Serve(ctx, l, agents[host], bounds); err != nil && ctx.Err() == nil {
				t.Errorf("agent %s: %v", host, err)
			}
		})
	}
	text.WriteString(" (wave))\n")
	spec, err := fleet.ReadSpec("fleet.sx", []byte(text.String()), bounds)
	if err != nil {
		t.Fatal(err)
	}
	bounds.CallTimeout, bounds.RetryBackoff, bounds.RetryBackoffMax = 500*time.Millisecond, time.Millisecond, time.Millisecond
	return &Client{Spec: spec, Caller: agentapi.NewClientFactory(bounds, 1), Bounds: bounds, Operator: "tester"}, agents
}

func allInstances(t *testing.T, c *Client) []*fleet.InstanceSpec {
	t.Helper()
	all, err := c.Spec.Select(fleet.Selection{All: true})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func request(id string, kind fleet.CommandKind, c *Client) agentapi.CommandRequest {
	update := c.Spec.RollingUpdate
	return agentapi.CommandRequest{ID: id, Kind: kind, TimeoutMicros: 5_000_000, RequestedBy: c.Operator, RollingUpdate: &update}
}

func hostsOf(r *Report) (hosts []string) {
	for _, h := range r.Hosts {
		hosts = append(hosts, h.Host)
	}
	return hosts
}

// TestExecute: every host gets its own instances, all results are counted, and hosts are in the file's order.
func TestExecute(t *testing.T) {
	c, agents := fakeFleet(t)
	r := c.Execute(context.Background(), request("s1", fleet.KindStart, c), allInstances(t, c), true)
	if got := hostsOf(r); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("hosts %v", got)
	}
	for host, agent := range agents {
		if got := agent.commands["s1"]; !slices.Equal(got.Names, []string{host + "1", host + "2"}) || got.RequestedBy != "tester" {
			t.Errorf("host %s got %+v", host, got)
		}
	}
	if r.Counts[fleet.OutcomeSucceeded] != 6 || r.Open != 0 || r.Verdict() != VerdictSucceeded {
		t.Errorf("report %+v, verdict %d", r, r.Verdict())
	}
}

// TestUnreachableAndRejected: a host whose agent does not answer is not the same as one whose agent says no.
func TestUnreachableAndRejected(t *testing.T) {
	c, _ := fakeFleet(t, "b")
	r := c.Execute(context.Background(), request("s1", fleet.KindStart, c), allInstances(t, c), true)
	if h := r.Hosts[1]; h.Reached || h.Rejected || h.Error == "" || r.Verdict() != VerdictUnreachable {
		t.Errorf("unreachable: %+v, verdict %d", h, r.Verdict())
	}
	c, _ = fakeFleet(t)
	r = c.Execute(context.Background(), request("refused", fleet.KindStart, c), allInstances(t, c), true)
	if h := r.Hosts[1]; !h.Reached || !h.Rejected || h.Error != "not taken" || r.Verdict() != VerdictPartial {
		t.Errorf("rejected: %+v, verdict %d", h, r.Verdict())
	}
}

// TestVerdict: the worst of all hosts counts; a command that waits for a person has not timed out.
func TestVerdict(t *testing.T) {
	command := func(state fleet.CommandState, outcomes ...fleet.Outcome) HostReport {
		c := &fleet.Command{State: state, Results: map[string]fleet.Result{}}
		for i, o := range outcomes {
			c.Results[fmt.Sprint("n", i)] = fleet.Result{Outcome: o}
		}
		return HostReport{Reached: true, Command: c}
	}
	done, failed := command(fleet.CommandDone, fleet.OutcomeSucceeded, fleet.OutcomeSkipped), command(fleet.CommandDone, fleet.OutcomeFailed)
	late, paused := command(fleet.CommandDone, fleet.OutcomeTimedOut), command(fleet.CommandPaused)
	for _, c := range []struct {
		what string
		r    Report
		want Verdict
	}{
		{"all done", Report{Hosts: []HostReport{done, done}}, VerdictSucceeded},
		{"one failed", Report{Hosts: []HostReport{failed, done}}, VerdictPartial},
		{"one rejected", Report{Hosts: []HostReport{{Reached: true, Rejected: true}, done}}, VerdictPartial},
		{"one late", Report{Hosts: []HostReport{late, failed, done}}, VerdictTimedOut},
		{"one unreachable", Report{Hosts: []HostReport{late, {}, done}}, VerdictUnreachable},
		{"open", Report{Hosts: []HostReport{command(fleet.CommandOpen)}, Open: 1}, VerdictTimedOut},
		{"open and paused", Report{Hosts: []HostReport{paused}, Open: 1}, VerdictPartial},
		{"open and stopped", Report{Hosts: []HostReport{command(fleet.CommandOpen)}, Open: 1, Reason: "host a can't be reached"}, VerdictPartial},
	} {
		if got := c.r.Verdict(); got != c.want {
			t.Errorf("%s: %d, want %d", c.what, got, c.want)
		}
	}
}

// TestReportForm: the JSON of a report, as fleet --json prints it.
func TestReportForm(t *testing.T) {
	r := Report{ID: "x", Kind: fleet.KindStart, Hosts: []HostReport{{Host: "a", Error: "no", Reached: true, Rejected: true}}, Reason: "why not"}
	r.count()
	raw, err := json.Marshal(&r)
	const want = `{"id":"x","kind":"start","hosts":[{"host":"a","error":"no","reached":true,"refused":true}],"counts":{},"open":0,"why":"why not"}`
	if err != nil || string(raw) != want {
		t.Errorf("%s, %v\nwant %s", raw, err, want)
	}
}

// TestRollingUpdateGoesFromHostToHost: a host begins once the one before is done, and one that fails ends it; the
// hosts after it are reported as not begun.
func TestRollingUpdateGoesFromHostToHost(t *testing.T) {
	c, agents := fakeFleet(t)
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
			for _, name := range command.Names {
				command.Results[name] = fleet.Result{Outcome: outcome}
			}
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r := c.RollingUpdate(ctx, request("u1", fleet.KindRollingUpdate, c), allInstances(t, c), 1)
	if !slices.Equal(order, []string{"a", "b"}) {
		t.Errorf("order %v, want a, b and no more", order)
	}
	if !strings.Contains(r.Reason, "host b") || r.Verdict() != VerdictPartial || !slices.Equal(hostsOf(r), []string{"a", "b", "c"}) {
		t.Errorf("reason %q, verdict %d, hosts %v", r.Reason, r.Verdict(), hostsOf(r))
	}
	if last := r.Hosts[2]; !last.Rejected || !last.Reached || last.Command != nil {
		t.Errorf("the host after it: %+v", last)
	}
}

// TestRollingUpdateByQuota: with a quota the agents keep the order among themselves, and all hosts get it at once.
func TestRollingUpdateByQuota(t *testing.T) {
	c, agents := fakeFleet(t)
	o := request("u1", fleet.KindRollingUpdate, c)
	o.Budget = "out"
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	agents["a"].settle = func(command *fleet.Command) { // one that fails does not keep the others from beginning
		for _, name := range command.Names {
			command.Results[name] = fleet.Result{Outcome: fleet.OutcomeFailed}
		}
	}
	r := c.RollingUpdate(ctx, o, allInstances(t, c), 1)
	for host, agent := range agents {
		if agent.commands["u1"] == nil {
			t.Errorf("host %s has not got it", host)
		}
	}
	if r.Reason != "" || r.Verdict() != VerdictPartial {
		t.Errorf("reason %q, verdict %d", r.Reason, r.Verdict())
	}
}

// TestRollingUpdateStopsWhenTimeRunsOut: one that never ends is left when the context ends, and says so.
func TestRollingUpdateStopsWhenTimeRunsOut(t *testing.T) {
	c, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandOpen }
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r := c.RollingUpdate(ctx, request("u1", fleet.KindRollingUpdate, c), allInstances(t, c), 1)
	if r.Reason == "" || agents["b"].Command("u1") != nil {
		t.Errorf("reason %q, host b %+v", r.Reason, agents["b"].Command("u1"))
	}
}

// TestFollowEndsAtAPause: nobody waits with a command that waits for a person.
func TestFollowEndsAtAPause(t *testing.T) {
	c, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandPaused }
	agents["a"].history = []agentstore.Entry{{Serial: 1, HistoryEvent: fleet.HistoryEvent{CommandID: "u1", Event: "pause"}}}
	var seen []string
	c.OnProgress = func(host string, e agentapi.StreamEvent) {
		if e.Entry != nil {
			seen = append(seen, host+" "+e.Entry.Event)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r := c.Execute(ctx, request("u1", fleet.KindRollingUpdate, c), allInstances(t, c)[:2], true)
	if ctx.Err() != nil || r.Hosts[0].Command.State != fleet.CommandPaused || !slices.Contains(seen, "a pause") {
		t.Errorf("%+v, seen %v, %v", r.Hosts[0], seen, ctx.Err())
	}
}

// TestOnlyKnown: hosts that never had a command are dropped; if none had it the report says so.
func TestOnlyKnown(t *testing.T) {
	c, agents := fakeFleet(t)
	agents["b"].commands["x"] = &fleet.Command{ID: "x", State: fleet.CommandDone, Results: map[string]fleet.Result{"b1": {Outcome: fleet.OutcomeSucceeded}}}
	watch := func(id string) *Report {
		r := &Report{ID: id}
		for _, host := range []string{"a", "b", "c"} {
			r.Hosts = append(r.Hosts, c.Watch(context.Background(), host, id))
		}
		return r.OnlyKnown()
	}
	if r := watch("x"); !slices.Equal(hostsOf(r), []string{"b"}) || r.Reason != "" || r.Counts[fleet.OutcomeSucceeded] != 1 {
		t.Errorf("known to b: %+v", r)
	}
	if r := watch("y"); len(r.Hosts) != 0 || r.Reason == "" || r.Verdict() != VerdictPartial {
		t.Errorf("known to none: %+v", r)
	}
}

// TestHistory: entries of all hosts by wall clock, the latest ones, with the hosts that are missing by name.
func TestHistory(t *testing.T) {
	c, agents := fakeFleet(t, "c")
	entry := func(serial uint64, at int64, event string) agentstore.Entry {
		return agentstore.Entry{Serial: serial, UnixMicros: at, HistoryEvent: fleet.HistoryEvent{Event: event}}
	}
	agents["a"].history = []agentstore.Entry{entry(1, 10, "first"), entry(2, 40, "fourth")}
	agents["b"].history = []agentstore.Entry{entry(1, 20, "second"), entry(2, 30, "third")}
	events := func(most int, keep func(Entry) bool) (all []string) {
		entries, missing := c.History(context.Background(), most, keep)
		if len(missing) != 1 || missing["c"] == "" {
			t.Errorf("missing %v", missing)
		}
		for _, e := range entries {
			all = append(all, e.Host+" "+e.Entry.Event)
		}
		return all
	}
	every := func(Entry) bool { return true }
	if got := events(10, every); !slices.Equal(got, []string{"a first", "b second", "b third", "a fourth"}) {
		t.Errorf("all: %v", got)
	}
	if got := events(2, every); !slices.Equal(got, []string{"b third", "a fourth"}) {
		t.Errorf("the latest two: %v", got)
	}
	if got := events(10, func(e Entry) bool { return e.Host == "b" }); !slices.Equal(got, []string{"b second", "b third"}) {
		t.Errorf("of one host: %v", got)
	}
}

// TestStatusAndMembersNameWhoIsMissing: a host that gives no answer is in the list, with its error.
func TestStatusAndMembersNameWhoIsMissing(t *testing.T) {
	c, _ := fakeFleet(t, "b")
	for i, s := range c.Status(context.Background()) {
		if missing := i == 1; (s.Status == nil) != missing || (s.Error != "") != missing {
			t.Errorf("status %+v", s)
		}
	}
	for i, m := range c.Members(context.Background()) {
		if missing := i == 1; (len(m.Seen) == 0) != missing || (m.Error != "") != missing {
			t.Errorf("members %+v", m)
		}
	}
}

// TestAskAny: the first agent that answers counts, a "no" of status 4xx is an answer, and errors of all are joined.
func TestAskAny(t *testing.T) {
	c, agents := fakeFleet(t, "a")
	if err := c.WriteOff(context.Background(), "n3"); err != nil {
		t.Fatal(err)
	}
	if got := agents["b"].calls; !slices.Equal(got, []string{"write off n3 by tester"}) || len(agents["c"].calls) != 0 {
		t.Errorf("b %v, c %v", got, agents["c"].calls)
	}
	if b, err := c.Budgets(context.Background()); err != nil || b.Host != "b" {
		t.Errorf("budgets %+v, %v", b, err)
	}
	agents["b"].budget = &agentapi.StatusError{Status: 409, Text: "not so"}
	err := c.ColdStart(context.Background(), quota.ColdStartCommand{ID: "r1"})
	if status, ok := errors.AsType[*agentapi.StatusError](err); !ok || status.Status != 409 || len(agents["c"].calls) != 0 {
		t.Errorf("a no: %v, c %v", err, agents["c"].calls)
	}
	agents["b"].budget = &agentapi.StatusError{Status: 503, Text: "no leader"}
	if err := c.WriteOff(context.Background(), "n4"); err != nil || len(agents["c"].calls) != 1 {
		t.Errorf("after one without a leader: %v, c %v", err, agents["c"].calls)
	}
	agents["c"].budget = agents["b"].budget
	err = c.WriteOff(context.Background(), "n5")
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok || len(joined.Unwrap()) != 3 {
		t.Fatalf("none answers: %v", err)
	}
	for i, host := range []string{"a", "b", "c"} {
		one, ok := errors.AsType[*HostError](joined.Unwrap()[i])
		if !ok || one.Host != host || !strings.HasPrefix(one.Error(), host+": ") || !strings.Contains(err.Error(), one.Error()) {
			t.Errorf("none answers: %v lacks %q", err, host)
		}
	}
}

// TestNewID: ids name the kind and the time, and two of them differ.
func TestNewID(t *testing.T) {
	now := time.Date(2026, 12, 1, 16, 0, 0, 0, time.UTC)
	first, second := NewID(fleet.KindStart, now), NewID(fleet.KindStart, now)
	if !strings.HasPrefix(first, "start-20261201T160000-") || first == second || fleet.CheckName(first) != nil {
		t.Errorf("%q, %q", first, second)
	}
}

// TestAskedAgainWhenTheTimeRanOut: where following ends before the command does, the report has how it stands then.
func TestAskedAgainWhenTheTimeRanOut(t *testing.T) {
	c, agents := fakeFleet(t)
	agents["a"].settle = func(command *fleet.Command) { command.State = fleet.CommandOpen }
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	time.AfterFunc(200*time.Millisecond, func() {
		agents["a"].mu.Lock()
		defer agents["a"].mu.Unlock()
		agents["a"].commands["u1"] = &fleet.Command{ID: "u1", State: fleet.CommandOpen, Cause: "changed since"}
	})
	r := c.Execute(ctx, request("u1", fleet.KindStart, c), allInstances(t, c)[:2], true)
	if h := r.Hosts[0]; h.Command == nil || h.Command.Cause != "changed since" || !h.Reached {
		t.Errorf("%+v", h)
	}
}
