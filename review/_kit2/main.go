// Command kit2 has the stand-ins of the second review's cases. Each case starts the project's own programs, plays the
// edge nodes, the render farm agent and the roster by the pages, and judges what they saw.
//
//	kit2 CASE --root DIR --record FILE [--seed N]
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// setup is what every case gets.
type setup struct {
	Root    string // of the repository
	Dir     string // temporary
	Trouble bool
	Random  *rand.Rand
	Record  *record
	cleanup func() // ends all processes that were started; nil: none were
}

// cases are the cases by name. Each returns whether the rule was broken, or why it could not run.
var cases = map[string]func(*setup) (broken bool, err error){
	"adopt":  playAdopt,
	"window": playWindow,
	"grace":  playGrace,

	// Plays that found nothing beyond the cases.
	"stress": playStress,
	"chaos":  playChaos,
	"wave":   playWave,
	"mass":   playMass,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

func main() {
	if len(os.Args) < 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE --root DIR --record FILE [--seed N]")
		os.Exit(exitCannot)
	}
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	root := flags.String("root", ".", "root of the repository")
	recordPath := flags.String("record", "record.txt", "file that is written")
	seed := flags.Uint64("seed", 7, "of all random choices")
	_ = flags.Parse(os.Args[2:])
	os.Exit(run(cases[os.Args[1]], *root, *recordPath, *seed))
}

func run(play func(*setup) (bool, error), root, recordPath string, seed uint64) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	absolute, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	dir, err := os.MkdirTemp(shortTempDir(), "mb")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	s := &setup{
		Root: absolute, Dir: dir, Trouble: os.Getenv("TROUBLE") != "0", Random: rand.New(rand.NewPCG(seed, 2)), Record: rec,
	}
	if err := adoptOrphans(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	rec.say("seed %d, trouble %t", seed, s.Trouble)
	go s.endOnSignal()
	broken, err := play(s)
	if s.cleanup != nil {
		s.cleanup()
	}
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitCannot
	case broken:
		rec.say("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endOnSignal ends what was started when the case itself is told to end, as by a time limit.
func (s *setup) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	s.Record.say("the case was told to end")
	if s.cleanup != nil {
		s.cleanup()
	}
	_ = os.RemoveAll(s.Dir)
	os.Exit(exitCannot)
}

// shortTempDir returns the folder for temporary files, or /tmp if its name is too long for the sockets in it.
func shortTempDir() string {
	const longest = 50
	if dir := os.TempDir(); len(dir) <= longest {
		return dir
	}
	return "/tmp"
}

var lastID atomic.Uint64

// newID returns an id that no other request of this process has.
func newID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()>>10), uint32(lastID.Add(1)))
}
