package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/simulation"
)

// benchmarkRun is one run's cost on this machine.
type benchmarkRun struct {
	Hosts    int     `json:"hosts"`
	Policy   string  `json:"policy"`
	Seconds  float64 `json:"seconds"`
	Events   uint64  `json:"events"`
	Asks     int     `json:"asks"`
	HeapMB   float64 `json:"heap_mb"` // what the runtime had from the system, the most so far
	PerEvent float64 `json:"ns_by_event"`
}

func experimentBenchmarkCommand() *cli.Command {
	return &cli.Command{
		Name:      "benchmark",
		Usage:     "measure the simulation time of a day on one core by fleet size",
		ArgsUsage: "FILE",
		Description: "It runs the file's first scenario with all of its policies. The dashed line of the plot is n log n.\n" +
			"Example:\n   milletbarrow experiment benchmark docs/studies/size.sx --sizes 10,33,100,330,1000 --plot speed.svg",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "sizes", Value: "10,33,100,330"},
			&cli.StringFlag{Name: "plot", Usage: "plot to a `FILE` (.svg or .png)"},
		},
		Action: runBenchmark,
	}
}

func runBenchmark(_ context.Context, c *cli.Command) error {
	x, err := experiment.Read(c.Args().First())
	if err == nil {
		err = x.Sweep("size=" + c.String("sizes"))
	}
	if err != nil {
		return unusable(err)
	}
	var format string
	if to := c.String("plot"); to != "" {
		if format, err = plotFormat("--plot", to); err != nil {
			return err
		}
	}
	x.Seeds, x.Scenarios = x.Seeds[:1], x.Scenarios[:1]
	cells, err := x.Cells()
	if err != nil {
		return unusable(err)
	}
	runtime.GOMAXPROCS(1)
	var all []benchmarkRun
	curves := map[string]*experiment.Curve{}
	var order []string
	for i := range cells {
		cell := &cells[i]
		began := time.Now()
		r, err := simulation.Play(&cell.Scenario, cell.Policy, cell.Seed, nil)
		if err != nil {
			return unusable(err)
		}
		run := benchmarkRun{
			Hosts:   cell.Scenario.Hosts.Count,
			Policy:  cell.Policy.Name,
			Seconds: time.Since(began).Seconds(),
			Events:  r.Events,
			Asks:    r.Requests,
			HeapMB:  heapMB(),
		}
		run.PerEvent = run.Seconds * 1e9 / math.Max(1, float64(run.Events))
		all = append(all, run)
		curve := curves[run.Policy]
		if curve == nil {
			curve = &experiment.Curve{Policy: run.Policy}
			curves[run.Policy] = curve
			order = append(order, run.Policy)
		}
		curve.X, curve.Y = append(
			curve.X,
			float64(run.Hosts),
		), append(
			curve.Y,
			experiment.Bootstrap([]float64{run.Seconds}),
		)
		fmt.Fprintf(os.Stderr, "%d of %d: %s, %d hosts, %.2f s\n", i+1, len(cells), run.Policy, run.Hosts, run.Seconds)
	}
	if to := c.String("plot"); to != "" {
		title := "seconds on one core of this machine, " + x.Scenarios[0].Name
		if err := plotBenchmark(to, format, title, order, curves); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(all)
	}
	return printBenchmark(all)
}

func printBenchmark(all []benchmarkRun) error {
	w := newTabWriter()
	fmt.Fprintln(w, "hosts\tpolicy\tseconds\tinvocations\tevents\tns by event\tMB so far")
	for _, run := range all {
		fmt.Fprintf(
			w,
			"%d\t%s\t%.2f\t%d\t%d\t%.0f\t%.0f\n",
			run.Hosts,
			run.Policy,
			run.Seconds,
			run.Asks,
			run.Events,
			run.PerEvent,
			run.HeapMB,
		)
	}
	return w.Flush()
}

// plotBenchmark draws the policies' curves in order, with a guide that grows as n log n from the first size on.
func plotBenchmark(to, format, title string, order []string, curves map[string]*experiment.Curve) error {
	drawn := make([]experiment.Curve, 0, len(order)+1)
	for _, name := range order {
		drawn = append(drawn, *curves[name])
	}
	guide := experiment.Curve{Policy: "n log n", X: drawn[0].X}
	first := drawn[0].Y[0].Mean / (guide.X[0] * math.Log(guide.X[0]+1))
	for _, n := range guide.X {
		guide.Y = append(guide.Y, experiment.Bootstrap([]float64{first * n * math.Log(n+1)}))
	}
	f, err := os.Create(to)
	if err != nil {
		return unusable(err)
	}
	err = plot.Curves(f, title, "hosts", "seconds", append(drawn, guide), format)
	return errors.Join(err, f.Close())
}

// heapMB is how much memory the heap has taken from the system so far, in MB.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapSys) / (1 << 20)
}
