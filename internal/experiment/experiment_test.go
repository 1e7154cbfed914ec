package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/simulation"
)

const small = `(scenario day (for 1s) (hosts (count 3)) (nodes (count 2)) (load (at 1.2)))
(experiment small (policies milletbarrow pool) (seeds 1..3) (over load.at (values 0.5 1.3)))`

func parse(t testing.TB, text string) *Experiment {
	t.Helper()
	x, err := Parse("small.sx", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return x
}

// TestErrors: an error in a file is reported with its place and field.
func TestErrors(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, text := range []string{
		`(experiment)`, `(scenario a)`, `(experiment x (policies wrong))`, `(experiment x (scenarios b)) (scenario a)`,
		"(scenario a (hosts (count 0)\n (crowd x)) (nodes (deaf 2)))\n(experiment x)",
		`(scenario a (trouble flood (at 1s))) (experiment x)`, `(scenario a (trouble tenant-burst (tenant z))) (experiment x)`,
		`(scenario a (hosts (memory 1))) (experiment x)`, `(scenario a) (scenario a) (experiment x (seeds 5..1))`,
		`(scenario a) (experiment x (over colour (values 1)))`, `(scenario a) (experiment x (over load.at (values one)))`,
		`(scenario a) (experiment x (over size (values 0)))`, `(scenario a (operation b (work 1s) (timeout 10ms))) (experiment x)`,
		`(policy p (base pool) (ladder "none.sx")) (experiment x)`, `(scenario a (recorded "none.txt")) (experiment x)`, `(scenario a (speed 3)) (experiment x)`,
		`(scenario a (hosts (count 3)`,
	} {
		_, err := Parse("file.sx", []byte(text))
		tr.Say("%s\n%v\n", text, err)
	}
	tr.Say("%s", parse(t, small).Describe(12))
}

// TestSameOnAnyCores: results do not depend on how many run at once, nor on whether they were stored in between.
func TestSameOnAnyCores(t *testing.T) {
	x := parse(t, small)
	text := func(dir *ResultDir, cores int) string {
		results, err := Run(context.Background(), x, dir, cores, nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(results)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw)
	}
	one := text(nil, 1)
	dir, err := OpenResultDir(t.TempDir(), "b")
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	for n, other := range []string{text(nil, 7), text(dir, 4), text(dir, 2)} {
		if one != other {
			t.Errorf("way %d gives other results", n)
		}
	}
}

// TestInterrupted: an experiment that is stopped half-way has its results stored, and the next call plays only the
// rest; a truncated file is played again.
func TestInterrupted(t *testing.T) {
	x, dir := parse(t, small), t.TempDir()
	resultDir, err := OpenResultDir(dir, "b")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	_, err = Run(ctx, x, resultDir, 1, func(p Progress) {
		if p.Done == 5 {
			cancel()
		}
	})
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("stopped: %v", err)
	}
	if _, err := OpenResultDir(dir, "b"); !errors.Is(err, ErrLocked) {
		t.Errorf("a second run into one place: %v", err)
	}
	resultDir.Close()
	if _, err := OpenResultDir(dir, "another build"); !errors.Is(err, ErrOtherBuild) {
		t.Errorf("another build: %v", err)
	}
	cached, err := filepath.Glob(filepath.Join(dir, "*.run"))
	if err != nil || len(cached) < 5 || len(cached) > 6 {
		t.Fatalf("%d results stored after five: %v", len(cached), err)
	}
	raw, err := os.ReadFile(cached[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cached[0], raw[:len(raw)/2], 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadResult(cached[0]); err == nil {
		t.Error("a truncated file is read as if it were complete")
	}
	if _, missing, err := Load(x, dir); err != nil || missing != 12-len(cached)+1 {
		t.Errorf("%d are missing, %v", missing, err)
	}
	if resultDir, err = OpenResultDir(dir, "b"); err != nil {
		t.Fatal(err)
	}
	defer resultDir.Close()
	played := 0
	results, err := Run(context.Background(), x, resultDir, 2, func(p Progress) { played = p.Done - p.Cached })
	if err != nil || played != 12-len(cached)+1 {
		t.Errorf("%d were played again, %v", played, err)
	}
	fresh, err := Run(context.Background(), x, nil, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	a, _ := json.Marshal(results)
	b, _ := json.Marshal(fresh)
	if diff := cmp.Diff(string(a), string(b)); diff != "" {
		t.Error("what was interrupted gives other results")
	}
}

// TestVerdicts: a difference is shown where there is one, and none where there is none.
func TestVerdicts(t *testing.T) {
	tr := fakes.NewTrace(t)
	x := parse(t, `(scenario day (for 1s) (hosts (count 3)) (nodes (count 2)) (load (at 1.4)))
(policy again (base pool)) (experiment small (policies milletbarrow pool again two-choices) (seeds 1..8))`)
	cells, err := x.Cells()
	if err != nil {
		t.Fatal(err)
	}
	results, err := Run(context.Background(), x, nil, 4, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range [][3]string{
		{"pool", "milletbarrow", "value"}, {"pool", "again", "value"}, {"milletbarrow", "pool", "attempts"}, {"pool", "two-choices", "pay-post.p99"},
		{"milletbarrow", "pool", "pay-post.throttled"}, {"milletbarrow", "pool", "none.value"}, {"milletbarrow", "nobody", "value"},
	} {
		m, err := MeasureNamed(c[2])
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range Compare(cells, results, c[0], c[1], m) {
			tr.Say("%s of %s and %s: %s", c[2], c[0], c[1], d.Verdict)
		}
	}
	_, err = MeasureNamed("colour")
	tr.Say("%v", err)
}

// TestIntervalCoversTheMean: of intervals of days whose true difference is known, about 95% cover it; with as few days
// as twelve it is a little less.
func TestIntervalCoversTheMean(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	covering, samples := 0, 300
	for range samples {
		xs := make([]float64, 12)
		for i := range xs {
			xs[i] = 3 + r.NormFloat64()
		}
		if e := Bootstrap(xs); e.Low <= 3 && e.High >= 3 {
			covering++
		}
	}
	if covering < samples*86/100 || covering == samples {
		t.Errorf("%d of %d intervals cover the true mean", covering, samples)
	}
}

// TestNewerVersionIsRefused: a result of a newer version is not misread.
func TestNewerVersionIsRefused(t *testing.T) {
	dir, err := OpenResultDir(t.TempDir(), "b")
	if err != nil {
		t.Fatal(err)
	}
	defer dir.Close()
	if err := dir.Write("k", &simulation.Result{Version: simulation.Version + 1}); err != nil {
		t.Fatal(err)
	}
	if _, ok := dir.Load("k"); ok {
		t.Error("a newer form is read")
	}
}
