package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/agent"
	"milletbarrow/internal/agent/agentstore"
	"milletbarrow/internal/agentapi"
	"milletbarrow/internal/cluster/node"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/process"
)

func fleetFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "fleet", Usage: "the fleet's `FILE`", Sources: cli.EnvVars("MILLETBARROW_FLEET"), Required: true,
	}
}

// readFleet reads the file that the flag names.
func readFleet(c *cli.Command) (*fleet.Spec, error) {
	file := c.String("fleet")
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, unusable(err)
	}
	s, err := fleet.ReadSpec(file, raw, limits.ForControl())
	if err != nil {
		return nil, unusable(err)
	}
	return s, nil
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "manage the instances of one host until told to end; they go on after it",
		Description: "Examples:\n   milletbarrow agent --fleet fleet.sx --host h1 --dir /var/lib/milletbarrow\n" +
			"   milletbarrow agent --fleet fleet.sx --host h1 --dir /var/lib/milletbarrow --record-anew\n\n" +
			"SIGHUP has it read the fleet's file anew. docs/fleet.md tells what to do in trouble.",
		Flags: []cli.Flag{
			fleetFlag(), logFlag(),
			&cli.StringFlag{Name: "host", Usage: "this host's `NAME` in the file", Required: true},
			&cli.StringFlag{Name: "dir", Usage: "the agent's own `DIRECTORY`, on a disk that persists", Required: true},
			&cli.BoolFlag{Name: "record-anew", Usage: "set a damaged record aside and adopt what runs"},
			&cli.BoolFlag{Name: "trust-directory", Usage: "take part in the ledger without asking others: the directory is no older copy"},
		},
		Action: runAgent,
	}
}

func runAgent(ctx context.Context, c *cli.Command) error {
	end, err := startLog(c)
	if err != nil {
		return err
	}
	defer end()
	hangup, notice := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(notice, syscall.SIGTERM, os.Interrupt)
	spec, err := readFleet(c)
	if err != nil {
		return err
	}
	host := spec.Host(c.String("host"))
	if host == nil {
		return unusable(fmt.Errorf("host: %q is no host of %s", c.String("host"), c.String("fleet")))
	}
	dir, err := filepath.Abs(c.String("dir"))
	if err != nil {
		return unusable(err)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(2)
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error like a full disk, and no end
	b := limits.ForControl()
	store, err := agentstore.Open(dir, b.History)
	if errors.Is(err, agentstore.ErrCorrupt) && c.Bool("record-anew") {
		var aside string
		if aside, err = agentstore.SetAside(dir, time.Now()); err == nil {
			slog.Warn("record", "set_aside", aside)
			store, err = agentstore.Open(dir, b.History)
		}
	}
	if err != nil {
		return unusable(err)
	}
	defer store.Close()
	var joined *node.Node
	var shares agent.Cluster
	if spec.Quotas != nil {
		joined, err = node.Open(node.Config{Spec: spec, Host: host.Name, Dir: dir, TrustDir: c.Bool("trust-directory"), Bounds: b})
		if err != nil {
			return unusable(err)
		}
		shares = joined
	}
	l, err := agentapi.Listen(host.AgentAddress)
	if err != nil {
		return unusable(err)
	}
	a, err := agent.New(agent.Options{
		Spec: spec, Host: host.Name, Dir: dir, Executable: []string{self}, Build: version(), Seed: uint64(process.Now()),
		Bounds: b, Store: store, Cluster: shares,
	})
	if err != nil {
		l.Close()
		return unusable(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	slog.Info("agent", "fleet", spec.Name, "host", host.Name, "listen", host.AgentAddress, "instances", len(spec.InstancesOn(host.Name)))
	var sharing sync.WaitGroup
	defer sharing.Wait()
	defer cancel()
	if joined != nil {
		sharing.Go(func() {
			if err := joined.Run(ctx); err != nil { // the instances are managed all the same
				slog.Error("ledger", "stage", "ended", "error", err.Error())
			}
		})
	}
	broken := make(chan error, 1)
	go func() { broken <- agentapi.Serve(ctx, l, a, b) }()
	go func() {
		for range hangup {
			later, err := readFleet(c)
			if err == nil {
				err = a.Reload(later)
			}
			if err == nil && joined != nil {
				joined.UpdateAddresses(later)
			}
			slog.Info("reload", "used", err == nil, "error", fmt.Sprint(err))
		}
	}()
	go func() {
		select {
		case <-notice:
		case err := <-broken:
			slog.Error("control", "error", fmt.Sprint(err))
		}
		cancel()
	}()
	a.Run(ctx)
	slog.Info("agent_end", "why", "told to; the instances go on")
	return nil
}
