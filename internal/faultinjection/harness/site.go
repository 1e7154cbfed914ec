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
func Open(o Options) (g *Harness, err error) {
	o.setDefaults()
	g = &Harness{options: o, totals: map[string]int{}, limits: checker.Limits{}, faults: map[string]int{}, version: 1}
	g.scenario = g.makeScenario()
	registryAddress := ""
	if o.Table.ColdStart != nil {
		if g.register, err = registry.Start(demo.Loopback()+":0", o.Table.ColdStart.Register); err != nil {
			return nil, err
		}
		registryAddress = g.register.Address
	}
	s := g.scenario
	if g.site, err = demo.NewSiteWithRegistry(&s, o.Program, registryAddress); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			_ = g.Close()
		}
	}()
	for _, d := range []string{"stamps", "points", "copies"} {
		if err := os.Mkdir(filepath.Join(g.site.Dir, d), 0o700); err != nil {
			return nil, err
		}
	}
	if err := g.layHosts(); err != nil {
		return nil, err
	}
	var names, peers []string
	for _, h := range g.hosts {
		names, peers = append(names, h.name), append(peers, h.peer)
	}
	if g.mesh, err = proxy.NewMesh(names, peers); err != nil {
		return nil, err
	}
	return g, g.writeFiles()
}

func (o *Options) setDefaults() {
	if o.Say == nil {
		o.Say = func(string, ...any) {}
	}
	if len(o.Budgets) == 0 {
		o.Budgets = StandardQuotas(o.Table.Backends)
	}
	if o.Lease == 0 {
		o.Lease, o.Margin = 2*time.Second, 100*time.Millisecond
	}
}

// makeScenario makes the load of the demo with a tenant for each quota, and notes the quotas' sizes.
func (g *Harness) makeScenario() simulation.Scenario {
	s := demo.Scenario(g.options.Table.Backends, g.options.Table.Span)
	s.Faults, s.Load.Level = nil, g.options.Table.Load
	sum := 0.0
	for _, b := range g.options.Budgets {
		sum += float64(b.Whole)
	}
	for _, b := range g.options.Budgets {
		s.Tenants = append(s.Tenants, simulation.Tenant{Name: b.Tenant, Share: float64(b.Whole) / sum, Quota: float64(b.Whole)})
		g.totals[b.Name] = b.Whole
	}
	if g.options.Moves != nil {
		g.options.Moves(&s)
	}
	return s
}

// layHosts makes each host's directory and address; backends are dealt out in turn. The ports are held until all are drawn, so
// that no two hosts get the same one.
func (g *Harness) layHosts() error {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	for i := range g.options.Table.Hosts {
		l, err := net.Listen("tcp", g.site.Loopback+":0")
		if err != nil {
			return err
		}
		held = append(held, l)
		name := fmt.Sprint("h", i+1)
		h := &host{name: name, dir: filepath.Join(g.site.Dir, name), peer: l.Addr().String(), file: filepath.Join(g.site.Dir, name+".sx")}
		h.agent = "unix:" + filepath.Join(g.site.Dir, name+".sock")
		if err := os.Mkdir(h.dir, 0o700); err != nil {
			return err
		}
		for b := i; b < g.options.Table.Backends; b += g.options.Table.Hosts {
			h.names = append(h.names, g.site.Names[b])
		}
		g.hosts = append(g.hosts, h)
	}
	return nil
}

// writeFiles writes each host's fleet's file: the same fleet, where others are reached by this host's own links.
func (g *Harness) writeFiles() error {
	for i, h := range g.hosts {
		var b strings.Builder
		fmt.Fprintf(&b, "(fleet trial (program %q)\n", g.options.Program)
		for j, other := range g.hosts {
			at := other.peer
			if j != i {
				at = g.mesh.Link(h.name, other.name).Address
			}
			fmt.Fprintf(&b, " (host %s (agent %q) (peer %q))\n", other.name, other.agent, at)
		}
		for _, other := range g.hosts {
			if len(other.names) > 0 {
				fmt.Fprintf(&b, " (group g-%s (host %s) (config \"%%n.json\") (instances %s) (start-within 20s) (settle 300ms) (restart (most 100) (within 1m)))\n",
					other.name, other.name, strings.Join(other.names, " "))
			}
		}
		fmt.Fprintf(&b, " (wave (width 4) (least-share 0) (stall 2m) (failures 100) (budget out))\n (budgets (version %d) (ledger", g.version)
		for _, other := range g.hosts {
			fmt.Fprintf(&b, " %s", other.name)
		}
		b.WriteString(")\n")
		for _, one := range g.options.Budgets {
			fmt.Fprintf(&b, "  (budget %s (rate %d) (tenant %s) (floor %d) (divide %s) (lease %v) (margin %v))\n",
				one.Name, g.totals[one.Name], one.Tenant, one.Floor, one.Divide, g.options.Lease, g.options.Margin)
		}
		fmt.Fprintf(&b, "  (budget out (count %d))", MaxUnavailable)
		if c := g.options.Table.ColdStart; c != nil && c.MaxConcurrent > 0 {
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
func (g *Harness) startAgent(h *host) error {
	cmd := exec.Command(g.options.Program, "agent", "--fleet", h.file, "--host", h.name, "--dir", h.dir)
	skew := 0
	if n := len(g.hosts); n > 1 && g.options.Table.Skew > 0 { // evenly from the slowest to the fastest
		for i, other := range g.hosts {
			if other == h {
				skew = -g.options.Table.Skew + 2*g.options.Table.Skew*i/(n-1)
			}
		}
	}
	cmd.Env = append(os.Environ(), "MILLETBARROW_STAMPS="+filepath.Join(g.site.Dir, "stamps"), failpoint.FaultVariable+"="+failpointAt(g.options.Failpoint, h.name),
		failpoint.CrashDirVariable+"="+filepath.Join(g.site.Dir, "points", h.name), "MILLETBARROW_TRIAL_CLOCK="+strconv.Itoa(skew))
	if c := g.options.Table.ColdStart; c != nil && c.FixedReports {
		cmd.Env = append(cmd.Env, "MILLETBARROW_REPORTS_FIXED=true")
	}
	log, err := os.OpenFile(filepath.Join(g.site.Dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
func (g *Harness) Close() error {
	for _, h := range g.hosts {
		h.mu.Lock()
		if h.cmd != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			h.killAgent()
		}
		h.mu.Unlock()
	}
	g.sweep()
	if g.mesh != nil {
		g.mesh.Close()
	}
	if g.register != nil {
		_ = g.register.Close()
	}
	return g.site.Close()
}

// sweep ends supervisors and backends by what supervisors wrote down of them: both are known by pid and start.
func (g *Harness) sweep() {
	for _, h := range g.hosts {
		for _, name := range h.names {
			id := g.incarnation(h, name)
			_ = id.Keeper.Signal(syscall.SIGKILL)
			_ = id.Instance.KillGroup()
		}
	}
}

// Processes are all that run now: agents, supervisors and backends.
func (g *Harness) Processes() (all []process.Identity) {
	for _, h := range g.hosts {
		if h.cmd != nil {
			if id, err := process.Of(h.cmd.Process.Pid); err == nil {
				all = append(all, id)
			}
		}
		for _, name := range h.names {
			l := g.incarnation(h, name)
			for _, id := range []process.Identity{l.Keeper, l.Instance} {
				if id.Alive() {
					all = append(all, id)
				}
			}
		}
	}
	return all
}

// full lets a process's files grow no more, as a full disk would.
func full(pid int, on bool) error {
	l := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		l.Cur = 1
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &l, nil)
}

// incarnation is who a backend's processes are, by its supervisor's file.
type incarnation struct {
	Keeper   process.Identity `json:"keeper"`
	Instance process.Identity `json:"instance"`
}

func (g *Harness) incarnation(h *host, name string) (l incarnation) {
	f, err := os.Open(filepath.Join(h.dir, "keepers", name+".json"))
	if err != nil {
		return l
	}
	defer func() { _ = f.Close() }()
	_ = json.NewDecoder(io.LimitReader(f, 1<<16)).Decode(&l) // what is not written yet names no process
	return l
}
