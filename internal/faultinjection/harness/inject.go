package harness

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
)

// index returns the index of a host or backend by its name, which is a letter and a number from 1 on.
func index(name string) int {
	number, _ := strconv.Atoi(name[1:])
	return number - 1
}

// inject injects one fault for its duration, and ends it.
func (harness *Harness) inject(ctx context.Context, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Cut,
		schedule.CutBoth,
		schedule.Delay,
		schedule.Stall,
		schedule.Slow,
		schedule.Reset,
		schedule.Duplicate:
		harness.injectLinkFault(ctx, f)
		return nil
	case schedule.Minority:
		harness.isolateMinority(ctx, f)
		return nil
	case schedule.StopBackend, schedule.KillBackend, schedule.KillSupervisor, schedule.BadStart:
		return harness.injectBackendFault(ctx, f)
	case schedule.ChangeTotal:
		return harness.changeTotal(ctx, f.Name, f.Value)
	case schedule.Blackout:
		return harness.blackout(ctx, f.Duration)
	case schedule.KillLeader:
		s := harness.quotaState(ctx)
		if s == nil {
			return ErrNoLeader
		}
		f.Target = s.Leader
	default: // faults of one agent
	}
	return harness.injectAgentFault(ctx, f)
}

// injectAgentFault injects a fault into one host's agent.
func (harness *Harness) injectAgentFault(ctx context.Context, f schedule.Fault) error {
	h := harness.hosts[index(f.Target)]
	h.mu.Lock()
	defer h.mu.Unlock()
	switch f.Kind {
	case schedule.StopAgent:
		_ = h.cmd.Process.Signal(syscall.SIGSTOP)
		pause(ctx, f.Duration)
		return h.cmd.Process.Signal(syscall.SIGCONT)
	case schedule.FullDisk:
		return harness.fullDisk(ctx, h, f.Duration)
	case schedule.CrashPoint:
		return harness.crashAt(h, f)
	case schedule.StaleStore:
		return harness.restoreStaleStore(ctx, h, f.Duration)
	default: // KillAgent and KillLeader
		h.killAgent()
		pause(ctx, f.Duration)
		return harness.startAgent(h)
	}
}

// fullDisk prevents the host's agent from writing for a duration. If the agent ends, it is restarted, as by an
// operator.
func (harness *Harness) fullDisk(ctx context.Context, h *host, duration time.Duration) error {
	if err := limitFiles(h.cmd.Process.Pid, true); err != nil {
		return err
	}
	pause(ctx, duration)
	select {
	case <-h.ended:
		return harness.startAgent(h)
	default:
		return limitFiles(h.cmd.Process.Pid, false)
	}
}

// minCrashWait is the least time to wait until an agent reaches a failpoint. On an idle machine, it reaches one within
// a lease.
const minCrashWait time.Duration = 30 * time.Second

// Permissions of the harness's files.
const (
	directoryMode os.FileMode = 0o700
	fileMode      os.FileMode = 0o600
)

// crashAt makes the host's agent end at a failpoint, and restarts it.
func (harness *Harness) crashAt(h *host, f schedule.Fault) error {
	dir := filepath.Join(harness.site.Dir, "points", h.name)
	marker := filepath.Join(dir, f.Name)
	if err := errors.Join(os.MkdirAll(dir, directoryMode), os.WriteFile(marker, nil, fileMode)); err != nil {
		return err
	}
	select {
	case <-h.ended:
	case <-time.After(max(f.Duration, minCrashWait)):
		_ = os.Remove(marker)
		if !h.hasEnded() { // it may have reached the failpoint meanwhile
			return &CrashPointError{Host: h.name, Point: f.Name}
		}
	}
	harness.options.Logf("agent of %s ended at failpoint %q", h.name, f.Name)
	return harness.startAgent(h)
}

// blackout kills all agents at once, and restarts them after a duration.
func (harness *Harness) blackout(ctx context.Context, duration time.Duration) error {
	for _, h := range harness.hosts {
		h.mu.Lock()
		defer h.mu.Unlock()
	}
	for _, h := range harness.hosts {
		_ = h.cmd.Process.Kill()
	}
	for _, h := range harness.hosts {
		<-h.ended
	}
	pause(ctx, duration)
	errs := make([]error, 0, len(harness.hosts))
	for _, h := range harness.hosts {
		errs = append(errs, harness.startAgent(h))
	}
	return errors.Join(errs...)
}

// minStoreAge is the least age of the copy that restoreStaleStore restores.
const minStoreAge time.Duration = 3 * time.Second

// restoreStaleStore copies an agent's quota store, kills the agent later, and restarts it with the copy.
func (harness *Harness) restoreStaleStore(ctx context.Context, h *host, delay time.Duration) error {
	store := filepath.Join(h.dir, "ledger")
	copied := filepath.Join(harness.site.Dir, "copies", fmt.Sprint(h.name, "-", int64(process.Now())))
	// The agent is stopped meanwhile, so that the copy is a state that its disk could hold after a crash.
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	err := os.CopyFS(copied, os.DirFS(store))
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	if err != nil {
		return err
	}
	pause(ctx, minStoreAge+delay)
	h.killAgent()
	if err := errors.Join(os.RemoveAll(store), os.CopyFS(store, os.DirFS(copied))); err != nil {
		return err
	}
	return harness.startAgent(h)
}
