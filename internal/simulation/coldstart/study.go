package coldstart

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"milletbarrow/internal/backend/registration/reportpacing"
	"milletbarrow/internal/faultinjection/coldstart"
	"milletbarrow/internal/fleet"
	"milletbarrow/internal/limits"
	"milletbarrow/monotime"
)

// Default returns the configuration of a typical installation. Its registry rejects reports for the first ten seconds.
// Its dependency collapses when more than a tenth of all backends call it at once, and recovers after five seconds
// without a call.
func Default(backends int) Config {
	bounds := limits.For(1, 192, 1024)
	return Config{
		Backends:          backends,
		Hosts:             max(1, backends/30),
		StartDuration:     time.Second,
		UncontendedStarts: 6,
		Duration:          120 * time.Second,
		Registry: coldstart.RegistryBehavior{
			Phases: []coldstart.Phase{
				{Mode: coldstart.Rejects, ResponseTime: 10 * time.Millisecond},
				{From: 10 * time.Second, Mode: coldstart.Accepts, ResponseTime: 10 * time.Millisecond},
			},
		},
		Dependency: Dependency{
			Latency:     200 * time.Millisecond,
			Concurrency: max(2, backends/30),
			CollapseAt:  max(4, backends/10),
			Recovery:    5 * time.Second,
		},
		Reports: reportpacing.Config{
			Interval:      monotime.FromDuration(bounds.ReportInterval),
			TTL:           monotime.FromDuration(bounds.RegistrationTTL),
			RetryMin:      monotime.FromDuration(bounds.ReportRetryMin),
			RetryRefused:  monotime.FromDuration(bounds.ReportRetryRefused),
			RetryInitial:  monotime.FromDuration(bounds.ReportRetryInitial),
			RetryMax:      monotime.FromDuration(bounds.ReportRetryMax),
			RetryAfterMax: monotime.FromDuration(bounds.RetryAfterMax),
			InFlight:      bounds.ReportsInFlight,
		},
		RelaunchBackoff: fleet.DefaultConfig(limits.ForControl(), 1).RelaunchBackoff,
	}
}

// Policies returns the policies that a study compares for a number of backends: no cold start, each part of the cold
// start alone, fixed limits of concurrent starts, and the cold start. The names are part of stored results.
func Policies(backends int) []Policy {
	return []Policy{
		{
			Name:         "at once, reports in step",
			FixedReports: true,
		},
		{Name: "at once", FixedReports: false},
		{Name: "rise, reports in step", FixedReports: true, MaxStarting: -backends / 8},
		{
			Name:        "fixed, a 100th",
			MaxStarting: max(1, backends/100),
		},
		{Name: "fixed, a 30th", MaxStarting: max(1, backends/30)},
		{
			Name:        "fixed, a 15th",
			MaxStarting: max(1, backends/15),
		},
		{Name: "fixed, an 8th", MaxStarting: max(1, backends/8)},
		{
			Name:        "fixed, a 4th",
			MaxStarting: max(1, backends/4),
		},
		{Name: "rise to an 8th", MaxStarting: -backends / 8},
		{Name: "rise to a 4th", MaxStarting: -backends / 4},
	}
}

// Row is the result of one policy for one number of backends, over all seeds.
type Row struct {
	Backends int               `json:"backends"`
	Policy   string            `json:"policy"`
	Figures  map[string]Figure `json:"figures"`
	Seeds    int               `json:"seeds"`
}

// Figure is a mean and half the width of its 95% confidence interval.
type Figure struct {
	Mean         float64 `json:"mean"`
	HalfInterval float64 `json:"half"`
	Never        int     `json:"out,omitempty"` // number of runs that never reached the state
}

// studyFigures are the figures of a study, with their names in JSON.
var studyFigures = []struct {
	name string
	of   func(*Result) float64
}{
	{
		"refusing",
		func(r *Result) float64 { return r.RefusingRate / r.OrdinaryRate },
	},
	{"first", func(r *Result) float64 { return r.FirstPeak }},
	{"peak", func(r *Result) float64 { return r.Peak }},
	{"listed95_s", func(r *Result) float64 { return r.MostListed }},
	{
		"warm50_s",
		func(r *Result) float64 { return r.HalfReadySeconds },
	},
	{"warm95_s", func(r *Result) float64 { return r.MostReadySeconds }},
	{
		"warm",
		func(r *Result) float64 { return float64(r.Ready) },
	},
	{"below_fell", func(r *Result) float64 { return float64(r.DependencyCollapses) }},
	{
		"below_calls",
		func(r *Result) float64 { return float64(r.DependencyCalls) },
	},
	{"starting", func(r *Result) float64 { return float64(r.PeakStarting) }},
}

// Study simulates all policies for all sizes, with as many concurrent runs as there are cores. logf reports progress.
func Study(sizes []int, seeds int, logf func(string, ...any)) (rows []Row, err error) {
	for _, n := range sizes {
		for _, p := range Policies(n) {
			row, err := studyPolicy(n, p, seeds)
			if err != nil {
				return nil, err
			}
			rows = append(rows, row)
			logf("%d backends, %s: done", n, p.Name)
		}
	}
	return rows, nil
}

// studyPolicy simulates one policy for one number of backends with seeds from 1.
func studyPolicy(backends int, p Policy, seeds int) (Row, error) {
	results := make([]*Result, seeds)
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for s := range seeds {
		group.Go(func() (err error) {
			results[s], err = Run(Default(backends), p, uint64(s+1))
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return Row{}, err
	}
	row := Row{Backends: backends, Policy: p.Name, Seeds: seeds, Figures: map[string]Figure{}}
	for _, m := range studyFigures {
		values := make([]float64, 0, seeds)
		for _, result := range results {
			values = append(values, m.of(result))
		}
		row.Figures[m.name] = estimate(values)
	}
	return row, nil
}

// studentT95 holds the quantiles of Student's t for a two-sided 95% interval, by degrees of freedom from 1.
var studentT95 = []float64{12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26}

// estimate returns the mean of the values that are not negative. A negative value stands for never.
func estimate(values []float64) (f Figure) {
	var reached []float64
	for _, value := range values {
		if value < 0 {
			f.Never++
		} else {
			reached = append(reached, value)
		}
	}
	if len(reached) == 0 {
		return f
	}
	for _, value := range reached {
		f.Mean += value / float64(len(reached))
	}
	if len(reached) > 1 {
		sum := 0.0
		for _, value := range reached {
			sum += (value - f.Mean) * (value - f.Mean)
		}
		freedom := len(reached) - 1
		f.HalfInterval = studentT95[min(freedom, len(studentT95))-1] *
			math.Sqrt(sum/float64(freedom)/float64(len(reached)))
	}
	return f
}

// Print writes a study as a Markdown table.
func Print(w io.Writer, rows []Row) {
	fmt.Fprintln(
		w,
		"| backends | policy | calls while rejected, of usual rate | busiest tenth of a second after, of usual rate "+
			"| busiest tenth once all listed, of mean | 95% listed, s | 50% ready, s | 95% ready, s "+
			"| ready at 120 s | dependency collapses | dependency calls |",
	)
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	cell := func(r *Row, name string, digits int) string {
		f := r.Figures[name]
		switch {
		case f.Never == r.Seeds:
			return "never"
		case f.Never > 0:
			return fmt.Sprintf("%.*f (never in %d of %d)", digits, f.Mean, f.Never, r.Seeds)
		}
		return fmt.Sprintf("%.*f ± %.*f", digits, f.Mean, digits, f.HalfInterval)
	}
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(w, "| %d | %s |", r.Backends, r.Policy)
		for _, column := range []struct {
			name   string
			digits int
		}{
			{"refusing", 2}, {"first", 2}, {"peak", 2}, {"listed95_s", 1}, {"warm50_s", 1}, {"warm95_s", 1},
			{"warm", 0}, {"below_fell", 1}, {"below_calls", 0},
		} {
			fmt.Fprintf(w, " %s |", cell(r, column.name, column.digits))
		}
		fmt.Fprintln(w)
	}
}

// Sizes returns the numbers of backends in the recorded studies.
func Sizes() []int { return slices.Clone([]int{330, 1200, 5000}) }
