package fleet

import (
	"errors"
	"slices"
	"strconv"
	"time"

	backendquota "milletbarrow/internal/backend/quota"
	"milletbarrow/internal/cluster/coldstart"
	"milletbarrow/internal/cluster/quorum"
	"milletbarrow/internal/cluster/quota"
	"milletbarrow/internal/sexpr"
	"milletbarrow/monotime"
)

// readQuotas reads the (budgets ...) form: the quotas that the fleet shares, and the hosts that keep their store.
func (r *specReader) readQuotas(f *sexpr.Form) {
	r.Quotas = &quota.Config{Version: uint64(f.Int("version", 1, 1<<40, 1))}
	r.QuotaHosts = f.Words("ledger")
	if len(r.QuotaHosts) == 0 && len(r.Hosts) == 1 {
		r.QuotaHosts = []string{r.Hosts[0].Name}
	}
	if err := quorum.ValidateMembers(r.QuotaHosts); err != nil {
		f.Fail("ledger", "%v", err)
	}
	if len(r.QuotaHosts) == 0 {
		f.Fail("ledger", "missing: the hosts whose agents keep the ledger")
	}
	for _, m := range r.QuotaHosts {
		if r.Host(m) == nil {
			f.Fail("ledger", "%q is no host of this file", m)
		}
	}
	if len(r.Hosts) > 1 {
		for _, h := range r.Hosts {
			if h.PeerAddress == "" {
				r.attribute(SpecSubject{})
				f.Fail("", "host %q has no (peer ADDRESS), and budgets are shared with it", h.Name)
				r.attribute(SpecSubject{Host: h.Name})
			}
		}
	}
	for _, b := range f.All("budget") {
		r.readQuota(b)
	}
	if n := len(r.Quotas.Limits); n == 0 || n > backendquota.MaxBudgets {
		f.Fail("", "%d budgets, there can be 1 to %d", n, backendquota.MaxBudgets)
	}
	f.Done()
}

// readQuota reads a (budget ...) form.
func (r *specReader) readQuota(f *sexpr.Form) {
	r.attribute(SpecSubject{})
	b := quota.Limit{Name: quota.LimitName(parseName(f))}
	if r.Quotas.Lookup(b.Name) != nil {
		f.Fail("", "budget %q stands twice", b.Name)
	}
	rate, count := f.Int("rate", 0, backendquota.MaxRate, 0), f.Int("count", 0, backendquota.MaxRate, 0)
	switch {
	case rate > 0 && count == 0:
		b.Kind, b.Total = quota.Rate, int64(rate)
		r.readRate(f, &b)
	case count > 0 && rate == 0:
		b.Kind, b.Total = quota.Concurrency, int64(count)
		if f.OneOf("alone", "no", "yes") == "yes" {
			b.Reserved = int64(len(r.Hosts))
		}
	default:
		f.Fail("", "wanted either (rate UNITS-A-SECOND) or (count UNITS)")
	}
	f.Done()
	if b.Kind != "" {
		if err, ok := errors.AsType[*quota.LimitError](b.Validate()); ok {
			f.Fail(err.Field, "%s", err.Reason)
		}
	}
	r.attribute(SpecSubject{Quota: string(b.Name)})
	r.Quotas.Limits = append(r.Quotas.Limits, b)
}

// readRate reads the fields of a rate quota.
func (r *specReader) readRate(f *sexpr.Form, b *quota.Limit) {
	b.Tenant = f.Text("tenant", "")
	b.Division = quota.Division(f.OneOf("divide", string(quota.DivideByDemand), string(quota.DivideEvenly), string(quota.DivideByCapacity)))
	b.Step = int64(f.Int("step", 1, backendquota.MaxRate, 1))
	b.Lease = monotime.FromDuration(f.Span("lease", 100*time.Millisecond, time.Hour, 3*time.Second))
	margin := max(b.Lease/20, quota.MinClockMargin(b.Lease))
	b.ClockMargin = monotime.Micros(f.Span("margin", 0, time.Hour, time.Duration(margin)*time.Microsecond).Microseconds())
	if b.Tenant == "" {
		f.Fail("tenant", "missing: whose work draws from it")
	}
	floor := int64(f.Int("floor", 0, backendquota.MaxRate, 0))
	groups := f.Words("groups")
	b.Floors, b.Weights = map[quota.InstanceName]int64{}, map[quota.InstanceName]int64{}
	for _, g := range groups {
		if r.Group(g) == nil {
			f.Fail("groups", "%q is no group of this file", g)
		}
	}
	for _, in := range r.InstancesOn("") {
		if len(groups) == 0 || slices.Contains(groups, in.Group) {
			b.Floors[quota.InstanceName(in.Name)] = floor
		}
	}
	own := func(field string, least int64, to map[quota.InstanceName]int64) { // (floors (n1 4) (n2 2))
		sub := f.Field(field)
		if sub == nil {
			return
		}
		for name := range b.Floors {
			for _, one := range sub.All(string(name)) {
				word := one.Arg()
				if n, err := strconv.ParseInt(word, 10, 64); err != nil || n < least || n > backendquota.MaxRate {
					one.Fail("", "found %q, wanted a whole number from %d to %d", word, least, int64(backendquota.MaxRate))
				} else {
					to[name] = n
				}
				one.Done()
			}
		}
		sub.Done()
	}
	own("floors", 0, b.Floors)
	own("weights", 1, b.Weights)
}

// readColdStart reads the (rise ...) form.
func (r *specReader) readColdStart(f *sexpr.Form) {
	r.ColdStartQuota = f.Text("budget", "")
	t := &coldstart.Config{
		MinServing: f.Share("least", 0, 1, 0.1), MaxFailures: int64(f.Int("failures", 1, 100_000, 8)), SlowFactor: f.Share("slow", 1, 1000, 3),
		MaxRejected: f.Share("refused", 0, 1, 0.1), InitialConcurrent: int64(f.Int("first", 0, 100_000, 0)),
	}
	f.Done()
	if !r.hasCountQuota(r.ColdStartQuota) {
		f.Fail("budget", "%q is no count of this file", r.ColdStartQuota)
		return
	}
	b := r.Quotas.Lookup(quota.LimitName(r.ColdStartQuota))
	if b.Reserved == 0 {
		f.Fail("budget", "%q has no (alone yes): a host that can't reach the ledger would start nothing for good", r.ColdStartQuota)
	}
	if t.MaxConcurrent = b.Total - b.Reserved; t.InitialConcurrent == 0 {
		t.InitialConcurrent = min(2, t.MaxConcurrent)
	}
	if err, ok := errors.AsType[*coldstart.ConfigError](t.Validate()); ok {
		f.Fail(err.Field, "%s", err.Reason)
	}
	r.ColdStart = t
}

// hasCountQuota reports whether there is a concurrency quota of that name.
func (s *Spec) hasCountQuota(name string) bool {
	if s.Quotas == nil {
		return false
	}
	b := s.Quotas.Lookup(quota.LimitName(name))
	return b != nil && b.Kind == quota.Concurrency
}
