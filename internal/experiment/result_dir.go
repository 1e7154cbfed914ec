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

// Permissions and names of the files of a result directory.
const (
	dirPermissions  os.FileMode = 0o755
	filePermissions os.FileMode = 0o644

	lockFile  = "lock"  // locked by the process that writes
	buildFile = "build" // identifies the program that wrote the results

	resultSuffix = ".run"
)

// MaxResultBytes limits the uncompressed size of a result that is read.
const MaxResultBytes = 1 << 30

// ResultDir is the directory of an experiment's results, with one file for each run. Files are written atomically, so
// that an interrupted experiment can be resumed. At most one process writes to a directory.
type ResultDir struct {
	Dir     string        // path
	lock    *os.File      // nil: opened for reading
	encoder *zstd.Encoder // nil: opened for reading
}

// OpenResultDir opens a directory for writing, and creates it if it is missing. build identifies the program: an
// experiment is not resumed by another build. The error wraps ErrLocked or ErrOtherBuild if one of these is the cause.
func OpenResultDir(dir, build string) (*ResultDir, error) {
	if err := os.MkdirAll(dir, dirPermissions); err != nil {
		return nil, fmt.Errorf("result directory: %w", err)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, err
	}
	if err := checkBuild(dir, build); err != nil {
		_ = lock.Close()
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("result encoder: %w", err)
	}
	return &ResultDir{Dir: dir, lock: lock, encoder: encoder}, nil
}

// lockDir locks a directory for writing until the returned file is closed.
func lockDir(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePermissions)
	if err != nil {
		return nil, fmt.Errorf("lock of result directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, fmt.Errorf("%s: %w", dir, ErrLocked)
	}
	return lock, nil
}

// checkBuild records the build in a new directory, and compares it with the recorded build in an existing one.
func checkBuild(dir, build string) error {
	path := filepath.Join(dir, buildFile)
	recorded, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		err = os.WriteFile(path, []byte(build), filePermissions)
	case err == nil && string(recorded) != build:
		return fmt.Errorf("%s: %w", dir, ErrOtherBuild)
	}
	if err != nil {
		return fmt.Errorf("build of result directory: %w", err)
	}
	return nil
}

// Close unlocks the directory.
func (d *ResultDir) Close() error {
	return errors.Join(d.encoder.Close(), d.lock.Close())
}

// path returns the file of a key.
func (d *ResultDir) path(key string) string { return filepath.Join(d.Dir, key+resultSuffix) }

// Write stores a result under its key, atomically.
func (d *ResultDir) Write(key string, result *simulation.Result) error {
	raw, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	file, err := os.CreateTemp(d.Dir, "new-*")
	if err != nil {
		return fmt.Errorf("create result file: %w", err)
	}
	defer func() { _ = os.Remove(file.Name()) }()
	_, err = file.Write(d.encoder.EncodeAll(raw, nil))
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write result file: %w", err)
	}
	if err := os.Rename(file.Name(), d.path(key)); err != nil {
		return fmt.Errorf("rename result file: %w", err)
	}
	return nil
}

// Load returns the result of a key. It returns false if the result is missing or can't be read.
func (d *ResultDir) Load(key string) (*simulation.Result, bool) {
	result, err := ReadResult(d.path(key))
	return result, err == nil
}

// ReadResult reads one file of a result directory. The error is a *ResultError if the file is truncated, corrupted or
// of a newer version.
func ReadResult(path string) (*simulation.Result, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	defer func() { _ = file.Close() }()
	decoder, err := zstd.NewReader(file, zstd.WithDecoderMaxMemory(MaxResultBytes), zstd.WithDecoderConcurrency(1))
	if err != nil {
		return nil, fmt.Errorf("result decoder: %w", err)
	}
	defer decoder.Close()
	raw, err := io.ReadAll(decoder)
	if err != nil {
		return nil, &ResultError{File: path, Err: fmt.Errorf("%w: %w", ErrDamaged, err)}
	}
	result := &simulation.Result{}
	if err := json.Unmarshal(raw, result); err != nil {
		return nil, &ResultError{File: path, Err: err}
	}
	if result.Version > simulation.Version {
		return nil, &ResultError{File: path, Err: &VersionError{Version: result.Version}}
	}
	return result, nil
}

// Load reads the stored results of an experiment, in the order of its cells. A missing result is nil, and counted.
func Load(x *Experiment, dir string) (results []*simulation.Result, missing int, err error) {
	cells, err := x.Cells()
	if err != nil {
		return nil, 0, err
	}
	stored := &ResultDir{Dir: dir}
	for i := range cells {
		result, ok := stored.Load(cells[i].Key)
		if !ok {
			missing++
		}
		results = append(results, result)
	}
	return results, missing, nil
}
