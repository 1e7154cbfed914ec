// Package fleet decides about many instances: the life of each, what commands do to it, how a rolling wave goes
// over all, and how often a thing is tried again. It does no I/O and holds no clock: facts and time go in, steps
// to take come out. What it must remember over a restart it names, and takes back by Restore; it is the agent
// that writes it down before any step is taken.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
)

// Micros is a point on the machine's own clock, or a span, in whole microseconds. Setting the wall clock does
// not move it; it begins anew with each start of the machine.
type Micros int64

func micros(d time.Duration) Micros { return Micros(d.Microseconds()) }

// Spec is a fleet as its file describes it. Its tags are the names that fleet check --json prints.
type Spec struct {
	Name               string
	Program            []string // starts an instance; serve and its flags are appended. Empty: this program
	Hosts              []HostSpec
	Groups             []GroupSpec
	RollingUpdate      RollingUpdateConfig `json:"Wave"`       // what a wave has if its command does not say
	RollingUpdateQuota string              `json:"WaveBudget"` // the count of which each instance that a wave has out holds a unit; empty: none
	ColdStart          *coldstart.Config   `json:"Rise"`       // nil: none can be asked for
	ColdStartQuota     string              `json:"RiseBudget"` // the count of which each that starts in a rise holds a unit until it is warm
	Quotas             *quota.Config       `json:"Budgets"`    // nil: nothing is shared
	QuotaHosts         []string            `json:"Ledger"`     // hosts whose agents keep it
	instances          map[string]*InstanceSpec
}

// HostSpec is a machine with an agent.
type HostSpec struct {
	Name         string
	AgentAddress string `json:"Agent"` // unix:PATH or loopback ADDRESS:PORT
	PeerAddress  string `json:"Peer"`  // loopback ADDRESS:PORT for the agents of other hosts; empty: it talks to none
}

// GroupSpec is a set of instances that serve the same, on one host.
type GroupSpec struct {
	Name, Host      string
	StartWithin     Micros // from its start to ready
	Settle          Micros // ready for so long before the next leaves: caches warm, lists follow
	MaxLaunches     int    `json:"Launches"` // at most so many by itself within the span below, then it stays failed
	LaunchWindow    Micros `json:"Within"`
	Labels          []string
	DegradationFile string   `json:"Levels"` // the ladder's file; empty: none
	Instances       []string // in the file's order, spares last
}

// InstanceSpec is one instance.
type InstanceSpec struct {
	Name, Host, Group, ConfigFile string
	DegradationFile               string `json:"Levels"`
	Spare                         bool   // runs only while a wave with surge needs it
	Labels                        []string
}

// WaveTerms say how a wave goes.
type RollingUpdateConfig struct {
	MaxInProgress      int     `json:"width"`        // instances out at once, 1 or more
	MinReady           int     `json:"least_count"`  // ready in each group, at all times
	MinReadyShare      float64 `json:"least_share"`  // and of those that are to be up, 0 to 1
	Order              string  `json:"order"`        // file, name, or spread (over groups in turn)
	Surge              int     `json:"surge"`        // spares of each group that are ready before the first leaves
	MaxFailures        int     `json:"failures"`     // more than so many pause the wave
	ReadyWithin        Micros  `json:"ready_within"` // 0: the group's
	StallTimeout       Micros  `json:"stall"`        // unable to go on for so long, it pauses and says why
	MaxRejectedShare   float64 `json:"turned_away"`  // share throttled or errored that pauses it; 1: never
	RejectionTolerance Micros  `json:"turned_for"`   // if it lasts so long
}

// DefaultWave is a careful wave: one at a time, three quarters ready, no failure.
func DefaultRollingUpdate() RollingUpdateConfig {
	return RollingUpdateConfig{
		MaxInProgress: 1, MinReadyShare: 0.75, Order: "file", StallTimeout: micros(time.Minute), MaxRejectedShare: 1,
		RejectionTolerance: micros(5 * time.Second),
	}
}

// Check tells of terms that no wave could go by.
func (w RollingUpdateConfig) Check() error {
	switch {
	case w.MaxInProgress < 1 || w.MaxInProgress > 10_000:
		return fmt.Errorf("width: %d is not from 1 to 10000", w.MaxInProgress)
	case w.MinReady < 0:
		return fmt.Errorf("least_count: %d is below 0", w.MinReady)
	case !(w.MinReadyShare >= 0 && w.MinReadyShare <= 1):
		return fmt.Errorf("least_share: %v is not from 0 to 1", w.MinReadyShare)
	case !slices.Contains([]string{"file", "name", "spread"}, w.Order):
		return fmt.Errorf("order: %q is none of file, name, spread", w.Order)
	case w.Surge < 0 || w.MaxFailures < 0 || w.ReadyWithin < 0 || w.StallTimeout <= 0 || w.RejectionTolerance < 0:
		return fmt.Errorf("surge, failures and times: {Width:%d LeastCount:%d LeastShare:%v Order:%s Surge:%d Failures:%d ReadyWithin:%d "+
			"Stall:%d TurnedAway:%v TurnedFor:%d} holds one below 0, or no stall",
			w.MaxInProgress, w.MinReady, w.MinReadyShare, w.Order, w.Surge, w.MaxFailures, w.ReadyWithin, w.StallTimeout, w.MaxRejectedShare, w.RejectionTolerance)
	case !(w.MaxRejectedShare > 0 && w.MaxRejectedShare <= 1):
		return fmt.Errorf("turned_away: %v is not above 0 and at most 1", w.MaxRejectedShare)
	}
	return nil
}

// least is how many of a group must stay ready if so many are to be up.
func (w RollingUpdateConfig) minReady(up int) int {
	return max(w.MinReady, int(math.Ceil(w.MinReadyShare*float64(up)-1e-9)))
}

// Find is the instance of that name, or nil.
func (s *Spec) Instance(name string) *InstanceSpec { return s.instances[name] }

// Group is the group of that name, or nil.
func (s *Spec) Group(name string) *GroupSpec {
	for i := range s.Groups {
		if s.Groups[i].Name == name {
			return &s.Groups[i]
		}
	}
	return nil
}

// Host is the host of that name, or nil.
func (s *Spec) Host(name string) *HostSpec {
	for i := range s.Hosts {
		if s.Hosts[i].Name == name {
			return &s.Hosts[i]
		}
	}
	return nil
}

// Of lists a host's instances in the file's order; of all hosts if host is empty.
func (s *Spec) InstancesOn(host string) (all []*InstanceSpec) {
	for _, g := range s.Groups {
		for _, name := range g.Instances {
			if host == "" || g.Host == host {
				all = append(all, s.instances[name])
			}
		}
	}
	return all
}

const (
	minSpan = time.Millisecond
	maxSpan = 24 * time.Hour
)

// ReadSpec reads a fleet's file; file is its name in errors and its directory that of relative configurations.
// The error joins all that is wrong, each with its place.
func ReadSpec(file string, src []byte, b limits.Control) (*Spec, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "fleet" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with fleet")
		return nil, errs.Err()
	}
	f := forms[0]
	s := &Spec{Name: f.Arg(), Program: f.Words("program"), instances: map[string]*InstanceSpec{}, RollingUpdate: DefaultRollingUpdate()}
	for _, h := range f.All("host") {
		host := HostSpec{Name: parseName(h), AgentAddress: h.Text("agent", ""), PeerAddress: h.Text("peer", "")}
		if h.Done(); s.Host(host.Name) != nil {
			h.Fail("", "host %q stands twice", host.Name)
		}
		if err := CheckAddress(host.AgentAddress); err != nil {
			h.Fail("agent", "%v", err)
		}
		if host.PeerAddress != "" && (strings.HasPrefix(host.PeerAddress, "unix:") || CheckAddress(host.PeerAddress) != nil) {
			h.Fail("peer", "%q is not 127.x.x.x:PORT", host.PeerAddress)
		}
		s.Hosts = append(s.Hosts, host)
	}
	if len(s.Hosts) == 0 {
		f.Fail("", "no host")
	}
	for _, g := range f.All("group") {
		s.readGroup(g, filepath.Dir(file))
	}
	if len(s.instances) == 0 {
		f.Fail("", "no instance")
	}
	for _, h := range s.Hosts {
		if n := len(s.InstancesOn(h.Name)); n > b.Names {
			f.Fail("", "host %q has %d instances, at most %d can be managed by one agent", h.Name, n, b.Names)
		}
	}
	if w := f.Field("wave"); w != nil {
		s.RollingUpdateQuota = w.Text("budget", "")
		s.RollingUpdate = readRollingUpdate(w, s.RollingUpdate)
	}
	if b := f.Field("budgets"); b != nil {
		s.readQuotas(b)
	}
	if r := f.Field("rise"); r != nil {
		s.readColdStart(r)
	}
	if s.RollingUpdateQuota != "" && !s.hasCountQuota(s.RollingUpdateQuota) {
		f.Fail("wave", "budget %q is no count of this file", s.RollingUpdateQuota)
	}
	f.Done()
	return s, errs.Err()
}

// name is a form's only word, which stands in file names, paths and lines of words.
func parseName(f *sexpr.Form) string {
	word := f.Arg()
	if err := CheckName(word); err != nil {
		f.Fail("", "%v", err)
	}
	return word
}

// CheckName tells whether a name of a host, group, instance or command can be used: letters, digits, dots,
// dashes and underscores, up to 40 of them, not beginning with a dot or a dash.
func CheckName(s string) error {
	bad := func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' || r == '.')
	}
	if s == "" || len(s) > 40 || s[0] == '.' || s[0] == '-' || strings.ContainsFunc(s, bad) {
		return fmt.Errorf("%q is no name: letters, digits, . - _ and at most 40 of them", s)
	}
	return nil
}

// CheckAddress tells whether an agent's address can be used: unix:PATH, or a loopback address with a port.
func CheckAddress(a string) error {
	if path, ok := strings.CutPrefix(a, "unix:"); ok {
		if !filepath.IsAbs(path) || len(path) > 100 {
			return fmt.Errorf("%q is no absolute path of at most 100 bytes", path)
		}
		return nil
	}
	host, port, ok := strings.Cut(a, ":")
	n, err := strconv.Atoi(port)
	if !ok || err != nil || n < 1 || n > 65535 || !strings.HasPrefix(host, "127.") {
		return fmt.Errorf("%q is neither unix:PATH nor 127.x.x.x:PORT", a)
	}
	return nil
}

func (s *Spec) readGroup(f *sexpr.Form, dir string) {
	g := GroupSpec{
		Name: parseName(f), Host: f.Text("host", ""), Labels: f.Words("labels"),
		StartWithin: micros(f.Span("start-within", minSpan, maxSpan, 30*time.Second)),
		Settle:      micros(f.Span("settle", 0, maxSpan, time.Second)),
		MaxLaunches: 3, LaunchWindow: micros(time.Minute),
	}
	if r := f.Field("restart"); r != nil {
		g.MaxLaunches = r.Int("most", 0, 1000, g.MaxLaunches)
		g.LaunchWindow = micros(r.Span("within", minSpan, maxSpan, time.Minute))
		r.Done()
	}
	if g.Host == "" && len(s.Hosts) == 1 {
		g.Host = s.Hosts[0].Name
	}
	if s.Host(g.Host) == nil {
		f.Fail("host", "%q is no host of this file", g.Host)
	}
	if s.Group(g.Name) != nil {
		f.Fail("", "group %q stands twice", g.Name)
	}
	config := f.Text("config", "")
	if config == "" {
		f.Fail("config", "missing: the configuration's path, with %%n for the instance's name")
	} else if !filepath.IsAbs(config) {
		config = filepath.Join(dir, config)
	}
	if g.DegradationFile = f.Text("levels", ""); g.DegradationFile != "" && !filepath.IsAbs(g.DegradationFile) {
		g.DegradationFile = filepath.Join(dir, g.DegradationFile)
	}
	add := func(sub string, names []string, spare bool) {
		for _, name := range names {
			if err := CheckName(name); err != nil {
				f.Fail(sub, "%v", err)
				continue
			}
			if s.instances[name] != nil {
				f.Fail(sub, "instance %q stands twice", name)
				continue
			}
			s.instances[name] = &InstanceSpec{
				Name: name, Host: g.Host, Group: g.Name, ConfigFile: strings.ReplaceAll(config, "%n", name), Spare: spare,
				Labels: g.Labels, DegradationFile: g.DegradationFile,
			}
			g.Instances = append(g.Instances, name)
		}
	}
	names := f.Words("instances")
	if r := f.Field("range"); r != nil { // (range n 1 40): n1 to n40
		words := r.Args(3, 3)
		if r.Done(); len(words) == 3 {
			from, err1 := strconv.Atoi(words[1])
			to, err2 := strconv.Atoi(words[2])
			if err1 != nil || err2 != nil || from < 0 || to < from || to-from >= 10_000 {
				f.Fail("range", "found %q, wanted a name and the first and last number", strings.Join(words, " "))
			} else {
				for n := from; n <= to; n++ {
					names = append(names, words[0]+strconv.Itoa(n))
				}
			}
		}
	}
	if len(names) > 1 && config != "" && !strings.Contains(config, "%n") {
		f.Fail("config", "found %q for %d instances, wanted %%n in it", config, len(names))
	}
	add("instances", names, false)
	add("spares", f.Words("spares"), true)
	if len(g.Instances) == 0 {
		f.Fail("", "no instance")
	}
	f.Done()
	s.Groups = append(s.Groups, g)
}

func readRollingUpdate(f *sexpr.Form, w RollingUpdateConfig) RollingUpdateConfig {
	const many = 10_000
	span := func(name string, or Micros) Micros {
		return micros(f.Span(name, 0, maxSpan, time.Duration(or)*time.Microsecond))
	}
	w.MaxInProgress = f.Int("width", 1, many, w.MaxInProgress)
	w.MinReady = f.Int("least-count", 0, many, w.MinReady)
	w.MinReadyShare = f.Share("least-share", 0, 1, w.MinReadyShare)
	w.Order = f.OneOf("order", "file", "name", "spread")
	w.Surge = f.Int("surge", 0, many, w.Surge)
	w.MaxFailures = f.Int("failures", 0, many, w.MaxFailures)
	w.ReadyWithin, w.StallTimeout, w.RejectionTolerance = span("ready-within", 0), span("stall", w.StallTimeout), span("turned-for", w.RejectionTolerance)
	w.MaxRejectedShare = f.Share("turned-away", 0, 1, w.MaxRejectedShare)
	f.Done()
	if err := w.Check(); err != nil {
		f.Fail("", "%v", err)
	}
	return w
}

// Selection names instances: those that match any of the lists; All of them but spares.
type Selection struct {
	All    bool     `json:"all,omitempty"`
	Names  []string `json:"names,omitempty"`
	Groups []string `json:"groups,omitempty"`
	Labels []string `json:"labels,omitempty"`
	Hosts  []string `json:"hosts,omitempty"`
}

// Empty tells whether it asks for nothing.
func (q Selection) Empty() bool {
	return !q.All && len(q.Names)+len(q.Groups)+len(q.Labels)+len(q.Hosts) == 0
}

// Select lists what the selection names, in the file's order, each once. A word that matches nothing is an
// error: a misspelt name must not pass for done.
func (s *Spec) Select(q Selection) ([]*InstanceSpec, error) {
	if q.Empty() {
		return nil, fmt.Errorf("no instance is selected: give names, --group, --label, --host or --all")
	}
	met := map[string]bool{}
	var found []*InstanceSpec
	for _, in := range s.InstancesOn("") {
		match := q.All && !in.Spare
		hit := func(kind string, wanted []string, has ...string) {
			for _, h := range has {
				if slices.Contains(wanted, h) {
					met[kind+h] = true
					match = match || !in.Spare || kind == "instance "
				}
			}
		}
		hit("instance ", q.Names, in.Name)
		hit("group ", q.Groups, in.Group)
		hit("label ", q.Labels, in.Labels...)
		hit("host ", q.Hosts, in.Host)
		if match {
			found = append(found, in)
		}
	}
	for kind, words := range map[string][]string{"instance ": q.Names, "group ": q.Groups, "label ": q.Labels, "host ": q.Hosts} {
		for _, w := range words {
			if !met[kind+w] {
				return nil, fmt.Errorf("%s%q matches nothing in fleet %s", kind, w, s.Name)
			}
		}
	}
	return found, nil
}

// ordered puts names in the order of a wave; place is each one's place in the file.
func rolloutOrder(order string, names []string, place func(string) int, group func(string) string) []string {
	byFile := func(a, b string) int { return cmp.Compare(place(a), place(b)) }
	out := slices.Clone(names)
	switch order {
	case "name":
		slices.Sort(out)
	case "spread":
		slices.SortFunc(out, byFile)
		seen, turn := map[string]int{}, map[string]int{}
		for _, n := range out {
			turn[n] = seen[group(n)]
			seen[group(n)]++
		}
		slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(turn[a], turn[b]) })
	default:
		slices.SortFunc(out, byFile)
	}
	return out
}

// sortedKeys lists a map's keys in order, so that the same facts always give the same steps.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
