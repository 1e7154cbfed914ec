package harness

import (
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/failpoint"
	"milletbarrow/internal/process"
)

// startAgent starts a host's agent, which must not be running.
func (harness *Harness) startAgent(h *host) error {
	cmd := exec.Command(harness.options.Program, "agent", "--fleet", h.fleetFile, "--host", h.name, "--dir", h.dir)
	cmd.Env = harness.agentEnvironment(h)
	log, err := os.OpenFile(filepath.Join(harness.site.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.cmd, h.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// agentEnvironment returns the environment of a host's agent, which its supervisors and backends inherit.
func (harness *Harness) agentEnvironment(h *host) []string {
	env := append(os.Environ(),
		directoryVariable+"="+harness.site.Dir,
		"MILLETBARROW_STAMPS="+filepath.Join(harness.site.Dir, "stamps"),
		"MILLETBARROW_TRIAL_CLOCK="+strconv.Itoa(harness.clockSkew(h)),
		failpoint.FaultVariable+"="+failpointAt(harness.options.Failpoint, h.name),
		failpoint.CrashDirVariable+"="+filepath.Join(harness.site.Dir, "points", h.name))
	if c := harness.options.Schedule.ColdStart; c != nil && c.FixedReports {
		env = append(env, "MILLETBARROW_REPORTS_FIXED=true")
	}
	return env
}

// clockSkew returns by how many parts per million a host's lease clocks run fast. The hosts are evenly spread from the
// slowest to the fastest.
func (harness *Harness) clockSkew(h *host) int {
	last := len(harness.hosts) - 1
	if last == 0 {
		return 0
	}
	return -harness.options.Schedule.Skew + 2*harness.options.Schedule.Skew*slices.Index(harness.hosts, h)/last
}

// failpointAt returns the failpoint to enable in a host's agent. NAME applies to all hosts, NAME@HOST to one.
func failpointAt(fault, host string) string {
	if name, at, one := strings.Cut(fault, "@"); !one || at == host {
		return name
	}
	return ""
}

// hasEnded reports whether the host's agent has ended. It must have been started.
func (h *host) hasEnded() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// killAgent kills the host's agent, if it was ever started, and waits for its end.
func (h *host) killAgent() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

// Processes returns the running agents, supervisors and backends.
func (harness *Harness) Processes() (all []process.Identity) {
	for _, h := range harness.hosts {
		if h.cmd != nil {
			if id, err := process.Of(h.cmd.Process.Pid); err == nil {
				all = append(all, id)
			}
		}
		for _, name := range h.backends {
			record := harness.processesOf(h, name)
			for _, id := range []process.Identity{record.Supervisor, record.Backend} {
				if id.Alive() {
					all = append(all, id)
				}
			}
		}
	}
	return all
}

// limitFiles stops the growth of a process's files, as a full disk would, or allows it again.
func limitFiles(pid int, on bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		l.Cur = 1
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// supervisorRecord identifies a backend's processes, as its supervisor recorded them in a file.
type supervisorRecord struct {
	Supervisor process.Identity `json:"keeper"`
	Backend    process.Identity `json:"instance"`
}

// processesOf returns the processes of a backend, or the zero value if its supervisor has recorded none.
func (harness *Harness) processesOf(h *host, name string) (record supervisorRecord) {
	f, err := os.Open(filepath.Join(h.dir, "keepers", name+".json"))
	if err != nil {
		return record
	}
	defer func() { _ = f.Close() }()
	_ = json.NewDecoder(io.LimitReader(f, 1<<16)).Decode(&record) // a record not yet written identifies no process
	return record
}
