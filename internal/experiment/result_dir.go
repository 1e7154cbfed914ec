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

// ResultDir is the directory of an experiment's results: a file a run, written whole or not at all, so that a run that was
// interrupted goes on where it was. One process at a time may write to it.
type ResultDir struct {
	Dir     string
	lock    *os.File
	encoder *zstd.Encoder
}

// ErrLocked says that another process writes to the directory.
var ErrLocked = errors.New("another run writes to this place")

// ErrOtherBuild says that the results in the directory are of another build.
var ErrOtherBuild = errors.New("the results there are of another build: name another place, or remove it")

// OpenResultDir takes a place for writing, and makes it if it is not there. Build names what runs: results of one build are not gone
// on with by another.
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

// Close lets others have the place.
func (p *ResultDir) Close() error {
	return errors.Join(p.encoder.Close(), p.lock.Close())
}

func (p *ResultDir) path(key string) string { return filepath.Join(p.Dir, key+".run") }

// Write keeps a result under its key, whole or not at all.
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

// MaxResultBytes is the longest result that is read, in bytes before compression.
const MaxResultBytes = 1 << 30

// ReadResult reads one file of a place. A file that was cut short or altered is an error that says so.
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
		return nil, fmt.Errorf("%s: cut short or altered: %w", file, err)
	}
	r := &simulation.Result{}
	if err := json.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	if r.Version > simulation.Version {
		return nil, fmt.Errorf("%s: version %d, this build reads up to %d", file, r.Version, simulation.Version)
	}
	return r, nil
}

// Load tells whether a key's result is there and can be read.
func (p *ResultDir) Load(key string) (*simulation.Result, bool) {
	r, err := ReadResult(p.path(key))
	return r, err == nil
}
