package agent

import (
	"errors"
	"os"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// Defaults for the shutdown window of an instance whose configuration can't be read. Both are measured from the notice.
const (
	defaultGrace       = 2 * monotime.Second
	defaultExitTimeout = 3 * monotime.Second
)

// ReadShutdownWindow reads an instance's shutdown window from its configuration file. If that fails, it returns the
// default window together with the error.
func ReadShutdownWindow(file string) (fleet.ShutdownWindow, error) {
	backend, err := config.Read(file)
	if err != nil {
		return fleet.ShutdownWindow{Grace: defaultGrace, ExitTimeout: defaultExitTimeout}, err
	}
	return fleet.ShutdownWindow{
		Grace:       backend.Settings.Admission.DrainGrace,
		ExitTimeout: monotime.Micros(backend.StopMs * float64(monotime.Millisecond)),
	}, nil
}

// CheckConfigs validates the configuration of each instance of a host. The error joins a *ConfigError for each
// configuration that can't be used and a *ListenConflictError for each address that two instances share.
func CheckConfigs(s *fleet.Spec, host string) error {
	var errs []error
	instanceByAddress := map[string]string{}
	for _, in := range s.InstancesOn(host) {
		backend, err := config.Read(in.ConfigFile)
		if err != nil {
			errs = append(errs, &ConfigError{Instance: in.Name, Err: &ConfigFileError{File: in.ConfigFile, Err: err}})
			continue
		}
		if err := checkDegradationPolicy(in.DegradationFile, backend); err != nil {
			errs = append(errs, &ConfigError{Instance: in.Name, Err: err})
		}
		if first := instanceByAddress[backend.Listen]; first != "" {
			errs = append(errs, &ListenConflictError{First: first, Second: in.Name, Address: backend.Listen})
		}
		instanceByAddress[backend.Listen] = in.Name
	}
	return errors.Join(errs...)
}

// checkDegradationPolicy checks that an instance can use its degradation policy. An instance without a policy has an
// empty file name.
func checkDegradationPolicy(file string, backend *config.Backend) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	policy, _, err := degradation.ParsePolicy(file, raw)
	if err != nil {
		return err
	}
	const seed = 1 // arbitrary: the shedder is discarded
	_, err = degradation.NewShedder(policy, backend.Settings.Operations, backend.Settings.Tenants, seed)
	return err
}
