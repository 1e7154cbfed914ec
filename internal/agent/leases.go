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
	"milletbarrow/internal/supervisor"
	"milletbarrow/monotime"
)

const (
	// maxLease is the longest lease that renewals are paced by.
	maxLease = 4 * monotime.Second
	// renewalsPerLease is the number of renewals during the shortest lease, so that one or two may be lost.
	renewalsPerLease = 4
	// renewalRoundPauses is how long a round of renewals may take, in pauses between renewals.
	renewalRoundPauses = 2
	// instanceCallFraction divides Bounds.CallTimeout: a call of an instance may take the result, so that a stopped
	// instance does not delay the others.
	instanceCallFraction = 8
	// maxShownRefusals is the number of refused requests that a log line names.
	maxShownRefusals = 3
	// maxReportedExits is the number of client keys that a renewer remembers as reported.
	maxReportedExits = 10_000
)

// renewalPause returns the time between two renewals.
func renewalPause(c *quota.Config) time.Duration {
	lease := maxLease
	for _, limit := range c.Limits {
		if limit.Kind == quota.Rate {
			lease = min(lease, limit.Lease)
		}
	}
	return (lease / renewalsPerLease).Duration()
}

// leaseRenewer renews the leases of this host's instances. It belongs to one goroutine.
type leaseRenewer struct {
	agent            *Agent
	clientByInstance map[string]*admin.Client
	reportedExits    map[quota.ClientKey]bool // clients whose exit the quota store knows
}

// renewLeases renews the leases of this host's instances until ctx ends.
func (a *Agent) renewLeases(ctx context.Context) {
	r := &leaseRenewer{
		agent:            a,
		clientByInstance: map[string]*admin.Client{},
		reportedExits:    map[quota.ClientKey]bool{},
	}
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

// leaseHolders returns the names of the instances that have an incarnation, and the quotas of the fleet file. It
// returns no names and no quotas if the loop does not answer or the file has no quotas.
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

// close closes the clients of the instances.
func (r *leaseRenewer) close() {
	for _, client := range r.clientByInstance {
		client.Close()
	}
}

// client returns the client of an instance.
func (r *leaseRenewer) client(name string) *admin.Client {
	client := r.clientByInstance[name]
	if client == nil {
		client = admin.NewClient(supervisor.PathsOf(r.agent.options.Dir, name).Admin, r.agent.options.Bounds)
		r.clientByInstance[name] = client
	}
	return client
}

// forEach calls do for each instance, with its index in names, at most Bounds.FanOut at a time.
func (r *leaseRenewer) forEach(
	ctx context.Context, names []string, do func(ctx context.Context, i int, c *admin.Client),
) {
	bounds := r.agent.options.Bounds
	var calls sync.WaitGroup
	slots := make(chan struct{}, bounds.FanOut)
	for i, name := range names {
		client := r.client(name)
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, bounds.CallTimeout/instanceCallFraction)
			defer cancel()
			do(ctx, i, client)
		})
	}
	calls.Wait()
}

// renew sends the lease requests of all instances to the quota store in one command, and gives the instances its
// responses. It returns what went wrong; empty: nothing.
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

// collectRequests gets the lease request of each instance. It is zero for an instance that does not answer.
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
		_ = c.ApplyLease(ctx, responses[at]) // after an error, the next renewal makes up for it
	})
}

// refusals returns the names of the first instances whose requests were refused, with the reasons.
func refusals(responses []backendquota.LeaseResponse) string {
	var refused []string
	for _, response := range responses {
		if response.Refusal != "" {
			refused = append(refused, response.Name+": "+response.Refusal)
		}
	}
	return strings.Join(refused[:min(len(refused), maxShownRefusals)], "; ")
}

// reportExits reports to the quota store the clients of this host whose processes have exited.
func (r *leaseRenewer) reportExits(ctx context.Context, clientKeys []quota.ClientKey) {
	command := &quota.ExitCommand{Host: r.agent.options.Host}
	for _, key := range clientKeys {
		_, incarnationID, _ := strings.Cut(string(key), " ")
		if !incarnationAlive(incarnationID) && !r.reportedExits[key] {
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
