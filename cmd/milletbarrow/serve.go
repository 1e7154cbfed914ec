package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/backend/dispatch"
	"milletbarrow/internal/backend/executor"
	"milletbarrow/internal/backend/registration"
	backendserver "milletbarrow/internal/backend/server"
	"milletbarrow/internal/config"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
	"milletbarrow/internal/ratelimitlog"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run a backend until it is told to leave",
		Description: "Examples:\n   GW_CONFIG=config.json milletbarrow\n" +
			"   milletbarrow serve --config config.json --log json --admin /run/n3.sock",
		Flags: []cli.Flag{configFlag(), logFlag(), &cli.StringFlag{
			Name: "admin", Usage: "serve the state on a Unix `SOCKET`; off by default",
		}, &cli.StringFlag{
			Name: "degradation", Usage: "reduce service by the policy in this `FILE`; off by default",
		}, &cli.StringSliceFlag{
			Name: "quota", Usage: "draw a tenant's work from a fleet-wide quota, as `BUDGET=TENANT`; off by default",
		}, &cli.StringFlag{
			Name: "stamps", Usage: "write down in this `DIRECTORY` what is held and drawn of budgets, for an audit",
			Sources: cli.EnvVars("MILLETBARROW_STAMPS"), Hidden: true,
		}, &cli.IntFlag{
			Name: "trial-clock", Usage: "let the clock of leases run faster by so many millionths, as a trial", Hidden: true,
			Sources: cli.EnvVars("MILLETBARROW_TRIAL_CLOCK"),
		}, &cli.BoolFlag{
			Name: "reports-fixed", Usage: "report to the register without chance or growing pauses, as a baseline", Hidden: true,
			Sources: cli.EnvVars("MILLETBARROW_REPORTS_FIXED"),
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() { // what is no command comes here too
				return fmt.Errorf("%q is no command; help lists them", c.Args().First())
			}
			end, err := startLog(c)
			if err != nil {
				return err
			}
			defer end()
			// From here on, so that a reload asked for at any time does not end the process.
			hangup, notice := make(chan os.Signal, 1), make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			signal.Notify(notice, syscall.SIGTERM, os.Interrupt)
			b, err := configuration(c)
			if err != nil {
				return err
			}
			var ladder *degradation.Policy
			if file := c.String("degradation"); file != "" {
				if ladder, err = readLadder(file); err != nil {
					return err
				}
			}
			sharing, err := sharingOf(c, b)
			if err != nil {
				return err
			}
			return serve(b, ladder, sharing, c.String("config"), c.String("admin"), c.String("degradation"), c.Bool("reports-fixed"), hangup, notice)
		},
	}
}

// serve wires the parts together and waits for the notice to leave.
func serve(
	b *config.Backend, ladder *degradation.Policy, sharing *dispatch.QuotaConfig, file, socket, levelsFile string, reportsFixed bool,
	hangup, notice <-chan os.Signal,
) error {
	lim := bounds(b)
	runtime.GOMAXPROCS(lim.Processors)
	debug.SetMemoryLimit(lim.Heap)
	debug.SetGCPercent(lim.HeapGrowth)

	g := dispatch.New(b.Settings, uint64(b.Seed), lim)
	if ladder != nil {
		if err := g.SetDegradationPolicy(ladder); err != nil {
			return unusable(err)
		}
	}
	if sharing != nil {
		if err := g.SetQuotas(*sharing); err != nil {
			return unusable(err)
		}
	}
	tally := ratelimitlog.New(lim.Quiet)
	g.SetShadow(b.Shadow)
	link := executor.New(b.Executor, lim, tally, g.Open)
	server := backendserver.New(b.Settings, lim, tally, g, link)
	reports := registration.New(b.Registry, b.Name, lim, reportsFixed)
	for tried, late := false, time.Now().Add(lim.Bind); ; {
		select {
		case <-notice: // nothing has been let in
			slog.Info("stop", "before", "listening")
			return nil
		default:
		}
		_, err := server.Listen(b.Listen)
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(late) {
			return fmt.Errorf("listen: %w", err)
		}
		if !tried {
			slog.Warn("listen_taken", "address", b.Listen)
		}
		tried = true
		time.Sleep(lim.Rebind)
	}
	slog.Info("start", "name", b.Name, "listen", b.Listen, "processors", lim.Processors,
		"connections", lim.Connections, "invocations", lim.Invocations)
	if len(b.Settings.IgnoredFields) > 0 {
		slog.Warn("unused", "settings", strings.Join(b.Settings.IgnoredFields, " "))
	}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &departure{
		stop: time.Duration(b.StopMs * float64(time.Millisecond)), told: make(chan struct{}, 1),
		grace: time.Duration(b.Settings.Admission.DrainGrace) * time.Microsecond,
	}
	broken := make(chan error, 1)
	if socket != "" { // before the rest, so that the keeper sees the instance come up
		began := process.Now()
		state := func() admin.State { return stateOf(b, began, server, g, link, d) }
		go func() {
			err := admin.Serve(ctx, socket, limits.ForControl(), admin.Instance{
				State: state,
				Leave: func(ago time.Duration) { d.tell(g, ago, "inspection") },
				Pin: func(p admin.Pin) error {
					if p.Level == "" {
						g.ClearOverride()
						return nil
					}
					return g.OverrideLevel(p.Level, time.Duration(p.For)*time.Microsecond, p.By, p.Above)
				},
				Ask: g.QuotaRequest, Answer: g.ApplyQuotaResponse,
			})
			if err != nil {
				broken <- fmt.Errorf("inspect: %w", err)
			}
		}()
	}
	go link.Run(ctx)
	go reports.Run(ctx)
	go g.RunTicks(ctx.Done(), link.RequestSample, link.Samples())
	go server.Sweep(ctx.Done())
	go tell(ctx, server, g, lim)
	if sharing != nil && sharing.Log != nil {
		go stampDrawn(ctx, g)
	}
	go reload(ctx, b, file, levelsFile, hangup, g, link, reports, lim)
	go func() {
		broken <- errors.Join(errors.New("listen: the event loop has ended"), server.Serve())
	}()
	go func() {
		for range notice { // a second one changes nothing
			d.tell(g, 0, "signal")
		}
	}()

	select {
	case <-d.told:
	case err := <-broken:
		return err
	}
	reports.Deregister()
	leave(server, d, lim)
	g.ReleaseQuotas()
	state("stop", server, g)
	return nil
}

// departure is when this process leaves. It may be told more than once, by signal and on the inspection socket;
// a later notice can only bring the times forward.
type departure struct {
	stop, grace time.Duration // from the notice on
	told        chan struct{}

	mu       sync.Mutex
	heard    bool
	graceAt  time.Time
	stopAt   time.Time
	graceEnd int64 // the same on the machine's clock
	stopEnd  int64
}

// tell takes a notice that was first given so long ago.
func (d *departure) tell(g *dispatch.Dispatcher, ago time.Duration, by string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, clock := time.Now(), process.Now()
	stopAt, graceAt := now.Add(d.stop-ago), now.Add(d.grace-ago)
	const noticeable = 5 * time.Millisecond
	if d.heard && !stopAt.Before(d.stopAt.Add(-noticeable)) {
		return
	}
	d.graceAt, d.stopAt = graceAt, stopAt
	d.graceEnd, d.stopEnd = clock+(d.grace-ago).Microseconds(), clock+(d.stop-ago).Microseconds()
	slog.Info("drain", "stop_ms", float64((d.stop-ago).Microseconds())/1000, "by", by, "ago_ms", ago.Milliseconds())
	g.Drain(dispatch.Micros((d.stop - ago).Microseconds()), dispatch.Micros((d.grace - ago).Microseconds()))
	if !d.heard {
		d.heard = true
		d.told <- struct{}{}
	}
}

// times are those in force now.
func (d *departure) times() (grace, stop time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.graceAt, d.stopAt
}

// reload reads the file anew whenever it is asked to, and hands the addresses in it down. What cannot be used
// changes nothing.
func reload(
	ctx context.Context, b *config.Backend, file, levelsFile string, hangup <-chan os.Signal, g *dispatch.Dispatcher,
	link *executor.Client, reports *registration.Reporter, lim limits.Bounds,
) {
	watching := b.Shadow
	var again <-chan time.Time // while the file cannot be used: it may be half written
	tries := 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			tries = 0
		case <-again:
			tries++
		}
		again = nil
		later, err := config.Read(file)
		if err != nil {
			if tries == 0 {
				slog.Warn("reload", "used", false, "error", err.Error())
			}
			if tries < lim.Rereads {
				again = time.After(lim.Reread)
			}
			continue
		}
		slog.Info("reload", "used", true, "farm", later.Executor, "roster", later.Registry,
			"left_as_they_are", strings.Join(b.ImmutableChanges(later), " "))
		link.SetAddress(later.Executor)
		reports.SetAddress(later.Registry)
		if !reflect.DeepEqual(watching, later.Shadow) { // else its counts go on
			watching = later.Shadow
			g.SetShadow(watching)
			slog.Info("watch", "on", watching != nil)
		}
		if levelsFile == "" {
			continue
		}
		ladder, err := readLadder(levelsFile)
		if err == nil {
			err = g.SetDegradationPolicy(ladder)
		}
		slog.Info("reload_levels", "used", err == nil, "error", fmt.Sprint(err))
	}
}

// leave goes on until the grace is over, then takes nothing more, and returns once all is answered and the
// callers have gone, or shortly before the stop.
func leave(server *backendserver.Server, d *departure, lim limits.Bounds) {
	latest := func() time.Time { _, stop := d.times(); return stop.Add(-lim.LastWords) }
	last := func() time.Time { _, stop := d.times(); return stop.Add(-lim.LastChance) }
	for grace, _ := d.times(); ; grace, _ = d.times() { // looked at again and again, as it may be brought forward
		if last := latest().Add(-lim.Parting); last.Before(grace) {
			grace = last
		}
		left := time.Until(grace)
		if left <= 0 {
			break
		}
		time.Sleep(min(left, lim.Rebind))
	}
	server.StopAccepting()
	quiet := 0
	for now := time.Now(); now.Before(latest()) || now.Before(last()) && !(server.AllClosed() && server.AllAnswered()); now = time.Now() {
		if !now.Before(latest()) { // whoever has not gone by now is told that nothing more comes
			server.CloseAnswered()
		}
		conns, _ := server.Counts()
		if conns == 0 && server.Idle() {
			quiet++
		} else {
			quiet = 0
		}
		if quiet > 3 {
			break
		}
		time.Sleep(lim.LastChance)
	}
}

// tell logs the state now and then.
func tell(ctx context.Context, server *backendserver.Server, g *dispatch.Dispatcher, lim limits.Bounds) {
	every := time.NewTicker(lim.Quiet)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		state("state", server, g)
	}
}

func state(event string, server *backendserver.Server, g *dispatch.Dispatcher) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	conns, carried := server.Counts()
	n, inHand := g.Counts()
	slog.Info(event, "connections", conns, "carried", carried, "in_hand", inHand,
		"goroutines", runtime.NumGoroutine(), "heap_kb", m.HeapAlloc>>10, "system_kb", m.Sys>>10,
		"collections", m.NumGC, "picked", n.Arrived, "used_up", n.Expired, "run", n.Started, "throttled", n.Throttled,
		"errored", n.Errored, "left", n.Abandoned, "ticks", n.Ticks, "unsampled", n.Unsampled, "faults", n.Panics,
		"repeated", n.Replayed, "unkept", n.CacheFull)
	if c, on := g.ShadowCounts(); on {
		slog.Info("watched", "otherwise", c.String())
	}
}

// stateOf is what the inspection socket tells.
func stateOf(
	b *config.Backend, began int64, server *backendserver.Server, g *dispatch.Dispatcher, link *executor.Client, d *departure,
) admin.State {
	conns, carried := server.Counts()
	n, inHand := g.Counts()
	s := admin.State{
		Version: admin.Version, Name: b.Name, PID: os.Getpid(), Build: version(), Config: b.Hash, Since: began,
		Ready: g.Healthy() && link.Available(), Connections: conns, Carried: carried, InHand: inHand, Picked: n.Arrived,
		Run: n.Started, Throttled: n.Throttled, Errored: n.Errored, Left: n.Abandoned, Faults: n.Panics,
	}
	if r, ok := g.DegradationStatus(); ok {
		s.Ladder, s.Level, s.Depth, s.Shed, s.Changes = r.Policy, r.Level, r.Depth, r.Shed, r.Changes
		s.Clock, s.Signals = int64(r.At), r.Signals.String()
	}
	if c, on := g.ShadowCounts(); on {
		s.Watched = c.Map()
	}
	s.Shares = g.QuotaStatus()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard {
		s.Ready, s.Draining, s.GraceEnds, s.StopBy = false, true, d.graceEnd, d.stopEnd
	}
	return s
}
