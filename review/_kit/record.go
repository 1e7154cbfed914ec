package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	w     *bufio.Writer
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		die(err)
	}
	return &record{f: f, w: bufio.NewWriter(f), start: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.f.Close()
}

// die ends the program: the case could not run.
func die(err error) {
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	cleanUp()
	os.Exit(2)
}
