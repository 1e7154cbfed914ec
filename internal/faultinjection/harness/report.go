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
)

// Append adds a verdict to a file, as a line.
func Append(file string, v *Verdict) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	return errors.Join(json.NewEncoder(f).Encode(v), f.Close())
}

// Print writes one verdict for a person.
func Print(w io.Writer, v *Verdict) {
	word := "held"
	if !v.OK {
		word = "DID NOT HOLD"
	}
	fmt.Fprintf(
		w,
		"%s: %s; %.0f s, whole again after %.1f s, ledger's term %d, %d asks, %.3f billed",
		v.Name,
		word,
		v.Seconds,
		v.RecoverySeconds,
		v.Term,
		v.Requests,
		v.Value,
	)
	if v.RollingUpdateSeconds > 0 {
		fmt.Fprintf(w, "; wave %.1f s, at most %d out", v.RollingUpdateSeconds, v.Unavailable)
	}
	fmt.Fprintln(w)
	for _, r := range v.Reports {
		fmt.Fprintf(
			w,
			"  %s: shares in force at most %.3f of the whole, %.3f over time, %.3f at the end; %d grants, %d units drawn, at most %d over the whole at once\n",
			r.Quota,
			r.Peak,
			r.Mean,
			r.Last,
			r.Grants,
			r.Drawn,
			r.Excess,
		)
	}
	if f := v.ColdStart; f != nil {
		fmt.Fprintf(
			w,
			"  register: an ordinary second has %.0f calls; while it took nothing %.0f, at most %.0f; fullest tenth %.2f times the mean in the first second, %.2f once all were listed\n",
			f.OrdinaryRate,
			f.RefusingRate,
			f.RefusingPeak,
			f.FirstPeak,
			f.Peak,
		)
		fmt.Fprintf(
			w,
			"  half listed after %.1f s, 95 in a hundred after %.1f s; %d connections, fell over %d times; %d lapses; at most %d starting at once; %d of %d listed at the end\n",
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
	for _, reason := range v.Reasons {
		fmt.Fprintln(w, "  ", reason)
	}
}

// Report sums up many verdicts.
type Report struct {
	Trials          int
	Failed          int
	Faults          map[string]int // by kind, over all
	Grants          int
	Drawn           int64     // units
	Peak            float64   `json:"Most"` // the highest sum of grants in force, as a part of the total
	Excess          int64     `json:"Over"` // units drawn at once over the total
	Mean            float64   // grants in force over time, as a part of the total
	RecoverySeconds []float64 `json:"Again"`   // until granted again after the last fault, sorted
	FirstFailed     string    `json:"First"`   // the schedule of the first trial that did not hold
	FirstFailedAt   int       `json:"FirstAt"` // its number, from 1
	Reasons         []string  `json:"Why"`     // of the first that did not hold
}

// maxVerdict is the longest line of a file of verdicts, in bytes.
const maxVerdict = 16 << 20

// ReadReport reads the verdicts of a file.
func ReadReport(file string) (*Report, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	r := &Report{Faults: map[string]int{}}
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, maxVerdict)
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
		for _, one := range v.Reports {
			reports++
			r.Grants += one.Grants
			r.Drawn += one.Drawn
			r.Peak, r.Excess = max(r.Peak, one.Peak), max(r.Excess, one.Excess)
			r.Mean += (one.Mean - r.Mean) / float64(reports)
		}
		r.RecoverySeconds = append(r.RecoverySeconds, v.RecoverySeconds)
	}
	slices.Sort(r.RecoverySeconds)
	return r, lines.Err()
}

// Print writes it for a person.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%d trials, %d did not hold\n", r.Trials, r.Failed)
	if r.Trials == 0 {
		return
	}
	fmt.Fprintf(
		w,
		"shares in force: at most %.3f of the whole, %.3f over time; %d grants, %d units drawn, at most %d over the whole at once\n",
		r.Peak,
		r.Mean,
		r.Grants,
		r.Drawn,
		r.Excess,
	)
	fmt.Fprintf(
		w,
		"whole again after the last fault: half within %.1f s, all within %.1f s\n",
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
			"the first that did not hold was %s, number %d: %s\n",
			r.FirstFailed,
			r.FirstFailedAt,
			strings.Join(r.Reasons, "; "),
		)
	}
}
