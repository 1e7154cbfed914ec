package harness

import (
	"context"
	"encoding/json"
	"time"

	"milletbarrow/internal/process"
)

// Marks of a verdict: names of times in it.
const (
	markRollingUpdate     = "wave"
	markRollingUpdateOver = "wave over"
)

const (
	toolLifetime     = 2 * time.Second // after which the rolling update's tool is killed
	maxRollingUpdate = 4 * time.Minute
)

// rollingUpdate takes all backends through a rolling update whose tool is killed on the way, and waits for its end.
func (harness *Harness) rollingUpdate(ctx context.Context, v *Verdict, start time.Time) {
	if pause(ctx, harness.options.Schedule.RollingUpdate-time.Since(start)); ctx.Err() != nil {
		return
	}
	v.Marks[markRollingUpdate] = int64(process.Now())
	began := time.Now()
	toolCtx, kill := context.WithTimeout(ctx, toolLifetime) // its end is SIGKILL to the tool
	_, _ = harness.Tool(toolCtx, "wave", "--all", "--quiet", "--id", "w", "--within", "10m")
	kill()
	if err := harness.waitFor(
		ctx,
		maxRollingUpdate,
		"end of the wave",
		func() bool { return harness.noOpenCommands(ctx) },
	); err != nil {
		v.fail("%v", err)
	}
	v.RollingUpdateSeconds = time.Since(began).Seconds()
	v.Marks[markRollingUpdateOver] = int64(process.Now())
}

// hostStatus is what fleet status prints of a host, as far as a trial needs it.
type hostStatus struct {
	Host   string
	Status *struct {
		Open []struct{ ID, State, Cause string }
	}
}

// noOpenCommands reports whether every host answers and has no command to carry out.
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
