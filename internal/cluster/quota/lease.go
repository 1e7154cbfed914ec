package quota

import (
	"fmt"
	"slices"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

// renew answers the lease requests of one host.
func (s *State) renew(command *RenewCommand, freeze bool, result *Result) {
	for i := range command.Requests {
		result.Answers = append(result.Answers, s.renewClient(command.Host, &command.Requests[i], freeze, result))
	}
	result.ClientKeys = sortedKeys(s.byHost[command.Host])
	for _, limit := range sortedKeys(s.Permits) {
		for _, name := range sortedKeys(s.Permits[limit]) {
			if permit := s.Permits[limit][name]; permit.Host == command.Host {
				result.Permits = append(result.Permits, permit)
			}
		}
	}
}

// renewClient answers one lease request with grants of the client's targets, as far as they are available.
func (s *State) renewClient(
	host string, request *backendquota.LeaseRequest, freeze bool, result *Result,
) backendquota.LeaseResponse {
	response := backendquota.LeaseResponse{Name: request.Name, Incarnation: request.Incarnation, Number: request.Number}
	response.Refusal = s.refusal(request, result)
	if response.Refusal != "" {
		return response
	}
	key := requestKey(request)
	client := s.findOrAddClient(host, request)
	elapsed := request.Clock - client.Clock
	first := client.LastRequest == 0
	s.setHost(key, client, host)
	client.recordRequest(request, s.Serial)
	for i := range request.Usage {
		usage := &request.Usage[i]
		limit := s.Config.Lookup(LimitName(usage.Budget))
		if limit == nil || limit.Kind != Rate {
			continue
		}
		if _, named := limit.Floors[InstanceName(request.Name)]; !named {
			continue
		}
		allocation := s.confirm(limit, client, usage, elapsed, first)
		response.Grants = append(response.Grants, s.grant(limit, client, allocation, freeze))
	}
	return response
}

func requestKey(request *backendquota.LeaseRequest) ClientKey {
	return NewClientKey(InstanceName(request.Name), request.Incarnation)
}

// findOrAddClient returns the client that sent a request, and adds it if it is new.
func (s *State) findOrAddClient(host string, request *backendquota.LeaseRequest) *Client {
	key := requestKey(request)
	if client := s.Clients[key]; client != nil {
		return client
	}
	client := &Client{
		Name:        InstanceName(request.Name),
		Incarnation: request.Incarnation,
		Host:        host,
		Allocations: map[LimitName]*Allocation{},
	}
	s.Clients[key] = client
	s.byName[client.Name] = append(s.byName[client.Name], key)
	return client
}

// refusal returns the reason for which a request is refused, or "".
func (s *State) refusal(request *backendquota.LeaseRequest, result *Result) string {
	key := requestKey(request)
	client := s.Clients[key]
	if client != nil && request.Number <= client.LastRequest {
		return fmt.Sprintf("lease request %d is not newer than %d, the latest received",
			request.Number, client.LastRequest)
	}
	// A floor may be in force at one process at a time. Extras of several processes count until they expire.
	for _, otherKey := range s.byName[InstanceName(request.Name)] {
		if other := s.Clients[otherKey]; otherKey != key && other.hasFloor() {
			return fmt.Sprintf("%s has its floor as %s at %s: that process must end, or be written off",
				request.Name, other.Incarnation, other.Host)
		}
	}
	for i := range request.Usage {
		if usage := &request.Usage[i]; usage.Epoch > s.Serial {
			s.recordRegression(request.Name, usage, result)
			return "the quota store lost grants: it grants nothing until every lost lease has expired"
		}
	}
	if client == nil && len(s.Clients) >= maxClients {
		return fmt.Sprintf("the quota store already has %d clients, its limit", maxClients)
	}
	return ""
}

// recordRegression records that this state has lost an epoch that it once granted, as when a replica restarts from an
// older copy of its data directory. Serial skips past that epoch, so that no epoch is granted twice.
func (s *State) recordRegression(name string, usage *backendquota.Usage, result *Result) {
	result.addEvent(Event{
		Limit: LimitName(usage.Budget),
		Name:  name,
		Kind:  eventStateRegressed,
		Cause: fmt.Sprintf("epoch %d is held, %d is the latest here", usage.Epoch, s.Serial),
	})
	s.Serial = usage.Epoch + 1
	s.Regressions++
}

// confirm records a client's report about one limit: the epoch that it acts on, and its usage since its last request.
// Grants before that epoch are no longer in force.
func (s *State) confirm(
	limit *Limit, client *Client, usage *backendquota.Usage, elapsed monotime.Micros, first bool,
) *Allocation {
	allocation := client.Allocations[limit.Name]
	if allocation == nil {
		allocation = &Allocation{Drawn: usage.Drawn, Denied: usage.Denied}
		client.Allocations[limit.Name] = allocation
	}
	confirmed := slices.DeleteFunc(slices.Clone(allocation.Grants), func(grant Grant) bool {
		return grant.Epoch < usage.Epoch
	})
	s.setGrants(limit.Name, client, allocation, confirmed)
	if !first { // the duration of the usage before the first request is unknown
		floor := limit.Floors[client.Name]
		demand := estimateDemand(allocation.Demand+floor, demandSample{
			quota:    allocation.maxFloor() + allocation.maxExtra(),
			total:    limit.Total,
			drawn:    usage.Drawn - allocation.Drawn,
			denied:   usage.Denied - allocation.Denied,
			duration: elapsed,
		})
		allocation.Demand = max(0, demand-floor)
	}
	allocation.recordUsage(usage)
	if first { // until the next rebalance
		allocation.Target = max(allocation.Target, min(limit.Step, s.available(limit, allocation)))
	}
	return allocation
}

// available returns the units per second above its floor that may be granted to a client while all other grants stay in
// force.
func (s *State) available(limit *Limit, allocation *Allocation) int64 {
	totals := s.totals[limit.Name]
	floors := totals.reservedFloors
	if failpoint.Enabled(failpoint.FloorsCountedTwice) {
		floors = 0
	}
	return max(0, limit.Total-floors-(totals.extras-allocation.maxExtra()))
}

// grant grants a client a new lease. The sum in force never grows beyond the total: a lower total or a raised floor
// takes effect only as other clients confirm lower grants.
func (s *State) grant(limit *Limit, client *Client, allocation *Allocation, freeze bool) backendquota.Grant {
	totals := s.totals[limit.Name]
	current := allocation.maxExtra()
	extra := min(allocation.Target, max(current, s.available(limit, allocation)))
	if freeze {
		extra = min(extra, current)
	}
	floor := limit.Floors[client.Name]
	if inForce := totals.floorInForce[client.Name]; floor > inForce {
		othersInForce := totals.inForce - inForce + max(0, extra-current)
		floor = max(inForce, min(floor, limit.Total-othersInForce))
		if freeze {
			floor = inForce
		}
	}
	granted := Grant{
		Epoch:       s.Serial,
		Floor:       floor,
		Extra:       extra,
		Lease:       limit.Lease,
		ClockMargin: limit.ClockMargin,
	}
	s.setGrants(limit.Name, client, allocation, mergeOldest(append(slices.Clone(allocation.Grants), granted)))
	return backendquota.Grant{
		Budget: string(limit.Name),
		Epoch:  granted.Epoch,
		Floor:  granted.Floor,
		Extra:  granted.Extra,
		Lease:  granted.Lease,
	}
}

// mergeOldest merges the oldest grant into the next one until maxGrants are left. The merged grant has the maximum of
// each value, so that it covers whatever may be in force.
func mergeOldest(grants []Grant) []Grant {
	for len(grants) > maxGrants {
		oldest, next := &grants[0], &grants[1]
		next.Floor = max(oldest.Floor, next.Floor)
		next.Extra = max(oldest.Extra, next.Extra)
		next.Lease = max(oldest.Lease, next.Lease)
		next.ClockMargin = max(oldest.ClockMargin, next.ClockMargin)
		grants = grants[1:]
	}
	return grants
}

// expire ends the extras of a client's grants up to an epoch. Floors don't expire.
func (s *State) expire(expiry Expiry, result *Result) {
	client := s.Clients[expiry.ClientKey]
	if client == nil || client.Allocations[expiry.Limit] == nil {
		return
	}
	defer s.removeIfUnused(expiry.ClientKey)
	allocation := client.Allocations[expiry.Limit]
	grants := slices.Clone(allocation.Grants)
	expiredExtra := int64(0)
	for i := range grants {
		if grants[i].Epoch <= expiry.Epoch {
			expiredExtra = max(expiredExtra, grants[i].Extra)
			grants[i].Extra = 0
		}
	}
	s.setGrants(expiry.Limit, client, allocation, grants)
	if n := len(grants); n == 0 || grants[n-1].Epoch > expiry.Epoch {
		return // a later grant is in force
	}
	allocation.becomeIdle()
	if expiredExtra > 0 {
		result.addEvent(Event{
			Limit: expiry.Limit,
			Name:  string(client.Name),
			Kind:  eventGrantEnded,
			Cause: fmt.Sprintf("%d units a second: the lease of epoch %d has expired", expiredExtra, expiry.Epoch),
		})
	}
}

// removeIfUnused deletes a client that has no grant in force and is not its instance's latest process.
func (s *State) removeIfUnused(key ClientKey) {
	client := s.Clients[key]
	if client == nil || s.latestClient(client.Name) == key {
		return
	}
	for _, allocation := range client.Allocations {
		if allocation.inForce() > 0 {
			return
		}
	}
	s.remove(key)
}

// revokeAll revokes all grants of a client and deletes it.
func (s *State) revokeAll(key ClientKey, cause string, result *Result) {
	client := s.Clients[key]
	for _, limit := range sortedKeys(client.Allocations) {
		allocation := client.Allocations[limit]
		if allocation.inForce() == 0 {
			continue
		}
		result.addEvent(Event{
			Limit: limit,
			Name:  string(client.Name),
			Kind:  eventGrantEnded,
			Cause: fmt.Sprintf("%d units a second: %s", allocation.maxExtra(), cause),
		})
		s.setGrants(limit, client, allocation, nil)
	}
	s.remove(key)
}

// removeExited deletes clients that their own host reports to have exited.
func (s *State) removeExited(command *ExitCommand, result *Result) {
	for _, key := range command.ClientKeys {
		if client := s.Clients[key]; client != nil && client.Host == command.Host {
			s.revokeAll(key, "its process has exited", result)
		}
	}
}
