package fleetclient

import (
	"testing"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/compattest"
	"milletbarrow/internal/fleet"
)

// TestEarlierFormats checks that JSON of an earlier release, with every field set, is decoded and encoded unchanged.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
	compattest.RoundTrip[HostStatus](t, "HostStatus.json")
	compattest.RoundTrip[Entry](t, "Entry.json")
	compattest.RoundTrip[HostMembers](t, "HostMembers.json")
}

// TestEarlierPrintedJSON checks that the --json output of the fleet commands of an earlier release, recorded on three
// hosts with quotas, is decoded and encoded unchanged by the types that the commands print.
func TestEarlierPrintedJSON(t *testing.T) {
	for _, name := range []string{"status", "status-wave", "status-paused"} {
		compattest.RoundTrip[[]HostStatus](t, "printed/"+name+".json")
	}
	for _, name := range []string{"restart", "drain", "start", "watch", "wave"} {
		compattest.RoundTrip[Report](t, "printed/"+name+".json")
	}
	for _, name := range []string{"pause", "resume"} {
		compattest.RoundTrip[[]struct {
			Host    string         `json:"host"`
			Command *fleet.Command `json:"command"`
		}](t, "printed/"+name+".json")
	}
	for _, name := range []string{"budgets", "budgets-wave"} {
		compattest.RoundTrip[agentapi.Budgets](t, "printed/"+name+".json")
	}
	compattest.RoundTrip[[]HostMembers](t, "printed/members.json")
	compattest.RoundTrip[struct {
		Entries []Entry           `json:"entries"`
		Missing map[string]string `json:"missing"`
	}](t, "printed/history.json")
	compattest.RoundTrip[struct {
		*fleet.Spec
		Instances []*fleet.InstanceSpec
	}](t, "printed/check.json")
}
