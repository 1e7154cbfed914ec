// Package fleet is a pure state machine of instances, commands, rolling updates and cold starts. It does no I/O and holds
// no clock: events and the time go into Machine.Decide, actions to carry out come out. Commands set the desired state of
// an instance, observations its observed one, and reconciliation issues the actions that bring the second to the first.
// What a restart of the agent must not lose comes out of Machine.Changes, which the agent stores before it carries any
// action out, and goes back in by Machine.Restore.
package fleet

import (
	"maps"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

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

// Limits of names and addresses.
const (
	maxNameLength = 40  // bytes
	maxSocketPath = 100 // bytes
	unixPrefix    = "unix:"
)

// CheckName returns a *NameError unless a name of a host, group, instance or command can be used: letters, digits, dots,
// dashes and underscores, up to maxNameLength of them, not beginning with a dot or a dash.
func CheckName(s string) error {
	bad := func(r rune) bool {
		good := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.'
		return !good
	}
	if s == "" || len(s) > maxNameLength || s[0] == '.' || s[0] == '-' || strings.ContainsFunc(s, bad) {
		return &NameError{s}
	}
	return nil
}

// CheckAddress returns an *AddressError unless an agent's address can be used: unix:PATH, or a loopback address with a port.
func CheckAddress(a string) error {
	if path, ok := strings.CutPrefix(a, unixPrefix); ok {
		if !filepath.IsAbs(path) || len(path) > maxSocketPath {
			return &AddressError{a}
		}
		return nil
	}
	host, port, ok := strings.Cut(a, ":")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 || !strings.HasPrefix(host, "127.") {
		return &AddressError{a}
	}
	return nil
}

// sortedKeys lists a map's keys in order, so that the same events always give the same actions.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
