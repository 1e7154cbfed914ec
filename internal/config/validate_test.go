package config

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
)

// secondOperation is the second operation of completeFile.
const secondOperation = `{"name":"post","aim_ms":2000,"deadline_ms":5000,"repeat":"at_most_once"}`

// invalidConfigurations are changes of completeFile that make it invalid.
var invalidConfigurations = []struct {
	old  string // part of completeFile
	new  string // its replacement
	want string // the error
}{
	{
		`"8c1f30d27a5be964"`,
		`"8c1f30d27a5be9641"`,
		`seed: "8c1f30d27a5be9641" is not a number of up to 16 hex digits`,
	},
	{`"8c1f30d27a5be964"`, `7`, `seed: not a string`},
	{`"name":"n3"`, `"name":""`, `name: "" is not a name: expected printable ASCII without spaces and slashes`},
	{
		`"name":"n3"`,
		`"name":"n 3"`,
		`name: "n 3" is not a name: expected printable ASCII without spaces and slashes`,
	},
	{
		`"name":"n3"`,
		`"name":"../n3"`,
		`name: "../n3" is not a name: expected printable ASCII without spaces and slashes`,
	},
	{`"127.0.0.1:1"`, `"localhost:1"`, `listen: "localhost:1" is not an IP address and a port`},
	{`"127.0.0.1:2"`, `"127.0.0.1:0"`, `agent: "127.0.0.1:0" is not an IP address and a port`},
	{`"127.0.0.1:3"`, `"127.0.0.1"`, `roster: "127.0.0.1" is not an IP address and a port`},
	{`"stop_ms":1500`, `"stop_ms":0`, `stop_ms: 0 is not above 0 and at most 1e+09`},
	{`"stop_ms":1500`, `"stop_ms":2e9`, `stop_ms: 2e+09 is not above 0 and at most 1e+09`},
	{`"cores":1.0`, `"cores":-1`, `limits.cores: -1 is not above 0 and at most 1024`},
	{`"cores":1.0`, `"cores":1025`, `limits.cores: 1025 is not above 0 and at most 1024`},
	{`"memory_mb":192`, `"memory_mb":0`, `limits.memory_mb: 0 is not above 0 and at most 1e+07`},
	{`"sockets":1024`, `"sockets":10000001`, `limits.sockets: 1.0000001e+07 is not above 0 and at most 1e+07`},
	{`"settings":{`, `"settings":null,"none":{`, `settings: missing`},
	{`"classes":[`, `"classes":[],"none":[`, `settings.classes: empty: expected at least one`},
	{`"n_cores":2`, `"n_cores":0`, `settings.family_info.n_cores: 0 is below 1`},
	{`"mem_limit_kb":90000`, `"mem_limit_kb":0`, `settings.family_info.mem_limit_kb: 0 is not above 0`},
	{
		`"run_factor":8`,
		`"run_factor":0.9`,
		`settings.family_info.run_factor: 0.9 is not a finite number of at least 1`,
	},
	{`"answer_slack_ms":80`, `"answer_slack_ms":0`, `settings.invariants.answer_slack_ms: not above 0`},
	{`"fall_multiple":8`, `"fall_multiple":0.5`, `settings.invariants.fall_multiple: 0.5 is below 1`},
	{`"fleet_size":3`, `"worth_by":"day"`, `settings.worth_by: "day" is not request or work`},
	{
		`"preemption":"off"`,
		`"preemption":"kill"`,
		`settings.family_info.preemption: "kill" is not one of discard, freeze, off`,
	},
	{`"say":"off"`, `"say":"much"`, `settings.family_info.say: "much" is not one of allowance, floor, off, weight`},
	{`"below":"off"`, `"below":"two"`, `settings.family_info.below: "two" is not off, one_for_all or tier`},
	{
		`"below":"off"`,
		`"below":"one_for_all"`,
		`settings.family_info.calls_out: 0 calls in 0 us: ` +
			`a dependency shared by all requires a quota and a window above 0`,
	},
	{`"below":"off"`, `"below":"one_for_all","calls_out":2,"calls_over_ms":9`,
		`settings.family_info.below: "one_for_all" is not supported: expected off`},
	{
		`"below":"off"`,
		`"below":"off","class_calls":[true]`,
		`settings.family_info.class_calls[0]: true, but family_info.below is off`,
	},
	{
		`"below":"off"`,
		`"below":"off","degraded_worth":[0,1.1]`,
		`settings.family_info.degraded_worth[1]: 1.1 is not from 0 to 1`,
	},
	{
		`"name":"look"`,
		`"name":"a look"`,
		`settings.classes[0].name: "a look" is not a name: expected printable ASCII without spaces and slashes`,
	},
	{`"name":"post"`, `"name":"look"`, `settings.classes[1].name: duplicate name "look"`},
	{
		secondOperation,
		`{"name":"post","aim_ms":0,"deadline_ms":5000,"repeat":"at_most_once"}`,
		`settings.classes[1].aim_ms: not above 0`,
	},
	{
		secondOperation,
		`{"name":"post","aim_ms":2000,"deadline_ms":-1,"repeat":"at_most_once"}`,
		`settings.classes[1].deadline_ms: not above 0`,
	},
	{
		`"at_most_once"`,
		`"once"`,
		`settings.classes[1].repeat: "once" is not one of at_most_once, deduplicated, idempotent`,
	},
	{
		`"at_most_once"`,
		`"deduplicated"`,
		`settings.classes[1].window_ms: not above 0, but post requires a repeat window`,
	},
	{
		`"at_most_once"`,
		`"deduplicated","window_ms":9`,
		`settings.family_info.key_kb: not above 0, but post requires idempotency keys`,
	},
	{
		`"at_most_once"`,
		`"at_most_once","worth":-1`,
		`settings.classes[1].worth: -1 is not a finite number of at least 0`,
	},
	{`"late_value":0.1`, `"late_value":1.5`, `settings.classes[0].late_value: 1.5 is not from 0 to 1`},
	{`"zenith"`, `"acme"`, `settings.projects[1].name: "acme" is empty or a duplicate`},
	{`"zenith"`, `""`, `settings.projects[1].name: "" is empty or a duplicate`},
}

// An invalid configuration is rejected, with the field, its value and what is expected.
func TestInvalidConfigurationIsRejected(t *testing.T) {
	for _, test := range invalidConfigurations {
		t.Run(test.new, func(t *testing.T) {
			_, err := Parse([]byte(edited(t, completeFile, test.old, test.new)))
			if err == nil || !strings.HasSuffix(err.Error(), test.want) {
				t.Errorf("%v, want %s", err, test.want)
			}
			var fieldError *FieldError
			if !errors.As(err, &fieldError) || fieldError.Error() != test.want {
				t.Errorf("%#v, want a *FieldError", err)
			}
		})
	}
}

// Port 0 lets the system choose the port to listen on.
func TestListenPortZeroIsValid(t *testing.T) {
	if _, err := Parse([]byte(edited(t, completeFile, "127.0.0.1:1", "127.0.0.1:0"))); err != nil {
		t.Error(err)
	}
}

// Parse returns a *DecodeError and no *FieldError for a configuration that is not a JSON object or has a value of the
// wrong type.
func TestUndecodableConfigurationIsDecodeError(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want string // after "not a configuration: "
	}{
		{"truncated", "{", "unexpected end of JSON input"},
		{
			"number for a name",
			`{"name":1}`,
			"json: cannot unmarshal number into Go struct field Backend.name of type string",
		},
		{"truncated settings", `{"settings":7`, "unexpected end of JSON input"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(test.text))
			var decodeError *DecodeError
			var fieldError *FieldError
			if !errors.As(err, &decodeError) || errors.As(err, &fieldError) {
				t.Fatalf("%#v, want a *DecodeError", err)
			}
			if want := "not a configuration: " + test.want; err.Error() != want {
				t.Errorf("%v, want %s", err, want)
			}
		})
	}
}

// Shadow settings are rejected if they are invalid, or if they differ in operations, tenants or cores, as events would
// then have another meaning. They may enable unsupported features.
func TestShadowSettingsWithOtherEventsAreRejected(t *testing.T) {
	for _, test := range []struct {
		old  string // part of the settings
		new  string // its replacement in the shadow settings
		want string // the error; "": none
	}{
		{
			`"name":"look"`,
			`"name":"find"`,
			`watch.classes: ["find" "post"] differs from the settings' ["look" "post"]`,
		},
		{`"acme"`, `"apex"`, `watch.projects: ["apex" "zenith"] differs from the settings' ["acme" "zenith"]`},
		{`"n_cores":2`, `"n_cores":3`, `watch.family_info.n_cores: 3 differs from the settings' 2`},
		{
			`"run_factor":8`,
			`"run_factor":0`,
			`watch.family_info.run_factor: 0 is not a finite number of at least 1`,
		},
		{`"late_value":0.1`, `"late_value":0.2`, ``},
		{`"preemption":"off"`, `"preemption":"discard"`, ``},
	} {
		t.Run(test.new, func(t *testing.T) {
			shadow := edited(t, fakes.Settings, test.old, test.new)
			b, err := Parse([]byte(edited(t, completeFile, `"settings":`, `"watch":`+shadow+`,"settings":`)))
			if test.want == "" {
				if err != nil || len(b.Shadow.IgnoredFields) != 0 {
					t.Errorf("%v, want no error and no ignored field", err)
				}
				return
			}
			if err == nil || err.Error() != test.want {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
}

// Parsing a configuration file disables and lists the optional features that are not supported.
func TestUnsupportedOptionsAreDisabledAndListed(t *testing.T) {
	text := edited(t, completeFile, `"preemption":"off"`, `"preemption":"freeze","fresh_ms":200`)
	b, err := Parse([]byte(edited(t, text, `"say":"off"`, `"say":"weight"`)))
	if err != nil {
		t.Fatal(err)
	}
	want := []string{"family_info.fresh_ms", "family_info.say", "family_info.preemption"}
	if !slices.Equal(b.Settings.IgnoredFields, want) {
		t.Errorf("IgnoredFields = %q, want %q", b.Settings.IgnoredFields, want)
	}
	cfg := b.Settings.Admission
	if cfg.Preemption != admission.NoPreemption || cfg.AdvertisedValue != admission.NothingAdvertised {
		t.Errorf("preemption %d, advertised value %d; want both off", cfg.Preemption, cfg.AdvertisedValue)
	}
}

// Settings that are decoded without a configuration file, as for the simulator, keep the options that parsing such a
// file disables.
func TestSettingsDecodedAloneKeepUnsupportedOptions(t *testing.T) {
	var s Settings
	if err := json.Unmarshal([]byte(edited(t, fakes.Settings, `"say":"off"`, `"say":"weight"`)), &s); err != nil {
		t.Fatal(err)
	}
	if s.Admission.AdvertisedValue != admission.TrafficWeight || len(s.IgnoredFields) != 0 {
		t.Errorf("advertised value %d, ignored %q; want %d, none",
			s.Admission.AdvertisedValue, s.IgnoredFields, admission.TrafficWeight)
	}
}

// edited returns text with one part replaced by another. It fails the test unless the part occurs once.
func edited(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if strings.Count(text, old) != 1 {
		t.Fatalf("%q occurs %d times in %s", old, strings.Count(text, old), text)
	}
	return strings.Replace(text, old, replacement, 1)
}
