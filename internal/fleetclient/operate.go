// Package fleetclient does with many agents what one command line asks for: it sends commands, follows them, takes
// waves from host to host, and sums up who did what. It decides by fleet and speaks by control.
package fleetclient

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// Client speaks to the agents of a fleet.
type Client struct {
	Spec       *fleet.Spec
	Caller     *agentapi.ClientFactory
	Bounds     limits.Control
	Operator   string
	OnProgress func(host string, l agentapi.StreamEvent) // progress; may be nil. Called by one goroutine at a time

	saying sync.Mutex
}

// HostReport is what came of a command at one agent.
type HostReport struct {
	Host     string         `json:"host"`
	Command  *fleet.Command `json:"command,omitempty"`
	Error    string         `json:"error,omitempty"`
	Reached  bool           `json:"reached"`
	Rejected bool           `json:"refused,omitempty"` // the agent did not take it
}

// Report is what came of a command.
type Report struct {
	ID     string                `json:"id"`
	Kind   fleet.CommandKind     `json:"kind"`
	Hosts  []HostReport          `json:"hosts"`
	Counts map[fleet.Outcome]int `json:"counts"`
	Open   int                   `json:"open"` // instances without a result
	Reason string                `json:"why,omitempty"`
}

// Verdict is how a report is to be read, worst first.
type Verdict int

// The verdicts; docs/fleet.md gives the exit code of each.
const (
	VerdictSucceeded   Verdict = iota
	VerdictPartial             // some came out other than asked for, or a host did not take the command
	VerdictTimedOut            // the time ran out
	VerdictUnreachable         // an agent could not be reached: what became of its instances is not known
)

// Verdict sums the report up.
func (r *Report) Verdict() Verdict {
	v := VerdictSucceeded
	for _, h := range r.Hosts {
		switch {
		case !h.Reached:
			return VerdictUnreachable
		case h.Rejected:
			v = max(v, VerdictPartial)
		case h.Command != nil:
			for _, res := range h.Command.Results {
				if res.Outcome == fleet.OutcomeTimedOut {
					v = max(v, VerdictTimedOut)
				} else if !res.Outcome.Satisfied() && res.Outcome != fleet.OutcomeSkipped {
					v = max(v, VerdictPartial)
				}
			}
		}
	}
	waits := r.Reason != "" // for a person: no time has run out
	for _, h := range r.Hosts {
		waits = waits || h.Command != nil && h.Command.State == fleet.CommandPaused
	}
	switch {
	case waits:
		v = max(v, VerdictPartial)
	case r.Open > 0:
		v = max(v, VerdictTimedOut)
	}
	return v
}

// NewID is an id for a command: its kind, the time, and enough chance that two tools do not meet.
func NewID(kind fleet.CommandKind, now time.Time) string {
	var chance [4]byte
	rand.Read(chance[:])
	return fmt.Sprintf("%s-%s-%s", kind, now.UTC().Format("20060102T150405"), hex.EncodeToString(chance[:]))
}

// ByHost sorts instances to their hosts, hosts in the file's order.
func (t *Client) ByHost(all []*fleet.InstanceSpec) (hosts []string, names map[string][]string) {
	names = map[string][]string{}
	for _, in := range all {
		names[in.Host] = append(names[in.Host], in.Name)
	}
	for _, h := range t.Spec.Hosts {
		if len(names[h.Name]) > 0 {
			hosts = append(hosts, h.Name)
		}
	}
	return hosts, names
}

func (t *Client) client(host string) *agentapi.Client {
	return t.Caller.Client(t.Spec.Host(host).AgentAddress)
}

// Execute sends a command to every host that has some of the instances and, if wait is set, follows it to its end
// everywhere. ctx bounds it all.
func (t *Client) Execute(ctx context.Context, o agentapi.CommandRequest, all []*fleet.InstanceSpec, wait bool) *Report {
	hosts, names := t.ByHost(all)
	r := &Report{ID: o.ID, Kind: o.Kind}
	r.Hosts, _ = agentapi.FanOut(ctx, t.Bounds, hosts, func(ctx context.Context, host string) (HostReport, error) {
		o := o
		o.Instances = names[host]
		return t.one(ctx, host, o, wait), nil
	})
	r.sum()
	return r
}

// one sends a command to one host and follows it.
func (t *Client) one(ctx context.Context, host string, o agentapi.CommandRequest, wait bool) HostReport {
	c := t.client(host)
	defer c.Close()
	serial := uint64(0)
	if s, err := c.Status(ctx); err == nil { // so that the stream begins where the command does
		serial = s.LastSerial
	}
	cmd, err := c.Submit(ctx, o)
	if err != nil {
		return failed(host, err)
	}
	h := HostReport{Host: host, Command: cmd, Reached: true}
	if wait && cmd.State != fleet.CommandDone {
		t.follow(ctx, c, &h, o.ID, serial)
	}
	return h
}

func failed(host string, err error) HostReport {
	h := HostReport{Host: host, Error: err.Error()}
	_, refused := errors.AsType[*agentapi.StatusError](err)
	refused = refused || errors.Is(err, fleet.ErrUnknownCommand)
	h.Reached, h.Rejected = refused, refused
	return h
}

// follow stays with a command until it ends, or stops for want of a person, and notes how it stands.
func (t *Client) follow(ctx context.Context, c *agentapi.Client, h *HostReport, id string, after uint64) {
	err := c.Follow(ctx, id, after, func(l agentapi.StreamEvent) bool {
		t.say(h.Host, l)
		if l.Command != nil {
			h.Command = l.Command
		}
		// A wave that pauses by itself waits for a person: nobody should wait with it unseen.
		return l.Entry == nil || l.Entry.Event != "pause"
	})
	if h.Command == nil || h.Command.State != fleet.CommandDone { // the stream ended first: ask how it stands
		ask, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*t.Bounds.Call)
		defer cancel()
		cmd, errNow := c.Command(ask, id)
		if errNow != nil {
			h.Reached, h.Error = false, errors.Join(err, errNow).Error()
			return
		}
		h.Command = cmd
	}
}

func (t *Client) say(host string, l agentapi.StreamEvent) {
	if t.OnProgress != nil {
		t.saying.Lock()
		defer t.saying.Unlock()
		t.OnProgress(host, l)
	}
}

func (r *Report) sum() {
	var all []*fleet.Command
	for _, h := range r.Hosts {
		if h.Command != nil {
			all = append(all, h.Command)
		}
	}
	r.Counts, r.Open = fleet.CountOutcomes(all...)
}

// Watch follows one command at one host, or all that happens there if id is empty, from now on.
func (t *Client) Watch(ctx context.Context, host, id string) HostReport {
	c := t.client(host)
	defer c.Close()
	h := HostReport{Host: host, Reached: true}
	if id != "" {
		cmd, err := c.Command(ctx, id)
		if err != nil {
			return failed(host, err)
		}
		h.Command = cmd
		t.follow(ctx, c, &h, id, 0)
		return h
	}
	s, err := c.Status(ctx)
	if err != nil {
		return failed(host, err)
	}
	c.Follow(ctx, "", s.LastSerial, func(l agentapi.StreamEvent) bool { t.say(host, l); return true })
	return h
}

// OnlyKnown leaves out the hosts that never had the command.
func (r *Report) OnlyKnown() *Report {
	r.Hosts = slices.DeleteFunc(r.Hosts, func(h HostReport) bool { return h.Error == fleet.ErrUnknownCommand.Error() })
	if len(r.Hosts) == 0 {
		r.Reason = "no agent knows this command"
	}
	r.sum()
	return r
}

// RollingUpdate takes a wave over the hosts, as many abreast as it is told. Its command has the same id everywhere, so that
// a tool that is started again with it goes on where the one before was.
func (t *Client) RollingUpdate(ctx context.Context, o agentapi.CommandRequest, all []*fleet.InstanceSpec, abreast int) *Report {
	hosts, names := t.ByHost(all)
	r := &Report{ID: o.ID, Kind: o.Kind}
	if len(hosts) == 1 || o.Budget != "" { // by a budget the agents keep the order among themselves, with or without this tool
		return t.Execute(ctx, o, all, true)
	}
	tour := &fleet.RolloutCoordinator{Hosts: hosts, Config: *o.RollingUpdate, MaxConcurrentHosts: abreast}
	reports := map[string]*HostReport{}
	var mu sync.Mutex
	var following sync.WaitGroup
	defer following.Wait()
	for {
		facts := map[string]fleet.HostProgress{}
		seen, _ := agentapi.FanOut(ctx, t.Bounds, hosts, func(ctx context.Context, host string) (fleet.HostProgress, error) {
			f, cmd := t.fact(ctx, host, o, len(names[host]))
			if cmd != nil {
				mu.Lock()
				reports[host] = &HostReport{Host: host, Command: cmd, Reached: true}
				mu.Unlock()
			}
			return f, nil
		})
		for i, h := range hosts {
			facts[h] = seen[i]
		}
		step := tour.Next(fleet.Micros(process.Now()), facts)
		for _, host := range step.Begin {
			o := o
			o.Instances = names[host]
			h := t.one(ctx, host, o, false)
			mu.Lock()
			reports[host] = &h
			mu.Unlock()
			if h.Command == nil {
				step.StopReason = fmt.Sprintf("host %s: %s", host, h.Error)
				break
			}
			c := t.client(host)
			following.Go(func() { // for its lines alone; how it stands is asked for above
				defer c.Close()
				c.Follow(ctx, o.ID, 0, func(l agentapi.StreamEvent) bool {
					t.say(host, l)
					return l.Entry == nil || l.Entry.Event != "pause"
				})
			})
		}
		if step.Finished || step.StopReason != "" || ctx.Err() != nil {
			r.Reason = step.StopReason
			if r.Reason == "" && ctx.Err() != nil {
				r.Reason = "the time ran out"
			}
			break
		}
		select {
		case <-time.After(10 * t.Bounds.Beat):
		case <-ctx.Done():
		}
	}
	for _, h := range hosts {
		switch rep := reports[h]; {
		case rep != nil:
			r.Hosts = append(r.Hosts, *rep)
		case r.Reason != "":
			r.Hosts = append(r.Hosts, HostReport{Host: h, Reached: true, Rejected: true, Error: "its wave was not begun"})
		}
	}
	r.sum()
	return r
}

// fact asks one host how it stands.
func (t *Client) fact(ctx context.Context, host string, o agentapi.CommandRequest, names int) (f fleet.HostProgress, cmd *fleet.Command) {
	c := t.client(host)
	defer c.Close()
	f.MaxUnavailable = min(o.RollingUpdate.MaxInProgress, names)
	s, err := c.Status(ctx)
	if err != nil {
		f.Cause = err.Error()
		return f, nil
	}
	f.Reachable = true
	for _, in := range s.Instances {
		if in.DesiredUp && !in.Spare {
			f.DesiredUp++
		}
		if in.DesiredUp && in.Settled {
			f.Ready++
		}
	}
	cmd, err = c.Command(ctx, o.ID)
	if err != nil {
		f.Reachable = errors.Is(err, fleet.ErrUnknownCommand)
		return f, nil
	}
	f.State, f.Cause = cmd.State, cmd.Cause
	if bad := cmd.Unsatisfied(); cmd.State == fleet.CommandDone && len(bad) > 0 {
		f.Failed, f.Cause = true, fmt.Sprintf("%v", bad)
	}
	return f, cmd
}

// HostStatus is an agent's state, or why there is none.
type HostStatus struct {
	Host   string           `json:"host"`
	Error  string           `json:"error,omitempty"`
	Status *agentapi.Status `json:"status,omitempty"`
}

// Status asks all hosts; one that gives no answer is in the list with its error.
func (t *Client) Status(ctx context.Context) []HostStatus {
	all, _ := agentapi.FanOut(ctx, t.Bounds, t.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) (HostStatus, error) {
		c := t.client(h.Name)
		defer c.Close()
		s, err := c.Status(ctx)
		if err != nil {
			return HostStatus{Host: h.Name, Error: err.Error()}, nil
		}
		return HostStatus{Host: h.Name, Status: &s}, nil
	})
	return all
}

// Entry is a line of history with its host.
type Entry struct {
	Host string `json:"host"`
	agentapi.StreamEvent
}

// History gathers the hosts' history in the order of their wall clocks, which may be askew between hosts. Hosts
// that gave no answer are named: their lines are missing.
func (t *Client) History(ctx context.Context, most int, keep func(Entry) bool) (all []Entry, missing map[string]string) {
	missing = map[string]string{}
	parts, errs := agentapi.FanOut(ctx, t.Bounds, t.Spec.Hosts, func(ctx context.Context, h fleet.HostSpec) ([]Entry, error) {
		c := t.client(h.Name)
		defer c.Close()
		lines, err := c.History(ctx, 0, most)
		var part []Entry
		for _, e := range lines {
			if entry := (Entry{h.Name, agentapi.StreamEvent{Entry: &e, Serial: e.Serial}}); keep(entry) {
				part = append(part, entry)
			}
		}
		return part, err
	})
	for i, h := range t.Spec.Hosts {
		if errs[i] != nil {
			missing[h.Name] = errs[i].Error()
		}
		all = append(all, parts[i]...)
	}
	slices.SortStableFunc(all, func(a, b Entry) int { return cmp.Compare(a.Entry.UnixMicros, b.Entry.UnixMicros) })
	return all[max(0, len(all)-most):], missing
}
