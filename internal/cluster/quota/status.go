package quota

import (
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/monotime"
)

// Usage is the usage of one limit.
type Usage struct {
	Limit          LimitName     `json:"budget"`
	Kind           Kind          `json:"kind"`
	Total          int64         `json:"whole"`    // units per second of a Rate, or units
	ReservedFloors int64         `json:"floors"`   // units per second in force or to be granted; 0 for Concurrency
	InForce        int64         `json:"in_force"` // units per second that may be drawn, or permits held
	Holders        []HolderUsage `json:"holders,omitempty"`
}

// HolderUsage is one holder's usage of a limit. For the holder of a permit, only Name, Host, Epoch and AcquireID are
// set.
type HolderUsage struct {
	Name        InstanceName    `json:"name"`
	Incarnation string          `json:"life,omitempty"`
	Host        string          `json:"host"`
	Epoch       uint64          `json:"epoch"`             // of the latest grant; 0: none
	Floor       int64           `json:"floor"`             // units per second
	Extra       int64           `json:"extra"`             // units per second above the floor
	Target      int64           `json:"target"`            // units per second above the floor
	Demand      int64           `json:"want"`              // units per second above the floor
	Drawn       int64           `json:"drawn"`             // units since the client's start
	Denied      int64           `json:"denied"`            // units since the client's start
	AcquireID   string          `json:"turn,omitempty"`    // of a permit
	Remaining   monotime.Micros `json:"left_us,omitempty"` // until the extra expires unless renewed; 0: no extra
}

// Status is the leader's view of all limits.
type Status struct {
	Leader       string            `json:"leader"`
	Term         uint64            `json:"term"`
	Version      uint64            `json:"version"` // of the configuration in force
	Members      []string          `json:"members"` // hosts that replicate the state
	GrowthFrozen bool              `json:"hold,omitempty"`
	Limits       []Usage           `json:"budgets"`
	ColdStarts   []ColdStartStatus `json:"rises,omitempty"`
}

// ColdStartStatus is the status of one cold start.
type ColdStartStatus struct {
	Limit         LimitName               `json:"budget"`
	ID            string                  `json:"id"`
	Concurrency   int64                   `json:"pace"` // the present limit of members starting at once
	MaxConcurrent int64                   `json:"most"`
	Reason        string                  `json:"cause"`            // of the present limit
	HaltReason    string                  `json:"halted,omitempty"` // empty: not halted
	Done          bool                    `json:"over"`
	Starts        uint64                  `json:"starts"` // total number granted
	Groups        []coldstart.GroupStatus `json:"groups"`
}

// Usages returns the usage of all limits, in the order of the configuration.
func (s *State) Usages() (usages []Usage) {
	for i := range s.Config.Limits {
		limit := &s.Config.Limits[i]
		usage := Usage{Limit: limit.Name, Kind: limit.Kind, Total: limit.Total}
		if limit.Kind == Concurrency {
			usage.InForce = int64(len(s.Permits[limit.Name]))
			usage.Holders = s.permitHolders(limit.Name)
		} else if totals := s.totals[limit.Name]; totals != nil {
			usage.ReservedFloors = totals.reservedFloors
			usage.InForce = totals.inForce
			usage.Holders = s.rateHolders(limit.Name)
		}
		usages = append(usages, usage)
	}
	return usages
}

func (s *State) permitHolders(limit LimitName) (holders []HolderUsage) {
	for _, name := range sortedKeys(s.Permits[limit]) {
		permit := s.Permits[limit][name]
		holders = append(holders, HolderUsage{
			Name:      name,
			Host:      permit.Host,
			Epoch:     permit.Epoch,
			AcquireID: permit.AcquireID,
		})
	}
	return holders
}

func (s *State) rateHolders(limit LimitName) (holders []HolderUsage) {
	for _, key := range sortedKeys(s.Clients) {
		client := s.Clients[key]
		allocation := client.Allocations[limit]
		if allocation == nil {
			continue
		}
		holder := HolderUsage{
			Name:        client.Name,
			Incarnation: client.Incarnation,
			Host:        client.Host,
			Floor:       allocation.maxFloor(),
			Extra:       allocation.maxExtra(),
			Target:      allocation.Target,
			Demand:      allocation.Demand,
			Drawn:       allocation.Drawn,
			Denied:      allocation.Denied,
		}
		if n := len(allocation.Grants); n > 0 {
			holder.Epoch = allocation.Grants[n-1].Epoch
		}
		holders = append(holders, holder)
	}
	return holders
}

// ColdStartStatuses returns the status of all cold starts, ordered by limit.
func (s *State) ColdStartStatuses() (statuses []ColdStartStatus) {
	for _, limit := range sortedKeys(s.ColdStarts) {
		coldStart := s.ColdStarts[limit]
		statuses = append(statuses, ColdStartStatus{
			Limit:         limit,
			ID:            coldStart.ID,
			Concurrency:   coldStart.Limit(),
			MaxConcurrent: coldStart.Config.MaxConcurrent,
			Reason:        coldStart.Reason,
			HaltReason:    coldStart.HaltReason,
			Done:          coldStart.Done(),
			Starts:        coldStart.Starts,
			Groups:        coldStart.Groups(),
		})
	}
	return statuses
}
