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

// index of a host by its name, of a backend by its own.
func index(name string) int {
	n, _ := strconv.Atoi(name[1:])
	return n - 1
}

// inject brings one fault about and takes it back.
func (harness *Harness) inject(ctx context.Context, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Cut,
		schedule.CutBoth,
		schedule.Delay,
		schedule.Stall,
		schedule.Slow,
		schedule.Reset,
		schedule.Duplicate:
		harness.disturbLink(ctx, f)
		return nil
	case schedule.Minority:
		harness.cutOffMinority(ctx, f)
		return nil
	case schedule.StopBackend, schedule.KillBackend, schedule.KillSupervisor, schedule.BadStart:
		return harness.disturbBackend(ctx, f)
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
	}
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
	}
	h.killAgent()
	pause(ctx, f.Duration)
	return harness.startAgent(h)
}

// fullDisk lets the host's agent write nothing for a while; one that ends itself is started again, as an operator
// would.
func (harness *Harness) fullDisk(ctx context.Context, h *host, span time.Duration) error {
	if err := limitFiles(h.cmd.Process.Pid, true); err != nil {
		return err
	}
	pause(ctx, span)
	select {
	case <-h.ended:
		return harness.startAgent(h)
	default:
		return limitFiles(h.cmd.Process.Pid, false)
	}
}

// minCrashWait is how long an agent is waited for at the least until it comes to a crash point. It passes one within a
// lease on a machine with time for it.
const minCrashWait = 30 * time.Second

// crashAt has the host's agent die at a named point of its code, and starts it again.
func (harness *Harness) crashAt(h *host, f schedule.Fault) error {
	dir := filepath.Join(harness.site.Dir, "points", h.name)
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, f.Name), nil, 0o600)); err != nil {
		return err
	}
	select {
	case <-h.ended:
	case <-time.After(max(f.Duration, minCrashWait)):
		_ = os.Remove(filepath.Join(dir, f.Name))
		if !h.hasEnded() { // else it came to the point at the last moment
			return &CrashPointError{h.name, f.Name}
		}
	}
	harness.options.Logf("%s died at %q", h.name, f.Name)
	return harness.startAgent(h)
}

// blackout kills all agents at once.
func (harness *Harness) blackout(ctx context.Context, gone time.Duration) error {
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
	pause(ctx, gone)
	errs := make([]error, 0, len(harness.hosts))
	for _, h := range harness.hosts {
		errs = append(errs, harness.startAgent(h))
	}
	return errors.Join(errs...)
}

// old kills an agent, and starts it on a copy of its quota store that was made some seconds before.
func (harness *Harness) restoreStaleStore(ctx context.Context, h *host, after time.Duration) error {
	at, copied := filepath.Join(
		h.dir,
		"ledger",
	), filepath.Join(
		harness.site.Dir,
		"copies",
		fmt.Sprint(h.name, "-", int64(process.Now())),
	)
	// The copy is taken of a process that is stopped, so that it is one that a disk could hold.
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	err := os.CopyFS(copied, os.DirFS(at))
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	if err != nil {
		return err
	}
	pause(ctx, 3*time.Second+after)
	h.killAgent()
	if err := errors.Join(os.RemoveAll(at), os.CopyFS(at, os.DirFS(copied))); err != nil {
		return err
	}
	return harness.startAgent(h)
}
