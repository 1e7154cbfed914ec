package fleet

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/compattest"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
)

// specWithAllNames uses every current name that has a former one.
const specWithAllNames = `(fleet f
  (host h1 (agent "unix:/a") (peer "127.0.0.1:7171"))
  (quotas (version 2) (quota-store h1)
    (quota q1 (rate 100) (tenant t))
    (quota q2 (count 3) (reserve-per-host yes)))
  (group g (host h1) (config "/c/%n.json") (instances a b) (degradation "/c/levels.sx") (restart (max 5) (within 1m)))
  (rolling-update (max-unavailable 2) (min-ready 1) (min-ready-share 0.4) (max-failures 3) (stall-timeout 90s)
    (rejected-share 0.7) (rejected-for 8s) (quota q2))
  (cold-start (quota q2) (min-serving-share 0.6) (max-failures 4) (slow-factor 3) (rejected-share 0.2)
    (initial-concurrent 1)))`

// TestFormerNamesInFleetFileAreRead checks that each former name in a fleet's file is read as the current one, with a
// warning.
func TestFormerNamesInFleetFileAreRead(t *testing.T) {
	compattest.FormerNames(t, formerSpecNames, specWithAllNames, func(src []byte) (any, []sexpr.Warning, error) {
		spec, err := ReadSpec("fleet.sx", src, limits.ForControl())
		if err != nil {
			return nil, nil, err
		}
		return spec, spec.Warnings, nil
	})
}

// TestExampleOfEarlierReleaseDecodesAlike checks that the example of release 6251f7b decodes to the same value as the
// current example, and that only the earlier one leads to warnings.
func TestExampleOfEarlierReleaseDecodesAlike(t *testing.T) {
	read := func(path string) *Spec {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		spec, err := ReadSpec("fleet.sx", text, limits.ForControl())
		if err != nil {
			t.Fatal(err)
		}
		return spec
	}
	encode := func(spec *Spec) string {
		text, err := json.MarshalIndent(spec, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	earlier, current := read("testdata/6251f7b/fleet.sx"), read("../../deploy/fleet.sx")
	if diff := cmp.Diff(encode(earlier), encode(current)); diff != "" {
		t.Error(diff)
	}
	if len(earlier.Warnings) == 0 || len(current.Warnings) != 0 {
		t.Errorf("%d warnings about the earlier file, %d about the current one",
			len(earlier.Warnings), len(current.Warnings))
	}
}
