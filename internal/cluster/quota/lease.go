package quota

import (
	"fmt"
	"slices"

	"milletbarrow/internal/backend/quota"
	"milletbarrow/internal/failpoint"
	"milletbarrow/monotime"
)

// renew answers the lease requests of one host.
func (s *State) renew(c *RenewCommand, freeze bool, r *Result) {
	for i := range c.Requests {
		r.Answers = append(r.Answers, s.renewClient(c.Host, &c.Requests[i], freeze, r))
	}
	r.ClientKeys = sortedKeys(s.byHost[c.Host])
	for _, limit := range sortedKeys(s.Permits) {
		for _, name := range sortedKeys(s.Permits[limit]) {
			if p := s.Permits[limit][name]; p.Host == c.Host {
				r.Permits = append(r.Permits, p)
			}
		}
	}
}

// renewClient grants one client its target, as far as that is available.
func (s *State) renewClient(host string, q *quota.LeaseRequest, freeze bool, r *Result) quota.LeaseResponse {
	a := quota.LeaseResponse{Name: q.Name, Incarnation: q.Incarnation, Number: q.Number}
	if a.Refusal = s.refusal(q, r); a.Refusal != "" {
		return a
	}
	key := NewClientKey(InstanceName(q.Name), q.Incarnation)
	client := s.Clients[key]
	if client == nil {
		client = &Client{Name: InstanceName(q.Name), Incarnation: q.Incarnation, Host: host, Allocations: map[LimitName]*Allocation{}}
		s.Clients[key] = client
		s.byName[InstanceName(q.Name)] = append(s.byName[InstanceName(q.Name)], key)
	}
	elapsed := q.Clock - client.Clock
	first := client.LastRequest == 0
	s.setHost(key, client, host)
	client.LastRequest, client.Clock, client.LastSerial = q.Number, q.Clock, s.Serial
	for i := range q.Usage {
		l := s.Config.Lookup(LimitName(q.Usage[i].Budget))
		if l == nil || l.Kind != Rate {
			continue
		}
		if _, named := l.Floors[InstanceName(q.Name)]; !named {
			continue
		}
		allocation := s.confirm(l, client, &q.Usage[i], elapsed, first)
		a.Grants = append(a.Grants, s.grant(l, client, allocation, freeze))
	}
	return a
}

// refusal is the reason for which a request is granted nothing, or empty.
func (s *State) refusal(q *quota.LeaseRequest, r *Result) string {
	key := NewClientKey(InstanceName(q.Name), q.Incarnation)
	client := s.Clients[key]
	if client != nil && q.Number <= client.LastRequest {
		return fmt.Sprintf("ask %d is old: %d was heard", q.Number, client.LastRequest)
	}
	for _, k := range s.byName[InstanceName(q.Name)] { // a floor belongs to one process at a time; extras of several are counted until they expire
		if other := s.Clients[k]; k != key && other.hasFloor() {
			return fmt.Sprintf("%s has its floor as %s at %s: that one has to end there, or be written off", q.Name, other.Incarnation, other.Host)
		}
	}
	for _, known := range q.Usage {
		if known.Epoch > s.Serial { // this state granted it and has lost it: its directory is an older copy
			r.Events = append(r.Events, Event{
				Limit: LimitName(known.Budget), Name: q.Name, Kind: "ledger is older than its grants",
				Cause: fmt.Sprintf("epoch %d is held, %d is the latest here", known.Epoch, s.Serial),
			})
			s.Serial = known.Epoch + 1
			s.Regressions++
			return "the ledger was set back and waits until all is over that it may have granted"
		}
	}
	if client == nil && len(s.Clients) >= maxClients {
		return fmt.Sprintf("%d lives are known already", maxClients)
	}
	return ""
}

// confirm takes in what a client reports of one limit: the epoch that it acts on, and what it drew in the time since its
// last request. Grants before that epoch are no longer in force.
func (s *State) confirm(l *Limit, client *Client, known *quota.Usage, elapsed monotime.Micros, first bool) *Allocation {
	a := client.Allocations[l.Name]
	if a == nil {
		a = &Allocation{Drawn: known.Drawn, Denied: known.Denied}
		client.Allocations[l.Name] = a
	}
	confirmed := slices.DeleteFunc(slices.Clone(a.Grants), func(g Grant) bool { return g.Epoch < known.Epoch })
	s.setGrants(l.Name, client, a, confirmed)
	floor := l.Floors[client.Name]
	if !first { // there is a time to which what was drawn belongs
		demand := estimateDemand(a.Demand+floor, a.maxFloor()+a.maxExtra(), l.Total, known.Drawn-a.Drawn, known.Denied-a.Denied, elapsed)
		a.Demand = max(0, demand-floor)
	}
	a.Drawn, a.Denied, a.Idle = known.Drawn, known.Denied, false
	if first { // until the next division
		a.Target = max(a.Target, min(l.Step, s.available(l, a)))
	}
	return a
}

// hasFloor reports whether a floor of any limit is in force at this client.
func (c *Client) hasFloor() bool {
	for _, a := range c.Allocations {
		if a.maxFloor() > 0 {
			return true
		}
	}
	return false
}

// available is what a client may have above its floor while all others keep what they may act on.
func (s *State) available(l *Limit, a *Allocation) int64 {
	t := s.totals[l.Name]
	floors := t.reservedFloors
	if failpoint.Enabled(failpoint.FloorsCountedTwice) {
		floors = 0
	}
	return max(0, l.Total-floors-(t.extras-a.maxExtra()))
}

// grant gives a client a new lease. What is in force never grows past the total: a lower total, or a floor that was
// raised, is reached as others confirm that they have less.
func (s *State) grant(l *Limit, client *Client, a *Allocation, freeze bool) quota.Grant {
	t := s.totals[l.Name]
	current := a.maxExtra()
	extra := min(a.Target, max(current, s.available(l, a)))
	if freeze {
		extra = min(extra, current)
	}
	floor := l.Floors[client.Name]
	if inForce := t.floorInForce[client.Name]; floor > inForce {
		rest := t.inForce - inForce + max(0, extra-current)
		floor = max(inForce, min(floor, l.Total-rest))
		if freeze {
			floor = inForce
		}
	}
	g := Grant{Epoch: s.Serial, Floor: floor, Extra: extra, Lease: l.Lease, ClockMargin: l.ClockMargin}
	s.setGrants(l.Name, client, a, foldOldest(append(slices.Clone(a.Grants), g)))
	return quota.Grant{Budget: string(l.Name), Epoch: g.Epoch, Floor: g.Floor, Extra: g.Extra, Lease: l.Lease}
}

// foldOldest merges the oldest grants into the next one, so that maxGrants are left; the result is never less than what
// may be in force.
func foldOldest(grants []Grant) []Grant {
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

// expire ends the extras of grants up to an epoch. Floors have no lease.
func (s *State) expire(e Expiry, r *Result) {
	client := s.Clients[e.ClientKey]
	if client == nil || client.Allocations[e.Limit] == nil {
		return
	}
	defer s.dropIfEmpty(e.ClientKey)
	a := client.Allocations[e.Limit]
	grants := slices.Clone(a.Grants)
	lost := int64(0)
	for i := range grants {
		if grants[i].Epoch <= e.Epoch {
			lost = max(lost, grants[i].Extra)
			grants[i].Extra = 0
		}
	}
	s.setGrants(e.Limit, client, a, grants)
	if n := len(grants); n == 0 || grants[n-1].Epoch > e.Epoch {
		return
	}
	a.Demand, a.Target, a.Idle = 0, 0, true
	if lost > 0 {
		cause := fmt.Sprintf("%d units a second: the lease of epoch %d has run out", lost, e.Epoch)
		r.Events = append(r.Events, Event{Limit: e.Limit, Name: string(client.Name), Kind: "share over", Cause: cause})
	}
}

// dropIfEmpty deletes a client that has nothing in force and is not its backend's latest process.
func (s *State) dropIfEmpty(key ClientKey) {
	client := s.Clients[key]
	if client == nil || s.latestClient(client.Name) == key {
		return
	}
	for _, a := range client.Allocations {
		if a.maxFloor()+a.maxExtra() > 0 {
			return
		}
	}
	s.remove(key)
}

// revokeAll revokes all grants of a client and deletes it.
func (s *State) revokeAll(key ClientKey, cause string, r *Result) {
	client := s.Clients[key]
	for _, limit := range sortedKeys(client.Allocations) {
		if a := client.Allocations[limit]; a.maxFloor()+a.maxExtra() > 0 {
			text := fmt.Sprintf("%d units a second: %s", a.maxExtra(), cause)
			r.Events = append(r.Events, Event{Limit: limit, Name: string(client.Name), Kind: "share over", Cause: text})
			s.setGrants(limit, client, a, nil)
		}
	}
	s.remove(key)
}

// removeExited deletes processes whose end their own host has reported.
func (s *State) removeExited(c *ExitCommand, r *Result) {
	for _, key := range c.ClientKeys {
		if client := s.Clients[key]; client != nil && client.Host == c.Host {
			s.revokeAll(key, "its process has ended", r)
		}
	}
}
