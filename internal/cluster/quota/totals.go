package quota

// rateTotals are sums over all clients of one rate, in units per second.
type rateTotals struct {
	floorInForce   map[InstanceName]int64 // the highest floor that a process of an instance may act on
	reservedFloors int64                  // floors in force or to be granted
	inForce        int64                  // floors in force and extras
	extras         int64
	eligible       []InstanceName // backends that may draw, ordered by name
}

// recount recomputes the totals of one rate from all clients.
func (s *State) recount(limitName LimitName) {
	totals := &rateTotals{floorInForce: map[InstanceName]int64{}}
	for _, client := range s.Clients {
		if allocation := client.Allocations[limitName]; allocation != nil {
			totals.floorInForce[client.Name] = max(totals.floorInForce[client.Name], allocation.maxFloor())
			totals.extras += allocation.maxExtra()
		}
	}
	totals.inForce = totals.extras
	for _, floor := range totals.floorInForce {
		totals.inForce += floor
		totals.reservedFloors += floor
	}
	if limit := s.Config.Lookup(limitName); limit != nil {
		totals.eligible = sortedKeys(limit.Floors)
		for name, floor := range limit.Floors {
			totals.reservedFloors += max(0, floor-totals.floorInForce[name])
		}
	}
	s.totals[limitName] = totals
}

// setGrants replaces a client's grants of a limit and updates the totals.
func (s *State) setGrants(limit LimitName, client *Client, allocation *Allocation, grants []Grant) {
	totals := s.totals[limit]
	extraBefore := allocation.maxExtra()
	floorBefore := totals.floorInForce[client.Name]
	allocation.Grants = grants
	extraAfter := allocation.maxExtra()
	floorAfter := s.maxFloor(limit, client.Name)
	if floorAfter == 0 {
		delete(totals.floorInForce, client.Name)
	} else {
		totals.floorInForce[client.Name] = floorAfter
	}
	configured := s.configuredFloor(limit, client.Name)
	totals.reservedFloors += max(configured, floorAfter) - max(configured, floorBefore)
	totals.extras += extraAfter - extraBefore
	totals.inForce += extraAfter - extraBefore + floorAfter - floorBefore
}

// maxFloor returns the highest floor of a limit that a process of an instance may act on.
func (s *State) maxFloor(limit LimitName, name InstanceName) int64 {
	highest := int64(0)
	for _, key := range s.byName[name] {
		if allocation := s.Clients[key].Allocations[limit]; allocation != nil {
			highest = max(highest, allocation.maxFloor())
		}
	}
	return highest
}

// configuredFloor returns the floor of an instance in the present configuration; 0 if it has none.
func (s *State) configuredFloor(limitName LimitName, name InstanceName) int64 {
	if limit := s.Config.Lookup(limitName); limit != nil {
		return limit.Floors[name]
	}
	return 0
}
