package config

import (
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Backend is the configuration file of one backend process.
type Backend struct {
	Name     string  `json:"name"`    // of the instance
	Listen   string  `json:"listen"`  // IP address and port for edge nodes; port 0: any
	Executor string  `json:"agent"`   // IP address and port of the executor
	Registry string  `json:"roster"`  // IP address and port of the endpoint registry
	Seed     Seed    `json:"seed"`    // of random draws
	StopMs   float64 `json:"stop_ms"` // milliseconds from the shutdown notice to the stop
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"` // of the process
	Settings *Settings `json:"settings"`
	Shadow   *Settings `json:"watch"` // evaluated along with Settings, without effect; nil: none
	Hash     string    `json:"-"`     // of the file as it was read, 16 hex digits
}

// Paths of the fields, as errors and ImmutableChanges name them.
const (
	namePath     = "name"
	listenPath   = "listen"
	executorPath = "agent"
	registryPath = "roster"
	seedPath     = "seed"
	stopPath     = "stop_ms"
	limitsPath   = "limits"
	coresPath    = "limits.cores"
	memoryPath   = "limits.memory_mb"
	socketsPath  = "limits.sockets"
	settingsPath = "settings"
	shadowPath   = "watch"
)

// Seed is the seed of a random number generator. In the file it is a string of hexadecimal digits.
type Seed uint64

// UnmarshalJSON decodes a string of up to 16 hex digits.
func (s *Seed) UnmarshalJSON(raw []byte) error {
	const base, bits = 16, 64
	var digits string
	if err := json.Unmarshal(raw, &digits); err != nil {
		return fieldError(seedPath, "not a string")
	}
	n, err := strconv.ParseUint(digits, base, bits)
	if err != nil {
		return fieldError(seedPath, "%q is not a number of up to 16 hex digits", digits)
	}
	*s = Seed(n)
	return nil
}

// Read decodes and validates the configuration file at path. An error is that of the file system, or as for Parse.
func Read(path string) (*Backend, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// ImmutableChanges returns the names of the fields that differ in a later configuration but cannot change while the
// process runs. The addresses of the executor and the registry and the shadow settings may change.
func (b *Backend) ImmutableChanges(later *Backend) (fields []string) {
	for _, field := range []struct {
		name string
		same bool
	}{
		{namePath, b.Name == later.Name},
		{listenPath, b.Listen == later.Listen},
		{seedPath, b.Seed == later.Seed},
		{stopPath, b.StopMs == later.StopMs},
		{limitsPath, b.Limits == later.Limits},
		{settingsPath, reflect.DeepEqual(b.Settings, later.Settings)},
	} {
		if !field.same {
			fields = append(fields, field.name)
		}
	}
	return fields
}

// Parse decodes and validates a configuration. An error is a *DecodeError or a *FieldError.
func Parse(raw []byte) (*Backend, error) {
	var b Backend
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, &DecodeError{err}
	}
	b.Hash = fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return &b, b.validate()
}
