package agent

import (
	"fmt"
	"strings"

	"milletbarrow/internal/process"
)

// IncarnationID returns the ID that identifies a process in the quota store: its boot ID, PID and start time.
func IncarnationID(id process.Identity) string { return fmt.Sprintf("%s/%s", process.Boot(), id) }

// incarnationAlive reports whether a process of this machine is running. An ID that can't be parsed counts as alive,
// because the leases of a running process must not be revoked.
func incarnationAlive(incarnationID string) bool {
	boot, identity, found := strings.Cut(incarnationID, "/")
	var id process.Identity
	n, err := fmt.Sscanf(identity, "%d@%d", &id.PID, &id.Start)
	if !found || err != nil || n != 2 {
		return true
	}
	return boot == process.Boot() && id.Alive()
}
