package harness

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"milletbarrow/internal/faultinjection/coldstart"
)

// Append appends a verdict to a file as one line of JSON.
func Append(file string, v *Verdict) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(f).Encode(v), f.Close())
}

// Print writes a verdict as text.
func Print(w io.Writer, v *Verdict) {
	word := "held"
	if !v.OK {
		word = "DID NOT HOLD"
	}
	fmt.Fprintf(
		w,
		"%s: %s; %.0f s, all quotas granted again after %.1f s, quota store term %d, %d requests, value %.3f",
		v.Name,
		word,
		v.Seconds,
		v.RecoverySeconds,
		v.Term,
		v.Requests,
		v.Value,
	)
	if v.RollingUpdateSeconds > 0 {
		fmt.Fprintf(w, "; rolling update %.1f s, at most %d unavailable", v.RollingUpdateSeconds, v.Unavailable)
	}
	fmt.Fprintln(w)
	for _, r := range v.Reports {
		fmt.Fprintf(
			w,
			"  %s: grants in force at most %.3f of the total, mean %.3f, %.3f at the end; "+
				"%d grants, %d units drawn, at most %d over the total at once\n",
			r.Quota,
			r.Peak,
			r.Mean,
			r.Last,
			r.Grants,
			r.Drawn,
			r.Excess,
		)
	}
	if v.ColdStart != nil {
		printColdStart(w, v.ColdStart)
	}
	for _, reason := range v.Reasons {
		fmt.Fprintln(w, "  ", reason)
	}
}

// printColdStart writes the figures of a cold start as text.
func printColdStart(w io.Writer, f *coldstart.Figures) {
	fmt.Fprintf(
		w,
		"  endpoint registry: %.0f calls per second at the usual interval; before it accepted reports mean %.0f, "+
			"at most %.0f; busiest tenth of a second %.2f times the usual rate in the first second, "+
			"%.2f times the mean once all were listed\n",
		f.OrdinaryRate,
		f.RefusingRate,
		f.RefusingPeak,
		f.FirstPeak,
		f.Peak,
	)
	fmt.Fprintf(
		w,
		"  50%% listed after %.1f s, 95%% after %.1f s; %d connections, %d collapses; %d expired entries; "+
			"at most %d starting at once; %d of %d listed at the end\n",
		f.HalfListed,
		f.MostListed,
		f.Connections,
		f.Collapses,
		f.Expired,
		f.Starting,
		f.Listed,
		f.Backends,
	)
}

// Report summarises many verdicts.
type Report struct {
	Trials          int
	Failed          int
	Faults          map[string]int // by kind, over all trials
	Grants          int
	Drawn           int64     // units
	Peak            float64   `json:"Most"` // highest sum of grants in force, as a fraction of the total
	Excess          int64     `json:"Over"` // highest number of units drawn at once over the total
	Mean            float64   // mean of the grants in force over time, as a fraction of the total
	RecoverySeconds []float64 `json:"Again"`   // from the last fault until all quotas were granted again, sorted
	FirstFailed     string    `json:"First"`   // schedule of the first failed trial
	FirstFailedAt   int       `json:"FirstAt"` // number of the first failed trial, from 1
	Reasons         []string  `json:"Why"`     // failed checks of the first failed trial
}

// maxVerdict is the longest line of a file of verdicts, in bytes.
const maxVerdictBytes = 16 << 20

// ReadReport summarises the verdicts that Append wrote to a file.
func ReadReport(file string) (*Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := &Report{Faults: map[string]int{}}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxVerdictBytes)
	reports := 0
	for lines.Scan() {
		var v Verdict
		if err := json.Unmarshal(lines.Bytes(), &v); err != nil {
			return nil, fmt.Errorf("%s: line %d: %w", file, r.Trials+1, err)
		}
		r.Trials++
		if !v.OK {
			if r.Failed++; r.FirstFailed == "" {
				r.FirstFailed, r.FirstFailedAt, r.Reasons = v.Name, r.Trials, v.Reasons
			}
		}
		for k, n := range v.Faults {
			r.Faults[k] += n
		}
		for _, report := range v.Reports {
			reports++
			r.Grants += report.Grants
			r.Drawn += report.Drawn
			r.Peak, r.Excess = max(r.Peak, report.Peak), max(r.Excess, report.Excess)
			r.Mean += (report.Mean - r.Mean) / float64(reports)
		}
		r.RecoverySeconds = append(r.RecoverySeconds, v.RecoverySeconds)
	}
	slices.Sort(r.RecoverySeconds)
	return r, lines.Err()
}

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d trials, %d failed\n", r.Trials, r.Failed)
	if r.Trials == 0 {
		return
	}
	fmt.Fprintf(
		w,
		"grants in force: at most %.3f of the total, mean %.3f; %d grants, %d units drawn, "+
			"at most %d over the total at once\n",
		r.Peak,
		r.Mean,
		r.Grants,
		r.Drawn,
		r.Excess,
	)
	fmt.Fprintf(
		w,
		"all quotas granted again after the last fault: median %.1f s, maximum %.1f s\n",
		r.RecoverySeconds[len(r.RecoverySeconds)/2],
		r.RecoverySeconds[len(r.RecoverySeconds)-1],
	)
	var kinds []string
	for _, k := range slices.Sorted(maps.Keys(r.Faults)) {
		kinds = append(kinds, fmt.Sprintf("%s %d", k, r.Faults[k]))
	}
	fmt.Fprintln(w, "faults:", strings.Join(kinds, ", "))
	if r.FirstFailed != "" {
		fmt.Fprintf(
			w,
			"first failed trial: %s, number %d: %s\n",
			r.FirstFailed,
			r.FirstFailedAt,
			strings.Join(r.Reasons, "; "),
		)
	}
}
