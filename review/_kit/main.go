// Command kit holds the stand-ins of the review's cases, and the cases. Each case starts the program by the run command
// of the deploy file, plays edge nodes, the render farm agent and the roster on loopback addresses, and exits with 1 if
// the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: kit notice|mix [flags]")
		os.Exit(2)
	}
	cases := map[string]func(args []string) int{"notice": notice, "mix": mix}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(2)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		die(fmt.Errorf("stopped by %v", <-stopped))
	}()
	code := run(os.Args[2:])
	cleanUp()
	os.Exit(code)
}

// caseFlags are the flags that all cases have.
func caseFlags(name string) (f *flag.FlagSet, out *string, trouble *bool) {
	f = flag.NewFlagSet(name, flag.ExitOnError)
	out = f.String("out", "record.txt", "the record")
	trouble = f.Bool("trouble", os.Getenv("TROUBLE") != "0", "play the disruption")
	return f, out, trouble
}
