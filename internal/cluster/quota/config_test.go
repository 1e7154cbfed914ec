package quota

import "testing"

func TestConfigIsReplacedOnlyByAValidNewerOne(t *testing.T) {
	configOf := func(version uint64, total int64) Config {
		config := rateConfig(total, 1, 0, DivideEvenly)
		config.Version = version
		return config
	}
	invalid := configOf(6, 20)
	invalid.Limits[0].Lease = invalid.Limits[0].ClockMargin
	for _, test := range []struct {
		name     string
		config   Config
		rejected bool
	}{
		{"older version", configOf(4, 20), true},
		{"same version with other content", configOf(5, 20), true},
		{"invalid limit", invalid, true},
		{"same version with the same content", configOf(5, 10), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := newTestState(t, configOf(5, 10))
			result := state.Apply(Command{Config: &test.config})
			if (result.Rejection != "") != test.rejected {
				t.Errorf("rejection %q, want a rejection: %v", result.Rejection, test.rejected)
			}
			if state.Config.Version != 5 || state.Config.Limits[0].Total != 10 {
				t.Errorf("configuration in force: %+v, want version 5 with total 10", state.Config)
			}
		})
	}
}
