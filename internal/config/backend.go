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
	Name     string  `json:"name"`   // of the instance
	Listen   string  `json:"listen"` // address and port for edge nodes; port 0: any
	Executor string  `json:"agent"`  // address and port of the executor; the platform calls it agent
	Registry string  `json:"roster"` // address and port of the endpoint registry
	Seed     Seed    `json:"seed"`
	StopMs   float64 `json:"stop_ms"` // milliseconds from the drain notice to the stop
	Limits   struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings *Settings `json:"settings"`
	Shadow   *Settings `json:"watch"` // evaluated beside Settings without effect; nil: none
	Hash     string    `json:"-"`     // of the file as it was read, 16 hex digits
}

// Seed starts the random number generator; in the file it is a string of hex digits.
type Seed uint64

// UnmarshalJSON decodes a string of up to 16 hex digits.
func (s *Seed) UnmarshalJSON(raw []byte) error {
	var digits string
	if err := json.Unmarshal(raw, &digits); err != nil {
		return fieldError("seed", "not text")
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	if err != nil {
		return fieldError("seed", "%q is not a number of up to 16 hex digits", digits)
	}
	*s = Seed(n)
	return nil
}

// Read decodes and validates the configuration file at path. The error is that of the
// file system, or as in Parse.
func Read(path string) (*Backend, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(raw)
}

// ImmutableChanges names the fields that differ in a later configuration though they cannot change while the process
// runs. The addresses of the executor and of the registry can.
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

// Parse decodes and validates a configuration. The error is a *DecodeError or a *FieldError.
func Parse(raw []byte) (*Backend, error) {
	var b Backend
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, &DecodeError{err}
	}
	b.Hash = fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return &b, b.validate()
}
