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
	Reasons              []string           `json:"why,omitempty"` // failed checks
	Reports              []checker.Report   `json:"reports"`
	Unavailable          int                `json:"out"`    // most backends without a process during the rolling update
	Faults               map[string]int     `json:"faults"` // by kind; those not injected have a prefix
	Seconds              float64            `json:"took_s"`
	RecoverySeconds      float64            `json:"again_s"` // from the last fault's end to the grant of all quotas
	Requests             int                `json:"asks"`
	Value                float64            `json:"billed"`
	Duplicates           int                `json:"doubles"` // duplicate or wrong answers, and duplicate launches
	Term                 int                `json:"leaders"` // of the quota store at the end
	RollingUpdateSeconds float64            `json:"wave_s,omitempty"`
	ColdStart            *coldstart.Figures `json:"cold,omitempty"`
	Limits               checker.Limits     `json:"-"`
	From                 int64              `json:"from_us"`         // microseconds of the machine's boot clock
	To                   int64              `json:"to_us"`           // microseconds of the machine's boot clock
	Marks                map[string]int64   `json:"marks,omitempty"` // microseconds of the boot clock
}

// fail marks the verdict as failed and adds a reason.
func (v *Verdict) fail(format string, args ...any) {
	v.OK = false
	v.Reasons = append(v.Reasons, fmt.Sprintf(format, args...))
}

// checkDrawLogs checks the draw logs and the counts of executors, and adds the results to the verdict.
func (harness *Harness) checkDrawLogs(v *Verdict) {
	all, err := checker.ReadAll(filepath.Join(harness.site.Dir, "stamps"))
	if err != nil {
		v.fail("draw logs: %v", err)
		return
	}
	if len(all) < len(harness.site.Names) {
		v.fail("draw logs: got %d, expected at least one for each of %d backends", len(all), len(harness.site.Names))
	}
	if harness.registry != nil {
		harness.checkColdStart(v, all)
	}
	for _, quota := range harness.options.Quotas {
		r := checker.CheckGrants(all, quota.Name, v.Limits, v.From, v.To)
		// A holder may draw 0.3 s of its grant at once, but at least four units. Each holder may be stopped once
		// during a draw.
		highest := int64(0)
		for _, total := range v.Limits[quota.Name] {
			highest = max(highest, total.Units)
		}
		r.CheckDraws(all, v.Limits, highest*3/10+5*int64(len(harness.site.Names)), 500_000, 2_000_000, 10_000_000)
		for _, breach := range r.Breaches {
			v.fail("%v", breach)
		}
		if harness.options.Schedule.Load > 0 && r.Drawn == 0 {
			v.fail("%s: no units were drawn", quota.Name)
		}
		v.Reports = append(v.Reports, r)
	}
	for _, executor := range harness.site.Executors {
		_, _, launchedTwice := executor.Counts()
		v.Duplicates += launchedTwice
	}
	if v.Duplicates > 0 {
		v.fail("%d duplicate or wrong answers, or duplicate launches", v.Duplicates)
	}
	if at, ok := v.Marks[rollingUpdateStartMark]; ok {
		v.Unavailable = checker.MaxUnavailable(all, at, v.Marks[rollingUpdateEndMark])
		if v.Unavailable > MaxUnavailable {
			v.fail("%d backends were unavailable at once, the limit is %d", v.Unavailable, MaxUnavailable)
		}
		if v.Unavailable == 0 {
			v.fail("the rolling update made no backend unavailable")
		}
	}
}

// saveFailure copies the logs, the verdict and the schedule of a failed trial to Options.FailureDir.
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

// countFault adds one to the faults under a key of Verdict.Faults.
func (harness *Harness) countFault(kind string) {
	harness.mu.Lock()
	defer harness.mu.Unlock()
	harness.faults[kind]++
}
