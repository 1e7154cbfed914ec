package config

import (
	"strings"
	"testing"

	"milletbarrow/internal/fakes"
)

// completeFile is a valid configuration file.
const completeFile = `{"name":"n3","listen":"127.0.0.1:1","agent":"127.0.0.1:2","roster":"127.0.0.1:3",
	"seed":"8c1f30d27a5be964","stop_ms":1500,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"settings":` + fakes.Settings + `}`

// A configuration is rejected, or its operations, tenants and numbers are valid.
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
		for i, op := range b.Settings.Admission.Operations {
			validName := !strings.ContainsAny(b.Settings.Operations[i], " \r\n")
			if op.Objective <= 0 || op.ClientTimeout <= 0 || !validName {
				t.Fatalf("operation %d accepted: %+v", i, op)
			}
		}
		if len(b.Settings.Tenants) != len(b.Settings.Admission.QuotaPerSecond) {
			t.Fatalf("accepted with quotas of other tenants: %+v", b)
		}
		if !(b.StopMs > 0) || !(b.Limits.MemoryMB > 0) {
			t.Fatalf("accepted: %+v", b)
		}
	})
}

// Changes of each field are listed, except of the addresses of the executor and the registry and of the shadow
// settings.
func TestChangesOfImmutableFieldsAreListed(t *testing.T) {
	first, err := Parse([]byte(completeFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"name", `"n3"`, `"n4"`, "name"},
		{"address to listen on", `"127.0.0.1:1"`, `"127.0.0.1:9"`, "listen"},
		{"seed", `"8c1f30d27a5be964"`, `"1"`, "seed"},
		{"time to the stop", `"stop_ms":1500`, `"stop_ms":1501`, "stop_ms"},
		{"limit", `"sockets":1024`, `"sockets":1025`, "limits"},
		{"settings", `"late_value":0.1`, `"late_value":0.2`, "settings"},
		{"address of the executor", `"127.0.0.1:2"`, `"127.0.0.1:9"`, ""},
		{"address of the registry", `"127.0.0.1:3"`, `"127.0.0.1:9"`, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			later, err := Parse([]byte(edited(t, completeFile, test.old, test.new)))
			if err != nil {
				t.Fatal(err)
			}
			if got := strings.Join(first.ImmutableChanges(later), " "); got != test.want {
				t.Errorf("%q, want %q", got, test.want)
			}
			if first.Hash == later.Hash {
				t.Error("the hashes are equal")
			}
		})
	}
}
