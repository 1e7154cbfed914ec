package agent

import (
	"errors"
	"os"

	"milletbarrow/internal/backend/degradation"
	"milletbarrow/internal/config"
	"milletbarrow/internal/fleet"
	"milletbarrow/monotime"
)

// defaultShutdownWindow is that of an instance whose configuration can't be read.
var defaultShutdownWindow = fleet.ShutdownWindow{Grace: 2_000_000, ExitTimeout: 3_000_000}

// ReadShutdownWindow reads from an instance's configuration how long it has from a shutdown notice on. With an error it
// returns a default.
func ReadShutdownWindow(file string) (fleet.ShutdownWindow, error) {
	backend, err := config.Read(file)
	if err != nil {
		return defaultShutdownWindow, err
	}
	return fleet.ShutdownWindow{
		Grace:       backend.Settings.Admission.DrainGrace,
		ExitTimeout: monotime.Micros(backend.StopMs * 1000),
	}, nil
}

// CheckConfigs reads the configuration of each instance of a host. The error joins a *ConfigError or
// *ListenConflictError for each that can't be used.
func CheckConfigs(s *fleet.Spec, host string) error {
	var errs []error
	listeners := map[string]string{} // instance by address
	for _, in := range s.InstancesOn(host) {
		backend, err := config.Read(in.ConfigFile)
		if err != nil {
			errs = append(errs, &ConfigError{Instance: in.Name, Err: &ConfigFileError{File: in.ConfigFile, Err: err}})
			continue
		}
		if err := checkDegradationPolicy(in.DegradationFile, backend); err != nil {
			errs = append(errs, &ConfigError{Instance: in.Name, Err: err})
		}
		if first := listeners[backend.Listen]; first != "" {
			errs = append(errs, &ListenConflictError{First: first, Second: in.Name, Address: backend.Listen})
		}
		listeners[backend.Listen] = in.Name
	}
	return errors.Join(errs...)
}

// checkDegradationPolicy reports whether an instance can use its policy for degraded service.
func checkDegradationPolicy(file string, backend *config.Backend) error {
	if file == "" {
		return nil
	}
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	policy, err := degradation.ParsePolicy(file, raw)
	if err != nil {
		return err
	}
	_, err = degradation.NewShedder(policy, backend.Settings.Operations, backend.Settings.Tenants, 1)
	return err
}
