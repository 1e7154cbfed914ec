package fleet

import (
	"errors"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

const (
	minSpan = time.Millisecond
	maxSpan = 24 * time.Hour
)

// specReader reads a fleet's file into its Spec.
type specReader struct {
	*Spec
	errs     *sexpr.Errors
	subjects []SpecSubject // of the errors found so far, in their order
}

// attribute says what the errors are about that were found since its last call.
func (r *specReader) attribute(subject SpecSubject) {
	for found := len(r.found()); len(r.subjects) < found; {
		r.subjects = append(r.subjects, subject)
	}
}

// found lists the errors found so far.
func (r *specReader) found() []error {
	joined, ok := r.errs.Err().(interface{ Unwrap() []error })
	if !ok {
		return nil
	}
	return joined.Unwrap()
}

// err joins a *SpecError for each error found.
func (r *specReader) err() error {
	r.attribute(SpecSubject{})
	errs := r.found()
	for i, err := range errs {
		errs[i] = &SpecError{SpecSubject: r.subjects[i], Err: err}
	}
	return errors.Join(errs...)
}

// ReadSpec reads a fleet's file; file is its name in errors, and its directory that of relative paths in it.
// The error is an *sexpr.Error where src is no S-expression; else it joins a *SpecError for all that is wrong.
func ReadSpec(file string, src []byte, b limits.Control) (*Spec, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "fleet" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with fleet")
		return nil, (&specReader{errs: errs}).err()
	}
	f := forms[0]
	s := &Spec{Name: f.Arg(), Program: f.Words("program"), instances: map[string]*InstanceSpec{}, RollingUpdate: DefaultRollingUpdate()}
	r := &specReader{Spec: s, errs: errs}
	r.readHosts(f)
	for _, g := range f.All("group") {
		r.readGroup(g, filepath.Dir(file))
	}
	r.checkInstanceCounts(f, b.Instances)
	if w := f.Field("wave"); w != nil {
		s.RollingUpdateQuota = w.Text("budget", "")
		s.RollingUpdate = readRollingUpdate(w, s.RollingUpdate)
	}
	if b := f.Field("budgets"); b != nil {
		r.readQuotas(b)
	}
	if rise := f.Field("rise"); rise != nil {
		r.readColdStart(rise)
	}
	if s.RollingUpdateQuota != "" && !s.hasCountQuota(s.RollingUpdateQuota) {
		f.Fail("wave", "budget %q is no count of this file", s.RollingUpdateQuota)
	}
	f.Done()
	return s, r.err()
}

// readHosts reads the (host ...) forms.
func (r *specReader) readHosts(f *sexpr.Form) {
	for _, h := range f.All("host") {
		r.attribute(SpecSubject{})
		host := HostSpec{Name: parseName(h), AgentAddress: h.Text("agent", ""), PeerAddress: h.Text("peer", "")}
		if h.Done(); r.Host(host.Name) != nil {
			h.Fail("", "host %q stands twice", host.Name)
		}
		if err := CheckAddress(host.AgentAddress); err != nil {
			h.Fail("agent", "%v", err)
		}
		if host.PeerAddress != "" && (strings.HasPrefix(host.PeerAddress, "unix:") || CheckAddress(host.PeerAddress) != nil) {
			h.Fail("peer", "%q is not 127.x.x.x:PORT", host.PeerAddress)
		}
		r.attribute(SpecSubject{Host: host.Name})
		r.Hosts = append(r.Hosts, host)
	}
	if len(r.Hosts) == 0 {
		f.Fail("", "no host")
	}
}

// checkInstanceCounts reports of a fleet without instances, and of hosts with more than one agent can manage.
func (r *specReader) checkInstanceCounts(f *sexpr.Form, most int) {
	if len(r.instances) == 0 {
		f.Fail("", "no instance")
	}
	r.attribute(SpecSubject{})
	for _, h := range r.Hosts {
		if n := len(r.InstancesOn(h.Name)); n > most {
			f.Fail("", "host %q has %d instances, at most %d can be managed by one agent", h.Name, n, most)
			r.attribute(SpecSubject{Host: h.Name})
		}
	}
}

// readGroup reads a (group ...) form; dir is the directory of relative paths.
func (r *specReader) readGroup(f *sexpr.Form, dir string) {
	r.attribute(SpecSubject{})
	g := GroupSpec{
		Name: parseName(f), Host: f.Text("host", ""), Labels: f.Words("labels"),
		StartWithin: monotime.FromDuration(f.Span("start-within", minSpan, maxSpan, 30*time.Second)),
		Settle:      monotime.FromDuration(f.Span("settle", 0, maxSpan, time.Second)),
		MaxLaunches: 3, LaunchWindow: monotime.FromDuration(time.Minute),
	}
	if restart := f.Field("restart"); restart != nil {
		g.MaxLaunches = restart.Int("most", 0, 1000, g.MaxLaunches)
		g.LaunchWindow = monotime.FromDuration(restart.Span("within", minSpan, maxSpan, time.Minute))
		restart.Done()
	}
	if g.Host == "" && len(r.Hosts) == 1 {
		g.Host = r.Hosts[0].Name
	}
	if r.Host(g.Host) == nil {
		f.Fail("host", "%q is no host of this file", g.Host)
	}
	if r.Group(g.Name) != nil {
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
	names := append(f.Words("instances"), readRange(f)...)
	if len(names) > 1 && config != "" && !strings.Contains(config, "%n") {
		f.Fail("config", "found %q for %d instances, wanted %%n in it", config, len(names))
	}
	r.addInstances(f, &g, config, "instances", names)
	r.addInstances(f, &g, config, "spares", f.Words("spares"))
	if len(g.Instances) == 0 {
		f.Fail("", "no instance")
	}
	f.Done()
	r.attribute(SpecSubject{Group: g.Name})
	r.Groups = append(r.Groups, g)
}

// addInstances adds the instances that a field of a group names.
func (r *specReader) addInstances(f *sexpr.Form, g *GroupSpec, config, field string, names []string) {
	r.attribute(SpecSubject{Group: g.Name})
	for _, name := range names {
		if err := CheckName(name); err != nil {
			f.Fail(field, "%v", err)
			r.attribute(SpecSubject{Group: g.Name, Instance: name})
			continue
		}
		if r.instances[name] != nil {
			f.Fail(field, "instance %q stands twice", name)
			r.attribute(SpecSubject{Group: g.Name, Instance: name})
			continue
		}
		r.instances[name] = &InstanceSpec{
			Name: name, Host: g.Host, Group: g.Name, ConfigFile: strings.ReplaceAll(config, "%n", name), Spare: field == "spares",
			Labels: g.Labels, DegradationFile: g.DegradationFile,
		}
		g.Instances = append(g.Instances, name)
	}
}

// maxRange bounds the instances of one range.
const maxRange = 10_000

// readRange reads the names of a range: (range n 1 40) is n1 to n40.
func readRange(f *sexpr.Form) (names []string) {
	r := f.Field("range")
	if r == nil {
		return nil
	}
	words := r.Args(3, 3)
	if r.Done(); len(words) != 3 {
		return nil
	}
	from, errFrom := strconv.Atoi(words[1])
	to, errTo := strconv.Atoi(words[2])
	if errFrom != nil || errTo != nil || from < 0 || to < from || to-from >= maxRange {
		f.Fail("range", "found %q, wanted a name and the first and last number", strings.Join(words, " "))
		return nil
	}
	for n := from; n <= to; n++ {
		names = append(names, words[0]+strconv.Itoa(n))
	}
	return names
}

// parseName reads a form's only word, which stands in file names, paths and lines of words.
func parseName(f *sexpr.Form) string {
	word := f.Arg()
	if err := CheckName(word); err != nil {
		f.Fail("", "%v", err)
	}
	return word
}
