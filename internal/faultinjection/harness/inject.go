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

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/schedule"
	"milletbarrow/internal/process"
)

// index of a host by its name, of a backend by its own.
func index(name string) int {
	n, _ := strconv.Atoi(name[1:])
	return n - 1
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// inject brings one fault about and takes it back.
func (g *Harness) inject(ctx context.Context, f schedule.Fault) error {
	switch f.Kind {
	case schedule.Cut, schedule.CutBoth, schedule.Delay, schedule.Stall, schedule.Slow, schedule.Reset, schedule.Duplicate:
		g.between(ctx, f)
		return nil
	case schedule.Minority:
		g.minority(ctx, f)
		return nil
	case schedule.StopBackend, schedule.KillBackend, schedule.KillSupervisor, schedule.BadStart:
		return g.backend(ctx, f)
	case schedule.ChangeTotal:
		return g.whole(ctx, f.Name, f.Value)
	case schedule.Blackout:
		return g.blackout(ctx, f.Duration)
	case schedule.KillLeader:
		s := g.budgets(ctx)
		if s == nil {
			return errors.New("nobody leads")
		}
		f.Target = s.Leader
	}
	h := g.hosts[index(f.Target)]
	h.mu.Lock()
	defer h.mu.Unlock()
	switch f.Kind {
	case schedule.StopAgent:
		_ = h.cmd.Process.Signal(syscall.SIGSTOP)
		wait(ctx, f.Duration)
		return h.cmd.Process.Signal(syscall.SIGCONT)
	case schedule.FullDisk:
		return g.fullDisk(ctx, h, f.Duration)
	case schedule.CrashPoint:
		return g.dieAt(h, f)
	case schedule.StaleStore:
		return g.old(ctx, h, f.Duration)
	}
	h.killAgent()
	wait(ctx, f.Duration)
	return g.startAgent(h)
}

// fullDisk lets the host's agent write nothing for a while; one that ends itself is started again, as an operator would.
func (g *Harness) fullDisk(ctx context.Context, h *host, span time.Duration) error {
	if err := full(h.cmd.Process.Pid, true); err != nil {
		return err
	}
	wait(ctx, span)
	select {
	case <-h.ended:
		return g.startAgent(h)
	default:
		return full(h.cmd.Process.Pid, false)
	}
}

// dieAt has the host's agent die at a named point of its code, and starts it again.
func (g *Harness) dieAt(h *host, f schedule.Fault) error {
	dir := filepath.Join(g.site.Dir, "points", h.name)
	if err := errors.Join(os.MkdirAll(dir, 0o700), os.WriteFile(filepath.Join(dir, f.Name), nil, 0o600)); err != nil {
		return err
	}
	select {
	case <-h.ended:
		g.options.Say("%s died at %q", h.name, f.Name)
	case <-time.After(max(f.Duration, 5*time.Second)):
		_ = os.Remove(filepath.Join(dir, f.Name))
		return fmt.Errorf("%s did not come to %q", h.name, f.Name)
	}
	return g.startAgent(h)
}

// between brings a fault between two hosts.
func (g *Harness) between(ctx context.Context, f schedule.Fault) {
	there, back := g.mesh.Way(f.Target, f.Peer), g.mesh.Way(f.Peer, f.Target)
	switch f.Kind {
	case schedule.Cut:
		there.Hold(true)
		wait(ctx, f.Duration)
		g.mesh.Reset(f.Target, f.Peer) // what was lost meanwhile is not brought by a connection that was given up
		there.Hold(false)
	case schedule.CutBoth:
		there.Hold(true)
		back.Hold(true)
		wait(ctx, f.Duration)
		g.mesh.Reset(f.Target, f.Peer)
		there.Hold(false)
		back.Hold(false)
	case schedule.Stall:
		there.Hold(true)
		wait(ctx, f.Duration)
		there.Hold(false)
	case schedule.Delay:
		there.Delay(f.Offset)
		wait(ctx, f.Duration)
		there.Delay(0)
	case schedule.Slow:
		there.Slow(f.Value)
		wait(ctx, f.Duration)
		there.Slow(0)
	case schedule.Reset:
		g.mesh.Reset(f.Target, f.Peer)
	case schedule.Duplicate:
		g.mesh.Link(f.Target, f.Peer).Twice(f.Offset)
		wait(ctx, f.Duration)
		g.mesh.Link(f.Target, f.Peer).Twice(0)
		wait(ctx, f.Offset)
	}
}

// minority cuts a host and the next off from all others.
func (g *Harness) minority(ctx context.Context, f schedule.Fault) {
	a := index(f.Target)
	few := map[int]bool{a: true, (a + 1) % len(g.hosts): len(g.hosts) > 3}
	each := func(do func(a, b string)) {
		for i := range g.hosts {
			for j := range g.hosts {
				if i != j && few[i] != few[j] {
					do(g.hosts[i].name, g.hosts[j].name)
				}
			}
		}
	}
	each(func(a, b string) { g.mesh.Way(a, b).Hold(true) })
	wait(ctx, f.Duration)
	each(g.mesh.Reset)
	each(func(a, b string) { g.mesh.Way(a, b).Hold(false) })
}

// blackout kills all agents at once.
func (g *Harness) blackout(ctx context.Context, gone time.Duration) error {
	for _, h := range g.hosts {
		h.mu.Lock()
		defer h.mu.Unlock()
	}
	for _, h := range g.hosts {
		_ = h.cmd.Process.Kill()
	}
	for _, h := range g.hosts {
		<-h.ended
	}
	wait(ctx, gone)
	errs := make([]error, 0, len(g.hosts))
	for _, h := range g.hosts {
		errs = append(errs, g.startAgent(h))
	}
	return errors.Join(errs...)
}

// old kills an agent, and starts it on a copy of its quota store that was made some seconds before.
func (g *Harness) old(ctx context.Context, h *host, after time.Duration) error {
	at, copied := filepath.Join(h.dir, "ledger"), filepath.Join(g.site.Dir, "copies", fmt.Sprint(h.name, "-", process.Now()))
	// The copy is taken of a process that is stopped, so that it is one that a disk could hold.
	_ = h.cmd.Process.Signal(syscall.SIGSTOP)
	err := os.CopyFS(copied, os.DirFS(at))
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	if err != nil {
		return err
	}
	wait(ctx, 3*time.Second+after)
	h.killAgent()
	if err := errors.Join(os.RemoveAll(at), os.CopyFS(at, os.DirFS(copied))); err != nil {
		return err
	}
	return g.startAgent(h)
}

// backend brings a fault to one backend's processes, by what its supervisor wrote down.
func (g *Harness) backend(ctx context.Context, f schedule.Fault) error {
	n := index(f.Target)
	h := g.hosts[n%len(g.hosts)]
	l := g.incarnation(h, f.Target)
	config := filepath.Join(g.site.Dir, f.Target+".json")
	switch f.Kind {
	case schedule.StopBackend:
		if err := l.Instance.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		wait(ctx, f.Duration)
		if err := l.Instance.Signal(syscall.SIGCONT); !errors.Is(err, process.ErrGone) {
			return err
		}
	case schedule.KillBackend:
		return l.Instance.Signal(syscall.SIGKILL)
	case schedule.KillSupervisor:
		return l.Keeper.Signal(syscall.SIGKILL)
	case schedule.BadStart:
		if err := os.Rename(config, config+".away"); err != nil {
			return err
		}
		err := l.Instance.Signal(syscall.SIGKILL)
		wait(ctx, f.Duration)
		if errBack := os.Rename(config+".away", config); errBack != nil {
			return errBack
		}
		// Given up by its agent: an operator asks for it again, as often as it takes.
		errAgain := g.until(ctx, time.Minute, "start of "+f.Target, func() bool {
			_, err := g.Tool(ctx, "start", f.Target, "--quiet", "--wait=false", "--within", "30s")
			return err == nil
		})
		return errors.Join(err, errAgain)
	}
	return nil
}

// whole gives a budget another whole, in every host's file.
func (g *Harness) whole(ctx context.Context, name string, units int) error {
	g.mu.Lock()
	_, known := g.totals[name]
	floors := 0
	for _, b := range g.options.Budgets {
		if b.Name == name {
			floors = b.Floor * len(g.site.Names)
		}
	}
	if units = max(units, floors+1); !known {
		g.mu.Unlock()
		return fmt.Errorf("no budget %q", name)
	}
	g.totals[name] = units
	g.version++
	version := g.version
	last := g.limits[name][len(g.limits[name])-1].Units
	g.limits[name] = append(g.limits[name], checker.Total{From: process.Now(), Units: max(last, int64(units))})
	err := g.writeFiles()
	g.mu.Unlock()
	if err != nil {
		return err
	}
	g.reload()
	g.lowers.Go(func() { // once the quota store goes by it, what was told before ends with its leases
		if g.until(ctx, 2*time.Minute, "other whole", func() bool {
			g.reload() // one that was started or stopped meanwhile may have the file of before
			s := g.budgets(ctx)
			return s != nil && s.Version >= version
		}) != nil {
			return
		}
		at := process.Now() + (g.options.Lease + g.options.Margin + time.Second).Microseconds()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.version == version { // else another whole has come since
			g.limits[name] = append(g.limits[name], checker.Total{From: at, Units: int64(units)})
		}
	})
	return nil
}

// reload has the agents that run read their files.
func (g *Harness) reload() {
	for _, h := range g.hosts {
		if h.mu.TryLock() { // else a fault has it in hand, after which it reads the file anyway
			_ = h.cmd.Process.Signal(syscall.SIGHUP)
			h.mu.Unlock()
		}
	}
}
