package supervisor

import (
	"context"
	"errors"
	"fmt"
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
	"milletbarrow/monotime"
)

// Options are what a supervisor is started with.
type Options struct {
	Dir      string   // the agent's directory
	Name     string   // of the instance
	Run      string   // the incarnation to start, or to take over
	Adopt    bool     // take a running instance over: start nothing
	Launcher []string // runs the command appended to it once descriptor 3 brings a byte; see WaitAndExec
	Command  []string // starts the instance; --inspect SOCKET is appended
	Env      []string // besides the supervisor's own
	Window   fleet.ShutdownWindow
	Bounds   limits.Control
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
	stopServing, err := s.serve(ctx)
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
func (s *supervisor) serve(ctx context.Context) (stop func(), err error) {
	l, err := admin.Listen(ctx, s.paths.Socket)
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

// claim reads what another supervisor left, and records that this one is in charge.
func (s *supervisor) claim() error {
	o := s.options
	previous, err := ReadState(s.paths.State)
	self, errSelf := process.Of(os.Getpid())
	if errSelf != nil {
		return errSelf
	}
	conflict := func(reason string) error {
		return &StateConflictError{Name: o.Name, Run: o.Run, Reason: reason}
	}
	switch {
	case err != nil && !errors.Is(err, ErrNoState):
		return err
	case err == nil && previous.Run == o.Run && (previous.Ended || !previous.Instance.Zero()):
		if !previous.Ended && !o.Adopt && previous.Instance.Alive() {
			return conflict(fmt.Sprintf("goes on as %v without a supervisor; it has to be adopted", previous.Instance))
		}
		s.record = previous
		s.monitor.NotifiedStep, s.monitor.NotifiedAt = previous.NotifiedStep, previous.NotifiedAt
	case o.Adopt:
		return conflict("there is nothing to take over")
	case err == nil && !previous.Ended && previous.Instance.Alive():
		return conflict(fmt.Sprintf("run %s still goes on as %v", previous.Run, previous.Instance))
	default:
		s.record = State{Name: o.Name, Run: o.Run, StartedAt: process.Now()}
	}
	if s.record.Ended {
		return nil
	}
	s.record.Supervisor = self
	return s.record.write(s.paths.State)
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
			_ = s.notify("signal") // logged there; the instance is notified all the same
		case <-ctx.Done():
			_ = s.notify("context") // as above
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

// healthChecks starts one health check at a time, each in a goroutine of its own, which ends within PollRest: an
// unresponsive instance must not hold the main loop up.
type healthChecks struct {
	results   chan Observation // holds one: the goroutine's send never blocks
	running   bool
	startedAt time.Time
}

func (h *healthChecks) start(s *supervisor, interval time.Duration) {
	if h.running || time.Since(h.startedAt) < interval {
		return
	}
	h.running, h.startedAt = true, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), s.options.Bounds.IdlePollInterval)
		defer cancel()
		state, err := s.instance.State(ctx)
		if err != nil {
			h.results <- Observation{}
			return
		}
		h.results <- Observation{&state}
	}()
}

func (s *supervisor) observe(o Observation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.monitor.Observe(process.Now(), o)
	if o.State != nil {
		s.lastState = o.State
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

// perform does one action; sinceNotice is how long ago the notice was given.
func (s *supervisor) perform(a Action, instance process.Identity, killCause string, sinceNotice monotime.Micros) {
	var err error
	switch a {
	case SignalShutdown:
		err = instance.Signal(syscall.SIGTERM)
	case NotifySocket:
		go func() { // an unresponsive one does not answer, and the main loop must go on meanwhile
			ctx, cancel := context.WithTimeout(context.Background(), s.options.Bounds.IdlePollInterval)
			defer cancel()
			_ = s.instance.Drain(ctx, time.Duration(sinceNotice)*time.Microsecond) // repeated until it is acknowledged
		}()
	case KillGroup:
		err = instance.KillGroup()
		slog.Warn("killed", "name", s.options.Name, "run", s.options.Run, "cause", killCause, "after_ms", sinceNotice/1000)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", s.options.Name, "error", err.Error())
	}
}

// notify takes the shutdown notice and writes it down, before the instance gets it. An error means that it could not
// be written down; the instance gets it all the same.
func (s *supervisor) notify(step string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.monitor.Notify(process.Now(), step) {
		return nil
	}
	s.record.NotifiedStep, s.record.NotifiedAt = step, s.monitor.NotifiedAt
	slog.Info("notified", "name", s.options.Name, "run", s.options.Run, "step", step)
	err := s.writeRecord()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return err
}

// writeRecord writes the state file and logs it if that fails; s.mu is held.
func (s *supervisor) writeRecord() error {
	err := s.record.write(s.paths.State)
	if err != nil {
		slog.Error("state", "name", s.options.Name, "error", err.Error())
	}
	return err
}

// kill kills the instance at once.
func (s *supervisor) kill(cause string) {
	s.mu.Lock()
	actions := s.monitor.RequestKill(cause)
	instance, firstCause := s.record.Instance, s.monitor.KillCause
	s.mu.Unlock()
	for _, a := range actions {
		s.perform(a, instance, firstCause, 0)
	}
}

// recordExit writes down how the instance ended.
func (s *supervisor) recordExit(end fleet.Exit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := process.Now()
	if end.KillReason = s.monitor.KillCause; end.KillReason != "" {
		end.Code, end.Unobserved = -1, false
	}
	end.Uptime = now - s.record.StartedAt
	if s.record.NotifiedStep != "" {
		end.DrainTime = now - s.record.NotifiedAt
	}
	s.record.Ended, s.record.End = true, end
	_ = s.writeRecord() // logged there; whoever asks in time gets it from the socket
	slog.Info("ended", "name", s.options.Name, "run", s.options.Run, "how", end.String(), "after_ms", end.DrainTime/1000)
	s.publish()
}

// awaitExitFetched stays a moment, so that an agent that waits learns of the exit at once; later the file tells it.
func (s *supervisor) awaitExitFetched() {
	const (
		timeout  = 500 * time.Millisecond
		interval = time.Millisecond
	)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(interval) {
		s.mu.Lock()
		fetched := s.exitFetched
		s.mu.Unlock()
		if fetched {
			time.Sleep(s.options.Bounds.PollInterval) // the answer goes out
			return
		}
	}
}
