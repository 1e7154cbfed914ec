package harness

import (
	"context"
	"encoding/json"
	"time"

	"milletbarrow/internal/process"
)

// Keys of Verdict.Marks.
const (
	rollingUpdateStartMark = "wave"
	rollingUpdateEndMark   = "wave over"
)

const (
	toolKillDelay        = 2 * time.Second // from the start of the rolling update until its command-line tool is killed
	rollingUpdateTimeout = 4 * time.Minute
)

// rollingUpdate starts a rolling update of all backends, kills the command-line tool that started it, and waits until
// the agents have finished the update.
func (harness *Harness) rollingUpdate(ctx context.Context, v *Verdict, start time.Time) {
	if pause(ctx, harness.options.Schedule.RollingUpdate-time.Since(start)); ctx.Err() != nil {
		return
	}
	v.Marks[rollingUpdateStartMark] = int64(process.Now())
	began := time.Now()
	toolCtx, kill := context.WithTimeout(ctx, toolKillDelay) // when it expires, the tool gets SIGKILL
	_, _ = harness.Tool(toolCtx, "wave", "--all", "--quiet", "--id", "w", "--within", "10m")
	kill()
	if err := harness.waitFor(
		ctx,
		rollingUpdateTimeout,
		"end of the rolling update",
		func() bool { return harness.noOpenCommands(ctx) },
	); err != nil {
		v.fail("%v", err)
	}
	v.RollingUpdateSeconds = time.Since(began).Seconds()
	v.Marks[rollingUpdateEndMark] = int64(process.Now())
}

// hostStatus holds the fields of fleet status --json that a trial needs of each host.
type hostStatus struct {
	Host   string
	Status *struct {
		Open []struct{ ID, State, Cause string }
	}
}

// noOpenCommands reports whether every host answers and has no unfinished command.
func (harness *Harness) noOpenCommands(ctx context.Context) bool {
	out, err := harness.Tool(ctx, "status", "--json")
	var hosts []hostStatus
	if err != nil || json.Unmarshal(out, &hosts) != nil {
		return false
	}
	for _, h := range hosts {
		if h.Status == nil || len(h.Status.Open) > 0 {
			return false
		}
	}
	return true
}
