package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"milletbarrow/internal/experiment"
	"milletbarrow/internal/plot"
	"milletbarrow/internal/simulation"
)

// benchmarkRun is the cost of one simulated day on this machine.
type benchmarkRun struct {
	Hosts    int     `json:"hosts"`
	Policy   string  `json:"policy"`
	Seconds  float64 `json:"seconds"`
	Events   uint64  `json:"events"`
	Requests int     `json:"asks"`
	HeapMB   float64 `json:"heap_mb"` // heap memory taken from the system so far
	PerEvent float64 `json:"ns_by_event"`
}

func experimentBenchmarkCommand() *cli.Command {
	return &cli.Command{
		Name:      "benchmark",
		Usage:     "measure the simulation time of a day on one core by fleet size",
		ArgsUsage: "FILE",
		Description: "It runs the file's first scenario with all of its policies. " +
			"The dashed line of the plot is n log n.\n" +
			"Example:\n   milletbarrow experiment benchmark docs/studies/size.sx " +
			"--sizes 10,33,100,330,1000 --plot speed.svg",
		Flags: []cli.Flag{
			jsonFlag(),
			&cli.StringFlag{Name: "sizes", Value: "10,33,100,330"},
			&cli.StringFlag{Name: "plot", Usage: "plot to a `FILE` (.svg or .png)"},
		},
		Action: runBenchmark,
	}
}

// runBenchmark simulates the first scenario of a file at each fleet size with each policy, on one core.
func runBenchmark(_ context.Context, c *cli.Command) error {
	x, err := experiment.Read(c.Args().First())
	if err == nil {
		err = x.Sweep("size=" + c.String("sizes"))
	}
	if err != nil {
		return asUsageError(err)
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
		return asUsageError(err)
	}
	runtime.GOMAXPROCS(1)
	all := make([]benchmarkRun, 0, len(cells))
	for i := range cells {
		run, err := benchmarkCell(&cells[i])
		if err != nil {
			return err
		}
		all = append(all, run)
		fmt.Fprintf(os.Stderr, "%d of %d: %s, %d hosts, %.2f s\n", i+1, len(cells), run.Policy, run.Hosts, run.Seconds)
	}
	if to := c.String("plot"); to != "" {
		title := "seconds on one core of this machine, " + x.Scenarios[0].Name
		if err := plotBenchmark(to, format, title, benchmarkCurves(all)); err != nil {
			return err
		}
	}
	if c.Bool("json") {
		return printJSON(all)
	}
	return printBenchmark(all)
}

// benchmarkCell simulates one day, and returns its cost.
func benchmarkCell(cell *experiment.Cell) (benchmarkRun, error) {
	began := time.Now()
	r, err := simulation.Play(&cell.Scenario, cell.Policy, cell.Seed, nil)
	if err != nil {
		return benchmarkRun{}, asUsageError(err)
	}
	run := benchmarkRun{
		Hosts:    cell.Scenario.Hosts.Count,
		Policy:   cell.Policy.Name,
		Seconds:  time.Since(began).Seconds(),
		Events:   r.Events,
		Requests: r.Requests,
		HeapMB:   heapMB(),
	}
	run.PerEvent = run.Seconds * float64(time.Second/time.Nanosecond) / math.Max(1, float64(run.Events))
	return run, nil
}

// benchmarkCurves returns a curve of seconds by hosts for each policy, in the order of their first runs.
func benchmarkCurves(runs []benchmarkRun) []experiment.Curve {
	var curves []experiment.Curve
	for _, run := range runs {
		i := slices.IndexFunc(curves, func(curve experiment.Curve) bool { return curve.Policy == run.Policy })
		if i < 0 {
			i = len(curves)
			curves = append(curves, experiment.Curve{Policy: run.Policy})
		}
		curves[i].X = append(curves[i].X, float64(run.Hosts))
		curves[i].Y = append(curves[i].Y, experiment.Bootstrap([]float64{run.Seconds}))
	}
	return curves
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
			run.Requests,
			run.Events,
			run.PerEvent,
			run.HeapMB,
		)
	}
	return w.Flush()
}

// plotBenchmark plots the curves of the policies and a reference curve of n log n, scaled to the first size.
func plotBenchmark(to, format, title string, curves []experiment.Curve) error {
	guide := experiment.Curve{Policy: "n log n", X: curves[0].X}
	first := curves[0].Y[0].Mean / (guide.X[0] * math.Log(guide.X[0]+1))
	for _, n := range guide.X {
		guide.Y = append(guide.Y, experiment.Bootstrap([]float64{first * n * math.Log(n+1)}))
	}
	f, err := os.Create(to)
	if err != nil {
		return asUsageError(err)
	}
	err = plot.Curves(f, title, "hosts", "seconds", append(curves, guide), format)
	return errors.Join(err, f.Close())
}

const bytesPerMB = 1 << 20

// heapMB returns the memory that the heap has taken from the system so far, in MB.
func heapMB() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapSys) / bytesPerMB
}
