package fleetclient

import (
	"testing"

	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/compattest"
	"milletbarrow/internal/fleet"
)

// TestEarlierFormats: JSON that an earlier release wrote, with each field set, is read and written the same.
func TestEarlierFormats(t *testing.T) {
	compattest.RoundTrip[Report](t, "Report.json")
	compattest.RoundTrip[HostStatus](t, "HostStatus.json")
	compattest.RoundTrip[Entry](t, "Entry.json")
	compattest.RoundTrip[HostMembers](t, "HostMembers.json")
}

// TestEarlierPrinted: what the fleet commands of an earlier release printed with --json, taken from three hosts with
// budgets, is what the types that they print write now.
func TestEarlierPrinted(t *testing.T) {
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
