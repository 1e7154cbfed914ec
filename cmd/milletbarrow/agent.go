package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
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
		return nil, asUsageError(err)
	}
	s, err := fleet.ReadSpec(file, raw, limits.ForControl())
	if err != nil {
		return nil, asUsageError(err)
	}
	return s, nil
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "manage the instances of one host; they keep running when the agent ends",
		Description: "Examples:\n   milletbarrow agent --fleet fleet.sx --host h1 --dir /var/lib/milletbarrow\n" +
			"   milletbarrow agent --fleet fleet.sx --host h1 --dir /var/lib/milletbarrow --record-anew\n\n" +
			"SIGHUP reloads the fleet's file. docs/fleet.md is the operators' page.",
		Flags: []cli.Flag{
			fleetFlag(),
			logFlag(),
			&cli.StringFlag{Name: "host", Usage: "this host's `NAME` in the fleet's file", Required: true},
			&cli.StringFlag{Name: "dir", Usage: "the agent's `DIRECTORY`, on a persistent disk", Required: true},
			&cli.BoolFlag{Name: "record-anew", Usage: "set a corrupted store aside and adopt the running instances"},
			&cli.BoolFlag{
				Name:  "trust-directory",
				Usage: "join the quota store without confirmation by other agents: the directory is not an older copy",
			},
		},
		Action: runAgent,
	}
}

// runAgent is the action of the agent sub-command. It returns after SIGTERM, SIGINT or a failure of the API.
func runAgent(ctx context.Context, c *cli.Command) error {
	end, err := startLog(c)
	if err != nil {
		return err
	}
	defer end()
	hangup, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	spec, err := readFleet(c)
	if err != nil {
		return err
	}
	logFormerNames(spec.Warnings)
	host := spec.Host(c.String("host"))
	if host == nil {
		return usagef("host: %q is not a host of %s", c.String("host"), c.String("fleet"))
	}
	dir, err := filepath.Abs(c.String("dir"))
	if err != nil {
		return asUsageError(err)
	}
	runtime.GOMAXPROCS(maxAgentProcessors)
	signal.Ignore(syscall.SIGXFSZ) // a write beyond the file size limit returns an error instead of ending the process
	store, err := openAgentStore(dir, limits.ForControl().HistoryEntries, c.Bool("record-anew"))
	if err != nil {
		return asUsageError(err)
	}
	defer func() { _ = store.Close() }() // every change is already on disk
	p, err := newAgentProcess(ctx, spec, host, dir, store, c.Bool("trust-directory"))
	if err != nil {
		return err
	}
	slog.Info(
		"agent starting",
		"fleet",
		spec.Name,
		"host",
		host.Name,
		"listen",
		host.AgentAddress,
		"instances",
		len(spec.InstancesOn(host.Name)),
	)
	p.run(ctx, terminate, hangup, func() (*fleet.Spec, error) { return readFleet(c) })
	slog.Info("agent stopped", "why", "told to; the instances go on")
	return nil
}

// maxAgentProcessors limits the agent's processors, so that most of the host is left to the instances.
const maxAgentProcessors = 2

// openAgentStore opens the durable state. With setAside, a corrupted store is moved away and replaced by an empty one.
func openAgentStore(dir string, historyLimit int, setAside bool) (agentstore.Store, error) {
	store, err := agentstore.Open(dir, historyLimit)
	if !setAside || !errors.Is(err, agentstore.ErrCorrupt) {
		return store, err
	}
	path, err := agentstore.SetAside(dir, time.Now())
	if err != nil {
		return nil, err
	}
	slog.Warn("corrupted agent store set aside", "set_aside", path)
	return agentstore.Open(dir, historyLimit)
}

// agentProcess is the agent of a host with its API server and its quota node.
type agentProcess struct {
	agent    *agent.Agent
	node     *node.Node // nil: the fleet has no quotas
	listener net.Listener
	bounds   limits.Control
}

func newAgentProcess(
	ctx context.Context, spec *fleet.Spec, host *fleet.HostSpec, dir string, store agentstore.Store, trustDir bool,
) (*agentProcess, error) {
	p := &agentProcess{bounds: limits.ForControl()}
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	options := agent.Options{
		Spec: spec, Host: host.Name, Dir: dir, Executable: []string{executable}, Build: version(),
		Seed: uint64(process.Now()), Bounds: p.bounds, Store: store,
	}
	if spec.Quotas != nil {
		config := node.Config{Spec: spec, Host: host.Name, Dir: dir, TrustDir: trustDir, Bounds: p.bounds}
		if p.node, err = node.Open(config); err != nil {
			return nil, asUsageError(err)
		}
		options.Cluster = p.node
	}
	if p.listener, err = agentapi.Listen(ctx, host.AgentAddress); err != nil {
		return nil, asUsageError(err)
	}
	if p.agent, err = agent.New(options); err != nil {
		_ = p.listener.Close()
		return nil, asUsageError(err)
	}
	return p, nil
}

// run manages the instances until terminate or a failure of the API, and returns when its goroutines have ended.
func (p *agentProcess) run(
	ctx context.Context, terminate, hangup <-chan os.Signal, readSpec func() (*fleet.Spec, error),
) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer cancel()
	if p.node != nil {
		tasks.Go(func() {
			if err := p.node.Run(ctx); err != nil { // the agent manages its instances without it
				slog.Error("quota_store", "stage", "ended", "error", err.Error())
			}
		})
	}
	tasks.Go(func() {
		err := agentapi.Serve(ctx, p.listener, p.agent, p.bounds)
		if ctx.Err() == nil {
			slog.Error("agent API server failed; stopping the agent", "error", fmt.Sprint(err))
		}
		cancel()
	})
	tasks.Go(func() {
		select {
		case <-terminate:
			cancel()
		case <-ctx.Done():
		}
	})
	tasks.Go(func() {
		for {
			select {
			case <-hangup:
				err := p.reload(readSpec)
				slog.Info("reload", "used", err == nil, "error", fmt.Sprint(err))
			case <-ctx.Done():
				return
			}
		}
	})
	p.agent.Run(ctx)
}

// reload reads the fleet file again and applies it.
func (p *agentProcess) reload(readSpec func() (*fleet.Spec, error)) error {
	spec, err := readSpec()
	if err != nil {
		return err
	}
	logFormerNames(spec.Warnings)
	if err := p.agent.Reload(spec); err != nil {
		return err
	}
	if p.node != nil {
		p.node.UpdateAddresses(spec)
	}
	return nil
}
