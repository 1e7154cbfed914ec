package fleet

import (
	"maps"
	"slices"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// Spec is a fleet as its file describes it. Its JSON names are those that fleet check --json prints.
type Spec struct {
	Name               string
	Program            []string // command of an instance, without serve and its flags; empty: the agent's own
	Hosts              []HostSpec
	Groups             []GroupSpec
	RollingUpdate      RollingUpdateConfig `json:"Wave"`       // default of rolling updates
	RollingUpdateQuota string              `json:"WaveBudget"` // each instance in progress holds a unit; empty: none
	ColdStart          *coldstart.Config   `json:"Rise"`       // nil: cold starts are rejected
	ColdStartQuota     string              `json:"RiseBudget"` // each starting instance holds a unit until settled
	Quotas             *quota.Config       `json:"Budgets"`    // nil: no quotas are shared
	QuotaHosts         []string            `json:"Ledger"`     // hosts whose agents replicate the quota store

	Warnings []sexpr.Warning `json:"-"` // about former names in the file

	instances map[string]*InstanceSpec // by instance name
}

// HostSpec is a host on which an agent runs.
type HostSpec struct {
	Name         string
	AgentAddress string `json:"Agent"` // unix:PATH or loopback ADDRESS:PORT
	PeerAddress  string `json:"Peer"`  // loopback ADDRESS:PORT for other hosts' agents; empty: the agent has no peers
}

// GroupSpec is a set of instances on one host that serve the same requests.
type GroupSpec struct {
	Name        string
	Host        string
	StartWithin monotime.Micros // from an instance's launch to ready
	// Settle is the time for which an instance has to be ready before it counts as available, while its caches warm up
	// and endpoint lists are updated.
	Settle          monotime.Micros
	MaxLaunches     int             `json:"Launches"` // launches within LaunchWindow that no command requested
	LaunchWindow    monotime.Micros `json:"Within"`
	Labels          []string
	DegradationFile string   `json:"Levels"` // path of the degradation policy; empty: none
	Instances       []string // in the order of the fleet's file, spares last
}

// InstanceSpec is one instance as the fleet's file describes it.
type InstanceSpec struct {
	Name            string
	Host            string
	Group           string
	ConfigFile      string
	DegradationFile string `json:"Levels"` // path of the degradation policy; empty: none
	Spare           bool   // runs only while a rolling update with surge needs it
	Labels          []string
}

// Instance returns the instance of that name, or nil.
func (s *Spec) Instance(name string) *InstanceSpec { return s.instances[name] }

// Group returns the group of that name, or nil.
func (s *Spec) Group(name string) *GroupSpec {
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Host returns the host of that name, or nil.
func (s *Spec) Host(name string) *HostSpec {
	for i := range s.Hosts {
		if s.Hosts[i].Name == name {
			return &s.Hosts[i]
		}
	}
	return nil
}

// InstancesOn lists a host's instances, or those of all hosts if host is empty, in the order of the fleet's file.
func (s *Spec) InstancesOn(host string) (all []*InstanceSpec) {
	for _, group := range s.Groups {
		if host != "" && group.Host != host {
			continue
		}
		for _, name := range group.Instances {
			all = append(all, s.instances[name])
		}
	}
	return all
}

// sortedKeys lists a map's keys in sorted order, so that the same events always lead to the same actions.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
