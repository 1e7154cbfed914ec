package quota

import (
	"milletbarrow/monotime"
)

// Usage is how one limit stands.
type Usage struct {
	Limit          LimitName     `json:"budget"`
	Kind           Kind          `json:"kind"`
	Total          int64         `json:"whole"`
	ReservedFloors int64         `json:"floors"`   // in force or to be granted
	InForce        int64         `json:"in_force"` // that may be acted on now
	Holders        []HolderUsage `json:"holders,omitempty"`
}

// HolderUsage is what one holder has of a limit.
type HolderUsage struct {
	Name        InstanceName    `json:"name"`
	Incarnation string          `json:"life,omitempty"`
	Host        string          `json:"host"`
	Epoch       uint64          `json:"epoch"`
	Floor       int64           `json:"floor"`
	Extra       int64           `json:"extra"`
	Target      int64           `json:"target"`
	Demand      int64           `json:"want"`
	Drawn       int64           `json:"drawn"`
	Denied      int64           `json:"denied"`
	AcquireID   string          `json:"turn,omitempty"`
	Remaining   monotime.Micros `json:"left_us,omitempty"` // until the extra is surely over, if it is not renewed
}

// Status is how all limits stand, as the leader has it.
type Status struct {
	Leader       string            `json:"leader"`
	Term         uint64            `json:"term"`
	Version      uint64            `json:"version"` // of the configuration in force
	Members      []string          `json:"members"` // that replicate the state
	GrowthFrozen bool              `json:"hold,omitempty"`
	Limits       []Usage           `json:"budgets"`
	ColdStarts   []ColdStartStatus `json:"rises,omitempty"`
}

// Usages lists how all limits stand, in the order of the configuration.
func (s *State) Usages() (all []Usage) {
	for i := range s.Config.Limits {
		l := &s.Config.Limits[i]
		u := Usage{Limit: l.Name, Kind: l.Kind, Total: l.Total}
		if l.Kind == Concurrency {
			u.InForce = int64(len(s.Permits[l.Name]))
			u.Holders = s.permitHolders(l.Name)
		} else if t := s.totals[l.Name]; t != nil {
			u.ReservedFloors, u.InForce = t.reservedFloors, t.inForce
			u.Holders = s.rateHolders(l.Name)
		}
		all = append(all, u)
	}
	return all
}

func (s *State) permitHolders(limit LimitName) (all []HolderUsage) {
	for _, name := range sortedKeys(s.Permits[limit]) {
		p := s.Permits[limit][name]
		all = append(all, HolderUsage{Name: name, Host: p.Host, Epoch: p.Epoch, AcquireID: p.AcquireID})
	}
	return all
}

func (s *State) rateHolders(limit LimitName) (all []HolderUsage) {
	for _, key := range sortedKeys(s.Clients) {
		client := s.Clients[key]
		a := client.Allocations[limit]
		if a == nil {
			continue
		}
		h := HolderUsage{
			Name: client.Name, Incarnation: client.Incarnation, Host: client.Host, Floor: a.maxFloor(), Extra: a.maxExtra(),
			Target: a.Target, Demand: a.Demand, Drawn: a.Drawn, Denied: a.Denied,
		}
		if n := len(a.Grants); n > 0 {
			h.Epoch = a.Grants[n-1].Epoch
		}
		all = append(all, h)
	}
	return all
}
