package config

import (
	"fmt"
	"math"
	"net/netip"
	"slices"

	"milletbarrow/admission"
)

// Limits of the numbers in a configuration file.
const (
	maxStopMs   = 1e9
	maxCores    = 1024
	maxMemoryMB = 1e7
	maxSockets  = 1e7
)

func (b *Backend) validate() error {
	if err := b.validateProcess(); err != nil {
		return err
	}
	if b.Settings == nil {
		return fieldError("settings", "missing")
	}
	if err := b.Settings.validateSupported(); err != nil || b.Shadow == nil {
		return err
	}
	return b.validateShadow()
}

// validateProcess checks the names, addresses and numbers outside the settings.
func (b *Backend) validateProcess() error {
	if b.Name == "" || !isWord(b.Name) {
		return fieldError("name", "%q is not a word", b.Name)
	}
	for _, a := range []struct{ field, address string }{
		{"listen", b.Listen}, {"agent", b.Executor}, {"roster", b.Registry},
	} {
		if to, err := netip.ParseAddrPort(a.address); err != nil || to.Port() == 0 && a.field != "listen" {
			return fieldError(a.field, "%q is not an address and a port", a.address)
		}
	}
	for _, n := range []struct {
		field      string
		value, max float64
	}{
		{"stop_ms", b.StopMs, maxStopMs}, {"limits.cores", b.Limits.Cores, maxCores},
		{"limits.memory_mb", b.Limits.MemoryMB, maxMemoryMB},
		{"limits.sockets", float64(b.Limits.Sockets), maxSockets},
	} {
		if !(n.value > 0 && n.value <= n.max) {
			return fieldError(n.field, "%v is not above 0 and at most %v", n.value, n.max)
		}
	}
	return nil
}

// validateShadow checks that the same events can be given to an instance with the shadow settings.
func (b *Backend) validateShadow() error {
	if err := b.Shadow.validate("watch"); err != nil {
		return err
	}
	shadow, settings := b.Shadow, b.Settings
	switch {
	case !slices.Equal(shadow.Operations, settings.Operations):
		return fieldError("watch.classes", "%q, and settings.classes has %q", shadow.Operations, settings.Operations)
	case !slices.Equal(shadow.Tenants, settings.Tenants):
		return fieldError("watch.projects", "%q, and settings.projects has %q", shadow.Tenants, settings.Tenants)
	case shadow.Admission.Cores != settings.Admission.Cores:
		return fieldError("watch.family_info.n_cores", "%d, and this machine has %d",
			shadow.Admission.Cores, settings.Admission.Cores)
	}
	return nil
}

// isWord: s can be one of several names on a line, or a part of a path, without quotes.
func isWord(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(c byte) bool { return c <= ' ' || c >= 0x7f || c == '/' })
}

// validateSupported refuses settings that no backend could use, and those that require what this program cannot do.
// What they only permit, and frames and the executor's protocol have no way for, is left unused and named in
// IgnoredFields: serving without it breaks nothing, while refusing to start serves nobody.
func (s *Settings) validateSupported() error {
	if err := s.validate("settings"); err != nil {
		return err
	}
	if s.choices.dependency != "off" && s.choices.dependency != "" {
		return fieldError("settings.family_info.below", "%q, and calls below have no line here", s.choices.dependency)
	}
	if s.choices.freshMs > 0 {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.fresh_ms")
	}
	if s.choices.advertisedValue != "" && s.choices.advertisedValue != "off" {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.say")
		s.Admission.AdvertisedValue = admission.NothingAdvertised
	}
	if s.Admission.Preemption != admission.NoPreemption {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.preemption")
		s.Admission.Preemption = admission.NoPreemption
	}
	return nil
}

// validate refuses what no backend could use, or what contradicts itself; object names the settings in errors.
func (s *Settings) validate(object string) error {
	if err := s.validateDeployment(object); err != nil {
		return err
	}
	if err := s.validateChoices(object); err != nil {
		return err
	}
	for n := range s.Operations {
		if err := s.validateOperation(object, n); err != nil {
			return err
		}
	}
	for n, name := range s.Tenants {
		if name == "" || slices.Index(s.Tenants, name) != n {
			return fieldError(fmt.Sprintf("%s.projects[%d].name", object, n), "%q is empty or stands twice", name)
		}
	}
	return nil
}

func (s *Settings) validateDeployment(object string) error {
	a := &s.Admission
	switch {
	case len(a.Operations) == 0:
		return fieldError(object+".classes", "none")
	case a.Cores < 1:
		return fieldError(object+".family_info.n_cores", "%d", a.Cores)
	case !(a.MemoryKB > 0):
		return fieldError(object+".family_info.mem_limit_kb", "%v", a.MemoryKB)
	case !(a.RunFactor >= 1) || math.IsInf(a.RunFactor, 0):
		return fieldError(object+".family_info.run_factor", "%v", a.RunFactor)
	case a.AnswerSlack <= 0:
		return fieldError(object+".invariants.answer_slack_ms", "not above 0")
	case !(a.CollapseMultiple >= 1):
		return fieldError(object+".invariants.fall_multiple", "%v", a.CollapseMultiple)
	}
	return nil
}

func (s *Settings) validateChoices(object string) error {
	a, c := &s.Admission, &s.choices
	switch {
	case c.valueBy != "" && c.valueBy != "request" && c.valueBy != "work":
		return fieldError(object+".worth_by", "%q is neither request nor work", c.valueBy)
	case c.preemption != "" && !has(preemptions, c.preemption):
		return fieldError(object+".family_info.preemption", "%q is none of off, discard and freeze", c.preemption)
	case c.advertisedValue != "" && !has(advertisedValues, c.advertisedValue):
		return fieldError(object+".family_info.say", "%q is none of off, floor, allowance and weight", c.advertisedValue)
	case !slices.Contains([]string{"", "off", "one_for_all", "tier"}, c.dependency):
		return fieldError(object+".family_info.below", "%q is none of off, one_for_all and tier", c.dependency)
	case a.SharedDependency && !(a.CallQuota > 0 && a.CallQuotaWindow > 0):
		return fieldError(object+".family_info.calls_out", "%v over %v us, and one dependency serves all",
			a.CallQuota, a.CallQuotaWindow)
	}
	return nil
}

func (s *Settings) validateOperation(object string, n int) error {
	op, name, field := &s.Admission.Operations[n], s.Operations[n], fmt.Sprintf("%s.classes[%d]", object, n)
	switch {
	case name == "" || !isWord(name):
		return fieldError(field+".name", "%q is not a word", name)
	case slices.Index(s.Operations, name) != n:
		return fieldError(field+".name", "%q stands twice", name)
	case op.Objective <= 0:
		return fieldError(field+".aim_ms", "not above 0")
	case op.ClientTimeout <= 0:
		return fieldError(field+".deadline_ms", "not above 0")
	case !has(retrySafeties, s.choices.retrySafety[n]):
		return fieldError(field+".repeat", "%q is none of idempotent, deduplicated and at_most_once",
			s.choices.retrySafety[n])
	case op.RetrySafety == admission.IdempotencyKeyed && op.RepeatWindow <= 0:
		return fieldError(field+".window_ms", "not above 0, and repeats are to be known")
	case op.RetrySafety == admission.IdempotencyKeyed && !(s.Admission.IdempotencyKeyKB > 0):
		return fieldError(object+".family_info.key_kb", "not above 0, and %s keeps keys", name)
	case !(op.Value >= 0) || math.IsInf(op.Value, 0):
		return fieldError(field+".worth", "%v", op.Value)
	case !(op.LateValue >= 0 && op.LateValue <= 1):
		return fieldError(field+".late_value", "%v is no part", op.LateValue)
	case !(op.ValueWithoutCall >= 0 && op.ValueWithoutCall <= 1):
		return fieldError(fmt.Sprintf("%s.family_info.degraded_worth[%d]", object, n), "%v is no part", op.ValueWithoutCall)
	case op.MakesCalls && s.choices.dependency == "off":
		return fieldError(fmt.Sprintf("%s.family_info.class_calls[%d]", object, n), "true, and nothing lies below")
	}
	return nil
}

func has[V any](choices map[string]V, choice string) bool {
	_, known := choices[choice]
	return known
}
