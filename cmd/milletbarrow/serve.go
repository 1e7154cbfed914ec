package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
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
	"milletbarrow/monotime"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run a backend until SIGTERM",
		Description: "Examples:\n   GW_CONFIG=config.json milletbarrow\n" +
			"   milletbarrow serve --config config.json --log json --admin /run/n3.sock",
		Flags: []cli.Flag{configFlag(), logFlag(), &cli.StringFlag{
			Name: "admin", Usage: "serve the state on a Unix `SOCKET`; off by default",
		}, &cli.StringFlag{
			Name: "degradation", Usage: "degrade service by the policy in this `FILE`; off by default",
		}, &cli.StringSliceFlag{
			Name: "quota", Usage: "apply a fleet-wide quota to a tenant, as `QUOTA=TENANT`; off by default",
		}, &cli.StringFlag{
			Name: "stamps", Usage: "log leases and use of quotas in this `DIRECTORY`, for an audit",
			Sources: cli.EnvVars("MILLETBARROW_STAMPS"), Hidden: true,
		}, &cli.IntFlag{
			Name:    "trial-clock",
			Usage:   "run the clock of leases faster by so many parts per million, for tests",
			Hidden:  true,
			Sources: cli.EnvVars("MILLETBARROW_TRIAL_CLOCK"),
		}, &cli.BoolFlag{
			Name: "reports-fixed", Usage: "send load reports without jitter or backoff, as a baseline", Hidden: true,
			Sources: cli.EnvVars("MILLETBARROW_REPORTS_FIXED"),
		}},
		Action: runServe,
	}
}

// runServe starts a backend from the command line, and returns when it has ended.
func runServe(_ context.Context, c *cli.Command) error {
	if c.Args().Present() { // serve is the default command, so an unknown command is an argument of it
		return &unknownCommandError{name: c.Args().First()}
	}
	endLog, err := startLog(c)
	if err != nil {
		return err
	}
	defer endLog()
	// Registered before the configuration is read: an early SIGHUP must not end the process.
	hangup, notice := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(notice, syscall.SIGTERM, os.Interrupt)
	settings, err := readConfiguration(c)
	if err != nil {
		return err
	}
	files := backendFiles{config: c.String("config"), admin: c.String("admin"), degradation: c.String("degradation")}
	b, err := newBackend(settings, files, c)
	if err != nil {
		return err
	}
	return b.run(hangup, notice)
}

// backendFiles are the paths of a backend's files; an empty path disables the feature.
type backendFiles struct {
	config      string
	admin       string // the admin socket
	degradation string // the degradation policy
}

// backendProcess is a running backend with its components. Their goroutines end with the context of run, or with the
// process.
type backendProcess struct {
	config    *config.Backend
	files     backendFiles
	bounds    limits.Bounds
	startedAt monotime.Micros // on the host's clock
	quotas    *dispatch.QuotaConfig

	dispatcher *dispatch.Dispatcher
	executor   *executor.Client
	server     *backendserver.Server
	reporter   *registration.Reporter
	shutdown   *shutdown
	shadow     *config.Settings // in use; owned by reload
}

// newBackend creates the components with the bounds of the configuration. It opens no socket and starts no goroutine.
func newBackend(settings *config.Backend, files backendFiles, c *cli.Command) (*backendProcess, error) {
	bounds := boundsOf(settings)
	b := &backendProcess{
		config:   settings,
		files:    files,
		bounds:   bounds,
		shutdown: newShutdown(settings),
		shadow:   settings.Shadow,
	}
	policy, err := b.degradationPolicy()
	if err != nil {
		return nil, err
	}
	if b.quotas, err = quotaConfig(c, settings); err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(bounds.Processors)
	debug.SetMemoryLimit(bounds.Heap)
	debug.SetGCPercent(bounds.HeapGrowth)
	b.dispatcher = dispatch.New(settings.Settings, uint64(settings.Seed), bounds)
	if policy != nil {
		if err := b.dispatcher.SetDegradationPolicy(policy); err != nil {
			return nil, asUsageError(err)
		}
	}
	if b.quotas != nil {
		if err := b.dispatcher.SetQuotas(*b.quotas); err != nil {
			return nil, asUsageError(err)
		}
	}
	protocolErrors := ratelimitlog.New(bounds.LogInterval)
	b.dispatcher.SetShadow(settings.Shadow)
	b.executor = executor.New(settings.Executor, bounds, protocolErrors, b.dispatcher.Open)
	b.server = backendserver.New(settings.Settings, bounds, protocolErrors, b.dispatcher, b.executor)
	b.reporter = registration.New(settings.Registry, settings.Name, bounds, c.Bool("reports-fixed"))
	return b, nil
}

// degradationPolicy reads the policy file, and returns nil if none is configured.
func (b *backendProcess) degradationPolicy() (*degradation.Policy, error) {
	if b.files.degradation == "" {
		return nil, nil
	}
	policy, warnings, err := readDegradationPolicy(b.files.degradation)
	logFormerNames(warnings)
	return policy, err
}

// run listens, serves until the shutdown notice, drains, and returns before the stop deadline.
func (b *backendProcess) run(hangup, notice <-chan os.Signal) error {
	listening, err := b.listen(notice)
	if err != nil || !listening {
		return err
	}
	slog.Info("start", "name", b.config.Name, "listen", b.config.Listen, "processors", b.bounds.Processors,
		"connections", b.bounds.Connections, "invocations", b.bounds.Invocations)
	if ignored := b.config.Settings.IgnoredFields; len(ignored) > 0 {
		slog.Warn("unsupported settings ignored", "settings", strings.Join(ignored, " "))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := b.start(ctx, hangup, notice)
	select {
	case <-b.shutdown.notified:
	case err := <-failed:
		return err
	}
	b.reporter.Deregister()
	drain(b.server, b.shutdown, b.bounds)
	b.dispatcher.ReleaseQuotas()
	b.logState("stop")
	return nil
}

// listen opens the listener. While the address is in use it retries, up to the bind timeout. It returns false if a
// shutdown notice came first; then no connection was accepted.
func (b *backendProcess) listen(notice <-chan os.Signal) (bool, error) {
	deadline := time.Now().Add(b.bounds.BindTimeout)
	for attempt := 1; ; attempt++ {
		select {
		case <-notice:
			slog.Info("stop", "before", "listening")
			return false, nil
		default:
		}
		_, err := b.server.Listen(b.config.Listen)
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return false, fmt.Errorf("listen: %w", err)
		}
		if attempt == 1 {
			slog.Warn("listen_taken", "address", b.config.Listen)
		}
		time.Sleep(b.bounds.BindRetry)
	}
}

// start starts the goroutines of the components. Errors that the backend can't continue after are sent to failed.
func (b *backendProcess) start(ctx context.Context, hangup, notice <-chan os.Signal) (failed <-chan error) {
	const sources = 2 // the admin socket and the listener
	failures := make(chan error, sources)
	if b.files.admin != "" { // first, so that the supervisor can observe the startup
		b.startedAt = process.Now()
		go func() {
			if err := admin.Serve(ctx, b.files.admin, limits.ForControl(), b.adminInstance()); err != nil {
				failures <- fmt.Errorf("admin socket: %w", err)
			}
		}()
	}
	go b.executor.Run(ctx)
	go b.reporter.Run(ctx)
	go b.dispatcher.RunTicks(ctx.Done(), b.executor.RequestSample, b.executor.Samples())
	go b.server.Sweep(ctx.Done())
	go b.logStates(ctx)
	if b.quotas != nil && b.quotas.Log != nil {
		go logQuotaUse(ctx, b.dispatcher)
	}
	go b.reload(ctx, hangup)
	go func() {
		failures <- errors.Join(errEventLoopEnded, b.server.Serve())
	}()
	go func() {
		for range notice { // repeated signals have no further effect
			b.shutdown.notifyBySignal(b.dispatcher, b.bounds)
		}
	}()
	return failures
}

// adminInstance returns the operations of this backend that the admin socket offers.
func (b *backendProcess) adminInstance() admin.Instance {
	return admin.Instance{
		State: b.state,
		Drain: func(ago time.Duration) { b.shutdown.notify(b.dispatcher, ago, "inspection") },
		Override: func(p admin.Override) error {
			if p.Level == "" {
				b.dispatcher.ClearOverride()
				return nil
			}
			return b.dispatcher.OverrideLevel(p.Level, time.Duration(p.Duration)*time.Microsecond, p.By, p.AllowHigher)
		},
		QuotaRequest: b.dispatcher.QuotaRequest, ApplyLease: b.dispatcher.ApplyQuotaResponse,
	}
}
