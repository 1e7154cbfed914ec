package supervisor

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/backend/admin"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/jsonhttp"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

// Options are what a keeper is started with.
type Options struct {
	Dir      string // of the agent
	Name     string
	Run      string   // the life to begin, or to take over
	Adopt    bool     // take over: start nothing
	Launcher []string // runs what is appended once descriptor 3 brings a byte; see Begin
	Command  []string // starts the instance; --inspect SOCKET is appended
	Env      []string // besides that of the keeper
	Window   fleet.ShutdownWindow
	Bounds   limits.Control
}

// Keeper is a running one.
type Keeper struct {
	o     Options
	paths Paths
	peer  *admin.Client
	child *exec.Cmd // nil where it was adopted

	mu      sync.Mutex
	state   State
	guard   Guard
	look    *admin.State
	serial  int           // of what is to be seen
	news    chan struct{} // closed at each change
	fetched bool          // somebody has fetched the end
	wake    chan struct{}
	shown   struct { // what was last told of as a change
		phase       fleet.Phase
		cause, told string
		level       string
		picked      int
		at          Micros
	}
}

// Run keeps one life from its start to its end. ErrHeld if another keeper has it.
func Run(ctx context.Context, o Options) error {
	k := &Keeper{
		o: o, paths: PathsOf(o.Dir, o.Name), news: make(chan struct{}), wake: make(chan struct{}, 1),
		guard: Guard{Window: o.Window},
	}
	held, err := lock(k.paths.Lock)
	if err != nil {
		return err
	}
	defer held.Close()
	if err := k.begin(); err != nil {
		return err
	}
	if k.state.Ended {
		return nil // this life has come and gone: the same step came twice
	}
	k.peer = admin.NewClient(k.paths.Admin, o.Bounds)
	defer k.peer.Close()
	l, err := admin.Listen(k.paths.Socket)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: k.handler(), ReadHeaderTimeout: o.Bounds.Call, ReadTimeout: 2 * longPoll, WriteTimeout: 2 * longPoll,
		IdleTimeout: o.Bounds.Idle, MaxHeaderBytes: o.Bounds.Message,
	}
	go server.Serve(limits.LimitListener(l, o.Bounds.Clients))
	defer server.Close()

	over := make(chan fleet.Exit, 1)
	if o.Adopt {
		go k.await(over)
	} else if err := k.start(over); err != nil {
		return err
	}
	notice := make(chan os.Signal, 4)
	signal.Notify(notice, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	k.keep(ctx, notice, over)
	k.linger()
	return nil
}

// longPoll is how long an agent's question may wait for something new.
const longPoll = 10 * time.Second

// begin reads what another keeper left, and writes down that this one is here.
func (k *Keeper) begin() error {
	was, err := ReadState(k.paths.State)
	me, errMe := process.Of(os.Getpid())
	if errMe != nil {
		return errMe
	}
	switch {
	case err != nil && !errors.Is(err, ErrNoState):
		return err
	case err == nil && was.Run == k.o.Run && (was.Ended || !was.Instance.Zero()):
		if !was.Ended && !k.o.Adopt && was.Instance.Alive() {
			return fmt.Errorf("run %s goes on as %v without a keeper; it has to be adopted", was.Run, was.Instance)
		}
		k.state = was
		k.guard.Step, k.guard.ToldAt, k.guard.Began = was.NotifiedStep, was.NotifiedAt, was.StartedAt
	case k.o.Adopt:
		return fmt.Errorf("run %s: there is nothing to take over", k.o.Run)
	case err == nil && !was.Ended && was.Instance.Alive():
		return fmt.Errorf("run %s still goes on as %v", was.Run, was.Instance)
	default:
		k.state = State{Name: k.o.Name, Run: k.o.Run, StartedAt: Micros(process.Now())}
		k.guard.Began = k.state.StartedAt
	}
	if k.state.Ended {
		return nil
	}
	k.state.Supervisor = me
	return k.state.write(k.paths.State)
}

// start runs the instance as the leader of a group of its own: the notice goes to it alone, a kill to all of them.
func (k *Keeper) start(over chan<- fleet.Exit) error {
	log, err := os.OpenFile(k.paths.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	defer read.Close()
	defer write.Close()
	args := slices.Concat(k.o.Launcher[1:], k.o.Command, []string{"--inspect", k.paths.Admin})
	cmd := exec.Command(k.o.Launcher[0], args...)
	cmd.ExtraFiles = []*os.File{read}
	cmd.Env = append(os.Environ(), k.o.Env...)
	cmd.Stdout, cmd.Stderr = log, log // a file, not a pipe: it needs no reader, and outlives this process
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	k.child = cmd
	id, err := process.Of(cmd.Process.Pid)
	if err != nil { // it has ended already; its exit code tells
		id = process.Identity{PID: cmd.Process.Pid}
	}
	k.mu.Lock()
	k.state.Instance = id
	err = k.state.write(k.paths.State)
	k.mu.Unlock()
	if err != nil { // without it nobody could take over
		syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
		cmd.Wait()
		return err
	}
	if _, err := write.Write([]byte{1}); err != nil {
		slog.Error("begin", "name", k.o.Name, "error", err.Error())
	}
	slog.Info("launched", "name", k.o.Name, "run", k.o.Run, "pid", id.PID)
	go func() {
		// The group is ended before its leader is reaped: as long as it is a zombie the number is nobody else's.
		unix.Waitid(unix.P_PID, id.PID, nil, unix.WEXITED|unix.WNOWAIT, nil)
		syscall.Kill(-id.PID, syscall.SIGKILL)
		cmd.Wait()
		end := fleet.Exit{Code: cmd.ProcessState.ExitCode()}
		if ws, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
			end.Signal = ws.Signal().String()
		}
		over <- end
	}()
	return nil
}

// WaitAndExec becomes the instance once its keeper has written down which process it is, and ends if the keeper dies
// before that: no instance runs of which nobody knows.
func WaitAndExec(command []string) error {
	if len(command) == 0 {
		return errors.New("nothing to begin")
	}
	gate := os.NewFile(3, "gate")
	if n, err := gate.Read(make([]byte, 1)); n != 1 {
		return fmt.Errorf("the keeper is gone: %w", err)
	}
	gate.Close()
	path, err := exec.LookPath(command[0])
	if err != nil {
		return err
	}
	return syscall.Exec(path, command, os.Environ())
}

// await sees the end of an instance that is not this process's child; its exit code nobody sees.
func (k *Keeper) await(over chan<- fleet.Exit) {
	id := k.state.Instance
	for id.Alive() {
		fd, err := unix.PidfdOpen(id.PID, 0)
		if err != nil {
			time.Sleep(k.o.Bounds.Poll)
			continue
		}
		unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, int(k.o.Bounds.PollRest.Milliseconds()))
		unix.Close(fd)
	}
	over <- fleet.Exit{Unobserved: true}
}

// keep is the keeper's life: it looks, asks the guard, and acts, until the instance has ended.
func (k *Keeper) keep(ctx context.Context, notice <-chan os.Signal, over <-chan fleet.Exit) {
	looks := make(chan Look, 1)
	asking := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	lastLog := time.Now()
	var asked time.Time
	for {
		select {
		case end := <-over:
			k.finish(end)
			return
		case l := <-looks:
			asking = false
			k.mu.Lock()
			k.guard.Look(Micros(process.Now()), l)
			if l.State != nil {
				k.look = l.State
			}
			k.mu.Unlock()
		case <-notice: // whoever ends the keeper wants the instance to leave
			k.tell("signal")
		case <-ctx.Done():
			k.tell("context")
			ctx = context.Background()
		case <-k.wake:
		case <-timer.C:
		}
		now := Micros(process.Now())
		k.mu.Lock()
		acts := k.guard.Next(now)
		killed, toldAt, id := k.guard.Killed, k.guard.ToldAt, k.state.Instance
		phase, _ := k.guard.Phase(now)
		k.changed(now)
		k.mu.Unlock()
		for _, a := range acts {
			k.act(a, id, killed, now-toldAt)
		}
		pause := k.o.Bounds.Poll
		if phase == fleet.PhaseReady || phase == fleet.PhaseUnready {
			pause = k.o.Bounds.PollRest
		}
		if !asking && time.Since(asked) >= pause { // one look at a time, each in its own time: a deaf one answers none
			asking, asked = true, time.Now()
			go func() {
				wait, cancel := context.WithTimeout(context.Background(), k.o.Bounds.PollRest)
				defer cancel()
				s, err := k.peer.State(wait)
				if err != nil {
					looks <- Look{}
					return
				}
				looks <- Look{&s}
			}()
		}
		timer.Reset(pause)
		if time.Since(lastLog) >= k.o.Bounds.LogLook {
			lastLog = time.Now()
			k.rotate()
		}
	}
}

func (k *Keeper) act(a Act, id process.Identity, killed string, ago Micros) {
	var err error
	switch a {
	case Term:
		err = id.Signal(syscall.SIGTERM)
	case Say:
		go func() { // a deaf one does not answer, and the guard must go on meanwhile
			wait, cancel := context.WithTimeout(context.Background(), k.o.Bounds.PollRest)
			defer cancel()
			k.peer.Leave(wait, time.Duration(ago)*time.Microsecond)
		}()
	case Finish:
		err = id.KillGroup()
		slog.Warn("killed", "name", k.o.Name, "run", k.o.Run, "cause", killed, "after_ms", ago/1000)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", k.o.Name, "error", err.Error())
	}
}

// tell takes the notice and writes it down, before the instance hears of it.
func (k *Keeper) tell(step string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.guard.Tell(Micros(process.Now()), step) {
		return nil
	}
	k.state.NotifiedStep, k.state.NotifiedAt = step, k.guard.ToldAt
	slog.Info("told", "name", k.o.Name, "run", k.o.Run, "step", step)
	err := k.state.write(k.paths.State) // on a full disk the instance is told all the same
	if err != nil {
		slog.Error("state", "name", k.o.Name, "error", err.Error())
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
	return err
}

func (k *Keeper) finish(end fleet.Exit) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := Micros(process.Now())
	if end.KillReason = k.guard.Killed; end.KillReason != "" {
		end.Code, end.Unobserved = -1, false
	}
	end.Uptime = now - k.state.StartedAt
	if k.state.NotifiedStep != "" {
		end.DrainTime = now - k.state.NotifiedAt
	}
	k.state.Ended, k.state.End = true, end
	if err := k.state.write(k.paths.State); err != nil {
		slog.Error("state", "name", k.o.Name, "error", err.Error())
	}
	slog.Info("ended", "name", k.o.Name, "run", k.o.Run, "how", end.String(), "after_ms", end.DrainTime/1000)
	k.serial++
	close(k.news)
	k.news = make(chan struct{})
}

// linger stays a moment, so that an agent that waits hears of the end at once; later the file tells it.
func (k *Keeper) linger() {
	const moment = 500 * time.Millisecond
	for end := time.Now().Add(moment); time.Now().Before(end); time.Sleep(time.Millisecond) {
		k.mu.Lock()
		fetched := k.fetched
		k.mu.Unlock()
		if fetched {
			time.Sleep(k.o.Bounds.Poll) // the answer goes out
			return
		}
	}
}

// rotate bounds the log of the instance: what has grown too long is copied aside and begun anew.
func (k *Keeper) rotate() {
	info, err := os.Stat(k.paths.Log)
	if err != nil || info.Size() < k.o.Bounds.LogBytes {
		return
	}
	from, err := os.Open(k.paths.Log)
	if err != nil {
		return
	}
	defer from.Close()
	to, err := os.Create(k.paths.Log + ".1")
	if err != nil {
		return
	}
	defer to.Close()
	if _, err := io.CopyN(to, from, info.Size()); err != nil {
		slog.Error("log", "name", k.o.Name, "error", err.Error())
		return
	}
	os.Truncate(k.paths.Log, 0) // it is opened to append: the next line stands at the new end
}

// Report is what a keeper tells of its instance.
type Report struct {
	Version     int               `json:"version"`
	Serial      int               `json:"serial"` // grows with each change
	Observation fleet.Observation `json:"sight"`
	State       *admin.State      `json:"state,omitempty"` // the instance's own words, the latest
	Record      State             `json:"life"`
}

// changed lets who waits know of a change that matters; k.mu is held.
func (k *Keeper) changed(now Micros) {
	const countsEvery = 1_000_000 // microseconds; counts alone are no reason to wake the agent more often
	phase, cause := k.guard.Phase(now)
	picked, level := 0, ""
	if k.look != nil {
		picked, level = k.look.Picked, k.look.Level
	}
	shown := &k.shown
	if shown.phase != phase || shown.cause != cause || shown.told != k.state.NotifiedStep || shown.level != level ||
		shown.picked != picked && now-shown.at >= countsEvery {
		shown.phase, shown.cause, shown.told, shown.level = phase, cause, k.state.NotifiedStep, level
		shown.picked, shown.at = picked, now
		k.serial++
		close(k.news)
		k.news = make(chan struct{})
	}
}

func (k *Keeper) report() (Report, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	phase, cause := k.guard.Phase(Micros(process.Now()))
	s := fleet.Observation{Incarnation: k.state.Run, Phase: phase, Cause: cause, NoticeID: k.state.NotifiedStep}
	if k.look != nil {
		s.Invocations, s.Rejected = k.look.Picked, k.look.Throttled+k.look.Errored
		s.Level = k.look.Level
		if n := len(k.look.Changes); n > 0 {
			s.LevelCause = k.look.Changes[n-1]
		}
	}
	if k.state.Ended {
		s.Phase, s.Cause, s.Exit = fleet.PhaseExited, "", k.state.End
	}
	return Report{Version: stateVersion, Serial: k.serial, Observation: s, State: k.look, Record: k.state}, k.news
}

// StepRequest is a step for a keeper.
type StepRequest struct {
	Step  string           `json:"step"`
	Run   string           `json:"run"`
	What  fleet.ActionKind `json:"what"` // Tell or Kill
	Cause string           `json:"cause"`
}

func (k *Keeper) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		late := time.NewTimer(longPoll)
		defer late.Stop()
		var report Report
		for waiting := true; ; {
			var news chan struct{}
			if report, news = k.report(); report.Serial > after || !waiting {
				break
			}
			select {
			case <-news:
			case <-late.C:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
		w.Header().Set("Content-Type", "application/json")
		if json.NewEncoder(w).Encode(report) == nil && report.Observation.Phase == fleet.PhaseExited {
			http.NewResponseController(w).Flush()
			k.mu.Lock()
			k.fetched = true
			k.mu.Unlock()
		}
	})
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, r *http.Request) {
		var o StepRequest
		if err := json.NewDecoder(io.LimitReader(r.Body, int64(k.o.Bounds.Message))).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if o.Run != k.o.Run {
			http.Error(w, fmt.Sprintf("run %q is over; this is %q", o.Run, k.o.Run), http.StatusConflict)
			return
		}
		switch o.What {
		case fleet.ActionNotify:
			k.tell(o.Step)
		case fleet.ActionKill:
			k.mu.Lock()
			acts := k.guard.Take(o.Cause)
			id, cause := k.state.Instance, k.guard.Killed
			k.mu.Unlock()
			for _, a := range acts {
				k.act(a, id, cause, 0)
			}
		default:
			http.Error(w, fmt.Sprintf("what: %q", o.What), http.StatusBadRequest)
			return
		}
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

// Client speaks to a keeper.
type Client struct {
	http   *http.Client
	bounds limits.Control
}

// NewClient is one for the keeper of that name.
func NewClient(dir, name string, b limits.Control) *Client {
	return &Client{jsonhttp.Client("unix:"+PathsOf(dir, name).Socket, b), b}
}

// Report waits until there is more than after, or for some seconds.
func (c *Client) Report(ctx context.Context, after int) (r Report, err error) {
	ctx, cancel := context.WithTimeout(ctx, longPoll+c.bounds.Call)
	defer cancel()
	return r, jsonhttp.Call(ctx, c.http, http.MethodGet, "/v1/report?after="+strconv.Itoa(after), nil, &r, int64(c.bounds.Message))
}

// Request hands a step over, within Call.
func (c *Client) Request(ctx context.Context, o StepRequest) error {
	ctx, cancel := context.WithTimeout(ctx, c.bounds.Call)
	defer cancel()
	return jsonhttp.Call(ctx, c.http, http.MethodPost, "/v1/order", o, nil, 0)
}

// Close lets go of kept connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }
