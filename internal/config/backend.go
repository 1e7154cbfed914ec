package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"milletbarrow/admission"
)

// Backend is the configuration of one program.
type Backend struct {
	Name     string  `json:"name"`
	Listen   string  `json:"listen"`
	Executor string  `json:"agent"`
	Registry string  `json:"roster"`
	Seed     Seed    `json:"seed"`
	StopMs   float64 `json:"stop_ms"`
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings *Settings `json:"settings"`
	Shadow   *Settings `json:"watch"` // settings that are watched and not acted on; nil: none
	Hash     string    `json:"-"`     // of the file as it was read, 16 hex digits
}

// Seed starts the random numbers; in the file it is text of hex digits.
type Seed uint64

// UnmarshalJSON reads the hex digits.
func (s *Seed) UnmarshalJSON(raw []byte) error {
	var digits string
	if err := json.Unmarshal(raw, &digits); err != nil {
		return errors.New("seed: not text")
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not a number of up to 16 hex digits", digits)
	}
	*s = Seed(n)
	return nil
}

// Read decodes the configuration at path. An error names the field that cannot be used.
func Read(path string) (*Backend, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// ImmutableChanges names the fields that a later configuration gives anew though they cannot change while the program
// runs; the addresses of farm (the platform calls it agent) and roster can.
func (b *Backend) ImmutableChanges(later *Backend) (fields []string) {
	for _, f := range []struct {
		name string
		same bool
	}{
		{"name", b.Name == later.Name}, {"listen", b.Listen == later.Listen}, {"seed", b.Seed == later.Seed},
		{"stop_ms", b.StopMs == later.StopMs}, {"limits", b.Limits == later.Limits},
		{"settings", reflect.DeepEqual(b.Settings, later.Settings)},
	} {
		if !f.same {
			fields = append(fields, f.name)
		}
	}
	return fields
}

// Parse decodes a configuration.
func Parse(raw []byte) (*Backend, error) {
	var b Backend
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	b.Hash = fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return &b, b.check()
}

func (b *Backend) check() error {
	if b.Name == "" || !plain(b.Name) {
		return fmt.Errorf("name: %q is not a word", b.Name)
	}
	for _, a := range []struct{ field, address string }{
		{"listen", b.Listen}, {"agent", b.Executor}, {"roster", b.Registry},
	} {
		if to, err := netip.ParseAddrPort(a.address); err != nil || to.Port() == 0 && a.field != "listen" {
			return fmt.Errorf("%s: %q is not an address and a port", a.field, a.address)
		}
	}
	for _, n := range []struct {
		field       string
		value, most float64
	}{
		{"stop_ms", b.StopMs, 1e9}, {"limits.cores", b.Limits.Cores, 1024},
		{"limits.memory_mb", b.Limits.MemoryMB, 1e7}, {"limits.sockets", float64(b.Limits.Sockets), 1e7},
	} {
		if !(n.value > 0 && n.value <= n.most) {
			return fmt.Errorf("%s: %v is not above 0 and at most %v", n.field, n.value, n.most)
		}
	}
	if b.Settings == nil {
		return errors.New("settings: missing")
	}
	if err := b.Settings.check(); err != nil || b.Shadow == nil {
		return err
	}
	if err := b.Shadow.sound("watch"); err != nil {
		return err
	}
	switch w := b.Shadow; {
	case !slices.Equal(w.Operations, b.Settings.Operations):
		return fmt.Errorf("watch.classes: %q, and settings.classes has %q", w.Operations, b.Settings.Operations)
	case !slices.Equal(w.Tenants, b.Settings.Tenants):
		return fmt.Errorf("watch.projects: %q, and settings.projects has %q", w.Tenants, b.Settings.Tenants)
	case w.Admission.Cores != b.Settings.Admission.Cores:
		return fmt.Errorf("watch.family_info.n_cores: %d, and this machine has %d", w.Admission.Cores, b.Settings.Admission.Cores)
	}
	return nil
}

// plain: it stands in a line of words or a path as it is.
func plain(s string) bool {
	return !slices.ContainsFunc([]byte(s), func(c byte) bool { return c <= ' ' || c >= 0x7f || c == '/' })
}

// check tells what no backend could use, and what this program cannot do though the deployment asks for it. What the
// deployment only permits, and the frames and the farm's lines have no way for, is left unused: serving without it breaks
// nothing, while refusing to start serves nobody.
func (s *Settings) check() error {
	if err := s.sound("settings"); err != nil {
		return err
	}
	t := &s.Admission
	switch {
	case s.words.below != "off" && s.words.below != "":
		return fmt.Errorf("settings.family_info.below: %q, and calls below have no line here", s.words.below)
	}
	if s.words.freshMs > 0 {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.fresh_ms")
	}
	if s.words.say != "" && s.words.say != "off" {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.say")
		t.AdvertisedValue = admission.NothingAdvertised
	}
	if t.Preemption != admission.NoPreemption {
		s.IgnoredFields = append(s.IgnoredFields, "family_info.preemption")
		t.Preemption = admission.NoPreemption
	}
	return nil
}

// sound tells what no backend could use, or what contradicts itself; under is where the object stands.
func (s *Settings) sound(under string) error {
	t, words := &s.Admission, &s.words
	unsound := func(field, format string, args ...any) error {
		return fmt.Errorf("%s.%s: %s", under, field, fmt.Sprintf(format, args...))
	}
	switch {
	case len(t.Operations) == 0:
		return unsound("classes", "none")
	case t.Cores < 1:
		return unsound("family_info.n_cores", "%d", t.Cores)
	case !(t.MemoryKB > 0):
		return unsound("family_info.mem_limit_kb", "%v", t.MemoryKB)
	case !(t.RunFactor >= 1) || math.IsInf(t.RunFactor, 0):
		return unsound("family_info.run_factor", "%v", t.RunFactor)
	case t.AnswerSlack <= 0:
		return unsound("invariants.answer_slack_ms", "not above 0")
	case !(t.CollapseMultiple >= 1):
		return unsound("invariants.fall_multiple", "%v", t.CollapseMultiple)
	case words.worthBy != "" && words.worthBy != "request" && words.worthBy != "work":
		return unsound("worth_by", "%q is neither request nor work", words.worthBy)
	case words.preemption != "" && !has(preemptions, words.preemption):
		return unsound("family_info.preemption", "%q is none of off, discard and freeze", words.preemption)
	case words.say != "" && !has(freeValues, words.say):
		return unsound("family_info.say", "%q is none of off, floor, allowance and weight", words.say)
	case !slices.Contains([]string{"", "off", "one_for_all", "tier"}, words.below):
		return unsound("family_info.below", "%q is none of off, one_for_all and tier", words.below)
	case t.SharedDependency && !(t.CallQuota > 0 && t.CallQuotaWindow > 0):
		return unsound("family_info.calls_out", "%v over %v us, and one dependency serves all", t.CallQuota, t.CallQuotaWindow)
	}
	for n, op := range t.Operations {
		field := fmt.Sprintf("classes[%d]", n)
		switch {
		case s.Operations[n] == "" || !plain(s.Operations[n]):
			return unsound(field+".name", "%q is not a word", s.Operations[n])
		case slices.Index(s.Operations, s.Operations[n]) != n:
			return unsound(field+".name", "%q stands twice", s.Operations[n])
		case op.Objective <= 0:
			return unsound(field+".aim_ms", "not above 0")
		case op.ClientTimeout <= 0:
			return unsound(field+".deadline_ms", "not above 0")
		case !has(repeats, words.repeats[n]):
			return unsound(field+".repeat", "%q is none of idempotent, deduplicated and at_most_once", words.repeats[n])
		case op.RetrySafety == admission.IdempotencyKeyed && op.RepeatWindow <= 0:
			return unsound(field+".window_ms", "not above 0, and repeats are to be known")
		case op.RetrySafety == admission.IdempotencyKeyed && !(t.IdempotencyKeyKB > 0):
			return unsound("family_info.key_kb", "not above 0, and %s keeps keys", s.Operations[n])
		case !(op.Value >= 0) || math.IsInf(op.Value, 0):
			return unsound(field+".worth", "%v", op.Value)
		case !(op.LateValue >= 0 && op.LateValue <= 1):
			return unsound(field+".late_value", "%v is no part", op.LateValue)
		case !(op.ValueWithoutCall >= 0 && op.ValueWithoutCall <= 1):
			return unsound(fmt.Sprintf("family_info.degraded_worth[%d]", n), "%v is no part", op.ValueWithoutCall)
		case op.MakesCalls && words.below == "off":
			return unsound(fmt.Sprintf("family_info.class_calls[%d]", n), "true, and nothing lies below")
		}
	}
	for n, name := range s.Tenants {
		if name == "" || slices.Index(s.Tenants, name) != n {
			return unsound(fmt.Sprintf("projects[%d].name", n), "%q is empty or stands twice", name)
		}
	}
	return nil
}

func has[V any](words map[string]V, word string) bool { _, known := words[word]; return known }
