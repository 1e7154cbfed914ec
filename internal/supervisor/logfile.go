package supervisor

import (
	"io"
	"log/slog"
	"os"
)

// previousLogSuffix is appended to the path of the log file for the previous one.
const previousLogSuffix = ".1"

// rotateLog bounds the instance's log file: once it has Bounds.LogFileSize bytes it is copied to the previous log file
// and truncated. It is copied, not renamed, as the instance keeps its descriptor.
func (s *supervisor) rotateLog() {
	info, err := os.Stat(s.paths.Log)
	if err != nil || info.Size() < s.options.Bounds.LogFileSize {
		return
	}
	if err := copyFile(s.paths.Log, s.paths.Log+previousLogSuffix, info.Size()); err != nil {
		slog.Error("log", "name", s.options.Name, "error", err.Error())
		return
	}
	if err := os.Truncate(s.paths.Log, 0); err != nil { // the instance appends: its next line is the first one
		slog.Error("log", "name", s.options.Name, "error", err.Error())
	}
}

// copyFile copies the first size bytes of a file.
func copyFile(from, to string, size int64) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }() // only read from
	target, err := os.Create(to)
	if err != nil {
		return err
	}
	if _, err := io.CopyN(target, source, size); err != nil {
		_ = target.Close() // the error of the copy says more
		return err
	}
	return target.Close()
}
