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

// Options are what a supervisor is started with.
type Options struct {
	Dir         string   // the agent's directory
	Name        string   // of the instance
	Incarnation string   // the incarnation to start, or to take over
	Adopt       bool     // take a running instance over: start nothing
	Launcher    []string // runs the command appended to it once descriptor 3 brings a byte; see WaitAndExec
	Command     []string // starts the instance; --inspect SOCKET is appended
	Env         []string // besides the supervisor's own
	Window      fleet.ShutdownWindow
	Bounds      limits.Control
}

// supervisor is a running one.
type supervisor struct {
	options  Options
	paths    Paths
	instance *admin.Client

	mu           sync.Mutex // guards what follows, and monitor
	monitor      Monitor
	record       State
	lastState    *admin.State  // the instance's latest answer
	serial       int           // of the report; grows with each change
	changed      chan struct{} // closed at each change of the report
	lastReported reportKey
	exitFetched  bool // somebody has fetched the report of the exit

	wake chan struct{} // has the main loop look at the monitor at once
}

// Run supervises one incarnation from its start to its end. It returns ErrLocked if another supervisor has the
// instance, and a *StateConflictError if the state file does not allow the start or the adoption.
func Run(ctx context.Context, o Options) error {
	s := newSupervisor(o)
	held, err := lock(s.paths.Lock)
	if err != nil {
		return err
	}
	defer func() { _ = held.Close() }() // the lock ends with the process in any case
	if err := s.claim(); err != nil {
		return err
	}
	if s.record.Ended {
		return nil // this incarnation has come and gone: the same step came twice
	}
	s.instance = admin.NewClient(s.paths.Admin, o.Bounds)
	defer s.instance.Close()
	stopServing, err := s.serve()
	if err != nil {
		return err
	}
	defer stopServing()

	exited := make(chan fleet.Exit, 1)
	if o.Adopt {
		go func() { exited <- s.awaitAdopted(s.record.Instance) }()
	} else if err := s.launch(exited); err != nil {
		return err
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	s.supervise(ctx, signals, exited)
	s.awaitExitFetched()
	return nil
}

func newSupervisor(o Options) *supervisor {
	return &supervisor{
		options: o, paths: PathsOf(o.Dir, o.Name), changed: make(chan struct{}), wake: make(chan struct{}, 1),
		monitor: Monitor{Window: o.Window},
	}
}

// serve opens the supervisor's socket; stop closes it and waits for the listener's end.
func (s *supervisor) serve() (stop func(), err error) {
	l, err := admin.Listen(s.paths.Socket)
	if err != nil {
		return nil, err
	}
	b := s.options.Bounds
	server := &http.Server{
		Handler: s.handler(), ReadHeaderTimeout: b.CallTimeout, ReadTimeout: 2 * longPollTimeout, WriteTimeout: 2 * longPollTimeout,
		IdleTimeout: b.IdleTimeout, MaxHeaderBytes: b.MessageSize,
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(limits.LimitListener(l, b.Connections)); !errors.Is(err, http.ErrServerClosed) {
			slog.Error("serve", "name", s.options.Name, "error", err.Error())
		}
	})
	return func() {
		_ = server.Close() // whoever still asks finds the exit in the state file
		serving.Wait()
	}, nil
}

// supervise checks the instance, asks the monitor, and acts, until the instance has ended.
func (s *supervisor) supervise(ctx context.Context, signals <-chan os.Signal, exited <-chan fleet.Exit) {
	checks := healthChecks{results: make(chan Observation, 1)}
	timer := time.NewTimer(0)
	defer timer.Stop()
	logCheckedAt := time.Now()
	for {
		select {
		case end := <-exited:
			s.recordExit(end)
			return
		case o := <-checks.results:
			checks.running = false
			s.observe(o)
		case <-signals: // whoever ends the supervisor wants the instance to shut down
			_ = s.takeNotice("signal") // logged there; the instance is notified all the same
		case <-ctx.Done():
			_ = s.takeNotice("context") // as above
			ctx = context.WithoutCancel(ctx)
		case <-s.wake:
		case <-timer.C:
		}
		interval := s.step()
		checks.start(s, interval)
		timer.Reset(interval)
		if time.Since(logCheckedAt) >= s.options.Bounds.LogCheckInterval {
			logCheckedAt = time.Now()
			s.rotateLog()
		}
	}
}

// step does what the monitor wants done now, and returns how long to wait until the next step.
func (s *supervisor) step() time.Duration {
	now := process.Now()
	s.mu.Lock()
	actions := s.monitor.NextActions(now)
	killCause, notifiedAt, instance := s.monitor.KillCause, s.monitor.NotifiedAt, s.record.Instance
	phase, _ := s.monitor.Phase(now)
	s.publishIfChanged(now)
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a, instance, killCause, now-notifiedAt)
	}
	if phase == fleet.PhaseReady || phase == fleet.PhaseUnready {
		return s.options.Bounds.IdlePollInterval
	}
	return s.options.Bounds.PollInterval
}
