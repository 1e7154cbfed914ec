// Package fleetclient runs fleet commands on many agents: it submits commands, follows their progress, coordinates
// rolling updates across hosts and aggregates the results. Package fleet makes the decisions and package agentapi makes
// the calls. The package keeps no state after a command line ends.
package fleetclient

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
)

// Client calls the agents of a fleet. Its methods may be called concurrently.
type Client struct {
	// Spec describes the fleet: its hosts, instances and agents' addresses.
	Spec *fleet.Spec
	// Caller creates the agents' clients, which share one retry budget.
	Caller *agentapi.ClientFactory
	// Bounds holds the timeouts and the concurrency limit of the calls.
	Bounds limits.Control
	// Operator is the name of the requester in the agents' history.
	Operator string
	// OnProgress receives the events of followed commands. Calls do not overlap. Nil drops the events.
	OnProgress func(host string, event agentapi.StreamEvent)

	// progressMu serializes the calls of OnProgress.
	progressMu sync.Mutex
}

// idRandomBytes is the number of random bytes in a command id, which keep the ids of concurrent clients distinct.
const idRandomBytes = 4

// NewID returns a command id that consists of the kind, the time in UTC and random bytes in hexadecimal.
func NewID(kind fleet.CommandKind, now time.Time) string {
	var random [idRandomBytes]byte
	_, _ = rand.Read(random[:]) // never fails
	return fmt.Sprintf("%s-%s-%s", kind, now.UTC().Format("20060102T150405"), hex.EncodeToString(random[:]))
}

// ByHost groups instances by host. It returns the hosts that have any of them, in the order of the fleet file, and the
// instance names of each host.
func (c *Client) ByHost(instances []*fleet.InstanceSpec) (hosts []string, namesByHost map[string][]string) {
	namesByHost = map[string][]string{}
	for _, instance := range instances {
		namesByHost[instance.Host] = append(namesByHost[instance.Host], instance.Name)
	}
	for _, host := range c.Spec.Hosts {
		if len(namesByHost[host.Name]) > 0 {
			hosts = append(hosts, host.Name)
		}
	}
	return hosts, namesByHost
}

// agent returns a client of a host's agent. The caller closes it.
func (c *Client) agent(host string) *agentapi.Client {
	return c.Caller.Client(c.Spec.Host(host).AgentAddress)
}

// Execute submits a command to every host that has any of the instances. If wait is set, it follows the command until
// every host completes or pauses it, or until ctx ends.
func (c *Client) Execute(
	ctx context.Context, request agentapi.CommandRequest, instances []*fleet.InstanceSpec, wait bool,
) *Report {
	hosts, namesByHost := c.ByHost(instances)
	report := &Report{ID: request.ID, Kind: request.Kind}
	report.Hosts, _ = agentapi.FanOut(ctx, c.Bounds, hosts, func(ctx context.Context, host string) (HostReport, error) {
		hostRequest := request
		hostRequest.Instances = namesByHost[host]
		return c.executeAt(ctx, host, hostRequest, wait), nil
	})
	report.count()
	return report
}

// executeAt submits a command to one host and, if wait is set, follows it.
func (c *Client) executeAt(ctx context.Context, host string, request agentapi.CommandRequest, wait bool) HostReport {
	agent := c.agent(host)
	defer agent.Close()
	// The event stream begins after the last history entry that precedes the command.
	serial := uint64(0)
	if status, err := agent.Status(ctx); err == nil {
		serial = status.LastSerial
	}
	command, err := agent.Submit(ctx, request)
	if err != nil {
		return failedReport(host, err)
	}
	report := HostReport{Host: host, Command: command, Reached: true}
	if wait && command.State != fleet.CommandDone {
		c.follow(ctx, agent, &report, request.ID, serial)
	}
	return report
}

// finalQueryCallTimeouts is the time limit of the last query of a command's state, in units of
// limits.Control.CallTimeout.
const finalQueryCallTimeouts = 2

// follow waits until a command completes or pauses without a request, or until ctx ends. It records the command's last
// state in the report.
func (c *Client) follow(ctx context.Context, agent *agentapi.Client, report *HostReport, id string, after uint64) {
	followErr := agent.Follow(ctx, id, after, func(event agentapi.StreamEvent) bool {
		c.progress(report.Host, event)
		if event.Command != nil {
			report.Command = event.Command
		}
		return !isAutomaticPause(event)
	})
	if report.Command != nil && report.Command.State == fleet.CommandDone {
		return
	}
	// The stream ended before the command did. The query outlives ctx, so that a report after a timeout is up to date.
	queryCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalQueryCallTimeouts*c.Bounds.CallTimeout)
	defer cancel()
	command, queryErr := agent.Command(queryCtx, id)
	if queryErr != nil {
		report.Reached = false
		report.Error = errors.Join(followErr, queryErr).Error()
		return
	}
	report.Command = command
}

// isAutomaticPause reports whether an event says that a rolling update paused itself and needs an operator.
func isAutomaticPause(event agentapi.StreamEvent) bool {
	return event.Entry != nil && event.Entry.Event == "pause"
}

// progress passes an event to OnProgress.
func (c *Client) progress(host string, event agentapi.StreamEvent) {
	if c.OnProgress == nil {
		return
	}
	c.progressMu.Lock()
	defer c.progressMu.Unlock()
	c.OnProgress(host, event)
}

// Watch follows one command on one host until it ends or pauses. If id is empty, Watch follows all events of the host
// until ctx ends.
func (c *Client) Watch(ctx context.Context, host, id string) HostReport {
	agent := c.agent(host)
	defer agent.Close()
	report := HostReport{Host: host, Reached: true}
	if id != "" {
		command, err := agent.Command(ctx, id)
		if err != nil {
			return failedReport(host, err)
		}
		report.Command = command
		c.follow(ctx, agent, &report, id, 0)
		return report
	}
	status, err := agent.Status(ctx)
	if err != nil {
		return failedReport(host, err)
	}
	// The only error is the end of ctx, which is how a caller ends a watch.
	_ = agent.Follow(ctx, "", status.LastSerial, func(event agentapi.StreamEvent) bool {
		c.progress(host, event)
		return true
	})
	return report
}
