package supervisor

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// Options configure a supervisor.
type Options struct {
	Dir         string               // the agent's directory
	Name        string               // of the instance
	Incarnation string               // the incarnation to start or to adopt
	Adopt       bool                 // supervise an instance that is already running, and start none
	Launcher    []string             // command line that calls WaitAndExec with the arguments that are appended
	Command     []string             // command line of the instance; --inspect SOCKET is appended
	Env         []string             // added to the environment of the supervisor
	Window      fleet.ShutdownWindow // by the configuration file; counts until the instance's own is known
	Bounds      limits.Control
}

// supervisor supervises one incarnation of one instance.
type supervisor struct {
	options  Options
	paths    Paths
	instance *admin.Client

	mu            sync.Mutex // guards monitor and the fields up to lastPublished
	monitor       Monitor
	record        State           // as last written to the state file
	lastState     *admin.State    // the instance's latest response; nil: none yet
	serial        int             // of the report; increases with each published change
	changed       chan struct{}   // closed at the next published change
	lastPublished publishedReport // the latest published report

	exitFetched     chan struct{} // closed once an agent has fetched the report of the exit
	exitFetchedOnce sync.Once     // closes exitFetched

	wake chan struct{} // makes the main loop call step at once
}

// signalBufferSize is how many signals to the supervisor are buffered for the main loop.
const signalBufferSize = 4

// Run supervises one incarnation until it has ended. It returns ErrLocked, wrapped, if another supervisor holds the
// lock of the instance, and a *StateConflictError if the state file does not allow the incarnation to be started or
// adopted.
func Run(ctx context.Context, o Options) error {
	s := newSupervisor(o)
	lockFile, err := lock(s.paths.Lock)
	if err != nil {
		return err
	}
	defer func() { _ = lockFile.Close() }() // the end of the process releases the lock in any case
	if err := s.claim(); err != nil {
		return err
	}
	if s.record.Ended {
		return nil // the same launch was requested again after the incarnation had ended
	}
	s.instance = admin.NewClient(s.paths.Admin, o.Bounds)
	defer s.instance.Close()
	stopServing, err := s.serve(ctx)
	if err != nil {
		return err
	}
	defer stopServing()

	exited := make(chan fleet.Exit, 1)
	if o.Adopt {
		go func() { exited <- s.awaitAdopted(s.record.Instance) }()
	} else if err := s.launch(ctx, exited); err != nil {
		return err
	}
	signals := make(chan os.Signal, signalBufferSize)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	s.supervise(ctx, signals, exited)
	s.awaitExitFetched()
	return nil
}

func newSupervisor(o Options) *supervisor {
	return &supervisor{
		options:     o,
		paths:       PathsOf(o.Dir, o.Name),
		monitor:     Monitor{Window: o.Window},
		changed:     make(chan struct{}),
		exitFetched: make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
}

// serve serves the supervisor's socket. stop closes it and waits until the server's goroutine has ended.
func (s *supervisor) serve(ctx context.Context) (stop func(), err error) {
	l, err := admin.Listen(ctx, s.paths.Socket)
	if err != nil {
		return nil, err
	}
	b := s.options.Bounds
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: b.CallTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		IdleTimeout:       b.IdleTimeout,
		MaxHeaderBytes:    b.MessageSize,
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(limits.LimitListener(l, b.Connections)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("supervisor API server failed", "name", s.options.Name, "error", err.Error())
		}
	})
	return func() {
		_ = server.Close() // agents that call later read the exit from the state file
		serving.Wait()
	}, nil
}

// supervise is the main loop. It checks the instance's health and performs the monitor's actions until the instance has
// exited.
func (s *supervisor) supervise(ctx context.Context, signals <-chan os.Signal, exited <-chan fleet.Exit) {
	ctxDone := ctx.Done()
	ctx = context.WithoutCancel(ctx) // the instance drains after ctx has ended, and is supervised until it exits
	checks := healthChecks{results: make(chan Observation, 1)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	logCheckedAt := time.Now()
	for {
		select {
		case exit := <-exited:
			s.recordExit(exit)
			return
		case o := <-checks.results:
			checks.running = false
			s.observe(o)
		case <-signals: // a signal to the supervisor shuts down the instance
			_ = s.acceptNotice("signal") // the error is logged, and the instance is notified all the same
		case <-ctxDone:
			ctxDone = nil                 // it is handled once
			_ = s.acceptNotice("context") // as above
		case <-s.wake:
		case <-timer.C:
		}
		interval := s.step(ctx)
		checks.start(ctx, s, interval)
		timer.Reset(interval)
		if time.Since(logCheckedAt) >= s.options.Bounds.LogCheckInterval {
			logCheckedAt = time.Now()
			s.rotateLog()
		}
	}
}

// step performs the actions that are due and returns how long to wait until the next step.
func (s *supervisor) step(ctx context.Context) time.Duration {
	now := process.Now()
	s.mu.Lock()
	actions := s.monitor.NextActions(now)
	target := s.actionTarget()
	phase, _ := s.monitor.Phase(now)
	s.publishIfChanged(now)
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(ctx, a, target)
	}
	if phase == fleet.PhaseReady || phase == fleet.PhaseUnready {
		return s.options.Bounds.IdlePollInterval
	}
	return s.options.Bounds.PollInterval
}
