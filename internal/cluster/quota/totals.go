package quota

// rateTotals are the sums over all clients of one rate, in units a second.
type rateTotals struct {
	floorInForce   map[InstanceName]int64 // by backend: the floor that some process of it may act on
	reservedFloors int64                  // floors in force or to be granted
	inForce        int64                  // floors in force and extras
	extras         int64
	eligible       []InstanceName // backends that may draw, in order
}

// recount computes the totals of one rate.
func (s *State) recount(limit LimitName) {
	t := &rateTotals{floorInForce: map[InstanceName]int64{}}
	for _, client := range s.Clients {
		if a := client.Allocations[limit]; a != nil {
			t.floorInForce[client.Name] = max(t.floorInForce[client.Name], a.maxFloor())
			t.extras += a.maxExtra()
		}
	}
	t.inForce = t.extras
	for _, floor := range t.floorInForce {
		t.inForce += floor
		t.reservedFloors += floor
	}
	if l := s.Config.Lookup(limit); l != nil {
		t.eligible = sortedKeys(l.Floors)
		for name, floor := range l.Floors {
			t.reservedFloors += max(floor, t.floorInForce[name]) - t.floorInForce[name]
		}
	}
	s.totals[limit] = t
}

// setGrants replaces a client's grants of a limit and keeps the totals.
func (s *State) setGrants(limit LimitName, client *Client, a *Allocation, grants []Grant) {
	t := s.totals[limit]
	extraBefore, configured := a.maxExtra(), int64(0)
	if l := s.Config.Lookup(limit); l != nil {
		configured = l.Floors[client.Name]
	}
	floorBefore := t.floorInForce[client.Name]
	a.Grants = grants
	floorAfter := int64(0)
	for _, key := range s.byName[client.Name] {
		if other := s.Clients[key].Allocations[limit]; other != nil {
			floorAfter = max(floorAfter, other.maxFloor())
		}
	}
	if floorAfter == 0 {
		delete(t.floorInForce, client.Name)
	} else {
		t.floorInForce[client.Name] = floorAfter
	}
	t.reservedFloors += max(configured, floorAfter) - max(configured, floorBefore)
	t.extras += a.maxExtra() - extraBefore
	t.inForce += a.maxExtra() - extraBefore + floorAfter - floorBefore
}
