package fleetclient

import (
	"context"
	"fmt"
	"net"
	"net/http"
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

// rejectedID is the id of a command that every fake agent rejects.
const rejectedID = "rejected"

// fakeAgent is an agent whose commands complete on submission, unless settle leaves them open.
type fakeAgent struct {
	host string
	// settle sets the results and the state of a submitted command. If it is nil, all instances succeed.
	settle func(*fleet.Command)
	// quotaErr is the result of each quota call.
	quotaErr error

	// mu guards the fields below.
	mu sync.Mutex
	// commands holds the submitted commands by id.
	commands map[string]*fleet.Command
	history  []agentstore.Entry
	// more announces further history entries. It is never closed, as the history does not grow while it is followed.
	more chan struct{}
	// quotaCalls describes the quota calls received.
	quotaCalls []string
}

func (a *fakeAgent) Status() agentapi.Status {
	return agentapi.Status{Version: agentapi.Version, Host: a.host, Instances: []agentapi.Instance{
		{Name: a.host + "1", DesiredUp: true, Settled: true},
		{Name: a.host + "2", DesiredUp: true, Settled: true},
	}}
}

func (a *fakeAgent) Submit(request agentapi.CommandRequest) (*fleet.Command, error) {
	if request.ID == rejectedID {
		return nil, &agentapi.StatusError{Status: http.StatusConflict, Text: "not accepted"}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	command := &fleet.Command{
		ID:          request.ID,
		Kind:        request.Kind,
		Names:       request.Instances,
		RequestedBy: request.RequestedBy,
		State:       fleet.CommandDone,
		Results:     map[string]fleet.Result{},
	}
	if a.settle != nil {
		a.settle(command)
	} else {
		setOutcomes(command, fleet.OutcomeSucceeded)
	}
	a.commands[request.ID] = command
	return command, nil
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

func (a *fakeAgent) History(after uint64, limit int) ([]agentstore.Entry, error) {
	entries, _, _ := a.Entries(after)
	return entries[max(0, len(entries)-limit):], nil
}

// recordQuotaCall records a quota call and returns its result.
func (a *fakeAgent) recordQuotaCall(description string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.quotaCalls = append(a.quotaCalls, description)
	return a.quotaErr
}

func (a *fakeAgent) Budgets(context.Context) (agentapi.Budgets, error) {
	return agentapi.Budgets{Host: a.host}, a.recordQuotaCall("budgets")
}

func (a *fakeAgent) WriteOff(_ context.Context, name, requestedBy string) error {
	return a.recordQuotaCall("write off " + name + " by " + requestedBy)
}

func (a *fakeAgent) ColdStart(_ context.Context, command quota.ColdStartCommand) error {
	return a.recordQuotaCall("cold start " + command.ID)
}

func (a *fakeAgent) Members() []membership.Member { return []membership.Member{{}} }

// setOutcomes gives each instance of a command the same outcome.
func setOutcomes(command *fleet.Command, outcome fleet.Outcome) {
	for _, name := range command.Names {
		command.Results[name] = fleet.Result{Outcome: outcome}
	}
}

// socketDir returns a directory for sockets, which is removed after the test. Its path is shorter than that of
// testing.T.TempDir, which may exceed the limit of a socket's path.
func socketDir(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "fc") //nolint:usetesting // TempDir's path is too long for a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

// fakeFleet serves an agent on each of the hosts a, b and c, except those in down. Each host has two instances, named
// a1 and a2, b1 and b2, c1 and c2. It returns a client of the fleet and the agents by host.
func fakeFleet(t *testing.T, down ...string) (*Client, map[string]*fakeAgent) {
	t.Helper()
	dir := socketDir(t)
	var source strings.Builder
	source.WriteString("(fleet test\n")
	agents := map[string]*fakeAgent{}
	ctx, cancel := context.WithCancel(context.WithoutCancel(t.Context()))
	var serving sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		serving.Wait()
	})
	bounds := limits.ForControl()
	for _, host := range []string{"a", "b", "c"} {
		socket := filepath.Join(dir, host+".sock")
		fmt.Fprintf(&source, " (host %[1]s (agent \"unix:%[2]s\"))\n"+
			" (group g%[1]s (host %[1]s) (config \"%%n.json\") (range %[1]s 1 2))\n", host, socket)
		if slices.Contains(down, host) {
			continue
		}
		agent := &fakeAgent{host: host, commands: map[string]*fleet.Command{}, more: make(chan struct{})}
		agents[host] = agent
		listener, err := (&net.ListenConfig{}).Listen(ctx, "unix", socket)
		if err != nil {
			t.Fatal(err)
		}
		serving.Go(func() {
			if err := agentapi.Serve(ctx, listener, agent, bounds); err != nil && ctx.Err() == nil {
				t.Errorf("agent %s: %v", host, err)
			}
		})
	}
	source.WriteString(" (rolling-update))\n")
	spec, err := fleet.ReadSpec("fleet.sx", []byte(source.String()), bounds)
	if err != nil {
		t.Fatal(err)
	}
	bounds.CallTimeout = 500 * time.Millisecond
	bounds.RetryBackoff = time.Millisecond
	bounds.RetryBackoffMax = time.Millisecond
	client := &Client{
		Spec:     spec,
		Caller:   agentapi.NewClientFactory(bounds, 1),
		Bounds:   bounds,
		Operator: "tester",
	}
	return client, agents
}

// allInstances returns every instance of the fleet file.
func allInstances(t *testing.T, client *Client) []*fleet.InstanceSpec {
	t.Helper()
	instances, err := client.Spec.Select(fleet.Selection{All: true})
	if err != nil {
		t.Fatal(err)
	}
	return instances
}

// request returns a command request of the client's operator, without instances.
func request(id string, kind fleet.CommandKind, client *Client) agentapi.CommandRequest {
	update := client.Spec.RollingUpdate
	return agentapi.CommandRequest{
		ID:            id,
		Kind:          kind,
		TimeoutMicros: (5 * time.Second).Microseconds(),
		RequestedBy:   client.Operator,
		RollingUpdate: &update,
	}
}

// hostsOf returns the names of a report's hosts in order.
func hostsOf(report *Report) (hosts []string) {
	for _, host := range report.Hosts {
		hosts = append(hosts, host.Host)
	}
	return hosts
}
