package simulation

import "milletbarrow/monotime"

// Fault is one fault of the simulated day.
type Fault struct {
	Kind        FaultKind
	At          monotime.Micros
	Duration    monotime.Micros `json:"For"`
	Share       float64         // of the hosts or nodes, that is affected
	Factor      float64         // factor of the slowdown or of the load
	Tenant      int             // index of the tenant whose load grows, for TenantBurst
	BatchShare  float64         `json:"Width"` // share of the hosts that a release replaces at once
	ByFleet     bool            `json:"Fleet"` // fleet.Machine decides the release
	LostNotices float64         `json:"Lost"`  // share of a release's shutdown notices that are lost
}

// FaultKind is the kind of a fault. String returns its word in experiment files.
type FaultKind int

// The kinds of faults.
const (
	Death            FaultKind = iota // hosts crash simultaneously, and restart cold after the duration of the fault
	Slow                              // the cores of hosts are slower by the factor
	Gray                              // messages between half of the nodes and some hosts are delayed
	Release                           // all hosts are replaced by a rolling update
	Burst                             // the load grows by the factor
	TenantBurst                       // the load of one tenant grows by the factor
	NoisyNeighbour                    // other processes use 1 - 1/factor of the cores
	Partition                         // half of the hosts lose a share of the nodes, and the quota store
	AgentUnavailable                  // no rolling update makes progress
	DependencySlow                    // the dependency is slower by the factor
	ClockSkew                         // the clocks of hosts are off by the factor, in seconds, all day
)

var faultNames = []string{
	"death", "slow", "gray", "release", "burst", "tenant-burst", "neighbour", "cut", "agent-gone", "below-slow", "skew",
}

// String returns the word of the kind in experiment files.
func (k FaultKind) String() string { return faultNames[k] }
