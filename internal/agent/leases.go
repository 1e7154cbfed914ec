package agent

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"milletbarrow/internal/backend/admin"
	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

const (
	maxLease           = monotime.Micros(4_000_000) // that renewals are paced by
	renewalsPerLease   = 4                          // one or two that are lost cost nothing
	instanceCallPart   = 8                          // of Bounds.Call: a stopped instance must not hold up the others
	maxShownRefusals   = 3
	maxReportedExits   = 10_000 // remembered
	renewalRoundPauses = 2      // a round of renewals may take this many pauses
)

// renewalPause is the time between two renewals.
func renewalPause(c *quota.Config) time.Duration {
	lease := maxLease
	for _, limit := range c.Limits {
		if limit.Kind == quota.Rate {
			lease = min(lease, limit.Lease)
		}
	}
	return time.Duration(lease/renewalsPerLease) * time.Microsecond
}

// leaseRenewer renews the leases of this host's instances. It belongs to one goroutine.
type leaseRenewer struct {
	agent         *Agent
	clients       map[string]*admin.Client // by instance
	reportedExits map[string]bool          // by client key: the quota store knows that it has exited
}

// renewLeases renews what this host's instances hold, until ctx ends.
func (a *Agent) renewLeases(ctx context.Context) {
	r := &leaseRenewer{agent: a, clients: map[string]*admin.Client{}, reportedExits: map[string]bool{}}
	defer r.close()
	lastProblem := ""
	for {
		names, config := a.leaseHolders()
		pause := renewalPause(config)
		round, cancel := context.WithTimeout(ctx, renewalRoundPauses*pause)
		problem := r.renew(round, names)
		cancel()
		if problem != lastProblem {
			slog.Info("quota_leases", "renewed", problem == "", "why", problem)
			lastProblem = problem
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		a.recordClusterEvents()
	}
}

// leaseHolders returns the names of the instances that have an incarnation, and the quotas of the fleet file. There are
// none while the loop does not answer or the file has no quotas.
func (a *Agent) leaseHolders() ([]string, *quota.Config) {
	var names []string
	var config *quota.Config
	err := a.call(func(monotime.Micros) {
		config = a.loop.spec.Quotas
		for _, name := range a.loop.machine.Names() {
			if in, _ := a.loop.machine.Instance(name); in.Incarnation != "" {
				names = append(names, name)
			}
		}
	})
	if err != nil || config == nil {
		return nil, &quota.Config{}
	}
	return names, config
}

func (r *leaseRenewer) close() {
	for _, client := range r.clients {
		client.Close()
	}
}

// forEach calls do for each instance, at most Bounds.FanOut at a time.
func (r *leaseRenewer) forEach(ctx context.Context, names []string, do func(ctx context.Context, i int, c *admin.Client)) {
	bounds := r.agent.options.Bounds
	var calls sync.WaitGroup
	slots := make(chan struct{}, bounds.FanOut)
	for i, name := range names {
		client := r.clients[name]
		if client == nil {
			client = admin.NewClient(supervisor.PathsOf(r.agent.options.Dir, name).Admin, bounds)
			r.clients[name] = client
		}
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, bounds.CallTimeout/instanceCallPart)
			defer cancel()
			do(ctx, i, client)
		})
	}
	calls.Wait()
}

// renew sends the lease requests of all instances to the quota store at once, and its responses back to them. It
// returns what went wrong; empty: nothing.
func (r *leaseRenewer) renew(ctx context.Context, names []string) (problem string) {
	requests := r.collectRequests(ctx, names)
	command := &quota.RenewCommand{Host: r.agent.options.Host}
	for _, request := range requests {
		if request.Number > 0 {
			command.Requests = append(command.Requests, request)
		}
	}
	result, err := r.agent.options.Cluster.Do(ctx, quota.Command{Renew: command})
	if err != nil {
		return err.Error()
	}
	r.distribute(ctx, names, requests, result.Answers)
	r.agent.reportHeldUnits(result.Permits)
	r.reportExits(ctx, result.ClientKeys)
	return refusals(result.Answers)
}

// collectRequests asks each instance what it needs; the request of one that does not answer has no number.
func (r *leaseRenewer) collectRequests(ctx context.Context, names []string) []backendquota.LeaseRequest {
	requests := make([]backendquota.LeaseRequest, len(names))
	r.forEach(ctx, names, func(ctx context.Context, i int, c *admin.Client) {
		if request, err := c.QuotaRequest(ctx); err == nil && request.Name == names[i] {
			requests[i] = request
		}
	})
	return requests
}

// distribute gives each instance the response to its own request.
func (r *leaseRenewer) distribute(
	ctx context.Context, names []string, requests []backendquota.LeaseRequest, responses []backendquota.LeaseResponse,
) {
	r.forEach(ctx, names, func(ctx context.Context, i int, c *admin.Client) {
		at := slices.IndexFunc(responses, func(response backendquota.LeaseResponse) bool {
			return response.Name == names[i] && response.Incarnation == requests[i].Incarnation
		})
		if at < 0 || responses[at].Refusal != "" {
			return
		}
		_ = c.ApplyLease(ctx, responses[at]) // one that is lost is made up for by the next renewal
	})
}

// refusals names the first requests that were refused, and why.
func refusals(responses []backendquota.LeaseResponse) string {
	var refused []string
	for _, response := range responses {
		if response.Refusal != "" {
			refused = append(refused, response.Name+": "+response.Refusal)
		}
	}
	return strings.Join(refused[:min(len(refused), maxShownRefusals)], "; ")
}

// reportExits tells the quota store which of this host's clients have exited; their processes are looked for here.
func (r *leaseRenewer) reportExits(ctx context.Context, clientKeys []string) {
	command := &quota.ExitCommand{Host: r.agent.options.Host}
	for _, key := range clientKeys {
		if _, incarnationID, _ := strings.Cut(key, " "); !incarnationAlive(incarnationID) && !r.reportedExits[key] {
			command.ClientKeys = append(command.ClientKeys, key)
		}
	}
	if len(command.ClientKeys) == 0 {
		return
	}
	_, err := r.agent.options.Cluster.Do(ctx, quota.Command{Exited: command})
	if err != nil || len(r.reportedExits) >= maxReportedExits {
		return
	}
	for _, key := range command.ClientKeys {
		r.reportedExits[key] = true
	}
}

// recordClusterEvents writes what the quota store reported into the history.
func (a *Agent) recordClusterEvents() {
	for {
		select {
		case event := <-a.options.Cluster.Events():
			err := a.call(func(now monotime.Micros) {
				a.addHistory(fleet.HistoryEvent{
					At: now, Name: event.Name, Event: strings.TrimSpace(event.Limit + " " + event.Kind), Cause: event.Cause,
				})
			})
			if err != nil {
				return
			}
		default:
			return
		}
	}
}
