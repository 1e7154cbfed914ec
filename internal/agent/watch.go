package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/process"
	"milletbarrow/internal/supervisor"
)

// watcher looks at one instance.
type watcher struct {
	name string

	mu   sync.Mutex
	run  string        // the life to look at; empty: none
	news chan struct{} // closed when it changes
}

// begin has the watcher look at a life, from the beginning.
func (w *watcher) begin(run string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.run = run
	if w.news != nil {
		close(w.news)
	}
	w.news = make(chan struct{})
}

func (w *watcher) now() (string, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.run, w.news
}

// watch waits for what an instance's keeper has to say, and hands it to the loop.
func (a *Agent) watch(ctx context.Context, w *watcher) {
	client := supervisor.NewClient(a.o.Dir, w.name, a.o.Bounds)
	defer client.Close()
	for ctx.Err() == nil {
		run, news := w.now()
		over := run == ""
		round, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() { // another life, or a look from the beginning, ends the question that waits
			select {
			case <-news:
				cancel()
			case <-stop:
			}
		}()
		misses := 0
		for after := -1; !over && round.Err() == nil; {
			r, err := client.Report(round, after)
			if err == nil && r.Observation.Incarnation == run {
				misses, after = 0, r.Serial
				r.Observation.Detail = &r
				over = r.Observation.Phase == fleet.PhaseExited
				a.sighted(round, w.name, r.Observation, false)
				continue
			}
			if round.Err() != nil {
				break
			}
			misses++
			after = -1 // another keeper may answer next, and it counts from the beginning
			verdict := a.interpretSilence(w.name, run, misses)
			if verdict.Decided {
				a.sighted(round, w.name, verdict.Observation, !verdict.Recorded)
			}
			over = verdict.Ended()
			pause := min(a.o.Bounds.Poll*time.Duration(misses), a.o.Bounds.PollRest)
			select {
			case <-time.After(pause):
			case <-round.Done():
			}
		}
		if over {
			select {
			case <-news:
			case <-ctx.Done():
			}
		}
		close(stop)
		cancel()
	}
}

// sighted brings a sight into the loop. One without a trace of the life says nothing while its launch is under way.
func (a *Agent) sighted(ctx context.Context, name string, s fleet.Observation, noTrace bool) {
	select {
	case <-ctx.Done():
	case a.work <- func(now fleet.Micros) {
		if in, _ := a.m.Instance(name); noTrace && in.ActionPending && in.LastAction == fleet.ActionLaunch {
			return
		}
		a.decide(now, fleet.InstanceObserved{Name: name, Observation: s})
	}:
	}
}

// interpretSilence finds out what became of an incarnation whose supervisor does not answer, from the supervisor's
// record and from the processes that it names.
func (a *Agent) interpretSilence(name, run string, missedPolls int) fleet.SilenceVerdict {
	return fleet.SupervisorSilence{Run: run, MissedPolls: missedPolls, Record: a.supervisorRecord(name)}.Interpret()
}

// supervisorRecord reads what the supervisor of an instance wrote down, and looks for its processes.
func (a *Agent) supervisorRecord(name string) fleet.SupervisorRecord {
	state, err := supervisor.ReadState(supervisor.PathsOf(a.o.Dir, name).State)
	switch {
	case errors.Is(err, supervisor.ErrNoState):
		return fleet.SupervisorRecord{State: fleet.RecordMissing}
	case err != nil:
		return fleet.SupervisorRecord{State: fleet.RecordUnreadable, Cause: err.Error()}
	}
	return fleet.SupervisorRecord{
		State: fleet.RecordRead, Run: state.Run, Ended: state.Ended, End: state.End, NotifiedStep: state.NotifiedStep,
		SupervisorAlive: state.Supervisor.Alive(), InstanceAlive: state.Instance.Alive(),
	}
}

// take carries a step out, without keeping the loop.
func (a *Agent) take(s fleet.Action) {
	if s.Kind == fleet.ActionAcquireUnit || s.Kind == fleet.ActionReleaseUnit {
		go a.unit(s)
		return
	}
	if s.Kind == fleet.ActionLaunch {
		if w := a.watchers[s.Name]; w != nil {
			if run, _ := w.now(); run != s.Incarnation {
				w.begin(s.Incarnation)
			}
		}
		spec := a.o.Spec
		go func() {
			a.launches <- struct{}{}
			err := a.launch(spec, s)
			<-a.launches
			if err != nil {
				a.failed(s, err, true)
			}
		}()
		return
	}
	go a.order(s)
}

func (a *Agent) failed(s fleet.Action, err error, final bool) {
	select {
	case <-a.done:
	case a.work <- func(now fleet.Micros) {
		a.decide(now, fleet.ActionFailed{Name: s.Name, ActionID: s.ID, Cause: err.Error(), Final: final})
	}:
	}
}

// order hands a notice or a kill to the keeper. Where the keeper does not take it, the instance gets it from here:
// a keeper that is stopped must not keep its instance from hearing.
func (a *Agent) order(s fleet.Action) {
	client := supervisor.NewClient(a.o.Dir, s.Name, a.o.Bounds)
	defer client.Close()
	err := client.Request(context.Background(), supervisor.StepRequest{Step: s.ID, Run: s.Incarnation, What: s.Kind, Cause: s.Cause})
	if err == nil {
		return
	}
	st, errState := supervisor.ReadState(supervisor.PathsOf(a.o.Dir, s.Name).State)
	if errState != nil || st.Run != s.Incarnation || st.Ended {
		return // it is over, which the watcher tells
	}
	slog.Warn("keeper", "name", s.Name, "step", s.ID, "error", err.Error())
	if s.Kind == fleet.ActionKill {
		err = st.Instance.KillGroup()
	} else {
		err = st.Instance.Signal(syscall.SIGTERM)
	}
	if err != nil && !errors.Is(err, process.ErrGone) {
		slog.Error("signal", "name", s.Name, "step", s.ID, "error", err.Error())
	}
}

// ExitSupervisorRunning is the exit code of a supervisor that found another one running.
const ExitSupervisorRunning = 6

// launch starts a keeper, unless one has this life already. An error means that trying again would not help.
func (a *Agent) launch(all *fleet.Spec, s fleet.Action) error {
	paths := supervisor.PathsOf(a.o.Dir, s.Name)
	if st, err := supervisor.ReadState(paths.State); err == nil && st.Run == s.Incarnation && (st.Ended || st.Supervisor.Alive()) {
		return nil // the same step came twice
	}
	spec := all.Instance(s.Name)
	window, err := ReadShutdownWindow(spec.ConfigFile)
	if err != nil {
		return fmt.Errorf("%s: %w", spec.ConfigFile, err)
	}
	args := append(a.o.Executable[1:len(a.o.Executable):len(a.o.Executable)], "keeper", "--dir", a.o.Dir, "--name", s.Name, "--run", s.Incarnation,
		"--grace", time.Duration(window.Grace*1000).String(), "--stop", time.Duration(window.ExitTimeout*1000).String(),
		"--config", spec.ConfigFile)
	if spec.DegradationFile != "" {
		args = append(args, "--levels", spec.DegradationFile)
	}
	if s.Adopt {
		args = append(args, "--adopt")
	}
	if all.Quotas != nil {
		for _, word := range all.Quotas.DrawSpecs(s.Name) {
			args = append(args, "--draw", word)
		}
	}
	args = append(args, "--")
	args = append(args, all.Program...)
	logPath := paths.Log + ".keeper"
	if info, err := os.Stat(logPath); err == nil && info.Size() > a.o.Bounds.LogBytes/16 { // some thousand lives
		os.Rename(logPath, logPath+".1")
	}
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(a.o.Executable[0], args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // what ends the agent does not end it
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		cmd.Wait()
		code := cmd.ProcessState.ExitCode()
		if code == 0 || code == ExitSupervisorRunning {
			return
		}
		if st, err := supervisor.ReadState(paths.State); err == nil && st.Run == s.Incarnation {
			return // it began, and what became of it stands there
		}
		a.failed(s, fmt.Errorf("the keeper ended with code %s: %s", strconv.Itoa(code), lastLine(logPath)), false)
	}()
	return nil
}

func lastLine(path string) string {
	raw, _ := os.ReadFile(path)
	raw = bytes.TrimSpace(raw)
	raw = raw[bytes.LastIndexByte(raw, '\n')+1:]
	return string(raw[:min(len(raw), 300)])
}

// checkLadder tells whether an instance can use its ladder.
func checkLadder(file string, b *config.Backend) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	l, err := degradation.ParsePolicy(file, raw)
	if err == nil {
		_, err = degradation.NewShedder(l, b.Settings.Operations, b.Settings.Tenants, 1)
	}
	return err
}

// CheckConfigs reads the configuration of each instance of a host; the error joins all that can't be used.
func CheckConfigs(s *fleet.Spec, host string) error {
	var errs []error
	listens := map[string]string{}
	for _, in := range s.InstancesOn(host) {
		b, err := config.Read(in.ConfigFile)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %s: %w", in.Name, in.ConfigFile, err))
			continue
		}
		if err := checkLadder(in.DegradationFile, b); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", in.Name, err))
		}
		if other := listens[in.Host+" "+b.Listen]; other != "" {
			errs = append(errs, fmt.Errorf("%s and %s listen on %s", other, in.Name, b.Listen))
		}
		listens[in.Host+" "+b.Listen] = in.Name
	}
	return errors.Join(errs...)
}
