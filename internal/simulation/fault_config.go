package simulation

// Fault is one thing that breaks.
type Fault struct {
	Kind        FaultKind
	At          Micros
	Duration    Micros  `json:"For"`
	Share       float64 // of the hosts, nodes or notices concerned
	Factor      float64 // slower, or more, by so much
	Tenant      int     // of a tenant's burst
	BatchShare  float64 `json:"Width"` // part of the hosts that a release takes at once
	ByFleet     bool    `json:"Fleet"` // a release goes by the real fleet's machine
	LostNotices float64 `json:"Lost"`  // part of a release's notices that never arrive; the end comes all the same
}

// FaultKind is what breaks.
type FaultKind int

// The troubles. Those with a span end after it.
const (
	Death            FaultKind = iota // hosts die at once, and come back cold after the span
	Slow                              // hosts' cores are slower by the factor
	Gray                              // the same for what comes from half of the nodes alone: their way there takes longer
	Release                           // all hosts are replaced in waves
	Burst                             // the load grows by the factor
	TenantBurst                       // one tenant's does
	NoisyNeighbour                    // others take 1 - 1/factor of the cores, now and then
	Partition                         // between a share of the nodes and half of the hosts nothing passes
	AgentUnavailable                  // no wave of a release goes on
	DependencySlow                    // the dependency is slower by the factor
	ClockSkew                         // hosts' clocks stand off by the factor, in seconds, all day
)

var faultNames = []string{
	"death", "slow", "gray", "release", "burst", "tenant-burst", "neighbour", "cut", "agent-gone", "below-slow", "skew",
}

func (k FaultKind) String() string { return faultNames[k] }
