package main

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestServeAnswersRecordedInput feeds each input of testdata to the adapter and compares the output with the recorded
// one.
func TestServeAnswersRecordedInput(t *testing.T) {
	for _, name := range []string{"day", "incarnations"} {
		in, err := os.ReadFile("testdata/" + name + ".in")
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile("testdata/" + name + ".out")
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := serve(bytes.NewReader(in), &out); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(out.String(), "\n")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
}

const (
	sync = `{"Sync":{"at_time_ms":1,"round":1}}` + "\n"
	open = `{"OpenInstance":{"i":3,"init_seed":1,"settings":{"new_key":[1],"classes":[{"aim_ms":9}]}}}` + "\n"
	end  = `{"Commit":{}}` + "\n"
)

// TestServeRejectsInvalidInput checks the error for each kind of invalid input, and that no part of a reply is written.
func TestServeRejectsInvalidInput(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{sync + "nonsense\n", "line 2: not a JSON object: invalid character 'o' in literal null (expecting 'u')"},
		{sync + `{"Launched":{"i":3}}`, "line 2: Launched: unknown message"},
		{sync + `{"Alarm":{"i":3,"token":"x"}}`,
			"line 2: Alarm: json: cannot unmarshal string into Go struct field fields.token of type int64"},
		{sync + `{"Alarm":[]}`, "line 2: Alarm: fields are not a JSON object"},
		{sync + `{"Done":{"i":3,"req":"0f","state_code":"Fine"}}`, `line 2: Done: unknown state_code "Fine"`},
		{sync + `{"Done":{"i":3,"req":"0f","state_code":"Ok"}}`, "line 2: Done: instance 3 is not open"},
		{sync + `{"A":{},"B":{}}`, "line 2: expected one message name, found 2"},
		{sync + sync, "line 2: Sync is not allowed here"},
		{end, "line 1: Commit is not allowed here"},
		{sync + open, "line 3: input ends before the Commit of batch 1"},
	} {
		var out bytes.Buffer
		err := serve(strings.NewReader(c.in), &out)
		if err == nil || out.Len() > 0 {
			t.Errorf("%q: got error %v and output %q, want an error and no output", c.in, err, out.String())
			continue
		}
		if diff := cmp.Diff(c.want, err.Error()); diff != "" {
			t.Errorf("%q (-want +got):\n%s", c.in, diff)
		}
	}
}

// TestModulePanicIsReportedAsBailOut checks that a panic of the decision module is reported to the simulator, and does
// not end the adapter.
func TestModulePanicIsReportedAsBailOut(t *testing.T) {
	var out bytes.Buffer
	invalid := `{"Req":{"i":3,"req":"0f","service":8}}` + "\n"
	if err := serve(strings.NewReader(sync+open+invalid+end), &out); err != nil {
		t.Fatal(err)
	}
	want := `{"BailOut":{"i":3,"message":"runtime error: index out of range [8] with length 1"}}`
	if diff := cmp.Diff(want, strings.Split(out.String(), "\n")[2]); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}
