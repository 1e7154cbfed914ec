package fleet

import (
	"errors"
	"path/filepath"
	"time"

	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
)

// Bounds of the durations in a fleet's file.
const (
	minSpan = time.Millisecond
	maxSpan = 24 * time.Hour
)

// specReader reads a fleet's file into the embedded Spec.
type specReader struct {
	*Spec
	errs     *sexpr.Errors
	subjects []SpecSubject // of the errors found so far, in the same order
}

// attribute sets the subject of the errors found since its last call.
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

// err returns the errors found, each as a *SpecError, joined; nil if there are none.
func (r *specReader) err() error {
	r.attribute(SpecSubject{})
	errs := r.found()
	for i, err := range errs {
		errs[i] = &SpecError{SpecSubject: r.subjects[i], Err: err}
	}
	return errors.Join(errs...)
}

// ReadSpec reads a fleet's file. file is its path, which errors contain; paths in it are relative to its directory. The
// error is a *sexpr.Error if src can't be parsed as S-expressions; else it joins a *SpecError for each error found.
func ReadSpec(file string, src []byte, bounds limits.Control) (*Spec, error) {
	nodes, err := sexpr.Parse(file, src)
	if err != nil {
		return nil, err
	}
	warnings := formerSpecNames.Update(file, nodes)
	errs := &sexpr.Errors{File: file}
	forms := sexpr.Forms(nodes, errs)
	if len(forms) != 1 || forms[0].Name != "fleet" {
		errs.Add(sexpr.Place{Line: 1, Column: 1}, "", "wanted one list that begins with fleet")
		return nil, (&specReader{errs: errs}).err()
	}
	form := forms[0]
	spec := &Spec{
		Name:          form.Arg(),
		Program:       form.Words("program"),
		RollingUpdate: DefaultRollingUpdate(),
		Warnings:      warnings,
		instances:     map[string]*InstanceSpec{},
	}
	r := &specReader{Spec: spec, errs: errs}
	r.readHosts(form)
	for _, group := range form.All("group") {
		r.readGroup(group, filepath.Dir(file))
	}
	r.checkInstanceCounts(form, bounds.Instances)
	if update := form.Field("rolling-update"); update != nil {
		r.RollingUpdateQuota = update.Text("quota", "")
		r.RollingUpdate = readRollingUpdate(update, r.RollingUpdate)
	}
	if quotas := form.Field("quotas"); quotas != nil {
		r.readQuotas(quotas)
	}
	if coldStart := form.Field("cold-start"); coldStart != nil {
		r.readColdStart(coldStart)
	}
	if r.RollingUpdateQuota != "" && !r.hasConcurrencyQuota(r.RollingUpdateQuota) {
		form.Fail("rolling-update", "this file has no quota %q with a count", r.RollingUpdateQuota)
	}
	form.Done()
	return spec, r.err()
}

// readHosts reads the (host ...) forms.
func (r *specReader) readHosts(form *sexpr.Form) {
	for _, hostForm := range form.All("host") {
		r.readHost(hostForm)
	}
	if len(r.Hosts) == 0 {
		form.Fail("", "found no host, wanted at least one")
	}
}

// readHost reads a (host ...) form.
func (r *specReader) readHost(form *sexpr.Form) {
	r.attribute(SpecSubject{})
	host := HostSpec{
		Name:         readName(form),
		AgentAddress: form.Text("agent", ""),
		PeerAddress:  form.Text("peer", ""),
	}
	form.Done()
	if r.Host(host.Name) != nil {
		form.Fail("", "duplicate host %q", host.Name)
	}
	if err := CheckAddress(host.AgentAddress); err != nil {
		form.Fail("agent", "%v", err)
	}
	if host.PeerAddress != "" && checkTCPAddress(host.PeerAddress) != nil {
		form.Fail("peer", "%q is not 127.x.x.x:PORT", host.PeerAddress)
	}
	r.attribute(SpecSubject{Host: host.Name})
	r.Hosts = append(r.Hosts, host)
}

// checkInstanceCounts reports a fleet without instances, and hosts with more than maxInstances instances.
func (r *specReader) checkInstanceCounts(form *sexpr.Form, maxInstances int) {
	if len(r.instances) == 0 {
		form.Fail("", "found no instance, wanted at least one")
	}
	r.attribute(SpecSubject{})
	for _, host := range r.Hosts {
		if n := len(r.InstancesOn(host.Name)); n > maxInstances {
			form.Fail("", "host %q has %d instances, one agent manages at most %d", host.Name, n, maxInstances)
			r.attribute(SpecSubject{Host: host.Name})
		}
	}
}

// readName reads the only argument of a form as a name.
func readName(form *sexpr.Form) string {
	name := form.Arg()
	if err := CheckName(name); err != nil {
		form.Fail("", "%v", err)
	}
	return name
}
