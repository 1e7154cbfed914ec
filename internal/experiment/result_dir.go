package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/klauspost/compress/zstd"

	"milletbarrow/internal/simulation"
)

// ResultDir is the directory of an experiment's results, a file for each run, written completely or not at all, so that
// an interrupted experiment can be continued. One process at a time may write to it.
type ResultDir struct {
	Dir     string
	lock    *os.File
	encoder *zstd.Encoder
}

// OpenResultDir opens a directory for writing, and makes it if it is missing. build identifies the program: results of
// one build are not continued by another. The error wraps ErrLocked or ErrOtherBuild where that is the cause.
func OpenResultDir(dir, build string) (*ResultDir, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	p := &ResultDir{Dir: dir, lock: lock}
	was, err := os.ReadFile(filepath.Join(dir, "build"))
	switch {
	case errors.Is(err, os.ErrNotExist):
		err = os.WriteFile(filepath.Join(dir, "build"), []byte(build), 0o644)
	case err == nil && string(was) != build:
		err = fmt.Errorf("%s: %w", dir, ErrOtherBuild)
	}
	if err == nil {
		p.encoder, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	}
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	return p, nil
}

// Close unlocks the directory.
func (p *ResultDir) Close() error {
	return errors.Join(p.encoder.Close(), p.lock.Close())
}

// path returns the file of a key.
func (p *ResultDir) path(key string) string { return filepath.Join(p.Dir, key+".run") }

// Write stores a result under its key, completely or not at all.
func (p *ResultDir) Write(key string, r *simulation.Result) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(p.Dir, "new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(p.encoder.EncodeAll(raw, nil))
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), p.path(key))
}

// MaxResultBytes is the size of the largest result that is read, before compression.
const MaxResultBytes = 1 << 30

// ReadResult reads one file of a result directory. The error is a *ResultError where the file is truncated, altered or
// of a newer version.
func ReadResult(file string) (*simulation.Result, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Close() }()
	d, err := zstd.NewReader(in, zstd.WithDecoderMaxMemory(MaxResultBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	raw, err := io.ReadAll(d)
	if err != nil {
		return nil, &ResultError{File: file, Err: fmt.Errorf("%w: %w", ErrDamaged, err)}
	}
	r := &simulation.Result{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, &ResultError{File: file, Err: err}
	}
	if r.Version > simulation.Version {
		return nil, &ResultError{File: file, Err: &VersionError{Version: r.Version}}
	}
	return r, nil
}

// Load returns the result of a key, and whether it is there and readable.
func (p *ResultDir) Load(key string) (*simulation.Result, bool) {
	r, err := ReadResult(p.path(key))
	return r, err == nil
}
