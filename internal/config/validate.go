package config

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"strings"

	"milletbarrow/admission"
)

// Bounds of the numbers in a configuration file.
const (
	maxStopMs   = 1e9
	maxCores    = 1024
	maxMemoryMB = 1e7
	maxSockets  = 1e7
)

// validate returns an error unless this program can run with the configuration.
func (b *Backend) validate() error {
	if err := b.validateProcess(); err != nil {
		return err
	}
	if b.Settings == nil {
		return fieldError(settingsPath, "missing")
	}
	if err := b.Settings.validateSupported(); err != nil || b.Shadow == nil {
		return err
	}
	return b.validateShadow()
}

// validateProcess checks the name, addresses and numbers outside the settings.
func (b *Backend) validateProcess() error {
	if !isName(b.Name) {
		return fieldError(namePath, "%q is not a name: expected printable ASCII without spaces and slashes", b.Name)
	}
	for _, field := range []struct {
		path    string
		address string
	}{
		{listenPath, b.Listen},
		{executorPath, b.Executor},
		{registryPath, b.Registry},
	} {
		parsed, err := netip.ParseAddrPort(field.address)
		if err != nil || parsed.Port() == 0 && field.path != listenPath {
			return fieldError(field.path, "%q is not an IP address and a port", field.address)
		}
	}
	for _, field := range []struct {
		path  string
		value float64
		max   float64
	}{
		{stopPath, b.StopMs, maxStopMs},
		{coresPath, b.Limits.Cores, maxCores},
		{memoryPath, b.Limits.MemoryMB, maxMemoryMB},
		{socketsPath, float64(b.Limits.Sockets), maxSockets},
	} {
		if !(field.value > 0 && field.value <= field.max) {
			return fieldError(field.path, "%v is not above 0 and at most %v", field.value, field.max)
		}
	}
	return nil
}

// validateShadow checks that the shadow settings are valid, and that they agree with the settings on what the events of
// an instance refer to: operations, tenants and cores.
func (b *Backend) validateShadow() error {
	if err := b.Shadow.validate(shadowPath); err != nil {
		return err
	}
	shadow, settings := b.Shadow, b.Settings
	switch {
	case !slices.Equal(shadow.Operations, settings.Operations):
		return fieldError(shadowPath+"."+operationsPath, "%q differs from the settings' %q",
			shadow.Operations, settings.Operations)
	case !slices.Equal(shadow.Tenants, settings.Tenants):
		return fieldError(shadowPath+"."+tenantsPath, "%q differs from the settings' %q",
			shadow.Tenants, settings.Tenants)
	case shadow.Admission.Cores != settings.Admission.Cores:
		return fieldError(shadowPath+"."+hostCoresPath, "%d differs from the settings' %d",
			shadow.Admission.Cores, settings.Admission.Cores)
	}
	return nil
}

// isName reports whether s can be used unquoted in a list of names separated by spaces and as a path component.
func isName(s string) bool {
	const lastPrintable = '~'
	invalid := func(char byte) bool { return char <= ' ' || char > lastPrintable || char == '/' }
	return s != "" && !slices.ContainsFunc([]byte(s), invalid)
}

// validateSupported returns an error for settings that are invalid or require a feature that this program does not
// support. Optional features that frames and the executor's protocol cannot express are disabled and listed in
// IgnoredFields.
func (s *Settings) validateSupported() error {
	if err := s.validate(settingsPath); err != nil {
		return err
	}
	if s.choices.dependency != choiceOff && s.choices.dependency != "" {
		return fieldError(settingsPath+"."+dependencyPath, "%q is not supported: expected %s",
			s.choices.dependency, choiceOff)
	}
	if s.choices.freshMs > 0 {
		s.IgnoredFields = append(s.IgnoredFields, freshPath)
	}
	if s.choices.advertisedValue != "" && s.choices.advertisedValue != choiceOff {
		s.IgnoredFields = append(s.IgnoredFields, advertisedValuePath)
		s.Admission.AdvertisedValue = admission.NothingAdvertised
	}
	if s.Admission.Preemption != admission.NoPreemption {
		s.IgnoredFields = append(s.IgnoredFields, preemptionPath)
		s.Admission.Preemption = admission.NoPreemption
	}
	return nil
}

// validate returns an error for settings that are invalid for any backend. root is the path of the settings object.
func (s *Settings) validate(root string) error {
	if err := s.validateDeployment(root); err != nil {
		return err
	}
	if err := s.validateChoices(root); err != nil {
		return err
	}
	for i := range s.Operations {
		if err := s.validateOperation(root, i); err != nil {
			return err
		}
	}
	for i, name := range s.Tenants {
		if name == "" || slices.Index(s.Tenants, name) != i {
			path := elementPath(root+"."+tenantsPath, i) + "." + nameField
			return fieldError(path, "%q is empty or a duplicate", name)
		}
	}
	return nil
}

// validateDeployment checks the numbers that apply to all operations.
func (s *Settings) validateDeployment(root string) error {
	cfg := &s.Admission
	switch {
	case len(cfg.Operations) == 0:
		return fieldError(root+"."+operationsPath, "empty: expected at least one")
	case cfg.Cores < 1:
		return fieldError(root+"."+hostCoresPath, "%d is below 1", cfg.Cores)
	case !(cfg.MemoryKB > 0):
		return fieldError(root+"."+memLimitPath, "%v is not above 0", cfg.MemoryKB)
	case !(cfg.RunFactor >= 1) || math.IsInf(cfg.RunFactor, 0):
		return fieldError(root+"."+runFactorPath, "%v is not a finite number of at least 1", cfg.RunFactor)
	case cfg.AnswerSlack <= 0:
		return fieldError(root+"."+answerSlackPath, "not above 0")
	case !(cfg.CollapseMultiple >= 1):
		return fieldError(root+"."+collapseMultiplePath, "%v is below 1", cfg.CollapseMultiple)
	}
	return nil
}

// validateChoices checks the words that apply to all operations.
func (s *Settings) validateChoices(root string) error {
	cfg, choices := &s.Admission, &s.choices
	dependencies := []string{"", choiceOff, sharedDependency, tierDependency}
	switch {
	case !slices.Contains([]string{"", valuePerRequest, valuePerWork}, choices.valueBy):
		return fieldError(root+"."+valueByPath, "%q is not %s or %s", choices.valueBy, valuePerRequest, valuePerWork)
	case choices.preemption != "" && !has(preemptions, choices.preemption):
		return unknownWord(root+"."+preemptionPath, choices.preemption, preemptions)
	case choices.advertisedValue != "" && !has(advertisedValues, choices.advertisedValue):
		return unknownWord(root+"."+advertisedValuePath, choices.advertisedValue, advertisedValues)
	case !slices.Contains(dependencies, choices.dependency):
		return fieldError(root+"."+dependencyPath, "%q is not %s, %s or %s",
			choices.dependency, choiceOff, sharedDependency, tierDependency)
	case cfg.SharedDependency && !(cfg.CallQuota > 0 && cfg.CallQuotaWindow > 0):
		return fieldError(root+"."+callQuotaPath,
			"%v calls in %v us: a dependency shared by all requires a quota and a window above 0",
			cfg.CallQuota, cfg.CallQuotaWindow)
	}
	return nil
}

// validateOperation checks the operation at index.
func (s *Settings) validateOperation(root string, index int) error {
	operation := &s.Admission.Operations[index]
	name := s.Operations[index]
	path := elementPath(root+"."+operationsPath, index) + "."
	keyed := operation.RetrySafety == admission.IdempotencyKeyed
	switch {
	case !isName(name):
		return fieldError(path+nameField, "%q is not a name: expected printable ASCII without spaces and slashes", name)
	case slices.Index(s.Operations, name) != index:
		return fieldError(path+nameField, "duplicate name %q", name)
	case operation.Objective <= 0:
		return fieldError(path+objectiveField, "not above 0")
	case operation.ClientTimeout <= 0:
		return fieldError(path+clientTimeoutField, "not above 0")
	case !has(retrySafeties, s.choices.retrySafety[index]):
		return unknownWord(path+retrySafetyField, s.choices.retrySafety[index], retrySafeties)
	case keyed && operation.RepeatWindow <= 0:
		return fieldError(path+repeatWindowField, "not above 0, but %s requires a repeat window", name)
	case keyed && !(s.Admission.IdempotencyKeyKB > 0):
		return fieldError(root+"."+idempotencyKeyPath, "not above 0, but %s requires idempotency keys", name)
	}
	return s.validateOperationValue(root, index)
}

// validateOperationValue checks the values of the operation at index, and whether it may make calls.
func (s *Settings) validateOperationValue(root string, index int) error {
	operation := &s.Admission.Operations[index]
	path := elementPath(root+"."+operationsPath, index) + "."
	switch {
	case !(operation.Value >= 0) || math.IsInf(operation.Value, 0):
		return fieldError(path+valueField, "%v is not a finite number of at least 0", operation.Value)
	case !isShare(operation.LateValue):
		return fieldError(path+lateValueField, "%v is not from 0 to 1", operation.LateValue)
	case !isShare(operation.ValueWithoutCall):
		return fieldError(elementPath(root+"."+valueWithoutCallPath, index),
			"%v is not from 0 to 1", operation.ValueWithoutCall)
	case operation.MakesCalls && s.choices.dependency == choiceOff:
		return fieldError(elementPath(root+"."+makesCallsPath, index),
			"true, but %s is %s", dependencyPath, choiceOff)
	}
	return nil
}

// isShare reports whether x is in the range from 0 to 1.
func isShare(x float64) bool { return x >= 0 && x <= 1 }

// has reports whether a word is a key of words.
func has[V any](words map[string]V, word string) bool {
	_, known := words[word]
	return known
}

// unknownWord returns an error for the field with that path, whose word is not a key of words.
func unknownWord[V any](path, word string, words map[string]V) error {
	known := slices.Sorted(maps.Keys(words))
	return fieldError(path, "%q is not one of %s", word, strings.Join(known, ", "))
}
