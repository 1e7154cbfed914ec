package fleetclient

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
)

// progressIntervalBeats is how many beats of an agent pass between two looks at the hosts' progress.
const progressIntervalBeats = 10

// RollingUpdate takes a rolling update from host to host, with at most maxConcurrentHosts under way at once. The
// command has the same id everywhere, so that a client that is started again with it goes on where the one before was.
func (c *Client) RollingUpdate(
	ctx context.Context, request agentapi.CommandRequest, all []*fleet.InstanceSpec, maxConcurrentHosts int,
) *Report {
	hosts, names := c.ByHost(all)
	if len(hosts) == 1 || request.Budget != "" { // by a budget the agents keep the order among themselves
		return c.Execute(ctx, request, all, true)
	}
	u := &rollingUpdate{
		client: c, request: request, hosts: hosts, names: names, reports: map[string]*HostReport{},
		coordinator: &fleet.RolloutCoordinator{Hosts: hosts, Config: *request.RollingUpdate, MaxConcurrentHosts: maxConcurrentHosts},
	}
	defer u.following.Wait()
	reason := u.run(ctx)
	return u.report(reason)
}

// rollingUpdate is one under way over several hosts.
type rollingUpdate struct {
	client      *Client
	request     agentapi.CommandRequest
	hosts       []string            // in the file's order
	names       map[string][]string // instances by host
	coordinator *fleet.RolloutCoordinator
	following   sync.WaitGroup // goroutines that pass progress on; they end with the command or the context

	mu      sync.Mutex // guards reports
	reports map[string]*HostReport
}

// run goes on until all hosts are done, one has to stop it, or ctx ends. It returns why it stopped early.
func (u *rollingUpdate) run(ctx context.Context) (reason string) {
	for {
		step := u.coordinator.Next(process.Now(), u.progress(ctx))
		for _, host := range step.Begin {
			if err := u.begin(ctx, host); err != nil {
				step.StopReason = err.Error()
				break
			}
		}
		switch {
		case step.StopReason != "":
			return step.StopReason
		case ctx.Err() != nil:
			return "the time ran out"
		case step.Finished:
			return ""
		}
		select {
		case <-time.After(progressIntervalBeats * u.client.Bounds.TickInterval):
		case <-ctx.Done():
		}
	}
}

// begin sends the command to one host and passes its progress on; how it stands is asked for by progress.
func (u *rollingUpdate) begin(ctx context.Context, host string) error {
	request := u.request
	request.Instances = u.names[host]
	report := u.client.executeAt(ctx, host, request, false)
	u.record(report)
	if report.Command == nil {
		return fmt.Errorf("host %s: %s", host, report.Error)
	}
	agent := u.client.agent(host)
	u.following.Go(func() {
		defer agent.Close()
		_ = agent.Follow(ctx, request.ID, 0, func(e agentapi.StreamEvent) bool { // its events alone
			u.client.progress(host, e)
			return !pausedByItself(e)
		})
	})
	return nil
}

func (u *rollingUpdate) record(report HostReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports[report.Host] = &report
}

// progress asks all hosts how they stand.
func (u *rollingUpdate) progress(ctx context.Context) map[string]fleet.HostProgress {
	bounds := u.client.Bounds
	all, _ := agentapi.FanOut(ctx, bounds, u.hosts, func(ctx context.Context, host string) (fleet.HostProgress, error) {
		progress, command := u.client.hostProgress(ctx, host, u.request, len(u.names[host]))
		if command != nil {
			u.record(HostReport{Host: host, Command: command, Reached: true})
		}
		return progress, nil
	})
	byHost := map[string]fleet.HostProgress{}
	for i, host := range u.hosts {
		byHost[host] = all[i]
	}
	return byHost
}

// report sums up the hosts that were begun, and names the others where the update stopped early.
func (u *rollingUpdate) report(reason string) *Report {
	r := &Report{ID: u.request.ID, Kind: u.request.Kind, Reason: reason}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, host := range u.hosts {
		switch report := u.reports[host]; {
		case report != nil:
			r.Hosts = append(r.Hosts, *report)
		case reason != "":
			r.Hosts = append(r.Hosts, HostReport{Host: host, Reached: true, Rejected: true, Error: "its wave was not begun"})
		}
	}
	r.count()
	return r
}

// hostProgress asks one host how it stands, and how its part of the command does; instances is how many that has.
func (c *Client) hostProgress(
	ctx context.Context, host string, request agentapi.CommandRequest, instances int,
) (progress fleet.HostProgress, command *fleet.Command) {
	agent := c.agent(host)
	defer agent.Close()
	progress.MaxUnavailable = min(request.RollingUpdate.MaxInProgress, instances)
	status, err := agent.Status(ctx)
	if err != nil {
		progress.Cause = err.Error()
		return progress, nil
	}
	progress.Reachable = true
	for i := range status.Instances {
		instance := &status.Instances[i]
		if instance.DesiredUp && !instance.Spare {
			progress.DesiredUp++
		}
		if instance.DesiredUp && instance.Settled {
			progress.Ready++
		}
	}
	command, err = agent.Command(ctx, request.ID)
	if err != nil {
		progress.Reachable = errors.Is(err, fleet.ErrUnknownCommand)
		return progress, nil
	}
	progress.State, progress.Cause = command.State, command.Cause
	if bad := command.Unsatisfied(); command.State == fleet.CommandDone && len(bad) > 0 {
		progress.Failed, progress.Cause = true, fmt.Sprintf("%v", bad)
	}
	return progress, command
}
