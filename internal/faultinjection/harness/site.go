package harness

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"milletbarrow/internal/demo"
	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/proxy"
	"milletbarrow/internal/faultinjection/registry"
	"milletbarrow/internal/simulation"
)

// Open creates the trial's directory, files and links. It starts no agent.
func Open(o Options) (*Harness, error) {
	o.setDefaults()
	harness := &Harness{
		options: o,
		totals:  map[string]int{},
		limits:  checker.Limits{},
		faults:  map[string]int{},
		version: 1,
	}
	harness.scenario = harness.newScenario()
	if err := harness.startSite(); err != nil {
		return nil, err
	}
	if err := harness.prepare(); err != nil {
		return nil, errors.Join(err, harness.Close())
	}
	return harness, nil
}

// startSite starts the fake executors and, for a cold start, the fake endpoint registry.
func (harness *Harness) startSite() (err error) {
	registryAddress := ""
	if c := harness.options.Schedule.ColdStart; c != nil {
		if harness.registry, err = registry.Start(demo.Loopback()+":0", c.RegistryBehavior); err != nil {
			return err
		}
		registryAddress = harness.registry.Address
	}
	scenario := harness.scenario
	if harness.site, err = demo.NewSiteWithRegistry(
		&scenario,
		harness.options.Program,
		registryAddress,
	); err != nil &&
		harness.registry != nil {
		err = errors.Join(err, harness.registry.Close())
	}
	return err
}

// prepare starts the watchdog and creates the trial's directories, links and fleet files.
func (harness *Harness) prepare() (err error) {
	if harness.watchdog, err = startWatchdog(harness.site.Dir); err != nil {
		return err
	}
	for _, dir := range []string{"stamps", "points", "copies"} {
		if err := os.Mkdir(filepath.Join(harness.site.Dir, dir), 0o700); err != nil {
			return err
		}
	}
	if err := harness.createHosts(); err != nil {
		return err
	}
	var names, peers []string
	for _, h := range harness.hosts {
		names, peers = append(names, h.name), append(peers, h.peerAddress)
	}
	if harness.mesh, err = proxy.NewMesh(names, peers); err != nil {
		return err
	}
	return harness.writeFiles()
}

// setDefaults replaces zero values by the documented defaults.
func (o *Options) setDefaults() {
	if o.Logf == nil {
		o.Logf = func(string, ...any) {}
	}
	if len(o.Quotas) == 0 {
		o.Quotas = StandardQuotas(o.Schedule.Backends)
	}
	if o.SettleTime == 0 {
		o.SettleTime = 300 * time.Millisecond
	}
	if o.Lease == 0 {
		o.Lease, o.Margin = 2*time.Second, 100*time.Millisecond
	}
}

// newScenario returns the demo's load with a tenant for each quota, and stores the quotas' totals.
func (harness *Harness) newScenario() simulation.Scenario {
	s := demo.Scenario(harness.options.Schedule.Backends, harness.options.Schedule.Span)
	s.Faults, s.Load.Level = nil, harness.options.Schedule.Load
	sum := 0.0
	for _, quota := range harness.options.Quotas {
		sum += float64(quota.Total)
	}
	for _, quota := range harness.options.Quotas {
		total := float64(quota.Total)
		s.Tenants = append(s.Tenants, simulation.Tenant{Name: quota.Tenant, Share: total / sum, Quota: total})
		harness.totals[quota.Name] = quota.Total
	}
	if harness.options.ModifyLoad != nil {
		harness.options.ModifyLoad(&s)
	}
	return s
}

// createHosts creates each host's directory and addresses, and assigns the backends to the hosts in turn.
func (harness *Harness) createHosts() error {
	for i := range harness.options.Schedule.Hosts {
		peer, err := harness.site.FreeAddress()
		if err != nil {
			return err
		}
		name := fmt.Sprint("h", i+1)
		h := &host{
			name:        name,
			dir:         filepath.Join(harness.site.Dir, name),
			peerAddress: peer,
			fleetFile:   filepath.Join(harness.site.Dir, name+".sx"),
		}
		h.agentAddress = "unix:" + filepath.Join(harness.site.Dir, name+".sock")
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

// writeFiles writes each host's fleet file. All files describe the same fleet, but each has its own proxy addresses for
// the other hosts.
func (harness *Harness) writeFiles() error {
	for _, h := range harness.hosts {
		var b strings.Builder
		fmt.Fprintf(&b, "(fleet trial (program %q)\n", harness.options.Program)
		harness.writeHosts(&b, h)
		harness.writeGroups(&b)
		harness.writeQuotas(&b)
		b.WriteString(")\n")
		if err := os.WriteFile(h.fleetFile+".new", []byte(b.String()), 0o600); err != nil {
			return err
		}
		if err := os.Rename(h.fleetFile+".new", h.fleetFile); err != nil {
			return err
		}
	}
	return nil
}

// writeHosts writes the hosts with the addresses at which one of them reaches the others.
func (harness *Harness) writeHosts(b *strings.Builder, from *host) {
	for _, h := range harness.hosts {
		peer := h.peerAddress
		if h != from {
			peer = harness.mesh.Link(from.name, h.name).Address
		}
		fmt.Fprintf(b, " (host %s (agent %q) (peer %q))\n", h.name, h.agentAddress, peer)
	}
}

// writeGroups writes a group for each host with backends.
func (harness *Harness) writeGroups(b *strings.Builder) {
	const form = " (group g-%[1]s (host %[1]s) (config \"%%n.json\") (instances %[2]s)" +
		" (start-within 20s) (settle %[3]v) (restart (max 100) (within 1m)))\n"
	for _, h := range harness.hosts {
		if len(h.backends) > 0 {
			fmt.Fprintf(b, form, h.name, strings.Join(h.backends, " "), harness.options.SettleTime)
		}
	}
}

// writeQuotas writes the rolling update, the quotas and, if the schedule has one, the cold start.
func (harness *Harness) writeQuotas(b *strings.Builder) {
	b.WriteString(" (rolling-update (max-unavailable 4) (min-ready-share 0) (stall-timeout 2m) (max-failures 100)" +
		" (quota out))\n")
	fmt.Fprintf(b, " (quotas (version %d) (quota-store", harness.version)
	for _, h := range harness.hosts {
		fmt.Fprintf(b, " %s", h.name)
	}
	b.WriteString(")\n")
	const form = "  (quota %s (rate %d) (tenant %s) (floor %d) (divide %s) (lease %v) (margin %v))\n"
	options := &harness.options
	for _, q := range options.Quotas {
		total := harness.totals[q.Name]
		fmt.Fprintf(b, form, q.Name, total, q.Tenant, q.Floor, q.Division, options.Lease, options.Margin)
	}
	fmt.Fprintf(b, "  (quota out (count %d))", MaxUnavailable)
	if c := options.Schedule.ColdStart; c != nil && c.MaxConcurrent > 0 {
		fmt.Fprintf(b, "\n  (quota starts (count %d) (reserve-per-host yes)))\n"+
			" (cold-start (quota starts) (initial-concurrent 2) (max-failures 8))", c.MaxConcurrent)
	} else {
		b.WriteString(")")
	}
}
