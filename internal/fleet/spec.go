// Package fleet is a pure state machine of instances, commands, rolling updates and cold starts. It does no I/O and holds
// no clock: events and the time go into Machine.Decide, actions to carry out come out. Commands set the desired state of
// an instance, observations its observed one, and reconciliation issues the actions that bring the second to the first.
// What a restart of the agent must not lose comes out of Machine.Changes, which the agent stores before it carries any
// action out, and goes back in by Machine.Restore.
package fleet

import (
	"maps"
	"slices"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/monotime"
)

// Spec is a fleet as its file describes it. Its tags are the names that fleet check --json prints.
type Spec struct {
	Name               string
	Program            []string // command that starts an instance; serve and its flags are appended. Empty: this program
	Hosts              []HostSpec
	Groups             []GroupSpec
	RollingUpdate      RollingUpdateConfig `json:"Wave"`       // what a rolling update has if its command does not say
	RollingUpdateQuota string              `json:"WaveBudget"` // the quota of which each instance in progress of a rolling update holds a unit; empty: none
	ColdStart          *coldstart.Config   `json:"Rise"`       // nil: no cold start can be asked for
	ColdStartQuota     string              `json:"RiseBudget"` // the quota of which each instance of a cold start holds a unit until it is settled
	Quotas             *quota.Config       `json:"Budgets"`    // nil: no quotas are shared
	QuotaHosts         []string            `json:"Ledger"`     // hosts whose agents keep the quota store
	instances          map[string]*InstanceSpec
}

// HostSpec is a machine with an agent.
type HostSpec struct {
	Name         string
	AgentAddress string `json:"Agent"` // unix:PATH or loopback ADDRESS:PORT
	PeerAddress  string `json:"Peer"`  // loopback ADDRESS:PORT for the agents of other hosts; empty: the agent talks to none
}

// GroupSpec is a set of instances that serve the same, on one host.
type GroupSpec struct {
	Name, Host      string
	StartWithin     monotime.Micros // from its start to ready
	Settle          monotime.Micros // ready for so long before the instance counts as available: caches warm up, endpoint lists follow
	MaxLaunches     int             `json:"Launches"` // at most so many by itself within LaunchWindow, then it stays failed
	LaunchWindow    monotime.Micros `json:"Within"`
	Labels          []string
	DegradationFile string   `json:"Levels"` // the degradation policy's file; empty: none
	Instances       []string // in the file's order, spares last
}

// InstanceSpec is one instance.
type InstanceSpec struct {
	Name, Host, Group, ConfigFile string
	DegradationFile               string `json:"Levels"`
	Spare                         bool   // runs only while a rolling update with surge needs it
	Labels                        []string
}

// Instance is the instance of that name, or nil.
func (s *Spec) Instance(name string) *InstanceSpec { return s.instances[name] }

// Group is the group of that name, or nil.
func (s *Spec) Group(name string) *GroupSpec {
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Host is the host of that name, or nil.
func (s *Spec) Host(name string) *HostSpec {
	for i := range s.Hosts {
		if s.Hosts[i].Name == name {
			return &s.Hosts[i]
		}
	}
	return nil
}

// InstancesOn lists a host's instances in the file's order; those of all hosts if host is empty.
func (s *Spec) InstancesOn(host string) (all []*InstanceSpec) {
	for _, g := range s.Groups {
		for _, name := range g.Instances {
			if host == "" || g.Host == host {
				all = append(all, s.instances[name])
			}
		}
	}
	return all
}

// sortedKeys lists a map's keys in order, so that the same events always give the same actions.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
