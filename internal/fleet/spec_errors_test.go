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

// specErrorsOf reads a fleet's file and returns what is wrong with it.
func specErrorsOf(t *testing.T, text string) (all []*SpecError) {
	t.Helper()
	_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
	return specErrors(t, err)
}

// specErrors takes apart what ReadSpec returned.
func specErrors(t *testing.T, err error) (all []*SpecError) {
	t.Helper()
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		t.Fatalf("%v joins no errors", err)
	}
	for _, one := range joined.Unwrap() {
		wrong, ok := errors.AsType[*SpecError](one)
		if !ok {
			t.Fatalf("%v is no *SpecError", one)
		}
		all = append(all, wrong)
	}
	return all
}

// TestSpecErrorSubjects: each error about a fleet's file names the host, group, instance or quota that it is about, and
// the field.
func TestSpecErrorSubjects(t *testing.T) {
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
		place, ok := errors.AsType[*sexpr.Error](e)
		if !ok || e.Error() != place.Error() {
			t.Fatalf("%v does not hold its place: %v", e, place)
		}
		got = append(got, subject{e.SpecSubject, strings.TrimPrefix(place.Field, "fleet.")})
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
		{SpecSubject{}, "wave.width"},
		{SpecSubject{}, "budgets.ledger"},
		{SpecSubject{}, "budgets.ledger"},
		{SpecSubject{Quota: "q1"}, "budgets.budget.tenant"},
		{SpecSubject{Quota: "q2"}, "budgets.budget.colour"},
		{SpecSubject{}, "budgets.colour"},
		{SpecSubject{}, "rise.budget"},
		{SpecSubject{}, "colour"},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// TestSpecErrorSubjectsOfHosts: hosts that can't take part, for what other forms of the file ask, are named.
func TestSpecErrorSubjectsOfHosts(t *testing.T) {
	bounds := limits.ForControl()
	bounds.Instances = 1
	_, err := ReadSpec("fleet.sx", []byte(`(fleet f (host h1 (agent "unix:/a") (peer 127.0.0.1:1)) (host h2 (agent "unix:/b"))
		(group g (host h1) (config "%n") (instances a b)) (budgets (ledger h1) (budget q (count 1))))`), bounds)
	named := make([]SpecSubject, 0, 2)
	for _, wrong := range specErrors(t, err) {
		named = append(named, wrong.SpecSubject)
	}
	if diff := cmp.Diff([]SpecSubject{{Host: "h1"}, {Host: "h2"}}, named); diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}

// TestManySpecErrors: beyond the bound on errors the file's errors still come, each with its own subject.
func TestManySpecErrors(t *testing.T) {
	all := specErrorsOf(t, `(fleet f (host h1 (agent "unix:/a")) (group g1 (config "%n") (instances a`+strings.Repeat(" a", 30)+`)) (group g2))`)
	for _, e := range all {
		if e.SpecSubject != (SpecSubject{Group: "g1", Instance: "a"}) {
			t.Errorf("%v: %+v", e, e.SpecSubject)
		}
	}
	if len(all) == 0 {
		t.Error("no error")
	}
}

// TestUnparsedSpec: a file that is no S-expression is reported with its place alone.
func TestUnparsedSpec(t *testing.T) {
	_, err := ReadSpec("fleet.sx", []byte("(fleet"), limits.ForControl())
	if _, ok := errors.AsType[*sexpr.Error](err); !ok {
		t.Errorf("%v", err)
	}
}

// TestSpecErrors: a fleet's file that can't be used says where, and all of it at once.
func TestSpecErrors(t *testing.T) {
	tr := fakes.NewTrace(t)
	for _, text := range []string{
		"(wave)", "(fleet f)", `(fleet f (host h (agent "unix:/a")) (host h (agent 10.0.0.1:80)))`,
		`(fleet f (host h1 (agent "unix:/a")) (group g (config c) (instances a b)) (group g (host z) (config "%n") (instances a ../x)))`,
		`(fleet f (host h1 (agent "127.0.0.1:70000")) (group g (config "%n") (range n 5 2) (settle 2h30) (colour red)))`,
		`(fleet f (host h1 (agent "unix:/a")) (group g (config "%n") (instances a)) (wave (width 0) (least-share 2) (order up) (stall 0s)))`,
	} {
		_, err := ReadSpec("fleet.sx", []byte(text), limits.ForControl())
		tr.Say("%s\n%v", text, err)
	}
	s := readTestSpec(t, groupsOf(2, 2, 1, ""))
	for _, q := range []Selection{
		{}, {All: true}, {Groups: []string{"g1"}}, {Names: []string{"g0-s1", "g1-n2"}}, {Names: []string{"nobody"}}, {Hosts: []string{"h1"}},
	} {
		all, err := s.Select(q)
		names := make([]string, 0, len(all))
		for _, inst := range all {
			names = append(names, inst.Name)
		}
		tr.Say("%+v: %v %v", q, names, err)
	}
	steps, err := Preview(s, "h1", []string{"g0-n1", "g0-n2", "g1-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 0.5, Order: "spread", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v %v", planText(steps), err)
	_, err = Preview(s, "h1", []string{"g0-n1"}, RollingUpdateConfig{MaxInProgress: 2, MinReadyShare: 1, Order: "file", StallTimeout: 1, MaxRejectedShare: 1})
	tr.Say("%v", err)
}

// planText prints a plan as the stored trace has it.
func planText(steps []PlanStep) string {
	words := make([]string, 0, len(steps))
	for _, s := range steps {
		words = append(words, fmt.Sprintf("{Name:%s Group:%s Batch:%d Ready:%d Least:%d}", s.Name, s.Group, s.Batch, s.Ready, s.MinReady))
	}
	return "[" + strings.Join(words, " ") + "]"
}
