package simulation

import "milletbarrow/monotime"

// Fault is one disturbance of the day.
type Fault struct {
	Kind        FaultKind
	At          monotime.Micros
	Duration    monotime.Micros `json:"For"`
	Share       float64         // of the hosts or nodes that are affected
	Factor      float64         // factor of the slowdown or of the load
	Tenant      int             // index of the tenant of a TenantBurst
	BatchShare  float64         `json:"Width"` // share of the hosts that a release replaces at once
	ByFleet     bool            `json:"Fleet"` // a release is decided by fleet.Machine
	LostNotices float64         `json:"Lost"`  // share of a release's shutdown notices that never arrive
}

// FaultKind is the kind of a fault. Its String is the word of experiment files.
type FaultKind int

// The kinds of faults.
const (
	Death            FaultKind = iota // hosts crash at once, and restart cold after the fault's duration
	Slow                              // the cores of hosts are slower by the factor
	Gray                              // messages of half of the nodes to some hosts are delayed
	Release                           // all hosts are replaced by a rolling update
	Burst                             // the load grows by the factor
	TenantBurst                       // the load of one tenant grows by the factor
	NoisyNeighbour                    // other processes take 1 - 1/factor of the cores
	Partition                         // no message passes between a share of the nodes and half of the hosts
	AgentUnavailable                  // no rolling update goes on
	DependencySlow                    // the dependency is slower by the factor
	ClockSkew                         // the clocks of hosts are wrong by the factor, in seconds, all day
)

var faultNames = []string{
	"death", "slow", "gray", "release", "burst", "tenant-burst", "neighbour", "cut", "agent-gone", "below-slow", "skew",
}

func (k FaultKind) String() string { return faultNames[k] }
