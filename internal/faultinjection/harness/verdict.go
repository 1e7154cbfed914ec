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

// Verdict is what a trial came to.
type Verdict struct {
	Name     string             `json:"name"`
	OK       bool               `json:"ok"`
	Why      []string           `json:"why,omitempty"`
	Reports  []checker.Report   `json:"reports"`
	Out      int                `json:"out"` // backends without a process at once during the wave
	Faults   map[string]int     `json:"faults"`
	Took     float64            `json:"took_s"`
	Again    float64            `json:"again_s"` // from the last fault's end until the shares were whole again
	Asks     int                `json:"asks"`
	Billed   float64            `json:"billed"`
	Doubles  int                `json:"doubles"` // answers that came twice, and runs that were launched twice
	Leaders  int                `json:"leaders"` // terms of the quota store
	WaveTook float64            `json:"wave_s,omitempty"`
	Cold     *coldstart.Figures `json:"cold,omitempty"`
	Limits   checker.Limits     `json:"-"`
	From     int64              `json:"from_us"`
	To       int64              `json:"to_us"`
	Marks    map[string]int64   `json:"marks,omitempty"`
}

func (v *Verdict) fail(format string, args ...any) {
	v.OK = false
	v.Why = append(v.Why, fmt.Sprintf(format, args...))
}

// judge has the stamps audited.
func (g *Harness) judge(v *Verdict) {
	all, err := checker.ReadAll(filepath.Join(g.site.Dir, "stamps"))
	if err != nil {
		v.fail("stamps: %v", err)
		return
	}
	if len(all) < len(g.site.Names) {
		v.fail("stamps: %d processes wrote some, there were %d backends", len(all), len(g.site.Names))
	}
	if g.register != nil {
		g.judgeCold(v, all)
	}
	for _, b := range g.options.Budgets {
		r := checker.CheckGrants(all, b.Name, v.Limits, v.From, v.To)
		// A holder may draw three tenths of a second of its share at once, and four units at the least; each may be stopped
		// once in a draw.
		most := int64(0)
		for _, w := range v.Limits[b.Name] {
			most = max(most, w.Units)
		}
		r.CheckDraws(all, v.Limits, most*3/10+5*int64(len(g.site.Names)), 500_000, 2_000_000, 10_000_000)
		for _, one := range r.Breaches {
			v.fail("%v", one)
		}
		if g.options.Table.Load > 0 && r.Drawn == 0 {
			v.fail("%s: nothing was drawn", b.Name)
		}
		v.Reports = append(v.Reports, r)
	}
	for _, y := range g.site.Executors {
		_, _, twice := y.Counts()
		v.Doubles += twice
	}
	if v.Doubles > 0 {
		v.fail("%d answers or runs came twice", v.Doubles)
	}
	if at, ok := v.Marks["wave"]; ok {
		v.Out = checker.MaxUnavailable(all, at, v.Marks["wave over"])
		if v.Out > MaxUnavailable {
			v.fail("%d backends were out at once, %d may be", v.Out, MaxUnavailable)
		}
		if v.Out == 0 {
			v.fail("the wave took nobody out")
		}
	}
}

// saveFailure copies what a person needs to look at.
func (g *Harness) saveFailure(v *Verdict) error {
	if g.options.Keep == "" || v.OK {
		return nil
	}
	to := filepath.Join(g.options.Keep, v.Name)
	_ = os.RemoveAll(to)
	if err := os.CopyFS(filepath.Join(to, "stamps"), os.DirFS(filepath.Join(g.site.Dir, "stamps"))); err != nil {
		return err
	}
	for _, h := range g.hosts {
		if raw, err := os.ReadFile(filepath.Join(g.site.Dir, h.name+".log")); err == nil {
			if err := os.WriteFile(filepath.Join(to, h.name+".log"), raw, 0o600); err != nil {
				return err
			}
		}
	}
	raw, _ := json.MarshalIndent(v, "", " ")
	return errors.Join(os.WriteFile(filepath.Join(to, "verdict.json"), raw, 0o600),
		os.WriteFile(filepath.Join(to, "trial.sx"), []byte(g.options.Table.String()), 0o600))
}

func (g *Harness) countFault(kind string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults[kind]++
}
