package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"milletbarrow/internal/faultinjection/checker"
	"milletbarrow/internal/faultinjection/coldstart"
)

// Verdict is the outcome of a trial.
type Verdict struct {
	Name                 string             `json:"name"`
	OK                   bool               `json:"ok"`
	Reasons              []string           `json:"why,omitempty"` // what did not hold
	Reports              []checker.Report   `json:"reports"`
	Unavailable          int                `json:"out"`    // backends without a process at once during the rolling update
	Faults               map[string]int     `json:"faults"` // by kind, and those that were not brought about
	Seconds              float64            `json:"took_s"`
	RecoverySeconds      float64            `json:"again_s"` // from the last fault's end until all quotas were granted again
	Requests             int                `json:"asks"`
	Value                float64            `json:"billed"`
	Duplicates           int                `json:"doubles"` // answers that came twice, and runs that were launched twice
	Term                 int                `json:"leaders"` // of the quota store at the end
	RollingUpdateSeconds float64            `json:"wave_s,omitempty"`
	ColdStart            *coldstart.Figures `json:"cold,omitempty"`
	Limits               checker.Limits     `json:"-"`
	From                 int64              `json:"from_us"` // microseconds of the machine's boot clock
	To                   int64              `json:"to_us"`   // microseconds of the machine's boot clock
	Marks                map[string]int64   `json:"marks,omitempty"`
}

// fail notes what did not hold.
func (v *Verdict) fail(format string, args ...any) {
	v.OK = false
	v.Reasons = append(v.Reasons, fmt.Sprintf(format, args...))
}

// judge has the checker judge the draw logs.
func (harness *Harness) judge(v *Verdict) {
	all, err := checker.ReadAll(filepath.Join(harness.site.Dir, "stamps"))
	if err != nil {
		v.fail("stamps: %v", err)
		return
	}
	if len(all) < len(harness.site.Names) {
		v.fail("stamps: %d processes wrote some, there were %d backends", len(all), len(harness.site.Names))
	}
	if harness.registry != nil {
		harness.judgeColdStart(v, all)
	}
	for _, b := range harness.options.Quotas {
		r := checker.CheckGrants(all, b.Name, v.Limits, v.From, v.To)
		// A holder may draw three tenths of a second of its share at once, and four units at the least; each may be
		// stopped once in a draw.
		most := int64(0)
		for _, w := range v.Limits[b.Name] {
			most = max(most, w.Units)
		}
		r.CheckDraws(all, v.Limits, most*3/10+5*int64(len(harness.site.Names)), 500_000, 2_000_000, 10_000_000)
		for _, one := range r.Breaches {
			v.fail("%v", one)
		}
		if harness.options.Schedule.Load > 0 && r.Drawn == 0 {
			v.fail("%s: nothing was drawn", b.Name)
		}
		v.Reports = append(v.Reports, r)
	}
	for _, executor := range harness.site.Executors {
		_, _, twice := executor.Counts()
		v.Duplicates += twice
	}
	if v.Duplicates > 0 {
		v.fail("%d answers or runs came twice", v.Duplicates)
	}
	if at, ok := v.Marks["wave"]; ok {
		v.Unavailable = checker.MaxUnavailable(all, at, v.Marks["wave over"])
		if v.Unavailable > MaxUnavailable {
			v.fail("%d backends were out at once, %d may be", v.Unavailable, MaxUnavailable)
		}
		if v.Unavailable == 0 {
			v.fail("the wave took nobody out")
		}
	}
}

// saveFailure copies what a person needs to look at.
func (harness *Harness) saveFailure(v *Verdict) error {
	if harness.options.FailureDir == "" || v.OK {
		return nil
	}
	to := filepath.Join(harness.options.FailureDir, v.Name)
	_ = os.RemoveAll(to)
	if err := os.CopyFS(filepath.Join(to, "stamps"), os.DirFS(filepath.Join(harness.site.Dir, "stamps"))); err != nil {
		return err
	}
	for _, h := range harness.hosts {
		if raw, err := os.ReadFile(filepath.Join(harness.site.Dir, h.name+".log")); err == nil {
			if err := os.WriteFile(filepath.Join(to, h.name+".log"), raw, 0o600); err != nil {
				return err
			}
		}
	}
	raw, _ := json.MarshalIndent(v, "", " ")
	return errors.Join(os.WriteFile(filepath.Join(to, "verdict.json"), raw, 0o600),
		os.WriteFile(filepath.Join(to, "trial.sx"), []byte(harness.options.Schedule.String()), 0o600))
}

func (harness *Harness) countFault(kind string) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.faults[kind]++
}
