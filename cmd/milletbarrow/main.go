// Command milletbarrow runs one backend.
package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/edge"
	"milletbarrow/farm"
	"milletbarrow/gate"
	"milletbarrow/limit"
	"milletbarrow/odd"
	"milletbarrow/roster"
	"milletbarrow/terms"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	config := &cli.StringFlag{
		Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("GW_CONFIG"),
	}
	app := &cli.Command{
		Name:           "milletbarrow",
		Usage:          "admission and scheduling for one backend behind other people's balancers",
		DefaultCommand: "serve",
		Commands: []*cli.Command{
			{
				Name: "serve", Usage: "run a backend until it is told to leave", Flags: []cli.Flag{config},
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.Args().Present() { // what is no command comes here too
						return fmt.Errorf("%q is no command; help lists them", c.Args().First())
					}
					// From here on, so that a reload asked for at any time does not end the process.
					hangup := make(chan os.Signal, 1)
					signal.Notify(hangup, syscall.SIGHUP)
					b, err := configuration(c)
					if err == nil {
						err = serve(b, c.String("config"), hangup)
					}
					return err
				},
			},
			{
				Name: "check", Usage: "tell whether a configuration can be used, without starting",
				Flags: []cli.Flag{config},
				Action: func(ctx context.Context, c *cli.Command) error {
					b, err := configuration(c)
					if err == nil {
						fmt.Printf("%s: can be used\n", b.Name)
					}
					return err
				},
			},
			{
				Name: "limits", Usage: "print the bounds that follow from a configuration", Flags: []cli.Flag{config},
				Action: func(ctx context.Context, c *cli.Command) error {
					b, err := configuration(c)
					if err == nil {
						fmt.Printf("%+v\n", bounds(b))
					}
					return err
				},
			},
			{
				Name: "version", Usage: "print the build",
				Action: func(context.Context, *cli.Command) error {
					fmt.Println(version())
					return nil
				},
			},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "milletbarrow:", err)
		os.Exit(1)
	}
}

func configuration(c *cli.Command) (*terms.Backend, error) {
	file := c.String("config")
	if file == "" {
		return nil, errors.New("config: no file is named, by GW_CONFIG or --config")
	}
	return terms.Read(file)
}

func version() string {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	return fmt.Sprintf("milletbarrow revision %s, %s %s/%s", revision, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}

func bounds(b *terms.Backend) limit.Bounds {
	return limit.For(b.Limits.Cores, b.Limits.MemoryMB, b.Limits.Sockets)
}

// serve wires the parts together and waits for the notice to leave.
func serve(b *terms.Backend, file string, hangup <-chan os.Signal) error {
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGTERM, os.Interrupt)
	lim := bounds(b)
	runtime.GOMAXPROCS(lim.Processors)
	debug.SetMemoryLimit(lim.Heap)
	debug.SetGCPercent(lim.HeapGrowth)

	g := gate.New(b.Sheet, uint64(b.Seed), lim)
	tally := odd.New(lim.Quiet)
	link := farm.New(b.Agent, lim, tally, g.Open)
	server := edge.New(b.Sheet, lim, tally, g, link)
	reports := roster.New(b.Roster, b.Name, lim)
	for tried, late := false, time.Now().Add(lim.Bind); ; time.Sleep(lim.Rebind) {
		_, err := server.Listen(b.Listen)
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(late) {
			return fmt.Errorf("listen: %w", err)
		}
		if !tried {
			log.Printf("event=listen_taken address=%s", b.Listen)
		}
		tried = true
	}
	log.Printf("event=start name=%s listen=%s processors=%d connections=%d invocations=%d",
		b.Name, b.Listen, lim.Processors, lim.Connections, lim.Invocations)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go link.Keep(ctx)
	go reports.Keep(ctx)
	go g.Beat(ctx.Done(), link.Sample, link.Sampled())
	go server.Sweep(ctx.Done())
	go tell(ctx, server, g, lim)
	go reload(ctx, b, file, hangup, link, reports)
	broken := make(chan error, 1)
	go func() { broken <- server.Serve() }()

	select {
	case <-notice:
	case err := <-broken:
		return errors.Join(errors.New("listen: the event loop has ended"), err)
	}
	stop := time.Now().Add(time.Duration(b.StopMs * float64(time.Millisecond)))
	grace := time.Now().Add(time.Duration(b.Sheet.Terms.DrainGrace) * time.Microsecond)
	log.Printf("event=drain stop_ms=%g", b.StopMs)
	g.Drain(terms.Micros(b.StopMs))
	reports.Off()
	leave(server, grace, stop, lim)
	state("stop", server, g)
	return nil
}

// reload reads the file anew whenever it is asked to, and hands the addresses in it down. What cannot be used
// changes nothing.
func reload(
	ctx context.Context, b *terms.Backend, file string, hangup <-chan os.Signal, link *farm.Link,
	reports *roster.Reporter,
) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		later, err := terms.Read(file)
		if err != nil {
			log.Printf("event=reload used=false error=%q", err)
			continue
		}
		log.Printf("event=reload used=true agent=%s roster=%s left_as_they_are=%q",
			later.Agent, later.Roster, strings.Join(b.Fixed(later), " "))
		link.Move(later.Agent)
		reports.Move(later.Roster)
	}
}

// leave goes on until the grace is over, then takes nothing more, and returns once all is answered and the
// callers have gone, or shortly before the stop.
func leave(server *edge.Server, grace, stop time.Time, lim limit.Bounds) {
	latest, last := stop.Add(-lim.LastWords), stop.Add(-lim.LastChance)
	if latest.Before(grace) {
		grace = latest
	}
	time.Sleep(time.Until(grace))
	server.TurnAway()
	quiet := 0
	for now := time.Now(); now.Before(latest) || now.Before(last) && !server.Answered(); now = time.Now() {
		conns, _ := server.Counts()
		if conns == 0 && server.Quiet() {
			quiet++
		} else {
			quiet = 0
		}
		if quiet > 3 {
			break
		}
		time.Sleep(lim.LastChance)
	}
}

// tell logs the state now and then.
func tell(ctx context.Context, server *edge.Server, g *gate.Gate, lim limit.Bounds) {
	every := time.NewTicker(lim.Quiet)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
		state("state", server, g)
	}
}

func state(event string, server *edge.Server, g *gate.Gate) {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	conns, carried := server.Counts()
	n, inHand := g.Counts()
	log.Printf("event=%s connections=%d carried=%d in_hand=%d goroutines=%d heap_kb=%d system_kb=%d collections=%d "+
		"picked=%d used_up=%d run=%d throttled=%d errored=%d left=%d ticks=%d unsampled=%d faults=%d",
		event, conns, carried, inHand, runtime.NumGoroutine(), m.HeapAlloc>>10, m.Sys>>10, m.NumGC,
		n.Picked, n.UsedUp, n.Run, n.Throttled, n.Errored, n.Left, n.Ticks, n.Unsampled, n.Faults)
}
