//go:build plant

package quotastore

import (
	"os"
	"path/filepath"
	"syscall"
)

// point kills this process if a trial has laid a file of that name, which is taken away by it.
func point(name string) {
	dir := os.Getenv("MILLETBARROW_POINTS")
	if dir != "" && os.Remove(filepath.Join(dir, name)) == nil {
		syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
}

// plantEarlyAnswer is a fault that the proving ground must catch: a grant is told before it is replicated.
var plantEarlyAnswer = os.Getenv("MILLETBARROW_PLANT") == "answer"
