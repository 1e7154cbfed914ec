// Package fleetclient runs fleet commands over many agents: it sends them, follows them, takes rolling updates from host
// to host, and sums up their results. It decides by package fleet and speaks by package agentapi; it holds no state
// beyond one command line.
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
	Spec     *fleet.Spec
	Caller   *agentapi.ClientFactory // makes the agents' clients, with one retry budget for all
	Bounds   limits.Control
	Operator string // who asks, for the agents' history
	// OnProgress takes the events of the commands that are followed; may be nil. It is called by one goroutine at a time.
	OnProgress func(host string, e agentapi.StreamEvent)

	progressMu sync.Mutex // held while OnProgress runs
}

// NewID returns an id for a command: its kind, the time, and 32 random bits so that two clients do not meet.
func NewID(kind fleet.CommandKind, now time.Time) string {
	var random [4]byte
	_, _ = rand.Read(random[:]) // never fails
	return fmt.Sprintf("%s-%s-%s", kind, now.UTC().Format("20060102T150405"), hex.EncodeToString(random[:]))
}

// ByHost groups instances by their hosts; hosts are in the file's order.
func (c *Client) ByHost(all []*fleet.InstanceSpec) (hosts []string, names map[string][]string) {
	names = map[string][]string{}
	for _, instance := range all {
		names[instance.Host] = append(names[instance.Host], instance.Name)
	}
	for _, h := range c.Spec.Hosts {
		if len(names[h.Name]) > 0 {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts, names
}

// agent returns a client for a host's agent, to be closed.
func (c *Client) agent(host string) *agentapi.Client {
	return c.Caller.Client(c.Spec.Host(host).AgentAddress)
}

// Execute sends a command to every host that has some of the instances and, if wait is set, follows it to its end
// everywhere. ctx bounds it all.
func (c *Client) Execute(ctx context.Context, request agentapi.CommandRequest, all []*fleet.InstanceSpec, wait bool) *Report {
	hosts, names := c.ByHost(all)
	r := &Report{ID: request.ID, Kind: request.Kind}
	r.Hosts, _ = agentapi.FanOut(ctx, c.Bounds, hosts, func(ctx context.Context, host string) (HostReport, error) {
		part := request
		part.Instances = names[host]
		return c.executeAt(ctx, host, part, wait), nil
	})
	r.count()
	return r
}

// executeAt sends a command to one host and, if wait is set, follows it.
func (c *Client) executeAt(ctx context.Context, host string, request agentapi.CommandRequest, wait bool) HostReport {
	agent := c.agent(host)
	defer agent.Close()
	serial := uint64(0)
	if status, err := agent.Status(ctx); err == nil { // so that the stream begins where the command does
		serial = status.LastSerial
	}
	command, err := agent.Submit(ctx, request)
	if err != nil {
		return failedReport(host, err)
	}
	h := HostReport{Host: host, Command: command, Reached: true}
	if wait && command.State != fleet.CommandDone {
		c.follow(ctx, agent, &h, request.ID, serial)
	}
	return h
}

// follow stays with a command until it ends or pauses by itself, and records how it stands then.
func (c *Client) follow(ctx context.Context, agent *agentapi.Client, h *HostReport, id string, after uint64) {
	err := agent.Follow(ctx, id, after, func(e agentapi.StreamEvent) bool {
		c.progress(h.Host, e)
		if e.Command != nil {
			h.Command = e.Command
		}
		return !pausedByItself(e)
	})
	if h.Command != nil && h.Command.State == fleet.CommandDone {
		return
	}
	// The stream ended first: ask how the command stands, also where the time has run out.
	ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*c.Bounds.CallTimeout)
	defer cancel()
	command, errAsk := agent.Command(ask, id)
	if errAsk != nil {
		h.Reached, h.Error = false, errors.Join(err, errAsk).Error()
		return
	}
	h.Command = command
}

// pausedByItself reports whether a rolling update waits for a person: nobody should wait with it unseen.
func pausedByItself(e agentapi.StreamEvent) bool { return e.Entry != nil && e.Entry.Event == "pause" }

func (c *Client) progress(host string, e agentapi.StreamEvent) {
	if c.OnProgress == nil {
		return
	}
	c.progressMu.Lock()
	defer c.progressMu.Unlock()
	c.OnProgress(host, e)
}

// Watch follows one command at one host to its end, or, if id is empty, all that happens there until ctx ends.
func (c *Client) Watch(ctx context.Context, host, id string) HostReport {
	agent := c.agent(host)
	defer agent.Close()
	h := HostReport{Host: host, Reached: true}
	if id != "" {
		command, err := agent.Command(ctx, id)
		if err != nil {
			return failedReport(host, err)
		}
		h.Command = command
		c.follow(ctx, agent, &h, id, 0)
		return h
	}
	status, err := agent.Status(ctx)
	if err != nil {
		return failedReport(host, err)
	}
	_ = agent.Follow(ctx, "", status.LastSerial, func(e agentapi.StreamEvent) bool { // it ends with ctx
		c.progress(host, e)
		return true
	})
	return h
}
