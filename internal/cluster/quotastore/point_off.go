//go:build !plant

package quotastore

// point is where a trial's program can be made to die; this one can't.
func point(string) {}

const plantEarlyAnswer = false
