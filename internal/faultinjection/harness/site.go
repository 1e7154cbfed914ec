package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/failpoint"
	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/faultinjection/registry"
	"milletbarrow/internal/process"
	"milletbarrow/internal/simulation"
)

// Open lays files and links; nothing runs yet.
func Open(o Options) (harness *Harness, err error) {
	o.setDefaults()
	harness = &Harness{options: o, totals: map[string]int{}, limits: checker.Limits{}, faults: map[string]int{}, version: 1}
	harness.scenario = harness.makeScenario()
	registryAddress := ""
	if o.Schedule.ColdStart != nil {
		if harness.registry, err = registry.Start(demo.Loopback()+":0", o.Schedule.ColdStart.Register); err != nil {
			return nil, err
		}
		registryAddress = harness.registry.Address
	}
	s := harness.scenario
	if harness.site, err = demo.NewSiteWithRegistry(&s, o.Program, registryAddress); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = harness.Close()
		}
	}()
	for _, d := range []string{"stamps", "points", "copies"} {
		if err := os.Mkdir(filepath.Join(harness.site.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	if err := harness.layHosts(); err != nil {
		return nil, err
	}
	var names, peers []string
	for _, h := range harness.hosts {
		names, peers = append(names, h.name), append(peers, h.peer)
	}
	if harness.mesh, err = proxy.NewMesh(names, peers); err != nil {
		return nil, err
	}
	return harness, harness.writeFiles()
}

func (o *Options) setDefaults() {
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if len(o.Quotas) == 0 {
		o.Quotas = StandardQuotas(o.Schedule.Backends)
	}
	if o.Lease == 0 {
		o.Lease, o.Margin = 2*time.Second, 100*time.Millisecond
	}
}

// makeScenario makes the load of the demo with a tenant for each quota, and notes the quotas' sizes.
func (harness *Harness) makeScenario() simulation.Scenario {
	s := demo.Scenario(harness.options.Schedule.Backends, harness.options.Schedule.Span)
	s.Faults, s.Load.Level = nil, harness.options.Schedule.Load
	sum := 0.0
	for _, b := range harness.options.Quotas {
		sum += float64(b.Total)
	}
	for _, b := range harness.options.Quotas {
		s.Tenants = append(s.Tenants, simulation.Tenant{Name: b.Tenant, Share: float64(b.Total) / sum, Quota: float64(b.Total)})
		harness.totals[b.Name] = b.Total
	}
	if harness.options.ModifyLoad != nil {
		harness.options.ModifyLoad(&s)
	}
	return s
}

// layHosts makes each host's directory and address; backends are dealt out in turn. The ports are held until all are drawn, so
// that no two hosts get the same one.
func (harness *Harness) layHosts() error {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for i := range harness.options.Schedule.Hosts {
		l, err := net.Listen("tcp", harness.site.Loopback+":0")
		if err != nil {
			return err
		}
		held = append(held, l)
		name := fmt.Sprint("h", i+1)
		h := &host{name: name, dir: filepath.Join(harness.site.Dir, name), peer: l.Addr().String(), file: filepath.Join(harness.site.Dir, name+".sx")}
		h.agent = "unix:" + filepath.Join(harness.site.Dir, name+".sock")
		if err := os.Mkdir(h.dir, 0o700); err != nil {
			return err
		}
		for b := i; b < harness.options.Schedule.Backends; b += harness.options.Schedule.Hosts {
			h.backends = append(h.backends, harness.site.Names[b])
		}
		harness.hosts = append(harness.hosts, h)
	}
	return nil
}

// writeFiles writes each host's fleet's file: the same fleet, where others are reached by this host's own links.
func (harness *Harness) writeFiles() error {
	for i, h := range harness.hosts {
		var b strings.Builder
		fmt.Fprintf(&b, "(fleet trial (program %q)\n", harness.options.Program)
		for j, other := range harness.hosts {
			at := other.peer
			if j != i {
				at = harness.mesh.Link(h.name, other.name).Address
			}
			fmt.Fprintf(&b, " (host %s (agent %q) (peer %q))\n", other.name, other.agent, at)
		}
		for _, other := range harness.hosts {
			if len(other.backends) > 0 {
				fmt.Fprintf(&b, " (group g-%s (host %s) (config \"%%n.json\") (instances %s) (start-within 20s) (settle 300ms) (restart (most 100) (within 1m)))\n",
					other.name, other.name, strings.Join(other.backends, " "))
			}
		}
		fmt.Fprintf(&b, " (wave (width 4) (least-share 0) (stall 2m) (failures 100) (budget out))\n (budgets (version %d) (ledger", harness.version)
		for _, other := range harness.hosts {
			fmt.Fprintf(&b, " %s", other.name)
		}
		b.WriteString(")\n")
		for _, one := range harness.options.Quotas {
			fmt.Fprintf(&b, "  (budget %s (rate %d) (tenant %s) (floor %d) (divide %s) (lease %v) (margin %v))\n",
				one.Name, harness.totals[one.Name], one.Tenant, one.Floor, one.Division, harness.options.Lease, harness.options.Margin)
		}
		fmt.Fprintf(&b, "  (budget out (count %d))", MaxUnavailable)
		if c := harness.options.Schedule.ColdStart; c != nil && c.MaxConcurrent > 0 {
			fmt.Fprintf(&b, "\n  (budget starts (count %d) (alone yes)))\n (rise (budget starts) (first 2) (failures 8))", c.MaxConcurrent)
		} else {
			b.WriteString(")")
		}
		b.WriteString(")\n")
		if err := os.WriteFile(h.file+".new", []byte(b.String()), 0o600); err != nil {
			return err
		}
		if err := os.Rename(h.file+".new", h.file); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts an agent that does not run.
func (harness *Harness) startAgent(h *host) error {
	cmd := exec.Command(harness.options.Program, "agent", "--fleet", h.file, "--host", h.name, "--dir", h.dir)
	skew := 0
	if n := len(harness.hosts); n > 1 && harness.options.Schedule.Skew > 0 { // evenly from the slowest to the fastest
		for i, other := range harness.hosts {
			if other == h {
				skew = -harness.options.Schedule.Skew + 2*harness.options.Schedule.Skew*i/(n-1)
			}
		}
	}
	cmd.Env = append(os.Environ(), "MILLETBARROW_STAMPS="+filepath.Join(harness.site.Dir, "stamps"), failpoint.FaultVariable+"="+failpointAt(harness.options.Failpoint, h.name),
		failpoint.CrashDirVariable+"="+filepath.Join(harness.site.Dir, "points", h.name), "MILLETBARROW_TRIAL_CLOCK="+strconv.Itoa(skew))
	if c := harness.options.Schedule.ColdStart; c != nil && c.FixedReports {
		cmd.Env = append(cmd.Env, "MILLETBARROW_REPORTS_FIXED=true")
	}
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

// failpointAt is the fault that a host's agent is started with: NAME everywhere, NAME@HOST at one host alone.
func failpointAt(fault, host string) string {
	if name, at, one := strings.Cut(fault, "@"); !one || at == host {
		return name
	}
	return ""
}

func (h *host) killAgent() {
	if h.cmd != nil {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

// Close ends every process that the trial began, and removes its directory.
func (harness *Harness) Close() error {
	for _, h := range harness.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			h.killAgent()
		}
		h.mu.Unlock()
	}
	harness.killSupervised()
	if harness.mesh != nil {
		harness.mesh.Close()
	}
	if harness.registry != nil {
		_ = harness.registry.Close()
	}
	return harness.site.Close()
}

// killSupervised ends supervisors and backends by what supervisors wrote down of them: both are known by pid and start.
func (harness *Harness) killSupervised() {
	for _, h := range harness.hosts {
		for _, name := range h.backends {
			id := harness.processesOf(h, name)
			_ = id.Supervisor.Signal(syscall.SIGKILL)
			_ = id.Backend.KillGroup()
		}
	}
}

// Processes are all that run now: agents, supervisors and backends.
func (harness *Harness) Processes() (all []process.Identity) {
	for _, h := range harness.hosts {
		if h.cmd != nil {
			if id, err := process.Of(h.cmd.Process.Pid); err == nil {
				all = append(all, id)
			}
		}
		for _, name := range h.backends {
			l := harness.processesOf(h, name)
			for _, id := range []process.Identity{l.Supervisor, l.Backend} {
				if id.Alive() {
					all = append(all, id)
				}
			}
		}
	}
	return all
}

// limitFiles lets a process's files grow no more, as a full disk would.
func limitFiles(pid int, on bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		l.Cur = 1
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// supervised is who a backend's processes are, by its supervisor's file.
type supervised struct {
	Supervisor process.Identity `json:"keeper"`
	Backend    process.Identity `json:"instance"`
}

func (harness *Harness) processesOf(h *host, name string) (l supervised) {
	f, err := os.Open(filepath.Join(h.dir, "keepers", name+".json"))
	if err != nil {
		return l
	}
	defer func() { _ = f.Close() }()
	_ = json.NewDecoder(io.LimitReader(f, 1<<16)).Decode(&l) // what is not written yet names no process
	return l
}
