package harness

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"milletbarrow/internal/faultinjection/schedule"
)

// Append adds a verdict to a file, as a line.
func Append(file string, v *Verdict) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(f).Encode(v), f.Close())
}

// Print tells of one verdict.
func Print(w io.Writer, v *Verdict) {
	word := "held"
	if !v.OK {
		word = "DID NOT HOLD"
	}
	fmt.Fprintf(w, "%s: %s; %.0f s, whole again after %.1f s, ledger's term %d, %d asks, %.3f billed", v.Name, word, v.Took, v.Again, v.Leaders, v.Asks, v.Billed)
	if v.WaveTook > 0 {
		fmt.Fprintf(w, "; wave %.1f s, at most %d out", v.WaveTook, v.Out)
	}
	fmt.Fprintln(w)
	for _, r := range v.Reports {
		fmt.Fprintf(w, "  %s: shares in force at most %.3f of the whole, %.3f over time, %.3f at the end; %d grants, %d units drawn, at most %d over the whole at once\n",
			r.Quota, r.Peak, r.Mean, r.Last, r.Grants, r.Drawn, r.Excess)
	}
	if f := v.Cold; f != nil {
		fmt.Fprintf(w, "  register: an ordinary second has %.0f calls; while it took nothing %.0f, at most %.0f; fullest tenth %.2f times the mean in the first second, %.2f once all were listed\n",
			f.Ordinary, f.Refusing, f.Worst, f.First, f.Peak)
		fmt.Fprintf(w, "  half listed after %.1f s, 95 in a hundred after %.1f s; %d connections, fell over %d times; %d lapses; at most %d starting at once; %d of %d listed at the end\n",
			f.Half, f.Most, f.Conns, f.Falls, f.Lapsed, f.Starting, f.Listed, f.Backends)
	}
	for _, why := range v.Why {
		fmt.Fprintln(w, "  ", why)
	}
}

// Report sums up many verdicts.
type Report struct {
	Trials, Failed int
	Faults         map[string]int // by kind, over all
	Grants         int
	Drawn          int64
	Most           float64 // the highest sum of shares in force, as a part of the whole
	Over           int64   // units drawn at once over the whole
	Mean           float64
	Again          []float64 // seconds until whole after the last fault, sorted
	First          string    // that did not hold
	FirstAt        int       // counted from 1
	Why            []string
}

// ReadReport reads the verdicts of a file.
func ReadReport(file string) (*Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := &Report{Faults: map[string]int{}}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 16<<20)
	reports := 0
	for lines.Scan() {
		var v Verdict
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", file, r.Trials+1, err)
		}
		r.Trials++
		if !v.OK {
			if r.Failed++; r.First == "" {
				r.First, r.FirstAt, r.Why = v.Name, r.Trials, v.Why
			}
		}
		for k, n := range v.Faults {
			r.Faults[k] += n
		}
		for _, one := range v.Reports {
			reports++
			r.Grants += one.Grants
			r.Drawn += one.Drawn
			r.Most, r.Over = max(r.Most, one.Peak), max(r.Over, one.Excess)
			r.Mean += (one.Mean - r.Mean) / float64(reports)
		}
		r.Again = append(r.Again, v.Again)
	}
	slices.Sort(r.Again)
	return r, lines.Err()
}

// Print tells of it.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d trials, %d did not hold\n", r.Trials, r.Failed)
	if r.Trials == 0 {
		return
	}
	fmt.Fprintf(w, "shares in force: at most %.3f of the whole, %.3f over time; %d grants, %d units drawn, at most %d over the whole at once\n", r.Most, r.Mean, r.Grants, r.Drawn, r.Over)
	fmt.Fprintf(w, "whole again after the last fault: half within %.1f s, all within %.1f s\n", r.Again[len(r.Again)/2], r.Again[len(r.Again)-1])
	var kinds []string
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, r.Faults[k]))
	}
	fmt.Fprintln(w, "faults:", strings.Join(kinds, ", "))
	if r.First != "" {
		fmt.Fprintf(w, "the first that did not hold was %s, number %d: %s\n", r.First, r.FirstAt, strings.Join(r.Why, "; "))
	}
}

// Shrink takes faults out of a schedule that does not hold, as long as what is left does not.
func Shrink(ctx context.Context, t *schedule.Schedule, tries int, options func(*schedule.Schedule) (Options, error)) (*schedule.Schedule, error) {
	fails := func(t *schedule.Schedule) (bool, error) {
		for range tries {
			o, err := options(t)
			if err != nil {
				return false, err
			}
			v, err := Run(ctx, o)
			if err != nil || !v.OK && ctx.Err() == nil {
				return err == nil, err
			}
		}
		return false, nil
	}
	if bad, err := fails(t); err != nil || !bad {
		return t, errors.Join(err, fmt.Errorf("%s holds in %d tries: there is nothing to make smaller", t.Name, tries))
	}
	for {
		smaller := (*schedule.Schedule)(nil)
		for _, less := range t.Smaller() {
			if ctx.Err() != nil {
				return t, nil
			}
			if bad, err := fails(less); err != nil {
				return t, err
			} else if bad {
				smaller = less
				break
			}
		}
		if smaller == nil {
			return t, nil
		}
		t = smaller
	}
}
