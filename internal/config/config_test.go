package config

import (
	"encoding/json"
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

// completeFile is a configuration file that can be used.
const completeFile = `{"name":"n3","listen":"127.0.0.1:1","agent":"127.0.0.1:2","roster":"127.0.0.1:3","seed":"8c1f30d27a5be964",
	"stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":` + fakes.Settings + `}`

// FuzzParse: whatever a configuration holds, it is refused or can be used as it stands.
func FuzzParse(f *testing.F) {
	if _, err := Parse([]byte(completeFile)); err != nil {
		f.Fatal(err)
	}
	f.Add(completeFile)
	f.Add(strings.Replace(completeFile, "2000", "1e300", 1))
	f.Add(strings.Replace(completeFile, `"projects":[`, `"projects":[{},`, 1))
	f.Add(`{"settings":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		b, err := Parse([]byte(text))
		if err != nil {
			return
		}
		for n, op := range b.Settings.Admission.Operations {
			if op.Objective <= 0 || op.ClientTimeout <= 0 || strings.ContainsAny(b.Settings.Operations[n], " \r\n") {
				t.Fatalf("operation %d accepted: %+v", n, op)
			}
		}
		if len(b.Settings.Tenants) != len(b.Settings.Admission.QuotaPerSecond) || !(b.StopMs > 0) || !(b.Limits.MemoryMB > 0) {
			t.Fatalf("accepted: %+v", b)
		}
	})
}

// TestDeadlineOptional: frames may lack the time that callers still wait where the settings say so, and only there.
func TestDeadlineOptional(t *testing.T) {
	for add, want := range map[string]bool{"": false, `"passes_deadline":true,`: false, `"passes_deadline":false,`: true} {
		var s Settings
		if err := json.Unmarshal([]byte(strings.Replace(fakes.Settings, `"callers"`, add+`"callers"`, 1)), &s); err != nil || s.DeadlineOptional != want {
			t.Errorf("%s: %t %v", add, s.DeadlineOptional, err)
		}
	}
}
