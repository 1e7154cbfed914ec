package simwire

import (
	"strings"
	"testing"

	"milletbarrow/admission"
	"milletbarrow/internal/fakes"
)

// FuzzRead: whatever a line holds, it is an error or a message with what its name calls for.
func FuzzRead(f *testing.F) {
	f.Add(`{"Sync":{"at_time_ms":8412.25,"round":12}}`)
	f.Add(`{"Req":{"i":3,"req":"b96f57e15d3a91c4","hint_ms":12.0,"service":0,"waited_ms":1.85,"kb":24.5,"earlier":0}}`)
	f.Add(`{"Alarm":{"i":3,"token":77,"feedback":[0.62,3,0.41,120]}}`)
	f.Add(`{"OpenInstance":{"i":3,"init_seed":1,"settings":` + strings.ReplaceAll(fakes.Settings, "\n", " ") + `}}`)
	f.Fuzz(func(t *testing.T, line string) {
		msg, err := Read([]byte(line))
		if err != nil || msg.Name == "Sync" || msg.Name == "Commit" {
			return
		}
		switch e := msg.Event.(type) {
		case nil:
			t.Fatalf("%q is read as %s with no event", line, msg.Name)
		case admission.Arrived:
			if e.ID == "" {
				t.Fatalf("%q has no id", line)
			}
		case InstanceOpened:
			if len(e.Config.Operations) != 0 && e.Config.Operations[0].Objective > 1e15 {
				t.Fatalf("%q has a time that overflows", line)
			}
		}
	})
}
