package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/backend/admin"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/membership"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// Shares are what the agents of a fleet keep together; manage/join makes one.
type Cluster interface {
	Do(context.Context, quota.Command) (quota.Result, error)
	Status(context.Context) (quota.Status, error)
	SetConfig(*quota.Config, []string)
	Stage() string
	Members() []membership.Member
	Events() <-chan quota.Event // what is to stand in the history
}

// sharePause is between two renewals: a part of the shortest lease, so that one or two that are lost cost nothing.
func sharePause(t *quota.Config) time.Duration {
	lease := quota.Micros(4_000_000)
	for _, b := range t.Limits {
		if b.Kind == quota.Rate {
			lease = min(lease, b.Lease)
		}
	}
	return time.Duration(lease/4) * time.Microsecond
}

// share renews what this host's instances hold, until ctx ends.
func (a *Agent) share(ctx context.Context) {
	peers := map[string]*admin.Client{}
	defer func() {
		for _, p := range peers {
			p.Close()
		}
	}()
	lastNo := ""
	gone := map[string]bool{}
	for {
		var names []string
		var terms *quota.Config
		if a.ask(func(fleet.Micros) {
			terms = a.o.Spec.Quotas
			for _, name := range a.m.Names() {
				if in, _ := a.m.Instance(name); in.Incarnation != "" {
					names = append(names, name)
				}
			}
		}) != nil || terms == nil {
			names, terms = nil, &quota.Config{}
		}
		pause := sharePause(terms)
		round, cancel := context.WithTimeout(ctx, 2*pause)
		why := a.renew(round, names, peers, gone)
		cancel()
		if why != lastNo {
			slog.Info("shares", "renewed", why == "", "why", why)
			lastNo = why
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		a.tell()
	}
}

// renew asks the ledger once for all that draw here, and hands the answers on.
func (a *Agent) renew(ctx context.Context, names []string, peers map[string]*admin.Client, gone map[string]bool) (why string) {
	asks := make([]backendquota.LeaseRequest, len(names))
	each := func(do func(i int, p *admin.Client)) {
		var all sync.WaitGroup
		room := make(chan struct{}, a.o.Bounds.FanOut)
		for i, name := range names {
			p := peers[name]
			if p == nil {
				p = admin.NewClient(supervisor.PathsOf(a.o.Dir, name).Admin, a.o.Bounds)
				peers[name] = p
			}
			all.Go(func() {
				room <- struct{}{}
				do(i, p)
				<-room
			})
		}
		all.Wait()
	}
	short := a.o.Bounds.Call / 8 // one that is stopped must not hold up the others
	each(func(i int, p *admin.Client) {
		call, cancel := context.WithTimeout(ctx, short)
		defer cancel()
		if q, err := p.Ask(call); err == nil && q.Name == names[i] {
			asks[i] = q
		}
	})
	c := &quota.RenewCommand{Host: a.o.Host}
	for _, q := range asks {
		if q.Number > 0 {
			c.Requests = append(c.Requests, q)
		}
	}
	res, err := a.o.Cluster.Do(ctx, quota.Command{Renew: c})
	if err != nil {
		return err.Error()
	}
	var refused []string
	each(func(i int, p *admin.Client) {
		at := slices.IndexFunc(res.Answers, func(r backendquota.LeaseResponse) bool {
			return r.Name == names[i] && r.Incarnation == asks[i].Incarnation
		})
		if at < 0 || res.Answers[at].Refusal != "" {
			return
		}
		call, cancel := context.WithTimeout(ctx, short)
		defer cancel()
		p.Answer(call, res.Answers[at])
	})
	for _, r := range res.Answers {
		if r.Refusal != "" {
			refused = append(refused, r.Name+": "+r.Refusal)
		}
	}
	a.unitsHeld(res.Permits)
	a.bury(ctx, res.ClientKeys, gone)
	return strings.Join(refused[:min(len(refused), 3)], "; ")
}

// bury tells the ledger which lives of this host have ended: their processes are looked for here.
func (a *Agent) bury(ctx context.Context, lives []string, told map[string]bool) {
	c := &quota.ExitCommand{Host: a.o.Host}
	for _, key := range lives {
		if _, life, _ := strings.Cut(key, " "); !lifeAlive(life) && !told[key] {
			c.ClientKeys = append(c.ClientKeys, key)
		}
	}
	if len(c.ClientKeys) == 0 {
		return
	}
	if _, err := a.o.Cluster.Do(ctx, quota.Command{Exited: c}); err == nil && len(told) < 10_000 {
		for _, key := range c.ClientKeys {
			told[key] = true
		}
	}
}

// IncarnationID identifies a process to the quota store: the boot id, the pid and the start time.
func IncarnationID(id process.Identity) string { return fmt.Sprintf("%s/%s", process.Boot(), id) }

// lifeAlive tells whether a life goes on, on this machine. One that can't be read is taken to.
func lifeAlive(life string) bool {
	boot, name, ok := strings.Cut(life, "/")
	var id process.Identity
	if n, err := fmt.Sscanf(name, "%d@%d", &id.PID, &id.Start); !ok || err != nil || n != 2 {
		return true
	}
	return boot == process.Boot() && id.Alive()
}

// unitsHeld brings what the ledger has this host hold into the loop.
func (a *Agent) unitsHeld(out []quota.Permit) {
	var held []fleet.HeldUnit
	for _, o := range out {
		held = append(held, fleet.HeldUnit{Name: o.Name, Quota: o.Limit, RequestID: o.AcquireID})
	}
	if len(held) > 0 {
		a.bring(fleet.UnitsListed{Units: held})
	}
}

// bring hands an event to the loop, if it goes on.
func (a *Agent) bring(ev fleet.Event) {
	select {
	case <-a.done:
	case a.work <- func(now fleet.Micros) { a.decide(now, ev) }:
	}
}

// unit takes a unit of a count, or gives it back. Without an answer nothing is known: the same turn is asked for again.
func (a *Agent) unit(s fleet.Action) {
	if a.o.Cluster == nil {
		a.bring(fleet.UnitAcquired{HeldUnit: fleet.HeldUnit{Name: s.Name, Quota: s.Unit.Quota, RequestID: s.ID}, Cause: "this fleet's file has no budgets"})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*a.o.Bounds.Call)
	defer cancel()
	turn := &quota.PermitCommand{Limit: s.Unit.Quota, Name: s.Name, Host: a.o.Host, AcquireID: s.ID}
	if s.Kind == fleet.ActionReleaseUnit {
		turn.Outcome = &s.StartResult
		if _, err := a.o.Cluster.Do(ctx, quota.Command{Release: turn}); err == nil {
			a.bring(fleet.UnitReleased{Name: s.Name, RequestID: s.ID})
		}
		return
	}
	if res, err := a.o.Cluster.Do(ctx, quota.Command{Acquire: turn}); err == nil {
		held := fleet.HeldUnit{Name: s.Name, Quota: s.Unit.Quota, RequestID: s.ID}
		a.bring(fleet.UnitAcquired{HeldUnit: held, Granted: res.Rejection == "", Cause: res.Rejection})
	}
}

// tell writes the ledger's notes into the history.
func (a *Agent) tell() {
	for {
		select {
		case n := <-a.o.Cluster.Events():
			if a.ask(func(now fleet.Micros) {
				a.note(fleet.HistoryEvent{At: now, Name: n.Name, Event: strings.TrimSpace(n.Limit + " " + n.Kind), Cause: n.Cause})
			}) != nil {
				return
			}
		default:
			return
		}
	}
}

var errNothingShared = &agentapi.StatusError{Status: http.StatusUnprocessableEntity, Text: "this fleet's file has no budgets"}

// Budgets asks the leader how all stands.
func (a *Agent) Budgets(ctx context.Context) (b agentapi.Budgets, err error) {
	if a.o.Cluster == nil {
		return b, errNothingShared
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Bounds.Call)
	defer cancel()
	b.Host, b.Stage = a.o.Host, a.o.Cluster.Stage()
	if b.Status, err = a.o.Cluster.Status(ctx); err != nil {
		err = &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: err.Error()}
	}
	return b, err
}

// WriteOff tells the ledger that what a name has is in force no more.
func (a *Agent) WriteOff(ctx context.Context, name, by string) error {
	if a.o.Cluster == nil {
		return errNothingShared
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Bounds.Call)
	defer cancel()
	res, err := a.o.Cluster.Do(ctx, quota.Command{WriteOff: &quota.WriteOffCommand{Name: name, By: by}})
	switch {
	case err != nil:
		return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: err.Error()}
	case res.Rejection != "":
		return errors.New(res.Rejection)
	}
	return nil
}

// Rise begins a rise at the ledger, or says a word about one.
func (a *Agent) Rise(ctx context.Context, r quota.ColdStartCommand) error {
	if a.o.Cluster == nil {
		return errNothingShared
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Bounds.Call)
	defer cancel()
	res, err := a.o.Cluster.Do(ctx, quota.Command{ColdStart: &r})
	switch {
	case err != nil:
		return &agentapi.StatusError{Status: http.StatusServiceUnavailable, Text: err.Error()}
	case res.Rejection != "":
		return &agentapi.StatusError{Status: http.StatusConflict, Text: res.Rejection}
	}
	return nil
}

// Members are the agents that this one thinks are there.
func (a *Agent) Members() []membership.Member {
	if a.o.Cluster == nil {
		return nil
	}
	return a.o.Cluster.Members()
}
