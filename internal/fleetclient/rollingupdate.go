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

// pollIntervalTicks is the time between two polls of the hosts' progress, in units of limits.Control.TickInterval.
const pollIntervalTicks = 10

// RollingUpdate runs a rolling update on the hosts in order, with at most maxConcurrentHosts in progress. The
// command has the same id on all hosts, so that a client that restarts with this id resumes the update.
func (c *Client) RollingUpdate(
	ctx context.Context, request agentapi.CommandRequest, instances []*fleet.InstanceSpec, maxConcurrentHosts int,
) *Report {
	hosts, namesByHost := c.ByHost(instances)
	// With a quota, the agents limit the update among themselves.
	if len(hosts) == 1 || request.Budget != "" {
		return c.Execute(ctx, request, instances, true)
	}
	update := &rollingUpdate{
		client:      c,
		request:     request,
		hosts:       hosts,
		namesByHost: namesByHost,
		reports:     map[string]*HostReport{},
		coordinator: &fleet.RolloutCoordinator{
			Hosts:              hosts,
			Config:             *request.RollingUpdate,
			MaxConcurrentHosts: maxConcurrentHosts,
		},
	}
	defer update.followers.Wait()
	stopReason := update.run(ctx)
	return update.report(stopReason)
}

// rollingUpdate is a rolling update in progress on several hosts.
type rollingUpdate struct {
	client  *Client
	request agentapi.CommandRequest
	// hosts are in the order of the fleet file.
	hosts []string
	// namesByHost holds the instance names of each host.
	namesByHost map[string][]string
	coordinator *fleet.RolloutCoordinator
	// followers counts the goroutines that forward progress events. They end with the command or the context.
	followers sync.WaitGroup

	// mu guards reports.
	mu sync.Mutex
	// reports holds the last report of each host on which the update has begun.
	reports map[string]*HostReport
}

// run executes the update until all hosts have completed it, a host's failure stops it, or ctx ends. It returns the
// reason of an early stop, or an empty string.
func (u *rollingUpdate) run(ctx context.Context) (stopReason string) {
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
			return "timed out before all hosts completed the rolling update"
		case step.Finished:
			return ""
		}
		select {
		case <-time.After(pollIntervalTicks * u.client.Bounds.TickInterval):
		case <-ctx.Done():
		}
	}
}

// begin submits the command to one host and forwards its progress events. The host's state comes from progress.
func (u *rollingUpdate) begin(ctx context.Context, host string) error {
	request := u.request
	request.Instances = u.namesByHost[host]
	report := u.client.executeAt(ctx, host, request, false)
	u.record(report)
	if report.Command == nil {
		return fmt.Errorf("host %s: %s", host, report.Error)
	}
	agent := u.client.agent(host)
	u.followers.Go(func() {
		defer agent.Close()
		// A failed stream loses progress events only: progress polls the command's state.
		_ = agent.Follow(ctx, request.ID, 0, func(event agentapi.StreamEvent) bool {
			u.client.progress(host, event)
			return !isAutomaticPause(event)
		})
	})
	return nil
}

// record replaces the report of a host.
func (u *rollingUpdate) record(report HostReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports[report.Host] = &report
}

// progress polls the state of all hosts.
func (u *rollingUpdate) progress(ctx context.Context) map[string]fleet.HostProgress {
	poll := func(ctx context.Context, host string) (fleet.HostProgress, error) {
		progress, command := u.client.hostProgress(ctx, host, u.request, len(u.namesByHost[host]))
		if command != nil {
			u.record(HostReport{Host: host, Command: command, Reached: true})
		}
		return progress, nil
	}
	states, _ := agentapi.FanOut(ctx, u.client.Bounds, u.hosts, poll)
	byHost := map[string]fleet.HostProgress{}
	for i, host := range u.hosts {
		byHost[host] = states[i]
	}
	return byHost
}

// report aggregates the reports of the hosts. If the update stopped early, a host on which it has not begun counts as
// rejected.
func (u *rollingUpdate) report(stopReason string) *Report {
	aggregate := &Report{ID: u.request.ID, Kind: u.request.Kind, Reason: stopReason}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, host := range u.hosts {
		switch report := u.reports[host]; {
		case report != nil:
			aggregate.Hosts = append(aggregate.Hosts, *report)
		case stopReason != "":
			aggregate.Hosts = append(aggregate.Hosts, HostReport{
				Host:     host,
				Reached:  true,
				Rejected: true,
				Error:    "the rolling update stopped before this host",
			})
		}
	}
	aggregate.count()
	return aggregate
}

// hostProgress polls one host's status and its state of the command. instances is the number of the host's instances
// that the command covers.
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
	progress.DesiredUp, progress.Ready = countDesiredUp(status.Instances)
	command, err = agent.Command(ctx, request.ID)
	if err != nil {
		progress.Reachable = errors.Is(err, fleet.ErrUnknownCommand)
		return progress, nil
	}
	progress.State, progress.Cause = command.State, command.Cause
	if failed := command.Unsatisfied(); command.State == fleet.CommandDone && len(failed) > 0 {
		progress.Failed = true
		progress.Cause = fmt.Sprint(failed)
	}
	return progress, command
}

// countDesiredUp returns the number of instances that should run, excluding spares, and the number of those, including
// spares, that are settled.
func countDesiredUp(instances []agentapi.Instance) (desiredUp, ready int) {
	for i := range instances {
		instance := &instances[i]
		if !instance.DesiredUp {
			continue
		}
		if !instance.Spare {
			desiredUp++
		}
		if instance.Settled {
			ready++
		}
	}
	return desiredUp, ready
}
