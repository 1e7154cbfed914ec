package config

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
)

// edited is text with one piece replaced by another; a piece that is not there once fails the test.
func edited(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if strings.Count(text, old) != 1 {
		t.Fatalf("%q stands %d times in %s", old, strings.Count(text, old), text)
	}
	return strings.Replace(text, old, replacement, 1)
}

// TestInvalidConfigurations: what no backend could use is refused, with the field and what is wrong with it.
func TestInvalidConfigurations(t *testing.T) {
	const secondClass = `{"name":"post","aim_ms":2000,"deadline_ms":5000,"repeat":"at_most_once"}`
	for _, c := range []struct{ old, new, want string }{
		{`"8c1f30d27a5be964"`, `"8c1f30d27a5be9641"`, `seed: "8c1f30d27a5be9641" is not a number of up to 16 hex digits`},
		{`"8c1f30d27a5be964"`, `7`, `seed: not text`},
		{`"name":"n3"`, `"name":""`, `name: "" is not a word`},
		{`"name":"n3"`, `"name":"n 3"`, `name: "n 3" is not a word`},
		{`"name":"n3"`, `"name":"../n3"`, `name: "../n3" is not a word`},
		{`"127.0.0.1:1"`, `"localhost:1"`, `listen: "localhost:1" is not an address and a port`},
		{`"127.0.0.1:2"`, `"127.0.0.1:0"`, `agent: "127.0.0.1:0" is not an address and a port`},
		{`"127.0.0.1:3"`, `"127.0.0.1"`, `roster: "127.0.0.1" is not an address and a port`},
		{`"stop_ms":1500`, `"stop_ms":0`, `stop_ms: 0 is not above 0 and at most 1e+09`},
		{`"stop_ms":1500`, `"stop_ms":2e9`, `stop_ms: 2e+09 is not above 0 and at most 1e+09`},
		{`"cores":1.0`, `"cores":-1`, `limits.cores: -1 is not above 0 and at most 1024`},
		{`"cores":1.0`, `"cores":1025`, `limits.cores: 1025 is not above 0 and at most 1024`},
		{`"memory_mb":192`, `"memory_mb":0`, `limits.memory_mb: 0 is not above 0 and at most 1e+07`},
		{`"sockets":1024`, `"sockets":10000001`, `limits.sockets: 1.0000001e+07 is not above 0 and at most 1e+07`},
		{`"settings":{`, `"settings":null,"none":{`, `settings: missing`},
		{`"classes":[`, `"classes":[],"none":[`, `settings.classes: none`},
		{`"n_cores":2`, `"n_cores":0`, `settings.family_info.n_cores: 0`},
		{`"mem_limit_kb":90000`, `"mem_limit_kb":0`, `settings.family_info.mem_limit_kb: 0`},
		{`"run_factor":8`, `"run_factor":0.9`, `settings.family_info.run_factor: 0.9`},
		{`"answer_slack_ms":80`, `"answer_slack_ms":0`, `settings.invariants.answer_slack_ms: not above 0`},
		{`"fall_multiple":8`, `"fall_multiple":0.5`, `settings.invariants.fall_multiple: 0.5`},
		{`"fleet_size":3`, `"worth_by":"day"`, `settings.worth_by: "day" is neither request nor work`},
		{`"preemption":"off"`, `"preemption":"kill"`, `settings.family_info.preemption: "kill" is none of off, discard and freeze`},
		{`"say":"off"`, `"say":"much"`, `settings.family_info.say: "much" is none of off, floor, allowance and weight`},
		{`"below":"off"`, `"below":"two"`, `settings.family_info.below: "two" is none of off, one_for_all and tier`},
		{`"below":"off"`, `"below":"one_for_all"`, `settings.family_info.calls_out: 0 over 0 us, and one dependency serves all`},
		{`"below":"off"`, `"below":"one_for_all","calls_out":2,"calls_over_ms":9`,
			`settings.family_info.below: "one_for_all", and calls below have no line here`},
		{`"below":"off"`, `"below":"off","class_calls":[true]`, `settings.family_info.class_calls[0]: true, and nothing lies below`},
		{`"below":"off"`, `"below":"off","degraded_worth":[0,1.1]`, `settings.family_info.degraded_worth[1]: 1.1 is no part`},
		{`"name":"look"`, `"name":"a look"`, `settings.classes[0].name: "a look" is not a word`},
		{`"name":"post"`, `"name":"look"`, `settings.classes[1].name: "look" stands twice`},
		{secondClass, edited(t, secondClass, `"aim_ms":2000`, `"aim_ms":0`), `settings.classes[1].aim_ms: not above 0`},
		{secondClass, edited(t, secondClass, `5000`, `-1`), `settings.classes[1].deadline_ms: not above 0`},
		{`"at_most_once"`, `"once"`, `settings.classes[1].repeat: "once" is none of idempotent, deduplicated and at_most_once`},
		{`"at_most_once"`, `"deduplicated"`, `settings.classes[1].window_ms: not above 0, and repeats are to be known`},
		{`"at_most_once"`, `"deduplicated","window_ms":9`, `settings.family_info.key_kb: not above 0, and post keeps keys`},
		{`"at_most_once"`, `"at_most_once","worth":-1`, `settings.classes[1].worth: -1`},
		{`"late_value":0.1`, `"late_value":1.5`, `settings.classes[0].late_value: 1.5 is no part`},
		{`"zenith"`, `"acme"`, `settings.projects[1].name: "acme" is empty or stands twice`},
		{`"zenith"`, `""`, `settings.projects[1].name: "" is empty or stands twice`},
	} {
		_, err := Parse([]byte(edited(t, completeFile, c.old, c.new)))
		if err == nil || !strings.HasSuffix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
		if fieldErr := (*FieldError)(nil); !errors.As(err, &fieldErr) || fieldErr.Error() != c.want {
			t.Errorf("%s: %#v is no error of a field", c.new, err)
		}
	}
	if _, err := Parse([]byte(edited(t, completeFile, "127.0.0.1:1", "127.0.0.1:0"))); err != nil {
		t.Errorf("port 0 to listen at: %v", err)
	}
}

// TestDecodeErrors: text that is no JSON object, or has a value of the wrong type, is told apart from an unusable field.
func TestDecodeErrors(t *testing.T) {
	for text, want := range map[string]string{
		"{":             "not a configuration: unexpected end of JSON input",
		`{"name":1}`:    "not a configuration: json: cannot unmarshal number into Go struct field Backend.name of type string",
		`{"settings":7`: "not a configuration: unexpected end of JSON input",
	} {
		_, err := Parse([]byte(text))
		var decodeErr *DecodeError
		if fieldErr := (*FieldError)(nil); !errors.As(err, &decodeErr) || errors.As(err, &fieldErr) || err.Error() != want {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

// TestInvalidShadowSettings: events of the one instance must have a meaning to the other, on the same machine.
func TestInvalidShadowSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name":"look"`, `"name":"find"`, `watch.classes: ["find" "post"], and settings.classes has ["look" "post"]`},
		{`"acme"`, `"apex"`, `watch.projects: ["apex" "zenith"], and settings.projects has ["acme" "zenith"]`},
		{`"n_cores":2`, `"n_cores":3`, `watch.family_info.n_cores: 3, and this machine has 2`},
		{`"run_factor":8`, `"run_factor":0`, `watch.family_info.run_factor: 0`},
		{`"late_value":0.1`, `"late_value":0.2`, ``},
		{`"preemption":"off"`, `"preemption":"discard"`, ``},
	} {
		shadow := edited(t, fakes.Settings, c.old, c.new)
		b, err := Parse([]byte(edited(t, completeFile, `"settings":`, `"watch":`+shadow+`,"settings":`)))
		switch {
		case c.want == "" && (err != nil || len(b.Shadow.IgnoredFields) != 0):
			t.Errorf("%s: %v", c.new, err)
		case c.want != "" && (err == nil || err.Error() != c.want):
			t.Errorf("%s: %v, want %s", c.new, err, c.want)
		}
	}
}

// TestIgnoredFields: what the settings permit and this program cannot do is named, and switched off.
func TestIgnoredFields(t *testing.T) {
	text := edited(t, completeFile, `"preemption":"off"`, `"preemption":"freeze","fresh_ms":200`)
	b, err := Parse([]byte(edited(t, text, `"say":"off"`, `"say":"weight"`)))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"family_info.fresh_ms", "family_info.say", "family_info.preemption"}
	if s := b.Settings; !reflect.DeepEqual(s.IgnoredFields, want) ||
		s.Admission.Preemption != admission.NoPreemption || s.Admission.AdvertisedValue != admission.NothingAdvertised {
		t.Errorf("ignored %q, preemption %d, advertised value %d", s.IgnoredFields, s.Admission.Preemption, s.Admission.AdvertisedValue)
	}
	var s Settings
	if err := json.Unmarshal([]byte(edited(t, fakes.Settings, `"say":"off"`, `"say":"weight"`)), &s); err != nil ||
		s.Admission.AdvertisedValue != admission.TrafficWeight || len(s.IgnoredFields) != 0 {
		t.Errorf("for the simulator: %v, advertised value %d, ignored %q", err, s.Admission.AdvertisedValue, s.IgnoredFields)
	}
}

// TestImmutableChanges: every field but the addresses of executor and registry and the shadow settings is named.
func TestImmutableChanges(t *testing.T) {
	first, err := Parse([]byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"n3"`, `"n4"`, "name"},
		{`"127.0.0.1:1"`, `"127.0.0.1:9"`, "listen"},
		{`"8c1f30d27a5be964"`, `"1"`, "seed"},
		{`"stop_ms":1500`, `"stop_ms":1501`, "stop_ms"},
		{`"sockets":1024`, `"sockets":1025`, "limits"},
		{`"late_value":0.1`, `"late_value":0.2`, "settings"},
		{`"127.0.0.1:2"`, `"127.0.0.1:9"`, ""},
		{`"127.0.0.1:3"`, `"127.0.0.1:9"`, ""},
	} {
		later, err := Parse([]byte(edited(t, completeFile, c.old, c.new)))
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(first.ImmutableChanges(later), " "); got != c.want {
			t.Errorf("%s: %q, want %q", c.new, got, c.want)
		}
		if first.Hash == later.Hash {
			t.Errorf("%s: the same hash", c.new)
		}
	}
}
