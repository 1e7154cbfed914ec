package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"milletbarrow/internal/fakes"
	"milletbarrow/internal/limits"
	"milletbarrow/internal/sexpr"
)

// specErrorsOf reads a fleet's file that is invalid and returns its errors.
func specErrorsOf(t *testing.T, text string) (all []*SpecError) {
	t.Helper()
	_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
	return specErrors(t, err)
}

// specErrors returns the errors that an error of ReadSpec joins.
func specErrors(t *testing.T, err error) (all []*SpecError) {
	t.Helper()
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("%v joins no errors", err)
	}
	for _, one := range joined.Unwrap() {
		specError, ok := errors.AsType[*SpecError](one)
		if !ok {
			t.Fatalf("%v is not a *SpecError", one)
		}
		all = append(all, specError)
	}
	return all
}

// TestSpecErrorsNameTheirSubject checks that each error of a fleet's file names the invalid host, group, instance or
// quota, and the field.
func TestSpecErrorsNameTheirSubject(t *testing.T) {
	const hosts = `(host h1 (agent "unix:/a") (peer 127.0.0.1:1)) (host h2 (agent x) (peer 127.0.0.1:2) (colour red))`
	const group1 = `(group g1 (host h1) (config "%n") (instances a b) (settle never))`
	const group2 = `(group g2 (host h3) (config "%n") (instances c a ../x) (spares b) (colour red))`
	const quotas = `(budgets (ledger h1 h9) (budget q1 (rate 10)) (budget q2 (count 3) (colour red)) (colour red))`
	type subject struct {
		SpecSubject
		Field string
	}
	all := specErrorsOf(t, `(fleet f `+hosts+group1+group2+quotas+`(wave (width 0)) (rise (budget q1)) (colour red))`)
	got := make([]subject, 0, len(all))
	for _, e := range all {
		position, ok := errors.AsType[*sexpr.Error](e)
		if !ok || e.Error() != position.Error() {
			t.Fatalf("%v does not contain its position: %v", e, position)
		}
		got = append(got, subject{e.SpecSubject, strings.TrimPrefix(position.Field, "fleet.")})
	}
	want := []subject{
		{SpecSubject{Host: "h2"}, "host.colour"},
		{SpecSubject{Host: "h2"}, "host.agent"},
		{SpecSubject{Group: "g1"}, "group.settle"},
		{SpecSubject{Group: "g2"}, "group.host"},
		{SpecSubject{Group: "g2", Instance: "a"}, "group.instances"},
		{SpecSubject{Group: "g2", Instance: "../x"}, "group.instances"},
		{SpecSubject{Group: "g2", Instance: "b"}, "group.spares"},
		{SpecSubject{Group: "g2"}, "group.colour"},
		{SpecSubject{}, "rolling-update.max-unavailable"},
		{SpecSubject{}, "quotas.quota-store"},
		{SpecSubject{}, "quotas.quota-store"},
		{SpecSubject{Quota: "q1"}, "quotas.quota.tenant"},
		{SpecSubject{Quota: "q2"}, "quotas.quota.colour"},
		{SpecSubject{}, "quotas.colour"},
		{SpecSubject{}, "cold-start.quota"},
		{SpecSubject{}, "colour"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSpecErrorsNameHostsThatCannotTakePart checks that an error names the host that has too many instances or no peer
// address.
func TestSpecErrorsNameHostsThatCannotTakePart(t *testing.T) {
	bounds := limits.ForControl()
	bounds.Instances = 1
	const hosts = `(host h1 (agent "unix:/a") (peer 127.0.0.1:1)) (host h2 (agent "unix:/b"))`
	const group = `(group g (host h1) (config "%n") (instances a b))`
	const quotas = `(budgets (ledger h1) (budget q (count 1)))`
	_, err := ReadSpec("fleet.sx", []byte(`(fleet f `+hosts+group+quotas+`)`), bounds)
	all := specErrors(t, err)
	subjects := make([]SpecSubject, 0, len(all))
	for _, specError := range all {
		subjects = append(subjects, specError.SpecSubject)
	}
	if diff := cmp.Diff([]SpecSubject{{Host: "h1"}, {Host: "h2"}}, subjects); diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

// TestManySpecErrorsKeepTheirSubjects checks that each error has its own subject even if the file has more errors than
// are reported.
func TestManySpecErrorsKeepTheirSubjects(t *testing.T) {
	duplicates := strings.Repeat(" a", 30)
	all := specErrorsOf(t, `(fleet f (host h1 (agent "unix:/a"))`+
		` (group g1 (config "%n") (instances a`+duplicates+`)) (group g2))`)
	for _, specError := range all {
		if want := (SpecSubject{Group: "g1", Instance: "a"}); specError.SpecSubject != want {
			t.Errorf("%v: %+v, want %+v", specError, specError.SpecSubject, want)
		}
	}
	if len(all) == 0 {
		t.Error("no error")
	}
}

// TestUnparsedSpecIsReportedWithItsPosition checks that a file that can't be parsed is reported with its position.
func TestUnparsedSpecIsReportedWithItsPosition(t *testing.T) {
	_, err := ReadSpec("fleet.sx", []byte("(fleet"), limits.ForControl())
	if _, ok := errors.AsType[*sexpr.Error](err); !ok {
		t.Errorf("%v, want a *sexpr.Error", err)
	}
}

// TestSpecErrors compares the errors of invalid files and the results of selections and previews with the stored trace.
func TestSpecErrors(t *testing.T) {
	trace := fakes.NewTrace(t)
	const host = `(host h1 (agent "unix:/a"))`
	for _, text := range []string{
		"(wave)",
		"(fleet f)",
		`(fleet f (host h (agent "unix:/a")) (host h (agent 10.0.0.1:80)))`,
		`(fleet f ` + host + ` (group g (config c) (instances a b))` +
			` (group g (host z) (config "%n") (instances a ../x)))`,
		`(fleet f (host h1 (agent "127.0.0.1:70000"))` +
			` (group g (config "%n") (range n 5 2) (settle 2h30) (colour red)))`,
		`(fleet f ` + host + ` (group g (config "%n") (instances a))` +
			` (wave (width 0) (least-share 2) (order up) (stall 0s)))`,
	} {
		_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
		trace.Say("%s\n%v", text, err)
	}
	spec := readTestSpec(t, groupsOf(2, 2, 1, ""))
	for _, selection := range []Selection{
		{},
		{All: true},
		{Groups: []string{"g1"}},
		{Names: []string{"g0-s1", "g1-n2"}},
		{Names: []string{"nobody"}},
		{Hosts: []string{"h1"}},
	} {
		selected, err := spec.Select(selection)
		names := make([]string, 0, len(selected))
		for _, inst := range selected {
			names = append(names, inst.Name)
		}
		trace.Say("%+v: %v %v", selection, names, err)
	}
	config := RollingUpdateConfig{
		MaxInProgress: 2, MinReadyShare: 0.5, Order: OrderSpread, StallTimeout: 1, MaxRejectedShare: 1,
	}
	steps, err := Preview(spec, "h1", []string{"g0-n1", "g0-n2", "g1-n1"}, config)
	trace.Say("%v %v", planText(steps), err)
	config.MinReadyShare = 1
	config.Order = OrderFile
	_, err = Preview(spec, "h1", []string{"g0-n1"}, config)
	trace.Say("%v", err)
}

// planText prints a plan as the stored trace has it.
func planText(steps []PlanStep) string {
	words := make([]string, 0, len(steps))
	for _, step := range steps {
		words = append(words, fmt.Sprintf("{Name:%s Group:%s Batch:%d Ready:%d Least:%d}",
			step.Name, step.Group, step.Batch, step.Ready, step.MinReady))
	}
	return "[" + strings.Join(words, " ") + "]"
}
