package supervisor

import (
	"io"
	"log/slog"
	"os"
)

// previousLogSuffix is the suffix of the rotated log file's path.
const previousLogSuffix = ".1"

// rotateLog copies the instance's log file to the path with previousLogSuffix and truncates it, once it has reached
// limits.Control.LogFileSize bytes. It does not rename the file, because the instance keeps its descriptor open.
func (s *supervisor) rotateLog() {
	info, err := os.Stat(s.paths.Log)
	if err != nil || info.Size() < s.options.Bounds.LogFileSize {
		return
	}
	if err := copyFile(s.paths.Log, s.paths.Log+previousLogSuffix, info.Size()); err != nil {
		slog.Error("instance log file not rotated", "name", s.options.Name, "error", err.Error())
		return
	}
	if err := os.Truncate(s.paths.Log, 0); err != nil { // the instance writes with O_APPEND, so to the new end
		slog.Error("instance log file not rotated", "name", s.options.Name, "error", err.Error())
	}
}

// copyFile copies the first size bytes of a file to another, which it creates or overwrites.
func copyFile(from, to string, size int64) error {
	source, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = source.Close() }() // a file that was only read
	target, err := os.Create(to)
	if err != nil {
		return err
	}
	if _, err := io.CopyN(target, source, size); err != nil {
		_ = target.Close() // the error of the copy is returned instead
		return err
	}
	return target.Close()
}
