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

// Bounds and defaults of the (quotas ...) form.
const (
	maxQuotaVersion = 1 << 40

	minLease            = 100 * time.Millisecond
	maxLease            = time.Hour
	defaultLease        = 3 * time.Second
	maxClockMargin      = time.Hour
	leasePerClockMargin = 20 // the default margin is a lease divided by this, but at least quota.MinClockMargin
)

// Bounds and defaults of the (cold-start ...) form.
const (
	defaultMinServing        = 0.1
	maxColdStartFailures     = 100_000
	defaultColdStartFailures = 8
	maxSlowFactor            = 1000
	defaultSlowFactor        = 3
	defaultMaxRejected       = 0.1
	maxInitialConcurrent     = 100_000
	defaultInitialConcurrent = 2
)

// readQuotas reads the (quotas ...) form: the quotas that the fleet shares, and the hosts that replicate the quota
// store.
func (r *specReader) readQuotas(form *sexpr.Form) {
	r.Quotas = &quota.Config{Version: uint64(form.Int("version", 1, maxQuotaVersion, 1))}
	r.readQuotaHosts(form)
	r.checkPeerAddresses(form)
	for _, quotaForm := range form.All("quota") {
		r.readQuota(quotaForm)
	}
	if n := len(r.Quotas.Limits); n == 0 || n > backendquota.MaxBudgets {
		form.Fail("", "found %d quotas, wanted 1 to %d", n, backendquota.MaxBudgets)
	}
	form.Done()
}

// readQuotaHosts reads the hosts whose agents replicate the quota store. In a fleet of one host, that host is the
// default.
func (r *specReader) readQuotaHosts(form *sexpr.Form) {
	r.QuotaHosts = form.Words("quota-store")
	if len(r.QuotaHosts) == 0 && len(r.Hosts) == 1 {
		r.QuotaHosts = []string{r.Hosts[0].Name}
	}
	if err := quorum.ValidateMembers(r.QuotaHosts); err != nil {
		form.Fail("quota-store", "%v", err)
	}
	if len(r.QuotaHosts) == 0 {
		form.Fail("quota-store", "missing, wanted the hosts whose agents keep the quota store")
	}
	for _, host := range r.QuotaHosts {
		if r.Host(host) == nil {
			form.Fail("quota-store", "unknown host %q", host)
		}
	}
}

// checkPeerAddresses reports the hosts without a peer address, if the fleet has more than one host.
func (r *specReader) checkPeerAddresses(form *sexpr.Form) {
	if len(r.Hosts) == 1 {
		return
	}
	for _, host := range r.Hosts {
		if host.PeerAddress == "" {
			r.attribute(SpecSubject{})
			form.Fail("", "host %q has no (peer ADDRESS), which the hosts that share quotas need", host.Name)
			r.attribute(SpecSubject{Host: host.Name})
		}
	}
}

// readQuota reads a (quota ...) form.
func (r *specReader) readQuota(form *sexpr.Form) {
	r.attribute(SpecSubject{})
	limit := quota.Limit{Name: quota.LimitName(readName(form))}
	if r.Quotas.Lookup(limit.Name) != nil {
		form.Fail("", "duplicate quota %q", limit.Name)
	}
	rate := form.Int("rate", 0, backendquota.MaxRate, 0)
	count := form.Int("count", 0, backendquota.MaxRate, 0)
	switch {
	case rate > 0 && count == 0:
		limit.Kind = quota.Rate
		limit.Total = int64(rate)
		r.readRate(form, &limit)
	case count > 0 && rate == 0:
		limit.Kind = quota.Concurrency
		limit.Total = int64(count)
		if form.OneOf("reserve-per-host", "no", "yes") == "yes" {
			limit.Reserved = int64(len(r.Hosts))
		}
	default:
		form.Fail("", "wanted either (rate UNITS-A-SECOND) or (count UNITS)")
	}
	form.Done()
	if limit.Kind != "" {
		if err, ok := errors.AsType[*quota.LimitError](limit.Validate()); ok {
			form.Fail(err.Field, "%s", err.Reason)
		}
	}
	r.attribute(SpecSubject{Quota: string(limit.Name)})
	r.Quotas.Limits = append(r.Quotas.Limits, limit)
}

// readRate reads the fields of a rate quota.
func (r *specReader) readRate(form *sexpr.Form, limit *quota.Limit) {
	limit.Tenant = form.Text("tenant", "")
	limit.Division = quota.Division(form.OneOf("divide",
		string(quota.DivideByDemand), string(quota.DivideEvenly), string(quota.DivideByCapacity)))
	limit.Step = int64(form.Int("step", 1, backendquota.MaxRate, 1))
	limit.Lease = monotime.FromDuration(form.Span("lease", minLease, maxLease, defaultLease))
	margin := max(limit.Lease/leasePerClockMargin, quota.MinClockMargin(limit.Lease))
	limit.ClockMargin = monotime.FromDuration(form.Span("margin", 0, maxClockMargin, margin.Duration()))
	if limit.Tenant == "" {
		form.Fail("tenant", "missing, wanted the tenant whose requests use the quota")
	}
	floor := int64(form.Int("floor", 0, backendquota.MaxRate, 0))
	groups := form.Words("groups")
	for _, group := range groups {
		if r.Group(group) == nil {
			form.Fail("groups", "unknown group %q", group)
		}
	}
	limit.Floors = map[quota.InstanceName]int64{}
	for _, inst := range r.InstancesOn("") {
		if len(groups) == 0 || slices.Contains(groups, inst.Group) {
			limit.Floors[quota.InstanceName(inst.Name)] = floor
		}
	}
	limit.Weights = map[quota.InstanceName]int64{}
	readPerInstance(form, "floors", 0, limit.Floors, limit.Floors)
	readPerInstance(form, "weights", 1, limit.Floors, limit.Weights)
}

// readPerInstance reads a form such as (floors (n1 4) (n2 2)) into values. Only the instances that are keys of allowed
// are accepted.
func readPerInstance(form *sexpr.Form, field string, minValue int64, allowed, values map[quota.InstanceName]int64) {
	valuesForm := form.Field(field)
	if valuesForm == nil {
		return
	}
	for name := range allowed {
		for _, entry := range valuesForm.All(string(name)) {
			word := entry.Arg()
			value, err := strconv.ParseInt(word, 10, 64)
			if err != nil || value < minValue || value > backendquota.MaxRate {
				entry.Fail("", "found %q, wanted a whole number from %d to %d",
					word, minValue, int64(backendquota.MaxRate))
			} else {
				values[name] = value
			}
			entry.Done()
		}
	}
	valuesForm.Done()
}

// readColdStart reads the (cold-start ...) form.
func (r *specReader) readColdStart(form *sexpr.Form) {
	r.ColdStartQuota = form.Text("quota", "")
	config := &coldstart.Config{
		MinServing:        form.Share("min-serving-share", 0, 1, defaultMinServing),
		MaxFailures:       int64(form.Int("max-failures", 1, maxColdStartFailures, defaultColdStartFailures)),
		SlowFactor:        form.Share("slow-factor", 1, maxSlowFactor, defaultSlowFactor),
		MaxRejected:       form.Share("rejected-share", 0, 1, defaultMaxRejected),
		InitialConcurrent: int64(form.Int("initial-concurrent", 0, maxInitialConcurrent, 0)),
	}
	form.Done()
	if !r.hasConcurrencyQuota(r.ColdStartQuota) {
		form.Fail("quota", "this file has no quota %q with a count", r.ColdStartQuota)
		return
	}
	limit := r.Quotas.Lookup(quota.LimitName(r.ColdStartQuota))
	if limit.Reserved == 0 {
		form.Fail("quota",
			"quota %q has no (reserve-per-host yes): a host without the quota store could never start an instance",
			r.ColdStartQuota)
	}
	config.MaxConcurrent = limit.Total - limit.Reserved
	if config.InitialConcurrent == 0 {
		config.InitialConcurrent = min(defaultInitialConcurrent, config.MaxConcurrent)
	}
	if err, ok := errors.AsType[*coldstart.ConfigError](config.Validate()); ok {
		form.Fail(err.Field, "%s", err.Reason)
	}
	r.ColdStart = config
}

// hasConcurrencyQuota reports whether there is a concurrency quota of that name.
func (s *Spec) hasConcurrencyQuota(name string) bool {
	if s.Quotas == nil {
		return false
	}
	limit := s.Quotas.Lookup(quota.LimitName(name))
	return limit != nil && limit.Kind == quota.Concurrency
}
