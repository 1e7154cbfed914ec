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
	// maxPacingLease is the upper bound of the lease duration that the renewal interval is derived from.
	maxPacingLease = 4 * monotime.Second
	// renewalsPerLease is the number of renewals within the shortest lease, so that one or two may fail.
	renewalsPerLease = 4
	// maxRoundIntervals is the timeout of a round of renewals, in renewal intervals.
	maxRoundIntervals = 2
	// instanceCallDivisor sets the timeout of a call to an instance: Bounds.CallTimeout divided by it. It is short so
	// that a stopped instance does not delay the others.
	instanceCallDivisor = 8
	// maxLoggedRefusals is the maximum number of refused requests in a log line.
	maxLoggedRefusals = 3
	// maxReportedExits bounds the client keys that a renewer remembers as reported.
	maxReportedExits = 10_000
)

// renewalInterval returns the time between two renewals: a fraction of the shortest lease of a rate limit.
func renewalInterval(c *quota.Config) time.Duration {
	lease := maxPacingLease
	for _, limit := range c.Limits {
		if limit.Kind == quota.Rate {
			lease = min(lease, limit.Lease)
		}
	}
	return (lease / renewalsPerLease).Duration()
}

// leaseRenewer renews the leases of this host's instances. It is not safe for concurrent use.
type leaseRenewer struct {
	agent            *Agent
	clientByInstance map[string]*admin.Client
	reportedExits    map[quota.ClientKey]bool // clients whose exit was reported to the quota store
}

// renewLeases renews the leases of this host's instances until ctx is done.
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
		interval := renewalInterval(config)
		roundCtx, cancel := context.WithTimeout(ctx, maxRoundIntervals*interval)
		problem := r.renew(roundCtx, names)
		cancel()
		if problem != lastProblem {
			slog.Info("quota_leases", "renewed", problem == "", "why", problem)
			lastProblem = problem
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
		a.recordClusterEvents()
	}
}

// leaseHolders returns the names of the instances that have an incarnation, and the quotas of the fleet file. It
// returns no names and an empty configuration if the loop does not respond or the file has no quotas.
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
	for _, client := range r.clientByInstance {
		client.Close()
	}
}

// client returns the admin client of an instance and creates it if necessary.
func (r *leaseRenewer) client(name string) *admin.Client {
	client := r.clientByInstance[name]
	if client == nil {
		client = admin.NewClient(supervisor.PathsOf(r.agent.options.Dir, name).Admin, r.agent.options.Bounds)
		r.clientByInstance[name] = client
	}
	return client
}

// forEachInstance calls do concurrently for each instance, with its index in names. At most Bounds.FanOut calls run
// at a time.
func (r *leaseRenewer) forEachInstance(
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
			ctx, cancel := context.WithTimeout(ctx, bounds.CallTimeout/instanceCallDivisor)
			defer cancel()
			do(ctx, i, client)
		})
	}
	calls.Wait()
}

// renew sends the lease requests of all instances to the quota store in one command, and distributes its responses to
// the instances. It returns a description of the failure, empty on success.
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

// collectRequests queries the lease request of each instance. It is zero for an instance that does not respond.
func (r *leaseRenewer) collectRequests(ctx context.Context, names []string) []backendquota.LeaseRequest {
	requests := make([]backendquota.LeaseRequest, len(names))
	r.forEachInstance(ctx, names, func(ctx context.Context, i int, c *admin.Client) {
		if request, err := c.QuotaRequest(ctx); err == nil && request.Name == names[i] {
			requests[i] = request
		}
	})
	return requests
}

// distribute sends each instance the granted response to its own request.
func (r *leaseRenewer) distribute(
	ctx context.Context, names []string, requests []backendquota.LeaseRequest, responses []backendquota.LeaseResponse,
) {
	r.forEachInstance(ctx, names, func(ctx context.Context, i int, c *admin.Client) {
		at := slices.IndexFunc(responses, func(response backendquota.LeaseResponse) bool {
			return response.Name == names[i] && response.Incarnation == requests[i].Incarnation
		})
		if at < 0 || responses[at].Refusal != "" {
			return
		}
		_ = c.ApplyLease(ctx, responses[at]) // after an error the next round renews the lease
	})
}

// refusals returns the names of the first maxLoggedRefusals instances whose requests were refused, with the reasons.
func refusals(responses []backendquota.LeaseResponse) string {
	var refused []string
	for _, response := range responses {
		if response.Refusal != "" {
			refused = append(refused, response.Name+": "+response.Refusal)
		}
	}
	return strings.Join(refused[:min(len(refused), maxLoggedRefusals)], "; ")
}

// reportExits reports to the quota store those of this host's clients whose processes have exited.
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
